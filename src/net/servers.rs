//! Real servers: where they are, the pool of connections to each, and schedulings on these.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{Stream, future};

use super::handover_message::StreamSnapshot;
use super::http::{self, Body, Head};
use super::{Wire, within};
use crate::engine::{Arrival, Ending, Servers, Step};
use crate::front::{Dialect, ForwardedRequest, ServerDialects, Usage};
use crate::limits::Limits;
use crate::names::{ServiceEntry, State};
use crate::process::overlap::{Overlap, Places};
use crate::stream::End;
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
    /// The dialects that are spoken, until the list changes.
    dialects: Cell<Option<ServerDialects>>,
    limits: Rc<Limits>,
    /// What of the limits on connections is this process's.
    pub overlap: Overlap,
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
        let whole = Places { edge: limits.edge_connections, servers: limits.server_connections };
        Fleet {
            places: RefCell::default(),
            open: Rc::default(),
            dialects: Cell::new(None),
            limits,
            overlap: Overlap::new(whole),
            gauges,
        }
    }

    /// Brings the places in step with a service entry. Returns those that are gone by what it says: itself, or
    /// another whose address it has.
    pub fn learn(&self, entry: &ServiceEntry, dialect: Dialect) -> Vec<ReplicaId> {
        self.dialects.set(None);
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
        self.dialects.set(None);
        self.places.borrow_mut().retain(|id, _| ids.contains(id));
    }

    /// Whether any real server takes requests.
    pub fn any_ready(&self) -> bool {
        self.places.borrow().values().any(|p| p.ready)
    }

    /// The dialects that ready real servers speak.
    pub fn dialects(&self) -> ServerDialects {
        if let Some(dialects) = self.dialects.get() {
            return dialects;
        }
        let mut dialects = ServerDialects::default();
        for place in self.places.borrow().values().filter(|p| p.ready) {
            match place.dialect {
                Dialect::Platform => dialects.platform = true,
                Dialect::Messages => dialects.messages = true,
            }
        }
        self.dialects.set(Some(dialects));
        dialects
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
            // Where another process has come, its part is given up as far as it lies idle.
            while self.open.get() > self.overlap.places().servers && self.drop_idle() {}
        }
    }

    /// An idle connection that is still good, the one used last first: the others may then grow old. One whose
    /// answer has only just ended is passed over: what may come behind that would be taken for the next one's.
    fn idle(&self, server: &ReplicaId) -> Option<Line> {
        let mut places = self.places.borrow_mut();
        let idle = &mut places.get_mut(server)?.idle;
        while let Some(last) =
            idle.iter().rposition(|(_, since, _)| since.elapsed() >= self.limits.pool_settle)
        {
            let (wire, since, slot) = idle.remove(last);
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

    /// Connections to real servers that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes the connection that has been idle longest, if there is one.
    fn drop_idle(&self) -> bool {
        let mut places = self.places.borrow_mut();
        let oldest = places.values_mut().filter(|p| !p.idle.is_empty()).min_by_key(|p| p.idle[0].1);
        oldest.map(|place| drop(place.idle.remove(0))).is_some()
    }

    async fn connect(&self, addr: SocketAddr) -> io::Result<Line> {
        // Guards against running out of descriptors.
        while self.open.get() >= self.overlap.places().servers {
            if !self.drop_idle() {
                return Err(io::ErrorKind::QuotaExceeded.into());
            }
        }
        let slot = Slot::new(&self.open);
        Ok(Line { wire: Wire::connect(addr, &self.limits.wire).await?, slot })
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
            let mut body = head.response_body().unwrap_or(Body::UntilClose);
            let mut text = Vec::new();
            while text.len() < self.limits.wire.event_bytes {
                match body.take(&mut line.wire.buf, &mut text, &self.limits.wire) {
                    Ok(true) if head.status() == 200 => {
                        self.give_back(server, addr, line);
                        let report = (self.gauges)(&String::from_utf8_lossy(&text));
                        return Ending { report, ..Verdict::Ok.into() };
                    }
                    Ok(false) if line.wire.fill(&self.limits.wire).await.is_ok_and(|n| n > 0) => {}
                    _ => break,
                }
            }
            Ending { report: self.load(&head), ..Verdict::Error.into() }
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
        forwarded: &ForwardedRequest,
        timeout: Duration,
        write_within: Duration,
    ) -> Result<Open, Refusal> {
        let from = Instant::now();
        let Some((addr, dialect)) = self.place(server) else { return Err(Verdict::Moot.into()) };
        // No real server had this dialect when the request came, or it would have been refused then.
        let (request, content) =
            forwarded.bytes(dialect, timeout).map_err(|what| Refusal::Request(400, what))?;
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
        // Guards against a second run: what discards a repeat does so within a window only.
        if from.elapsed() >= write_within {
            log::info!(server = &*server.0; "window-over: a repeat whose connection came up too late was not sent");
            return Err(Verdict::Moot.into());
        }
        // Guards against a request that goes on arriving when it was given up: what the system still holds of it is
        // dropped with the connection.
        line.wire.abort = true;
        // Until its last byte is written the request can't have run.
        line.wire.write_both(&request, content).await.map_err(|_| Verdict::NoConnection)?;
        drop(request);
        let reset = |e: io::Error| {
            log::debug!(server = &*server.0, after:? = from.elapsed(); "reset: {e}");
            Verdict::Reset
        };
        let head = read_head(&mut line.wire, &self.limits).await.map_err(reset)?;
        let report = self.load(&head);
        let body = head.response_body().map_err(|_| Verdict::Error)?;
        let stream = head.get("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
        if head.status() != 200 || !stream {
            let verdict = match (head.status(), dialect) {
                (503 | 504, _) if head.get("x-not-run") == Some("1") => Verdict::Full,
                // The messages API turns away so, without having run anything.
                (429 | 529, Dialect::Messages) => Verdict::Full,
                _ => Verdict::Error,
            };
            log::debug!(server = &*server.0, status = head.status(), verdict:? = verdict; "answer: it serves nobody");
            let told = self.finish_unserved(server, addr, line, &head, body).await;
            return Err(match head.status() {
                // Guards against taking a bad request for a bad real server, and trying it on all the others.
                status @ (400..=407 | 409..=420 | 422..=424 | 426..=428 | 431..=499) => {
                    Refusal::Request(status, words(&told, &self.limits))
                }
                _ => Refusal::Scheduling(Ending { report, ..verdict.into() }),
            });
        }
        let keep = head.keeps_alive(&head.start[0]) && body != Body::UntilClose;
        // What came together with the head is of the stream already.
        let early = line.wire.buf.len();
        Ok(Open {
            server: server.clone(),
            addr,
            line,
            dialect,
            body,
            keep,
            spoilt: false,
            failed: false,
            text: Vec::new(),
            scanned: 0,
            came: 0,
            early,
            last: false,
            usage: None,
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
    ) -> Vec<u8> {
        let mut text = Vec::new();
        let rest = async {
            while text.len() <= self.limits.wire.event_bytes {
                match body.take(&mut line.wire.buf, &mut text, &self.limits.wire) {
                    Ok(true) => return true,
                    Ok(false) if line.wire.fill(&self.limits.wire).await.is_ok_and(|n| n > 0) => {}
                    _ => return false,
                }
            }
            false
        };
        let whole = within(self.limits.rest_read, rest).await.unwrap_or(false);
        line.wire.abort = !whole;
        if whole && head.keeps_alive(&head.start[0]) {
            self.give_back(server, addr, line);
        }
        text
    }

    /// The first events of an answer whose head is there.
    async fn first(&self, open: &mut Open) -> Result<Batch, Verdict> {
        loop {
            let amid = !open.text.is_empty() || open.body.is_amid(&open.line.wire.buf);
            // Guards against a head that nothing follows, and a spoilt start whose connection stays open.
            let patience = if amid { self.limits.head_stall } else { self.limits.stream_opening };
            match within(patience, self.next(open)).await {
                Ok(Ok(batch)) if batch.events == 0 => open.early += std::mem::take(&mut open.came),
                Ok(next) => return next,
                Err(_) if amid => return Err(Verdict::Reset),
                Err(_) => return Err(Verdict::TimedOut),
            }
        }
    }

    /// What comes next of a begun answer: whole events, as many as came together, or none if what came is no
    /// whole one. It waits for as long as it takes; the holder of the stream knows how long that may be.
    async fn next(&self, open: &mut Open) -> Result<Batch, Verdict> {
        future::poll_fn(|cx| self.poll_batch(open, cx)).await
    }

    /// The same as a poll.
    fn poll_batch(&self, open: &mut Open, cx: &mut Context<'_>) -> Poll<Result<Batch, Verdict>> {
        Poll::Ready(loop {
            let batch = http::sse_batch(&mut open.text, &mut open.scanned, &self.limits.wire);
            let Ok(mut batch) = batch else {
                open.spoilt = true;
                break Err(Verdict::Reset);
            };
            let events = self.look_through(open, &mut batch);
            if events > 0 {
                break Ok(Batch { dialect: open.dialect, bytes: batch, events, usage: open.usage });
            }
            if open.spoilt {
                break Err(Verdict::Reset);
            }
            let Wire { buf, .. } = &mut open.line.wire;
            let had = open.text.len();
            match open.body.take(buf, &mut open.text, &self.limits.wire) {
                Ok(true) if open.text.len() == had => {
                    if !open.text.is_empty() {
                        // Comment lines may end the stream without an empty line.
                        open.text.extend_from_slice(b"\n\n");
                        open.scanned = 0;
                        continue;
                    }
                    break Err(Verdict::Ok);
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
            if open.came > 0 {
                break Ok(Batch { dialect: open.dialect, bytes: Vec::new(), events: 0, usage: None });
            }
            match ready!(open.line.wire.poll_fill(cx, &self.limits.wire)) {
                Ok(0) | Err(_) => break Err(Verdict::Reset),
                Ok(count) => open.came += count,
            }
        })
    }

    /// Takes out of whole blocks what is meant for this gateway, and what says nothing. Returns how many are
    /// left to be passed on.
    fn look_through(&self, open: &mut Open, batch: &mut Vec<u8>) -> u64 {
        let (mut events, mut blank, mut end) = (0, false, batch.len());
        let mut at = 0;
        for block in http::sse_blocks(batch) {
            at += block.0.len();
            if block.0[0] == b':' || http::find(block.0, b"\n:").is_some() {
                for comment in block.comments() {
                    if let Some(text) = comment.strip_prefix("X-Load:") {
                        open.report = (self.gauges)(text);
                    }
                }
            }
            if block.is_blank() {
                blank = true;
                continue;
            }
            events += 1;
            open.last |= open.dialect.is_last(block);
            if open.dialect.is_error(block) {
                // What follows the event that says so is of no use.
                (open.failed, end) = (true, at);
                break;
            }
        }
        batch.truncate(end);
        if let Some(usage) = open.dialect.usage(batch) {
            open.usage = Some(open.usage.map_or(usage, |told| told.most(usage)));
        }
        if blank {
            *batch = http::sse_blocks(batch).filter(|b| !b.is_blank()).flat_map(|b| b.0).copied().collect();
        }
        events
    }

    /// Ends a begun answer; its connection may serve again.
    fn end(&self, open: Open, verdict: Verdict) -> Ending {
        let Open { server, addr, mut line, keep, usage, report, spoilt, .. } = open;
        let kept = usage.and_then(|u| u.kept).map(|kept| kept.min(u64::from(u32::MAX)) as u32);
        line.wire.abort = verdict != Verdict::Ok;
        if verdict == Verdict::Ok && keep {
            self.give_back(&server, addr, line);
        }
        let end = if spoilt { End::Spoilt } else { Ending::from(verdict).end };
        Ending { verdict, kept, report, end }
    }
}

/// Why no answer began.
enum Refusal {
    /// The scheduling ended.
    Scheduling(Ending),
    /// The request itself is wrong, with this status and these words.
    Request(u16, String),
}

impl From<Verdict> for Refusal {
    fn from(verdict: Verdict) -> Refusal {
        Refusal::Scheduling(verdict.into())
    }
}

/// What a real server says of a request that it holds for wrong, in either dialect's form.
fn words(told: &[u8], limits: &Limits) -> String {
    let usual = "a real server rejected the request";
    let value: serde_json::Value = serde_json::from_slice(told).unwrap_or_default();
    let error = &value["error"];
    let said = error["message"].as_str().or(error.as_str()).or(value["message"].as_str()).unwrap_or(usual);
    said.chars().take(limits.messages.words_bytes / 4).filter(|c| !c.is_control()).collect()
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
    /// An event said that the stream failed.
    failed: bool,
    /// What came of the stream and is not yet a whole event.
    text: Vec<u8>,
    /// How far that was looked through for an event's end.
    scanned: usize,
    /// Bytes that came since the last step.
    came: usize,
    /// Bytes that came before the first step.
    early: usize,
    /// The dialect's last event has come.
    last: bool,
    /// The tokens that were told so far.
    usage: Option<Usage>,
    report: Vec<f64>,
}

async fn read_head(wire: &mut Wire, limits: &Limits) -> io::Result<Head> {
    let mut interim = 0;
    loop {
        match http::response_head(&mut wire.buf, &limits.wire) {
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
        let fill = wire.fill(&limits.wire);
        if (if begun { within(limits.head_stall, fill).await? } else { fill.await })? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// A request on its way to real servers.
pub struct Dispatch {
    /// The fleet.
    pub fleet: Rc<Fleet>,
    /// The request.
    pub forwarded: Rc<ForwardedRequest>,
}

/// How a scheduling begins: its first events, or why there are none.
type Beginning = Pin<Box<dyn Future<Output = Result<(Box<Open>, Batch), Refusal>>>>;

/// Where a scheduling stands.
enum Stage {
    Beginning(Beginning),
    Open(Box<Open>),
    Over,
}

/// A scheduling that runs. Dropping it closes its connection, which gives it up.
pub struct Running {
    fleet: Rc<Fleet>,
    stage: Stage,
}

/// Whole events that came together, and the dialect that they are in.
#[derive(Debug)]
pub struct Batch {
    /// The dialect.
    pub dialect: Dialect,
    /// Their bytes.
    pub bytes: Vec<u8>,
    /// How many they are.
    pub events: u64,
    /// Tokens that were told of so far.
    pub usage: Option<Usage>,
}

impl Running {
    /// Adds where its stream stands, and returns its connection; none if no event has come yet or more can't.
    pub fn pack(&self, snapshot: &mut StreamSnapshot) -> Option<BorrowedFd<'_>> {
        let Stage::Open(open) = &self.stage else { return None };
        if open.spoilt || open.failed {
            return None;
        }
        snapshot.server = open.server.0.to_string();
        snapshot.addr = Some(open.addr);
        snapshot.body = Some(open.body);
        (snapshot.keep_server, snapshot.last, snapshot.usage) = (open.keep, open.last, open.usage);
        snapshot.waiting[2].clone_from(&open.line.wire.buf);
        snapshot.waiting[3].clone_from(&open.text);
        Some(open.line.wire.fd())
    }

    /// Another process has its connection now, so it must not be reset from here.
    pub fn given_away(&mut self) {
        if let Stage::Open(open) = &mut self.stage {
            open.line.wire.abort = false;
        }
    }

    /// Goes on with what another process packed.
    pub fn unpack(fleet: Rc<Fleet>, snapshot: &mut StreamSnapshot, side: OwnedFd) -> io::Result<Running> {
        let missing = || io::Error::other("no real server in it");
        let [_, _, buf, text] = &mut snapshot.waiting;
        let mut wire = Wire::handed(side, std::mem::take(buf))?;
        wire.abort = true;
        let open = Open {
            server: ReplicaId::from(snapshot.server.as_str()),
            addr: snapshot.addr.ok_or_else(missing)?,
            line: Line { wire, slot: Slot::new(&fleet.open) },
            dialect: Dialect::Platform,
            body: snapshot.body.ok_or_else(missing)?,
            keep: snapshot.keep_server,
            spoilt: false,
            failed: false,
            text: std::mem::take(text),
            scanned: 0,
            came: 0,
            early: 0,
            last: snapshot.last,
            usage: snapshot.usage,
            report: Vec::new(),
        };
        Ok(Running { fleet, stage: Stage::Open(Box::new(open)) })
    }
}

impl Servers<Batch> for Dispatch {
    type Steps = Running;
    fn schedule(&self, server: ReplicaId, timeout: Duration, write_within: Duration) -> Running {
        let (fleet, forwarded) = (self.fleet.clone(), self.forwarded.clone());
        let begun = async move {
            let begun = async {
                let mut open = Box::new(fleet.begin(&server, &forwarded, timeout, write_within).await?);
                match fleet.first(&mut open).await {
                    // An error in the first place of all is an answer that serves nobody.
                    Ok(batch) if open.failed && batch.events == 1 => {
                        Err(Refusal::Scheduling(fleet.end(*open, Verdict::Error)))
                    }
                    Ok(batch) => Ok((open, batch)),
                    // A stream without an event serves nobody.
                    Err(Verdict::Ok) => Err(Verdict::Error.into()),
                    Err(verdict) => Err(Refusal::Scheduling(fleet.end(*open, verdict))),
                }
            };
            within(timeout, begun).await.unwrap_or_else(|_| Err(Verdict::TimedOut.into()))
        };
        Running { fleet: self.fleet.clone(), stage: Stage::Beginning(Box::pin(begun)) }
    }
}

impl Stream for Running {
    type Item = Step<Batch>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Step<Batch>>> {
        let this = &mut *self;
        let batch = match &mut this.stage {
            Stage::Over => return Poll::Ready(None),
            Stage::Beginning(begun) => match ready!(begun.as_mut().poll(cx)) {
                Ok((open, batch)) => {
                    this.stage = Stage::Open(open);
                    Ok(batch)
                }
                Err(refusal) => {
                    this.stage = Stage::Over;
                    return Poll::Ready(Some(match refusal {
                        Refusal::Scheduling(ending) => Step::Ended(ending),
                        Refusal::Request(status, words) => Step::Rejected(status, words),
                    }));
                }
            },
            Stage::Open(open) if open.failed => Err(Verdict::Error),
            Stage::Open(open) => ready!(this.fleet.poll_batch(open, cx)),
        };
        Poll::Ready(Some(match (batch, std::mem::replace(&mut this.stage, Stage::Over)) {
            (Ok(batch), Stage::Open(mut open)) => {
                let step = arrived(&mut open, batch);
                this.stage = Stage::Open(open);
                step
            }
            (Err(verdict), Stage::Open(open)) => Step::Ended(this.fleet.end(*open, verdict)),
            // A batch or an end comes of what is open alone.
            _ => return Poll::Ready(None),
        }))
    }
}

/// What a batch of a begun answer is to the holder of its stream.
fn arrived(open: &mut Open, batch: Batch) -> Step<Batch> {
    // A stream that may have to wait for its reader keeps no room for what has not come.
    let buf = &mut open.line.wire.buf;
    if buf.capacity() > 4 * buf.len() + (1 << 10) {
        buf.shrink_to_fit();
    }
    let inward = open.line.wire.buf.len() + open.text.len();
    let arrival = Arrival {
        bytes: std::mem::take(&mut open.came) + std::mem::take(&mut open.early),
        events: batch.events,
        inward,
        amid: !open.text.is_empty() || open.body.is_amid(&open.line.wire.buf),
        last: open.last,
    };
    if open.failed {
        open.keep = false;
    }
    if batch.events > 0 { Step::Events(batch, arrival) } else { Step::Bytes(arrival) }
}
