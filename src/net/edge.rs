//! Edge connections: the listeners, and the clients' side of each request.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use jetway::WireLimits;

use super::followers::Followers;
use super::handover_message::StreamSnapshot;
use super::http::{self, Bad, Body, Head};
use super::lifecycle_monitor::LifecycleMonitor;
use super::servers::{Batch, Dispatch, Fleet, Running};
use super::slot_pool::{Slot, SlotPool};
use super::{Wire, within};
use crate::admission::connection_slots::{ConnectionState, SlotTimeouts};
use crate::admission::pipelined::{Bounds, Disposition, PipelinedInput};
use crate::admission::quota::Grant;
use crate::engine::{self, BegunStream, Engine, FailureReason};
use crate::front::{Call, Dialect, ForwardedRequest, FrontContext, Reply, Responder, ResponseEncoder};
use crate::limits::Limits;
use crate::process::overlap::{Overlap, Places, Report};
use crate::stream::{Cause, Leaving};
use crate::types::ReplicaId;

/// What all edge connections share.
pub struct Edge {
    engine: Engine,
    fleet: Rc<Fleet>,
    context: Rc<FrontContext>,
    limits: Rc<Limits>,
    /// A connection's limits, with the bounds of the messages front's bodies.
    messages_wire: WireLimits,
    lifecycle: Rc<LifecycleMonitor>,
    /// Where streams that outlast this process go, if they may.
    followers: Rc<Followers>,
    slots: Rc<SlotPool>,
    held_bytes: Cell<usize>,
    /// Listeners that are open.
    listeners: Cell<usize>,
}

/// What becomes of a connection once it has been answered.
enum After {
    /// It may carry another request.
    Rests(Wire),
    /// That was its last answer, which may still be on its way.
    Ends(Wire),
}

impl Edge {
    /// Without connections yet.
    pub fn new(
        engine: Engine,
        fleet: Rc<Fleet>,
        context: Rc<FrontContext>,
        limits: Rc<Limits>,
        lifecycle: Rc<LifecycleMonitor>,
        followers: Rc<Followers>,
    ) -> Edge {
        let timeouts = SlotTimeouts {
            silent: limits.edge_mute,
            receiving: limits.edge_slow,
            idle: limits.edge_rested,
            closing: limits.closing,
        };
        let slots = Rc::new(SlotPool::new(engine.clone(), timeouts));
        let body_bytes = limits.messages.body_bytes;
        let messages_wire = WireLimits { body_bytes, ..limits.wire.clone() };
        Edge {
            engine,
            fleet,
            context,
            limits,
            messages_wire,
            lifecycle,
            followers,
            slots,
            held_bytes: Cell::new(0),
            listeners: Cell::new(0),
        }
    }

    /// Takes connections for as long as the lifecycle has them accepted, then returns with the listener closed.
    pub async fn listen(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        listener: Async<TcpListener>,
        dialect: Dialect,
    ) {
        self.listeners.set(self.listeners.get() + 1);
        let take = |(stream, from)| {
            let (wire, slot) = (Wire::new(stream), self.slots.acquire());
            ex.spawn(self.clone().connection(wire, from, dialect, slot)).detach();
        };
        while self.lifecycle.accepting().await {
            let next = async {
                // Guards against a crowd that connects and says nothing, or asks once and stays, while others
                // wait to be accepted.
                if self.open() >= self.places() {
                    return self.slots.evict_and_wait(self.limits.edge_look).await;
                }
                match listener.accept().await {
                    Ok(taken) => take(taken),
                    Err(e) => {
                        // Guards against dying, or spinning, when no descriptor is free.
                        log::warn!("accept-failed: {e}");
                        // None is free in this process, says Linux. Guards against accepting, and failing, on and on,
                        // while discovery, real servers and operators find none either.
                        if e.raw_os_error() == Some(24) {
                            self.run_out();
                        }
                        Timer::after(self.limits.accept_pause).await;
                    }
                }
            };
            future::or(next, self.lifecycle.closed()).await;
        }
        // Guards against a reset of what the system has accepted by now: it is told that this process takes no more.
        while self.lifecycle.empties_queue()
            && self.open() < self.places()
            && let Some(Ok(taken)) = future::poll_once(listener.accept()).await
        {
            take(taken);
        }
        self.listeners.set(self.listeners.get() - 1);
    }

