//! Edge connections: the listeners, and the clients' side of each request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;

use super::http::{self, Bad, Body, Head};
use super::servers::{Batch, Dispatch, Fleet};
use super::{Wire, within};
use crate::engine::{self, Engine};
use crate::front::{Call, Dialect, Noted, Passage, Passing, Reply};
use crate::limits::Limits;
use crate::names::Names;
use crate::stream::{Cause, Leaving};

/// What all edge connections share.
pub struct Edge {
    engine: Engine,
    fleet: Rc<Fleet>,
    names: Rc<RefCell<Names>>,
    limits: Rc<Limits>,
    noted: Rc<Noted>,
    ready: Box<dyn Fn() -> bool>,
    seats: RefCell<BTreeMap<u64, Seat>>,
    last_seat: Cell<u64>,
    held_bytes: Cell<usize>,
    stopping: Cell<bool>,
    /// Nothing is ever sent here: it closes once idle edge connections shall.
    closing: Receiver<()>,
    close: Sender<()>,
    /// A connection has closed.
    freed: (Sender<()>, Receiver<()>),
}

impl Edge {
    /// Without connections yet; `ready` says whether requests may come.
    pub fn new(
        engine: Engine,
        fleet: Rc<Fleet>,
        names: Rc<RefCell<Names>>,
        limits: Rc<Limits>,
        ready: Box<dyn Fn() -> bool>,
    ) -> Edge {
        let (close, closing) = async_channel::bounded(1);
        let freed = async_channel::bounded(1);
        let noted = Rc::new(Noted::new(&limits));
        Edge {
            engine,
            fleet,
            names,
            limits,
            noted,
            ready,
            seats: RefCell::default(),
            last_seat: Cell::new(0),
            held_bytes: Cell::new(0),
            stopping: Cell::new(false),
            closing,
            close,
            freed,
        }
    }

    /// Takes connections until the stop's grace is over, then returns with the listener closed.
    pub async fn listen(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        listener: Async<TcpListener>,
        dialect: Dialect,
    ) {
        let accepting = async {
            loop {
                if self.open() >= self.limits.edge_connections {
                    self.make_room();
                    let _ = within(self.limits.edge_look, self.freed.1.recv()).await;
                    continue;
                }
                match listener.accept().await {
                    Ok((stream, from)) => {
                        let place = Place::new(self.clone());
                        ex.spawn(self.clone().connection(stream, from, dialect, place)).detach();
                    }
                    Err(e) => {
                        // Guards against dying, or spinning, when no descriptor is free.
                        log::warn!("accept-failed: {e}");
                        Timer::after(self.limits.accept_pause).await;
                    }
                }
            }
        };
        future::or(accepting, async { self.closing.recv().await.unwrap_or_default() }).await;
    }

    /// Stops: requests are still taken for the grace, on the connections that clients have too, since another
    /// gateway may not be there to take them; then listeners and idle edge connections close, and
    /// what is held gets its answer.
    pub async fn stop(&self) {
        self.stopping.set(true);
        self.engine.stop_streams(self.limits.stream.stop);
        Timer::after(self.limits.stop_grace).await;
        self.close.close();
        while self.open() > 0 {
            let _ = self.freed.1.recv().await;
        }
    }

    /// Asks the edge connection that needs its place least to give it up. Guards against a crowd that connects
    /// and says nothing, or asks once and stays, while others wait to be accepted.
    fn make_room(&self) {
        let limits = &*self.limits;
        let mut seats = self.seats.borrow_mut();
        let spare = |seat: &&mut Seat| {
            let most = match seat.state {
                Sitting::Mute => limits.edge_mute,
                Sitting::Arriving => limits.edge_slow,
                Sitting::Rested => limits.edge_rested,
                Sitting::Asking | Sitting::Leaving => return false,
            };
            seat.since.elapsed() >= most
        };
        // Those that never sent anything go first, and the oldest among them.
        let least = |seat: &&mut Seat| (seat.state != Sitting::Mute, seat.since);
        if let Some(seat) = seats.values_mut().filter(spare).min_by_key(least) {
            seat.state = Sitting::Leaving;
            seat.leave.close();
        }
    }

    /// Edge connections that are open.
    pub fn open(&self) -> usize {
        self.seats.borrow().len()
    }

