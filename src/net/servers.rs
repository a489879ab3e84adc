//! Real servers: where they are, the pool of connections to each, and schedulings on these.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{Stream, stream};

use super::http::{self, Body, Head, SseBlock};
use super::{Wire, within};
use crate::config::{ServiceEntry, State};
use crate::engine::{Ending, Servers, Step};
use crate::front::{Dialect, Passage};
use crate::limits::Limits;
use crate::types::{ReplicaId, Verdict};

/// A real server as the list has it.
struct Place {
    addr: Option<SocketAddr>,
    ready: bool,
    dialect: Dialect,
    started: f64,
    idle: Vec<(Wire, Instant, Slot)>,
}

/// Reads a load report, in the order of the settings.
pub type Gauges = Box<dyn Fn(&str) -> Vec<f64>>;

/// All real servers that the list names, with the connections to them.
pub struct Fleet {
    places: RefCell<BTreeMap<ReplicaId, Place>>,
    open: Rc<Cell<usize>>,
    limits: Rc<Limits>,
    gauges: Gauges,
}

/// A connection's place in the count of open ones.
struct Slot(Rc<Cell<usize>>);

impl Slot {
    fn new(open: &Rc<Cell<usize>>) -> Slot {
        open.set(open.get() + 1);
        Slot(open.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection in use.
struct Line {
    wire: Wire,
    slot: Slot,
}

impl Fleet {
    /// An empty fleet; `gauges` reads a load report.
    pub fn new(limits: Rc<Limits>, gauges: Gauges) -> Fleet {
        Fleet { places: RefCell::default(), open: Rc::default(), limits, gauges }
    }

    /// Brings the places in step with a service entry. Returns those that are gone by what it says: itself, or
    /// another whose address it has.
    pub fn learn(&self, entry: &ServiceEntry, dialect: Dialect) -> Vec<ReplicaId> {
        let mut places = self.places.borrow_mut();
        let id = ReplicaId::from(entry.id.as_str());
        let addr = entry.addr.parse().ok();
        // Guards against the old id of an address under which a new real server runs: what is sent to the one
        // would reach the other, cold and unknown as that is. The later start is right.
        let rivals = places.iter().filter(|(other, p)| **other != id && p.addr == addr && addr.is_some());
        let rivals: Vec<_> = rivals.map(|(other, p)| (other.clone(), p.started)).collect();
        if entry.state == State::Gone || rivals.iter().any(|(_, started)| *started > entry.started_ms) {
            places.remove(&id);
            return vec![id];
        }
        let older = rivals.into_iter().filter(|(_, started)| *started < entry.started_ms);
        let displaced: Vec<ReplicaId> = older.map(|(other, _)| other).collect();
        displaced.iter().for_each(|other| drop(places.remove(other)));
        let place = places.entry(id).or_insert_with(|| Place {
            addr,
            ready: false,
            dialect,
            started: entry.started_ms,
            idle: Vec::new(),
        });
        if place.addr != addr || place.started != entry.started_ms {
            // These lead to a process that is no more.
            place.idle.clear();
        }
        (place.addr, place.dialect, place.started) = (addr, dialect, entry.started_ms);
        place.ready = entry.state == State::Ready;
        displaced
    }

    /// Forgets all places but these.
    pub fn keep_only(&self, ids: &[ReplicaId]) {
        self.places.borrow_mut().retain(|id, _| ids.contains(id));
    }

    /// Whether any real server takes requests.
    pub fn any_ready(&self) -> bool {
        self.places.borrow().values().any(|p| p.ready)
    }

    /// Closes connections that were idle for long or that the other side has closed, for ever.
    pub async fn sweep(&self) {
        loop {
            Timer::after(self.limits.pool_sweep).await;
            for place in self.places.borrow_mut().values_mut() {
                place
                    .idle
                    .retain(|(wire, since, _)| since.elapsed() < self.limits.pool_idle && wire.is_quiet());
            }
        }
    }

    /// An idle connection that is still good, the one used last first: the others may then grow old.
    fn idle(&self, server: &ReplicaId) -> Option<Line> {
        let mut places = self.places.borrow_mut();
        let idle = &mut places.get_mut(server)?.idle;
        while let Some((wire, since, slot)) = idle.pop() {
            // Guards against a request written into a connection that has ended or is about to.
            if since.elapsed() < self.limits.pool_idle && wire.is_quiet() {
                return Some(Line { wire, slot });
            }
        }
        None
    }

    fn give_back(&self, server: &ReplicaId, addr: SocketAddr, line: Line) {
        let mut places = self.places.borrow_mut();
        if let Some(place) = places.get_mut(server).filter(|p| p.addr == Some(addr))
            && line.wire.is_quiet()
        {
            place.idle.push((line.wire, Instant::now(), line.slot));
        }
    }

    async fn connect(&self, addr: SocketAddr) -> io::Result<Line> {
        if self.open.get() >= self.limits.server_connections {
            // Guards against running out of descriptors: the connection that has been idle longest goes.
            let mut places = self.places.borrow_mut();
            let oldest = places.values_mut().filter(|p| !p.idle.is_empty()).min_by_key(|p| p.idle[0].1);
            match oldest {
                Some(place) => drop(place.idle.remove(0)),
                None => return Err(io::ErrorKind::QuotaExceeded.into()),
            }
        }
        let slot = Slot::new(&self.open);
        Ok(Line { wire: Wire::connect(addr, &self.limits).await?, slot })
    }

    fn place(&self, server: &ReplicaId) -> Option<(SocketAddr, Dialect)> {
        let places = self.places.borrow();
        let place = places.get(server).filter(|p| p.ready)?;
        Some((place.addr?, place.dialect))
    }

    /// Probes a real server: its verdict and load.
    pub async fn probe(&self, server: &ReplicaId) -> Ending {
        let Some((addr, _)) = self.place(server) else { return Verdict::NoConnection.into() };
        let ask = async {
            let line = match self.idle(server) {
                Some(line) => Ok(line),
                None => self.connect(addr).await,
            };
            let Ok(mut line) = line else { return Verdict::NoConnection.into() };
            let request = format!("GET /_load HTTP/1.1\r\nHost: {addr}\r\n\r\n");
            let Ok(()) = line.wire.write(request.as_bytes()).await else {
                return Verdict::NoConnection.into();
            };
            let Ok(head) = read_head(&mut line.wire, &self.limits).await else {
                return Verdict::Reset.into();
            };
            let mut body = head.response_body(&self.limits).unwrap_or(Body::UntilClose);
            let mut text = Vec::new();
            while text.len() < self.limits.event_bytes {
                match body.take(&mut line.wire.buf, &mut text, &self.limits) {
                    Ok(true) if head.status() == 200 => {
                        self.give_back(server, addr, line);
                        let report = (self.gauges)(&String::from_utf8_lossy(&text));
                        return Ending { verdict: Verdict::Ok, kept: None, report };
                    }
                    Ok(false) if line.wire.fill(&self.limits).await.is_ok_and(|n| n > 0) => {}
                    _ => break,
                }
            }
            Ending { verdict: Verdict::Error, kept: None, report: self.load(&head) }
        };
        within(self.limits.discovery_answer, ask).await.unwrap_or_else(|_| Verdict::TimedOut.into())
    }

    fn load(&self, head: &Head) -> Vec<f64> {
        head.get("x-load").map_or(Vec::new(), |text| (self.gauges)(text))
    }

    /// One scheduling up to its first event, or to its end if it has none.
    async fn begin(
        &self,
        server: &ReplicaId,
        passage: &Passage,
        timeout: Duration,
    ) -> Result<Open, Refusal> {
        let from = Instant::now();
        let Some((addr, dialect)) = self.place(server) else { return Err(Verdict::Moot.into()) };
        let Some(bytes) = passage.bytes(dialect, timeout) else {
            log::warn!(server = &*server.0; "not-translatable: the request has no form in its dialect");
            return Err(Verdict::Moot.into());
        };
        let line = match self.idle(server) {
            Some(line) => Ok(line),
            None => self.connect(addr).await,
        };
        let mut line = line.map_err(|e| {
            log::debug!(server = &*server.0, after:? = from.elapsed(); "no-connection: {e}");
            // Guards against blaming a real server, and its zone, for a want of descriptors here.
            match e.raw_os_error() {
                _ if e.kind() == io::ErrorKind::QuotaExceeded => Verdict::Moot,
                // No descriptor is free in the system or in this process, says Linux.
                Some(23 | 24) => Verdict::Moot,
                _ => Verdict::NoConnection,
            }
        })?;
        // Guards against sending to a real server that began to drain while the connection came up.
        if self.place(server).is_none_or(|(now, _)| now != addr) {
            log::info!(server = &*server.0; "drained-while-connecting: nothing was sent");
            return Err(Verdict::Moot.into());
        }
        // Until its last byte is written the request can't have run.
        line.wire.write(&bytes).await.map_err(|_| Verdict::NoConnection)?;
        drop(bytes);
        let reset = |e: io::Error| {
            log::debug!(server = &*server.0, after:? = from.elapsed(); "reset: {e}");
            Verdict::Reset
        };
        let head = read_head(&mut line.wire, &self.limits).await.map_err(reset)?;
        let report = self.load(&head);
        let body = head.response_body(&self.limits).map_err(|_| Verdict::Error)?;
        let stream = head.get("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        if head.status() != 200 || !stream {
            let verdict = match (head.status(), dialect) {
                (503 | 504, _) if head.get("x-not-run") == Some("1") => Verdict::Full,
                // The messages API turns away so, without having run anything.
                (429 | 529, Dialect::Messages) => Verdict::Full,
                _ => Verdict::Error,
            };
            log::debug!(server = &*server.0, status = head.status(), verdict:? = verdict; "answer: it serves nobody");
            self.finish_unserved(server, addr, line, &head, body).await;
            return Err(match head.status() {
                // Guards against taking a bad request for a bad real server, and trying it on all the others.
                status @ (400..=407 | 409..=420 | 422..=424 | 426..=428 | 431..=499) => {
                    Refusal::Request(status)
                }
                _ => Refusal::Scheduling(Ending { verdict, kept: None, report }),
            });
        }
        let keep = head.keeps_alive(&head.start[0]) && body != Body::UntilClose;
        Ok(Open {
            server: server.clone(),
            addr,
            line,
            dialect,
            body,
            keep,
            spoilt: false,
            text: Vec::new(),
            kept: None,
            report,
        })
    }

    /// Reads what is left of an answer that serves nobody, if it comes soon: a new connection would cost more.
    async fn finish_unserved(
        &self,
        server: &ReplicaId,
        addr: SocketAddr,
        mut line: Line,
        head: &Head,
        mut body: Body,
    ) {
        let rest = async {
            let mut text = Vec::new();
            while text.len() <= self.limits.event_bytes {
                match body.take(&mut line.wire.buf, &mut text, &self.limits) {
                    Ok(true) => return true,
                    Ok(false) if line.wire.fill(&self.limits).await.is_ok_and(|n| n > 0) => {}
                    _ => return false,
                }
            }
            false
        };
        let whole = within(self.limits.rest_read, rest).await.unwrap_or(false);
        if whole && head.keeps_alive(&head.start[0]) {
            self.give_back(server, addr, line);
        }
    }

    /// The next event of a begun answer.
    async fn next(&self, open: &mut Open) -> Result<SseBlock, Verdict> {
        loop {
            while let Some(block) =
                http::sse_block(&mut open.text, &self.limits).map_err(|_| Verdict::Reset)?
            {
                for comment in block.comments() {
                    if let Some(text) = comment.strip_prefix("X-Load:") {
                        open.report = (self.gauges)(text);
                    }
                }
                open.kept = open.dialect.kept(&block).or(open.kept);
                if !block.0.iter().all(|b| matches!(b, b'\r' | b'\n')) {
                    return Ok(block);
                }
            }
            if open.spoilt {
                return Err(Verdict::Reset);
            }
            let Wire { buf, .. } = &mut open.line.wire;
            let had = open.text.len();
            match open.body.take(buf, &mut open.text, &self.limits) {
                Ok(true) if open.text.len() == had => {
                    if !open.text.is_empty() {
                        // Comment lines may end the stream without an empty line.
                        open.text.extend_from_slice(b"\n\n");
                        continue;
                    }
                    return Err(Verdict::Ok);
                }
                Ok(_) if open.text.len() > had => continue,
                Ok(_) => {}
                // What came before the fault is good, and was passed on if it had come alone.
                Err(bad) => {
                    log::debug!(server = &*open.server.0; "spoilt: {bad}");
                    open.spoilt = true;
                    continue;
                }
            }
            // Guards against a spoilt stream whose connection stays open and silent: its client is owed an end.
            let amid = open.body.is_amid(&open.line.wire.buf);
            let patience = if amid { self.limits.stream_stall } else { self.limits.stream_silence };
            let fill = within(patience, open.line.wire.fill(&self.limits)).await;
            match fill {
                Ok(Ok(0)) | Ok(Err(_)) => return Err(Verdict::Reset),
                Err(_) if amid => return Err(Verdict::Reset),
                // Guards against holding a client for ever whose real server's machine has vanished.
                Err(_) => return Err(Verdict::TimedOut),
                Ok(Ok(_)) => {}
            }
        }
    }

    /// Ends a begun answer; its connection may serve again.
    fn end(&self, open: Open, verdict: Verdict) -> Ending {
        let Open { server, addr, line, keep, kept, report, .. } = open;
        if verdict == Verdict::Ok && keep {
            self.give_back(&server, addr, line);
        } else if verdict != Verdict::Ok {
            log::info!(server = &*server.0, verdict:? = verdict; "broken-stream: at the real server's side");
        }
        Ending { verdict, kept, report }
    }
}

/// Why no answer began.
enum Refusal {
    /// The scheduling ended.
    Scheduling(Ending),
    /// The request itself is wrong, says the real server with this status.
    Request(u16),
}

impl From<Verdict> for Refusal {
    fn from(verdict: Verdict) -> Refusal {
        Refusal::Scheduling(verdict.into())
    }
}

/// A begun answer.
struct Open {
    server: ReplicaId,
    addr: SocketAddr,
    line: Line,
    dialect: Dialect,
    body: Body,
    keep: bool,
    /// What comes next can't be read.
    spoilt: bool,
    /// What came of the stream and is not yet a whole event.
    text: Vec<u8>,
    kept: Option<u32>,
    report: Vec<f64>,
}

async fn read_head(wire: &mut Wire, limits: &Limits) -> io::Result<Head> {
    let mut interim = 0;
    loop {
        match http::response_head(&mut wire.buf, limits) {
            Ok(Some(head)) if (100..200).contains(&head.status()) => {
                interim += 1;
                if interim > limits.interim_heads {
                    return Err(io::Error::other("interim answers without end"));
                }
                continue;
            }
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(bad) => return Err(io::Error::other(bad.what)),
        }
        // Guards against waiting until the deadline for a head that has begun and does not end.
        let begun = !wire.buf.is_empty();
        let fill = wire.fill(limits);
        if (if begun { within(limits.stream_stall, fill).await? } else { fill.await })? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// A request on its way to real servers.
pub struct Dispatch {
    /// The fleet.
    pub fleet: Rc<Fleet>,
    /// The request.
    pub passage: Rc<Passage>,
}

/// Where a scheduling stands.
enum Stage {
    Waiting(ReplicaId, Duration),
    Open(Open),
    /// An error event went out; what follows it is of no use.
    Failed(Open),
    Over,
}

/// An event, and the dialect that it is in.
pub type Spoken = (Dialect, SseBlock);

impl Servers<Spoken> for Dispatch {
    fn schedule(&self, server: ReplicaId, timeout: Duration) -> Pin<Box<dyn Stream<Item = Step<Spoken>>>> {
        let (fleet, passage) = (self.fleet.clone(), self.passage.clone());
        Box::pin(stream::unfold(Stage::Waiting(server, timeout), move |stage| {
            step(fleet.clone(), passage.clone(), stage)
        }))
    }
}

/// A scheduling's next step. Dropping it on the way closes the connection, which gives the scheduling up.
async fn step(fleet: Rc<Fleet>, passage: Rc<Passage>, stage: Stage) -> Option<(Step<Spoken>, Stage)> {
    let over = |ending: Ending| Some((Step::Ended(ending), Stage::Over));
    let (mut open, block) = match stage {
        Stage::Over => return None,
        Stage::Failed(open) => return over(fleet.end(open, Verdict::Error)),
        Stage::Open(mut open) => match fleet.next(&mut open).await {
            Ok(block) => (open, block),
            Err(verdict) => return over(fleet.end(open, verdict)),
        },
        Stage::Waiting(server, timeout) => {
            let begun = async {
                let mut open = fleet.begin(&server, &passage, timeout).await?;
                match fleet.next(&mut open).await {
                    Ok(block) if open.dialect.is_error(&block) => {
                        Err(Refusal::Scheduling(fleet.end(open, Verdict::Error)))
                    }
                    Ok(block) => Ok((open, block)),
                    // A stream without an event serves nobody.
                    Err(Verdict::Ok) => Err(Verdict::Error.into()),
                    Err(verdict) => Err(Refusal::Scheduling(fleet.end(open, verdict))),
                }
            };
            match within(timeout, begun).await {
                Ok(Ok(begun)) => begun,
                Ok(Err(Refusal::Scheduling(ending))) => return over(ending),
                Ok(Err(Refusal::Request(status))) => return Some((Step::Rejected(status), Stage::Over)),
                Err(_) => return over(Verdict::TimedOut.into()),
            }
        }
    };
    let dialect = open.dialect;
    if dialect.is_error(&block) {
        open.keep = false;
        return Some((Step::Event((dialect, block)), Stage::Failed(open)));
    }
    Some((Step::Event((dialect, block)), Stage::Open(open)))
}