    /// Stops: requests are still taken for the grace, on the connections that clients have too, since another
    /// gateway may not be there to take them; then listeners and idle edge connections close, and
    /// what is held gets its answer.
    pub async fn stop(&self) {
        self.lifecycle.stop();
        self.engine.stop_streams(self.limits.stream.stop);
        while !self.lifecycle.over(self.open()) || self.listeners.get() > 0 {
            // Looks again by itself: the listeners wait for the same word, and only one of all hears it.
            let word = future::or(self.slots.freed(), self.lifecycle.changed());
            let _ = within(self.limits.edge_look, word).await;
        }
    }

    /// Takes fewer connections from now on, since there are fewer descriptors than the configuration says.
    fn run_out(&self) {
        let overlap = &self.fleet.overlap;
        if overlap.ran_out(self.report().holds, self.limits.own_descriptors) {
            let Places { edge, servers } = overlap.places();
            log::warn!(edge = edge, servers = servers; "descriptors-short: raise this process's limit to what limits.sockets says; until then it holds fewer connections");
        }
    }

    /// Places of this process.
    fn places(&self) -> usize {
        self.fleet.overlap.places().edge
    }

    /// What this process holds, for the one that follows.
    pub fn report(&self) -> Report {
        let holds = Places { edge: self.open(), servers: self.fleet.open() };
        Report { holds, stopping: self.lifecycle.is_stopping() }
    }

    /// Notes what has become of another process, and what of the memory is this one's since then.
    pub fn overlap(&self, change: impl FnOnce(&Overlap)) {
        let overlap = &self.fleet.overlap;
        change(overlap);
        self.engine.budget_streams(overlap.part(self.limits.stream.budget));
    }

    /// Edge connections that are open.
    pub fn open(&self) -> usize {
        self.slots.in_use()
    }

    async fn connection(
        self: Rc<Self>,
        mut wire: Wire,
        from: SocketAddr,
        dialect: Dialect,
        mut slot: Slot,
    ) {
        loop {
            match self.clone().exchange(wire, dialect, from, &mut slot).await {
                Some(After::Rests(next)) => wire = next,
                Some(After::Ends(wire)) => return self.close(wire, slot).await,
                None => return,
            }
            // What a large request needed is not kept while the connection rests.
            wire.buf.shrink_to(self.limits.wire.read_bytes);
            slot.set_state(ConnectionState::Idle);
        }
    }

    /// Ends a connection that was answered. Guards against a reset that overtakes the answer: what still comes is
    /// read and dropped for a while, unless the slot is needed sooner.
    async fn close(&self, mut wire: Wire, mut slot: Slot) {
        slot.set_state(ConnectionState::Closing);
        let longest = match self.lifecycle.is_stopping() {
            true => self.limits.wire.linger_quiet,
            false => self.limits.linger,
        };
        let left = async {
            slot.evicted().await;
            Ok(())
        };
        let _ = future::or(wire.linger(longest, &self.limits.wire), left).await;
    }

