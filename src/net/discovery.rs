//! Discovery: the list of real servers, asked for once or watched.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use log::Level;

use super::codec::{self, Body, Head};
use super::objects::{NoObject, Objects, Piece};
use super::servers::Fleet;
use super::{BufferedStream, within};
use crate::engine::{Engine, FleetOrder};
use crate::limits::Limits;
use crate::names::{Listing, Names, State};
use crate::types::{ListKind, Member, Phase, ReplicaId};

/// Follows the list as the module orders, and tells it and the fleet what comes.
pub struct Discovery {
    addr: Cell<SocketAddr>,
    engine: Engine,
    fleet: Rc<Fleet>,
    names: Rc<RefCell<Names>>,
    limits: Rc<Limits>,
    /// Lists come unasked, from an agent on this machine.
    push: bool,
    version: Cell<u64>,
    answered: Cell<bool>,
    /// The last call came to nothing, and so it has been noted.
    failing: Cell<bool>,
    /// The present watch has fallen silent, and the module knows.
    silent: Cell<bool>,
}

impl Discovery {
    /// Knows nothing yet.
    pub fn new(
        addr: SocketAddr,
        engine: Engine,
        fleet: Rc<Fleet>,
        names: Rc<RefCell<Names>>,
        limits: Rc<Limits>,
        push: bool,
    ) -> Discovery {
        let (addr, version) = (Cell::new(addr), Cell::new(0));
        let (answered, failing, silent) = (Cell::new(false), Cell::new(false), Cell::new(false));
        Discovery { addr, engine, fleet, names, limits, push, version, answered, failing, silent }
    }

    /// Takes the list that the gateway last had, which may be old.
    pub fn persisted(&self, known: &Listing) {
        self.take(known.clone(), ListKind::Persisted);
    }