    async fn connection(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        from: SocketAddr,
        dialect: Dialect,
        mut place: Place,
    ) {
        let mut wire = Wire::new(stream);
        while let Some(next) = self.clone().exchange(wire, dialect, from, &mut place).await {
            wire = next;
            // What a large request needed is not kept while the connection rests.
            wire.buf.shrink_to(self.limits.read_bytes);
            place.sit(Sitting::Rested);
        }
    }

    /// One request and its answer; the connection comes back if it may carry another.
    async fn exchange(
        self: Rc<Self>,
        mut wire: Wire,
        dialect: Dialect,
        from: SocketAddr,
        place: &mut Place,
    ) -> Option<Wire> {
        let (mut head, body, _bytes) = match self.request(&mut wire, place).await {
            Ok(Some(request)) => request,
            Ok(None) => return None,
            Err(bad) => {
                log::info!(client:% = from, status = bad.status; "bad-request: {}", bad.what);
                let bytes = dialect.bad(bad).bytes(false);
                let _ = within(self.limits.edge_write, wire.write(&bytes)).await;
                // Guards against a reset that overtakes the answer: what is still coming is read and dropped.
                let _ = within(self.limits.rest_read, wire.linger(&self.limits)).await;
                return None;
            }
        };
        place.sit(Sitting::Asking);
        let crowded = self.open() >= self.limits.edge_connections;
        let keep = head.keeps_alive(&head.start[2]) && !crowded && !self.closing.is_closed();
        let call = dialect.call(&head, &body, &self.names.borrow());
        let reply = match call {
            Call::Serve(ask, model) => {
                let back = Rc::new(RefCell::new(None));
                if head.get("x-request-id").is_none() {
                    head.headers.push(("X-Request-Id".into(), format!("{:016x}", self.engine.fresh_id())));
                }
                let id = head.get("x-request-id").unwrap_or_default().to_owned();
                let client = Exchange {
                    edge: self.clone(),
                    wire,
                    dialect,
                    keep,
                    id,
                    model,
                    back: back.clone(),
                    from: Instant::now(),
                };
                let passage = Rc::new(Passage { dialect, head, body });
                let servers = Dispatch { fleet: self.fleet.clone(), passage };
                engine::serve(&self.engine, &ask, &servers, client).await;
                return back.take();
            }
            Call::Health if (self.ready)() && !self.stopping.get() => Reply::text(200, "ready"),
            Call::Health => Reply::text(503, "not ready"),
            Call::Refused(bad) => dialect.bad(bad),
        };
        let bytes = reply.bytes(keep);
        match within(self.limits.edge_write, wire.write(&bytes)).await {
            Ok(Ok(())) if keep => Some(wire),
            _ => None,
        }
    }

    /// Reads the next request whole. `None`: the connection ended, was idle for too long, or shall close.
    async fn request(
        self: &Rc<Self>,
        wire: &mut Wire,
        place: &mut Place,
    ) -> Result<Option<(Head, Vec<u8>, Bytes)>, Bad> {
        let limits = &*self.limits;
        let first = place.is_mute();
        if wire.buf.is_empty() {
            let closing = async {
                let _ = future::or(self.closing.recv(), place.leave.recv()).await;
                Ok(0)
            };
            // Guards against a crowd that holds places and says nothing at all.
            let patience = if first { limits.edge_read } else { limits.edge_idle };
            let idle = async { within(patience, wire.fill(limits)).await.unwrap_or(Ok(0)) };
            // What has come is read before the close is heeded.
            if !future::or(idle, closing).await.is_ok_and(|n| n > 0) {
                return Ok(None);
            }
        }
        // The first request's time began with the connection: one that trickles in has no more than a mute one.
        let spent = if first { place.since().elapsed() } else { Duration::ZERO };
        place.sit(Sitting::Arriving);
        let whole = async {
            let head = loop {
                if let Some(head) = http::request_head(&mut wire.buf, limits)? {
                    break head;
                }
                if !wire.fill(limits).await.is_ok_and(|n| n > 0) {
                    return Ok(None);
                }
            };
            let mut framing = head.request_body(limits)?;
            if head.lists("expect", "100-continue") && framing != Body::Length(0) && wire.buf.is_empty() {
                let _ = wire.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            }
            let mut body = Vec::new();
            let mut bytes = Bytes(self.clone(), 0);
            if let Body::Length(length) = framing {
                body.reserve_exact(length);
            }
            loop {
                let whole = framing.take(&mut wire.buf, &mut body, limits)?;
                if body.len() > limits.body_bytes {
                    return Err(Bad { status: 413, what: "the body is too large" });
                }
                bytes.grow_to(body.len());
                if whole {
                    return Ok(Some((head, body, bytes)));
                }
                // Guards against running out of memory: what does not fit waits in its socket.
                while self.held_bytes.get() > limits.held_bytes {
                    Timer::after(limits.accept_pause).await;
                }
                if !wire.fill(limits).await.is_ok_and(|n| n > 0) {
                    return Ok(None);
                }
            }
        };
        let late = || Err(Bad { status: 408, what: "the request took too long to arrive" });
        let left = async {
            let _ = place.leave.recv().await;
            Ok(late())
        };
        let patience = limits.edge_read.saturating_sub(spent);
        future::or(within(patience, whole), left).await.unwrap_or_else(|_| late())
    }
}