    /// One request and its answer; the connection comes back unless there is nothing more to be done for it.
    async fn exchange(
        self: Rc<Self>,
        mut wire: Wire,
        dialect: Dialect,
        from: SocketAddr,
        slot: &mut Slot,
    ) -> Option<After> {
        let is_new = slot.silent_since().is_some();
        let (mut head, body, _bytes) = match self.request(&mut wire, dialect, slot).await {
            Ok(Some(request)) => request,
            // On one that has carried nothing no answer can be on its way.
            Ok(None) if is_new => return None,
            Ok(None) => return Some(After::Ends(wire)),
            Err(bad) => {
                let id = request_id(self.engine.fresh_id());
                log::info!(id = id, client:% = from, status = bad.status; "bad-request: {}", bad.what);
                let bytes = Responder::new(dialect, &id).malformed(bad).bytes(false);
                let written = within(self.limits.edge_write, wire.write(&bytes)).await;
                return matches!(written, Ok(Ok(()))).then_some(After::Ends(wire));
            }
        };
        slot.set_state(ConnectionState::Serving);
        let crowded = self.slots.is_crowded(self.places());
        let keep = head.keeps_alive(&head.start[2]) && !crowded && self.lifecycle.keeps_connections();
        let id = self.name(dialect, &mut head);
        let now = self.engine.now();
        let call = self.context.call(now, dialect, &head, &body, &id, self.fleet.dialects());
        let reply = match call {
            Call::Serve(mut accepted) => {
                let back = Rc::new(RefCell::new(None));
                let headers = std::mem::take(&mut accepted.headers);
                let responder = Responder { dialect, id, safe: accepted.safe, headers };
                let grant = accepted.grant.take();
                let placed = self.lifecycle.takes_requests();
                let charge = Charge {
                    edge: self.clone(),
                    grant,
                    prompt: accepted.prompt,
                    answer: 0,
                    events: 0,
                    ran: placed,
                };
                let forwarded =
                    Rc::new(ForwardedRequest::ordered(&self.context, dialect, head, body, &mut accepted));
                let client = Exchange {
                    pipelined: self.pipelined(dialect, &wire),
                    edge: self.clone(),
                    wire,
                    responder,
                    keep,
                    model: accepted.model,
                    whole: accepted.whole,
                    back: back.clone(),
                    from: Instant::now(),
                    charge,
                };
                if !placed {
                    engine::Client::turn_down(client, Duration::ZERO).await;
                    return back.take();
                }
                let servers = Dispatch { fleet: self.fleet.clone(), forwarded };
                engine::serve(&self.engine, &accepted.ask, &servers, client, &*self).await;
                return back.take();
            }
            Call::Health if self.lifecycle.wants_clients() => {
                Responder::new(dialect, &id).note(200, "ready")
            }
            Call::Health => Responder::new(dialect, &id).note(503, "not ready"),
            Call::Reply(reply) => {
                log::debug!(id = id, client:% = from, status = reply.status; "answered: by the front alone");
                reply
            }
        };
        let bytes = reply.bytes(keep);
        match within(self.limits.edge_write, wire.write(&bytes)).await {
            Ok(Ok(())) if keep => Some(After::Rests(wire)),
            Ok(Ok(())) => Some(After::Ends(wire)),
            _ => None,
        }
    }

    /// A request's id as its client is told it, and as real servers are: of the messages front every request gets
    /// one, and an id of another form is known by its hash, so that its second use is noticed here too.
    fn name(&self, dialect: Dialect, head: &mut Head) -> String {
        let given = head.get("x-request-id").map(crate::front::platform::key);
        if dialect == Dialect::Platform {
            return head.get("x-request-id").unwrap_or_default().to_owned();
        }
        let number = given.unwrap_or_else(|| self.engine.fresh_id());
        // Two of them are left for the front to refuse.
        if head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("x-request-id")).count() > 1 {
            return request_id(number);
        }
        head.headers.retain(|(name, _)| !name.eq_ignore_ascii_case("x-request-id"));
        head.headers.push(("X-Request-Id".into(), format!("{number:016x}")));
        request_id(number)
    }

    /// How what comes behind a request on this connection is taken.
    fn pipelined(self: &Rc<Self>, dialect: Dialect, wire: &Wire) -> (PipelinedInput, Bytes) {
        let wire_limits = self.wire_limits(dialect);
        let whole = wire_limits.head_bytes + wire_limits.body_bytes;
        let bounds = Bounds { least: wire_limits.head_bytes, most: whole, flood: self.limits.flood_bytes };
        (PipelinedInput::new(bounds, wire.cut), Bytes(self.clone(), 0))
    }

    /// A connection's limits, with the bounds of that front's bodies.
    fn wire_limits(&self, dialect: Dialect) -> &WireLimits {
        match dialect {
            Dialect::Platform => &self.limits.wire,
            Dialect::Messages => &self.messages_wire,
        }
    }

    /// Reads the next request whole. `None`: the connection ended, was idle for too long, or shall close.
    async fn request(
        self: &Rc<Self>,
        wire: &mut Wire,
        dialect: Dialect,
        slot: &mut Slot,
    ) -> Result<Option<(Head, Vec<u8>, Bytes)>, Bad> {
        let (limits, wire_limits) = (&self.limits, self.wire_limits(dialect));
        let silent_since = slot.silent_since();
        if wire.buf.is_empty() {
            if wire.cut {
                return Ok(None);
            }
            let closing = async {
                future::or(self.lifecycle.rest_over(silent_since), slot.evicted()).await;
                Ok(0)
            };
            // Guards against a crowd that holds slots and says nothing at all.
            let patience = if silent_since.is_some() { limits.edge_read } else { limits.edge_idle };
            let idle = async { within(patience, wire.fill(wire_limits)).await.unwrap_or(Ok(0)) };
            // What has come is read before the close is heeded, also if nobody has said so here yet: a request that
            // crosses a close costs its client another connection.
            if !future::or(idle, closing).await.is_ok_and(|n| n > 0) && wire.is_quiet() {
                return Ok(None);
            }
        }
        // The first request's time began with the connection: one that trickles in has no more than a silent one.
        let spent = silent_since.map_or(0, |since| self.engine.now().saturating_sub(since));
        slot.set_state(ConnectionState::Receiving);
        let whole = async {
            let head = loop {
                if let Some(head) = http::request_head(&mut wire.buf, wire_limits)? {
                    break head;
                }
                if !wire.more(wire_limits).await {
                    return Ok(None);
                }
                slot.progress();
            };
            let mut framing = head.request_body(wire_limits)?;
            if head.lists("expect", "100-continue") && framing != Body::Length(0) && wire.buf.is_empty() {
                let _ = wire.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            }
            let mut body = Vec::new();
            let mut bytes = Bytes(self.clone(), 0);
            if let Body::Length(length) = framing {
                body.reserve_exact(length);
            }
            loop {
                let whole = framing.take(&mut wire.buf, &mut body, wire_limits)?;
                if body.len() > wire_limits.body_bytes {
                    return Err(Bad { status: 413, what: "the body is too large" });
                }
                bytes.grow_to(body.len());
                if whole {
                    return Ok(Some((head, body, bytes)));
                }
                // Guards against running out of memory: what does not fit waits in its socket.
                while self.held_bytes.get() > self.fleet.overlap.part(limits.held_bytes) {
                    Timer::after(limits.accept_pause).await;
                }
                if !wire.more(wire_limits).await {
                    return Ok(None);
                }
                slot.progress();
            }
        };
        let late = || Err(Bad { status: 408, what: "the request took too long to arrive" });
        let left = async {
            slot.evicted().await;
            Ok(late())
        };
        let patience = limits.edge_read.saturating_sub(Duration::from_nanos(spent));
        future::or(within(patience, whole), left).await.unwrap_or_else(|_| late())
    }
}