    /// Discovery has moved: it is watched there from now on. The list held and its version stay in force.
    pub fn move_to(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            log::info!(discovery:% = addr, version = self.version.get(); "discovery-moved: it is watched there now");
            self.engine.watch_anew();
        }
    }

    /// Discovery has answered at least once.
    pub fn answered(&self) -> bool {
        self.answered.get()
    }

    /// Carries out the module's orders, for ever. Where the list should come unasked, watches by itself.
    pub async fn run(self: Rc<Self>, ex: &'static LocalExecutor<'static>, orders: Receiver<FleetOrder>) {
        let mut watch: Option<Task<()>> = None;
        let start = || {
            let this = self.clone();
            ex.spawn(async move {
                loop {
                    let from = Instant::now();
                    this.watch().await;
                    if !this.push {
                        return;
                    }
                    // Guards against an agent that has news while no watch is open, which counts as told: a watch
                    // that has lasted is opened anew at once, and what fails is tried again steadily.
                    Timer::after(this.limits.agent_pause.saturating_sub(from.elapsed())).await;
                }
            })
        };
        if self.push {
            watch = Some(start());
        }
        while let Ok(order) = orders.recv().await {
            match order {
                // A new watch takes the place of the old one, whose connection closes with it.
                FleetOrder::Watch => {
                    drop(watch.take());
                    watch = Some(start());
                }
                FleetOrder::Fetch => ex.spawn(self.clone().fetch()).detach(),
                FleetOrder::Probe(server) => {
                    let this = self.clone();
                    ex.spawn(async move {
                        let from = Instant::now();
                        let ending = this.fleet.probe(&server).await;
                        this.engine.probed(server, from.elapsed(), ending);
                    })
                    .detach();
                }
            }
        }
        drop(watch);
    }

    /// One watch, up to its end. The module learns of it as a failure, and when to ask again is its to say; an agent
    /// is asked at no cost, and its pace is kept here.
    async fn watch(&self) {
        self.silent.set(false);
        let path = format!("/catalog/members?stream=1&index={}", self.version.get());
        let from = Instant::now();
        let ended =
            if self.push { self.watch_agent(&path).await } else { self.call(&path, true, &|| true).await };
        let why = ended.err().map_or("it ended".to_owned(), |e| e.to_string());
        // Guards against a log full of the same words while discovery is down.
        let level = if self.push && self.failing.replace(true) { Level::Debug } else { Level::Info };
        let after_ms = from.elapsed().as_millis() as u64;
        log::log!(level, version = self.version.get(), after_ms = after_ms; "watch-ended: {why}");
        // What fell silent before it ended has been told already, and the next call is due.
        if !self.push && !self.silent.get() {
            self.engine.list(ListKind::Failed, Vec::new());
        }
    }

    /// A watch at an agent. Guards against calls that are never answered since they came while discovery was down:
    /// what the agent has at the return counts at once. As long as the call has no answer, others are made beside it,
    /// one after the other; whichever is answered first is the watch.
    async fn watch_agent(&self, path: &str) -> io::Result<()> {
        let begun = Cell::new(None);
        let claim = |who: u8| {
            begun.set(begun.get().or(Some(who)));
            begun.get() == Some(who)
        };
        let patient = async {
            let end = self.call(path, true, &|| claim(0)).await;
            if begun.get() == Some(1) {
                future::pending::<()>().await;
            }
            end
        };
        let beside = async {
            Timer::after(self.limits.agent_answer).await;
            while begun.get().is_none() {
                let late = async {
                    Timer::after(self.limits.agent_answer).await;
                    if begun.get() == Some(1) {
                        future::pending::<()>().await;
                    }
                    Err(io::ErrorKind::TimedOut.into())
                };
                let from = Instant::now();
                let end = future::or(self.call(path, true, &|| claim(1)), late).await;
                if begun.get() == Some(1) {
                    return end;
                }
                Timer::after(self.limits.agent_pause.saturating_sub(from.elapsed())).await;
            }
            future::pending().await
        };
        future::or(patient, beside).await
    }

    async fn fetch(self: Rc<Self>) {
        if let Err(e) = self.call("/catalog/members", false, &|| true).await {
            log::info!("list-failed: {e}");
            self.engine.list(ListKind::Failed, Vec::new());
        }
    }

    /// A call, up to the end of its answer; `claim` says at the answer's first word whether it is wanted still.
    async fn call(&self, path: &str, watch: bool, claim: &dyn Fn() -> bool) -> io::Result<()> {
        let from = Instant::now();
        let (wire, head) = self.open(path).await?;
        self.follow(wire, head, watch, from, claim).await
    }

    /// Sends a call and reads the head of its answer.
    async fn open(&self, path: &str) -> io::Result<(BufferedStream, Head)> {
        let limits = &self.limits;
        let mut wire = BufferedStream::connect(self.addr.get(), &limits.wire).await?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr.get());
        wire.write(request.as_bytes()).await?;
        let begun = within(limits.discovery_answer, async {
            loop {
                match codec::response_head(&mut wire.buf, &limits.wire) {
                    Ok(Some(head)) => return Ok(head),
                    Ok(None) if wire.fill(&limits.wire).await? > 0 => {}
                    Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Err(bad) => return Err(io::Error::other(bad.what)),
                }
            }
        });
        let head = begun.await??;
        Ok((wire, head))
    }

    /// Reads the answer of a call that was made at `from`, up to its end.
    async fn follow(
        &self,
        mut wire: BufferedStream,
        head: Head,
        watch: bool,
        from: Instant,
        claim: &dyn Fn() -> bool,
    ) -> io::Result<()> {
        let limits = &self.limits;
        let silence = if self.push { limits.agent_silence } else { limits.watch_silence };
        if head.status() != 200 {
            if let Some(wait) = head.get("retry-after").and_then(seconds) {
                self.engine.busy(wait);
            }
            return Err(io::Error::other(format!("status {}", head.status())));
        }
        let mut body = head.response_body().map_err(|bad| io::Error::other(bad.what))?;
        let (mut text, mut objects) = (Vec::new(), Objects::default());
        let mut first = true;
        loop {
            let mut ended = match body.take(&mut wire.buf, &mut text, &limits.wire) {
                Ok(whole) => whole,
                Err(bad) => return Err(io::Error::other(bad.what)),
            };
            loop {
                let piece = match objects.take(&mut text) {
                    Ok(Some(Piece::Blank)) if !watch => continue,
                    Ok(Some(piece)) => piece,
                    Ok(None) => break,
                    Err(NoObject) => return Err(io::Error::other("something other than an object")),
                };
                if first && !claim() {
                    return Err(io::Error::other("another call was answered first"));
                }
                match piece {
                    Piece::Object(object) => self.object(&object, &mut first)?,
                    Piece::Blank => self.no_change(&mut first),
                }
            }
            // Guards against an object without end.
            if text.len() > limits.list_bytes {
                return Err(io::Error::other("an object too long"));
            }
            if !ended {
                // Guards against a discovery that is cut off: a watch says something every 2 s. The answer's first
                // word is due as soon after the call: one whose head came late has not as long again for the rest.
                let spent = if first { from.elapsed() } else { Duration::ZERO };
                let patience = silence.saturating_sub(spent);
                let filled = match within(patience, wire.fill(&limits.wire)).await {
                    Err(_) if watch && !first && !self.push => self.listen_on(&mut wire).await,
                    filled => filled?,
                };
                ended = filled? == 0;
                if ended && (watch || body != Body::UntilClose) {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            if ended {
                return match (first, objects.is_amid()) {
                    (_, true) => Err(io::Error::other("an object cut short")),
                    (true, _) => Err(io::Error::other("an empty answer")),
                    _ => Ok(()),
                };
            }
        }
    }

    /// A watch has fallen silent: the next one is due, whose beginning ends this. Guards against a line that was only
    /// late, after which no call is needed.
    async fn listen_on(&self, wire: &mut BufferedStream) -> io::Result<usize> {
        log::info!(version = self.version.get(); "watch-silent: it is opened anew unless it speaks before");
        self.silent.set(true);
        self.engine.list(ListKind::Failed, Vec::new());
        let count = wire.fill(&self.limits.wire).await?;
        if count > 0 {
            self.silent.set(false);
            self.no_change(&mut true);
        }
        Ok(count)
    }

    /// An empty line of a watch is a sign of life, and as an answer's first word also says: no change.
    fn no_change(&self, first: &mut bool) {
        if std::mem::replace(first, false) {
            self.take(Listing { version: self.version.get(), ..Listing::default() }, ListKind::Changes);
        }
    }

    /// An object of an answer.
    fn object(&self, object: &[u8], first: &mut bool) -> io::Result<()> {
        let listing: Listing = serde_json::from_slice(object).map_err(io::Error::other)?;
        if !listing.full && listing.version < self.version.get() {
            // Changes up to a version that is held already: nothing new.
            log::warn!(version = listing.version, held = self.version.get(); "old-changes: nothing new in them");
            self.no_change(first);
            return Ok(());
        }
        *first = false;
        let kind = if listing.full { ListKind::Complete } else { ListKind::Changes };
        self.take(listing, kind);
        Ok(())
    }

    /// Tells the fleet first, so that what the module then orders finds its places.
    fn take(&self, mut listing: Listing, kind: ListKind) {
        for (server, what) in listing.sift(self.engine.now() as f64 / 1e6) {
            log::warn!(version = listing.version, server = server; "bad-entry: {what}");
        }
        self.version.set(listing.version);
        self.answered.set(self.answered.get() || kind != ListKind::Persisted);
        self.failing.set(false);
        let mut members: Vec<Member> = Vec::with_capacity(listing.servers.len());
        for entry in &listing.servers {
            let mut names = self.names.borrow_mut();
            let gone = self.fleet.learn(entry, names.dialect(&entry.kind));
            members.push(names.member(entry));
            for id in gone {
                if entry.state != State::Gone {
                    log::info!(server = &*id.0, addr = entry.addr; "address-taken: its id is gone with it");
                }
                match members.iter_mut().find(|m| m.id == id) {
                    Some(member) => member.phase = Phase::Gone,
                    None => members.push(Member { id, phase: Phase::Gone, ..names.member(entry) }),
                }
            }
            if kind == ListKind::Changes && entry.state != State::Ready {
                log::info!(version = listing.version, server = entry.id, state:? = entry.state; "list-change: nothing new goes there");
            }
        }
        if kind != ListKind::Changes {
            let ids: Vec<ReplicaId> = members.iter().map(|m| m.id.clone()).collect();
            self.fleet.keep_only(&ids);
            log::info!(version = listing.version, kind:? = kind, servers = ids.len(); "list: taken whole");
        }
        self.engine.list(kind, members);
    }
}

/// What `Retry-After` says in whole or decimal seconds; a date is not read.
fn seconds(text: &str) -> Option<Duration> {
    let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)?;
    Duration::try_from_secs_f64(seconds).ok()
}