/// What an edge connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sitting {
    /// Nothing has come on it yet.
    Mute,
    /// A request is on its way in.
    Arriving,
    /// A request is open.
    Asking,
    /// It was answered and may carry another request.
    Rested,
    /// It was asked to make room.
    Leaving,
}

/// An open edge connection: what it is doing and since when, and how it is asked to leave.
struct Seat {
    state: Sitting,
    since: Instant,
    leave: Sender<()>,
}

/// A place among the open edge connections.
struct Place {
    edge: Rc<Edge>,
    number: u64,
    /// Nothing is ever sent here: it closes once the connection shall make room.
    leave: Receiver<()>,
}

impl Place {
    fn new(edge: Rc<Edge>) -> Place {
        let number = edge.last_seat.get() + 1;
        edge.last_seat.set(number);
        let (send, leave) = async_channel::bounded(1);
        let seat = Seat { state: Sitting::Mute, since: Instant::now(), leave: send };
        edge.seats.borrow_mut().insert(number, seat);
        Place { edge, number, leave }
    }

    fn is_mute(&self) -> bool {
        self.edge.seats.borrow().get(&self.number).is_some_and(|s| s.state == Sitting::Mute)
    }

    fn since(&self) -> Instant {
        self.edge.seats.borrow().get(&self.number).map_or_else(Instant::now, |s| s.since)
    }

    fn sit(&mut self, state: Sitting) {
        if let Some(seat) = self.edge.seats.borrow_mut().get_mut(&self.number) {
            // One that was asked to leave in the moment in which its request came has stayed after all.
            if seat.state == Sitting::Leaving {
                (seat.leave, self.leave) = async_channel::bounded(1);
            }
            (seat.state, seat.since) = (state, Instant::now());
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.edge.seats.borrow_mut().remove(&self.number);
        let _ = self.edge.freed.0.try_send(());
    }
}

/// Bytes of a request that are counted while it is held.
struct Bytes(Rc<Edge>, usize);

impl Bytes {
    fn grow_to(&mut self, bytes: usize) {
        self.0.held_bytes.set(self.0.held_bytes.get() - self.1 + bytes);
        self.1 = bytes;
    }
}

impl Drop for Bytes {
    fn drop(&mut self) {
        self.grow_to(0);
    }
}

/// A client waiting for its answer. Each way to answer takes it, so that it gets one.
struct Exchange {
    edge: Rc<Edge>,
    wire: Wire,
    dialect: Dialect,
    keep: bool,
    id: String,
    model: String,
    /// Where the connection goes once the answer is whole.
    back: Rc<RefCell<Option<Wire>>>,
    from: Instant,
}

impl Exchange {
    async fn reply(mut self, reply: Reply) {
        let keep = self.keep && !self.edge.closing.is_closed();
        let bytes = reply.bytes(keep);
        let written = within(self.edge.limits.edge_write, self.wire.write(&bytes)).await;
        if matches!(written, Ok(Ok(()))) && keep {
            *self.back.borrow_mut() = Some(self.wire);
        }
    }
}

/// Ready once the client has left. A request that comes early waits in the buffer, up to its bound.
fn poll_gone(wire: &mut Wire, cx: &mut Context<'_>, limits: &Limits) -> Poll<Leaving> {
    while wire.buf.len() < limits.head_bytes {
        match ready!(wire.poll_fill(cx, limits)) {
            Ok(0) => return Poll::Ready(Leaving::Ended),
            Err(_) => return Poll::Ready(Leaving::Reset),
            Ok(_) => {}
        }
    }
    Poll::Pending
}

impl engine::Client<Batch> for Exchange {
    type Answer = Answering;