impl Edge {
    /// Goes on with a stream that another process of this gateway began.
    pub fn adopt(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        mut snapshot: StreamSnapshot,
        [client, server]: [OwnedFd; 2],
    ) -> io::Result<()> {
        let [line, buf, ..] = &mut snapshot.waiting;
        let (line, wire) = (std::mem::take(line), Wire::handed(client, std::mem::take(buf))?);
        let from = wire.peer()?;
        let steps = Running::unpack(self.fleet.clone(), &mut snapshot, server)?;
        let (responder, waiting) = (Responder::new(Dialect::Platform, &snapshot.name), line.len());
        let encoder =
            ResponseEncoder::resumed(responder.clone(), self.context.omissions.clone(), &self.limits);
        let back = Rc::new(RefCell::new(None));
        let exchange = Exchange {
            pipelined: self.pipelined(Dialect::Platform, &wire),
            edge: self.clone(),
            wire,
            responder,
            keep: snapshot.keep_client,
            model: String::new(),
            whole: false,
            back: back.clone(),
            from: Instant::now(),
            charge: Charge { edge: self.clone(), grant: None, prompt: 0, answer: 0, events: 0, ran: true },
        };
        let answer = Answering { exchange, encoder, line, written: 0 };
        let begun = BegunStream {
            id: snapshot.id,
            class: snapshot.class,
            tenant: snapshot.tenant,
            server: ReplicaId::from(snapshot.server.as_str()),
            first: snapshot.first,
        };
        let mut slot = self.slots.acquire();
        slot.set_state(ConnectionState::Serving);
        ex.spawn(async move {
            engine::carry_on(&self.engine, &begun, (steps, answer, waiting), &*self).await;
            match back.take() {
                Some(After::Rests(wire)) => {
                    slot.set_state(ConnectionState::Idle);
                    self.connection(wire, from, Dialect::Platform, slot).await;
                }
                Some(After::Ends(wire)) => self.close(wire, slot).await,
                None => {}
            }
        })
        .detach();
        Ok(())
    }
}

impl engine::StreamSuccessor<Running, Answering> for Edge {
    fn take(&self, begun: &BegunStream, steps: &mut Running, answer: &mut Answering) -> bool {
        if !self.followers.has_follower() {
            return false;
        }
        let mut snapshot = StreamSnapshot {
            id: begun.id,
            class: begun.class,
            tenant: begun.tenant,
            first: begun.first,
            ..StreamSnapshot::default()
        };
        let sent = match (answer.pack(&mut snapshot), steps.pack(&mut snapshot)) {
            (Some(client), Some(server)) => self.followers.send(&snapshot, [client, server]),
            _ => Err(io::Error::other("of a kind that stays")),
        };
        match &sent {
            Ok(()) => steps.given_away(),
            Err(e) => log::debug!(id = format!("{:016x}", begun.id); "not-handed-over: {e}"),
        }
        sent.is_ok()
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

/// A request's id as clients of the messages front are told it; its digits are those in the log.
fn request_id(number: u64) -> String {
    format!("req_{number:016x}")
}

/// What a request is charged with by its tenant's limits, once it is over.
struct Charge {
    edge: Rc<Edge>,
    grant: Option<Grant>,
    /// Tokens of the prompt that were read.
    prompt: u64,
    /// Tokens of the answer, as far as they were told.
    answer: u64,
    /// Events of the answer: until it has ended whole, each stands for a token.
    events: u64,
    /// Some real server may have run it.
    ran: bool,
}

impl Charge {
    fn passed(&mut self, batch: &Batch) {
        self.events += batch.events;
        if let Some(usage) = batch.usage {
            (self.prompt, self.answer) = (usage.unkept(), usage.answer);
        }
    }

    /// The answer is whole, and what was told of it holds.
    fn whole(&mut self) {
        if self.answer > 0 {
            self.events = 0;
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let needed = self.ran.then_some((self.prompt, self.answer.max(self.events)));
            self.edge.context.messages.settle(self.edge.engine.now(), grant, needed);
        }
    }
}

/// A client waiting for its answer. Each way to answer takes it, so that it gets one.
struct Exchange {
    edge: Rc<Edge>,
    wire: Wire,
    /// What comes behind its request, and the bytes of it that are counted.
    pipelined: (PipelinedInput, Bytes),
    responder: Responder,
    keep: bool,
    model: String,
    whole: bool,
    /// Where the connection goes once it has been answered.
    back: Rc<RefCell<Option<After>>>,
    from: Instant,
    charge: Charge,
}

impl Exchange {
    async fn reply(mut self, reply: Reply) {
        let keep = self.keep && self.edge.lifecycle.keeps_connections();
        let bytes = reply.bytes(keep);
        let written = within(self.edge.limits.edge_write, self.wire.write(&bytes)).await;
        if matches!(written, Ok(Ok(()))) {
            self.give_back(keep);
        }
    }

    fn give_back(self, keep: bool) {
        *self.back.borrow_mut() = Some(if keep { After::Rests(self.wire) } else { After::Ends(self.wire) });
    }
}

impl Exchange {
    /// Ready once the client has left. What comes behind its request is read to its end, since the client's own end
    /// comes behind that; it waits in the buffer, up to its bound. A half-close counts as leaving: until something is
    /// written, nobody can tell it from a close.
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<Leaving> {
        let Exchange { edge, wire, pipelined: (pipelined, counted), .. } = self;
        loop {
            let had = wire.buf.len();
            let came = match ready!(wire.poll_fill(cx, &edge.limits.wire)) {
                Ok(0) => return Poll::Ready(Leaving::Ended),
                Err(_) => return Poll::Ready(Leaving::Reset),
                Ok(count) => count,
            };
            // Guards against crowding out requests that are on their way in: half of their memory stays theirs.
            let has_memory =
                edge.held_bytes.get() + came <= edge.fleet.overlap.part(edge.limits.held_bytes) / 2;
            match pipelined.received(had, came, has_memory) {
                Disposition::Keep => counted.grow_to(wire.buf.len()),
                Disposition::Drop => wire.buf.truncate(had),
                Disposition::Flood => return Poll::Ready(Leaving::Reset),
            }
            wire.cut = pipelined.is_truncated();
            // Its end may have come with these bytes.
            wire.look_anew();
        }
    }
}

impl engine::Client<Batch> for Exchange {
    type Answer = Answering;

    async fn gone(&mut self) {
        future::poll_fn(|cx| self.poll_gone(cx)).await;
    }

    async fn has_left(&mut self) -> bool {
        self.wire.look_anew();
        future::poll_once(self.gone()).await.is_some()
    }

    async fn left(mut self) {
        if !self.pipelined.0.is_flood() {
            log::debug!(id = self.responder.id, after:? = self.from.elapsed(); "client-gone: before its answer");
            return;
        }
        let what = "more was sent behind this request than is read";
        log::info!(id = self.responder.id, after:? = self.from.elapsed(); "flooded: {what}");
        self.keep = false;
        let reply = self.responder.malformed(Bad { status: 413, what });
        self.reply(reply).await;
    }

    async fn turn_down(mut self, wait: Duration) {
        log::debug!(id = self.responder.id, after:? = self.from.elapsed(), wait:? = wait; "turn-down: by the module, or for want of time");
        self.charge.ran = false;
        let reply = self.responder.turn_down(wait);
        self.reply(reply).await;
    }

    async fn reject(mut self, status: u16, what: &str) {
        log::info!(id = self.responder.id, status = status; "rejected: {what}");
        self.charge.ran = false;
        let reply = self.responder.bad(status, what);
        self.reply(reply).await;
    }

    async fn fail(mut self, why: FailureReason) {
        log::debug!(id = self.responder.id, after:? = self.from.elapsed(), why:? = why; "failed: by the module");
        if why == FailureReason::TurnedAway {
            self.charge.ran = false;
        }
        let reply = self.responder.failed(why);
        self.reply(reply).await;
    }

    fn begin(self) -> Answering {
        let context = &self.edge.context;
        let encoder = ResponseEncoder::new(
            self.responder.clone(),
            &self.model,
            self.whole,
            context.omissions.clone(),
            &self.edge.limits,
        );
        Answering { exchange: self, encoder, line: Vec::new(), written: 0 }
    }
}

/// A client that is being answered.
struct Answering {
    exchange: Exchange,
    encoder: ResponseEncoder,
    /// What is in line for the client, of which so much is written.
    line: Vec<u8>,
    written: usize,
}

impl Answering {
    /// Puts bytes in line by way of `add`; returns how many the line has become longer by.
    fn add(&mut self, add: impl FnOnce(&mut ResponseEncoder, &mut Vec<u8>)) -> usize {
        if self.written > 0 {
            self.line.drain(..std::mem::take(&mut self.written));
        }
        let had = self.line.len();
        add(&mut self.encoder, &mut self.line);
        self.line.len() - had
    }

    /// Adds where its client stands, and returns its connection; none if more is held of it than bytes.
    fn pack(&self, snapshot: &mut StreamSnapshot) -> Option<BorrowedFd<'_>> {
        if !self.encoder.is_plain() || self.exchange.charge.grant.is_some() {
            return None;
        }
        snapshot.name.clone_from(&self.exchange.responder.id);
        snapshot.waiting[0] = self.line[self.written..].to_vec();
        // Guards against a snapshot that grows with what came behind the request. Its connection ends with the
        // stream: that crosses requests which nobody has looked at.
        let Exchange { wire, edge, keep, .. } = &self.exchange;
        let slight = !wire.cut && wire.buf.len() <= edge.limits.wire.head_bytes;
        snapshot.keep_client = *keep && slight;
        if slight {
            snapshot.waiting[1].clone_from(&wire.buf);
        }
        Some(self.exchange.wire.fd())
    }

    fn taken(&mut self, bytes: usize) {
        self.written += bytes;
        if self.written == self.line.len() {
            self.written = 0;
            self.line.clear();
            // What a burst needed is not kept while the stream rests.
            self.line.shrink_to(self.exchange.edge.limits.wire.read_bytes);
        }
    }
}

impl engine::Answer<Batch> for Answering {
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<Leaving> {
        self.exchange.poll_gone(cx)
    }

    fn gathers(&self) -> bool {
        self.encoder.is_whole()
    }

    fn holds(&self) -> usize {
        self.encoder.holds()
    }

    fn is_full(&self) -> bool {
        self.encoder.is_full()
    }

    fn put(&mut self, batch: Batch) -> usize {
        self.exchange.charge.passed(&batch);
        if !self.encoder.is_whole() {
            // No more room than the events need: the line of a paused reader is kept for long. What frames them is
            // shorter than a head.
            self.line.reserve_exact(batch.bytes.len() + 256);
        }
        let keep = self.exchange.keep;
        self.add(|encoder, line| encoder.events(batch.dialect, &batch.bytes, keep, line))
    }

    fn put_end(&mut self, cause: Cause) -> usize {
        if cause == Cause::Whole {
            self.exchange.charge.whole();
        }
        let keep = self.exchange.keep;
        self.add(|encoder, line| encoder.end(cause, keep, line))
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
        // One that was told that it stays closes by the lifecycle, like others at rest.
        let keep = self.exchange.keep;
        self.exchange.give_back(keep);
    }

    fn break_off(self) {
        self.exchange.wire.write_now(&self.line[self.written..]);
        self.exchange.give_back(false);
    }
}