    async fn gone(&mut self) {
        future::poll_fn(|cx| poll_gone(&mut self.wire, cx, &self.edge.limits)).await;
        log::debug!(id = self.id, after:? = self.from.elapsed(); "client-gone: before its answer");
    }

    async fn turn_down(self, wait: Duration) {
        log::debug!(id = self.id, after:? = self.from.elapsed(), wait:? = wait; "turn-down: by the module");
        let reply = self.dialect.turn_down(wait);
        self.reply(reply).await;
    }

    async fn reject(self, status: u16, what: &'static str) {
        log::info!(id = self.id, status = status; "rejected: {what}");
        let reply = self.dialect.bad(Bad { status, what });
        self.reply(reply).await;
    }

    async fn fail(self) {
        log::debug!(id = self.id, after:? = self.from.elapsed(); "failed: by the module");
        let reply = self.dialect.failed();
        self.reply(reply).await;
    }

    fn begin(self) -> Answering {
        let passing = Passing::new(self.dialect, &self.id, &self.model, self.edge.noted.clone());
        Answering { exchange: self, passing, line: Vec::new(), written: 0, headed: false }
    }
}

/// A client that is being passed a stream.
struct Answering {
    exchange: Exchange,
    passing: Passing,
    /// What is in line for the client, of which so much is written.
    line: Vec<u8>,
    written: usize,
    headed: bool,
}

impl Answering {
    /// Puts bytes in line by way of `add`, as a chunk; returns how many the line has become longer by.
    fn add(&mut self, add: impl FnOnce(&mut Passing, &mut Vec<u8>)) -> usize {
        if self.written > 0 {
            self.line.drain(..std::mem::take(&mut self.written));
        }
        let had = self.line.len();
        if !std::mem::replace(&mut self.headed, true) {
            self.line.extend_from_slice(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
                Transfer-Encoding: chunked\r\n",
            );
            let rest: &[u8] = if self.exchange.keep { b"\r\n" } else { b"Connection: close\r\n\r\n" };
            self.line.extend_from_slice(rest);
        }
        // The size's digits are written once it is known: leading zeros are allowed.
        let size_at = self.line.len();
        self.line.extend_from_slice(b"00000000\r\n");
        let from = self.line.len();
        add(&mut self.passing, &mut self.line);
        match self.line.len() - from {
            0 => self.line.truncate(size_at),
            size => {
                let digits = format!("{size:08x}");
                self.line[size_at..size_at + 8].copy_from_slice(digits.as_bytes());
                self.line.extend_from_slice(b"\r\n");
            }
        }
        self.line.len() - had
    }

    fn taken(&mut self, bytes: usize) {
        self.written += bytes;
        if self.written == self.line.len() {
            self.written = 0;
            self.line.clear();
            // What a burst needed is not kept while the stream rests.
            self.line.shrink_to(self.exchange.edge.limits.read_bytes);
        }
    }
}

impl engine::Answer<Batch> for Answering {
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<Leaving> {
        poll_gone(&mut self.exchange.wire, cx, &self.exchange.edge.limits)
    }

    fn put(&mut self, batch: Batch) -> usize {
        // No more room than the events need: the line of a paused reader is kept for long. What frames them is
        // shorter than a head.
        self.line.reserve_exact(batch.bytes.len() + 256);
        self.add(|passing, line| passing.events(batch.dialect, &batch.bytes, line))
    }

    /// A stream that is not whole gets no last chunk: that alone tells a client so.
    fn put_end(&mut self, cause: Cause) -> usize {
        if cause == Cause::Whole {
            let head = self.add(|_, _| {});
            self.line.extend_from_slice(http::LAST_CHUNK);
            return head + http::LAST_CHUNK.len();
        }
        self.add(|passing, line| line.extend_from_slice(&passing.broken(cause)))
    }

    fn poll_take(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize, Leaving>> {
        let taken = ready!(self.exchange.wire.poll_write(cx, &self.line[self.written..]));
        Poll::Ready(match taken {
            Ok(count) => {
                self.taken(count);
                Ok(count)
            }
            Err(_) => Err(Leaving::Reset),
        })
    }

    fn finish(self) {
        if self.exchange.keep && !self.exchange.edge.closing.is_closed() {
            *self.exchange.back.borrow_mut() = Some(self.exchange.wire);
        }
    }

    fn break_off(self) {
        self.exchange.wire.write_now(&self.line[self.written..]);
    }
}
