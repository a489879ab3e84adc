//! Discovery: fetches or watches the list of replicas.

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
use super::object_splitter::{Element, NotAnObject, ObjectSplitter};
use super::upstream::Fleet;
use super::{BufferedStream, within};
use crate::engine::{Engine, FleetAction};
use crate::limits::Limits;
use crate::names::{Listing, Names, ReplicaState};
use crate::types::{ListKind, Member, Phase, ReplicaId};

/// Fetches and watches the replica list as the load balancer requests, and passes updates to it and to the fleet.
pub struct Discovery {
    addr: Cell<SocketAddr>,
    engine: Engine,
    fleet: Rc<Fleet>,
    names: Rc<RefCell<Names>>,
    limits: Rc<Limits>,
    /// The list comes from the agent on this machine rather than from the list service.
    push: bool,
    version: Cell<u64>,
    has_list: Cell<bool>,
    /// The last call failed, which was logged.
    failing: Cell<bool>,
    /// The current watch exceeded its idle timeout, and the load balancer was told of the failure.
    idle: Cell<bool>,
}

impl Discovery {
    /// Creates a client that has no list yet.
    pub fn new(
        addr: SocketAddr,
        engine: Engine,
        fleet: Rc<Fleet>,
        names: Rc<RefCell<Names>>,
        limits: Rc<Limits>,
        push: bool,
    ) -> Discovery {
        let (addr, version) = (Cell::new(addr), Cell::new(0));
        let (has_list, failing, idle) = (Cell::new(false), Cell::new(false), Cell::new(false));
        Discovery { addr, engine, fleet, names, limits, push, version, has_list, failing, idle }
    }

    /// Applies the list of an earlier process, which may be outdated.
    pub fn apply_persisted(&self, known: &Listing) {
        self.apply(known.clone(), ListKind::Persisted);
    }

    /// Watches discovery at another address. The list and its version stay in force.
    pub fn set_address(&self, addr: SocketAddr) {
        if self.addr.replace(addr) != addr {
            log::info!(discovery:% = addr, version = self.version.get(); "discovery-moved: reopening the watch at the new address");
            self.engine.restart_list_watch();
        }
    }

    /// Whether a list was received from discovery since the start.
    pub fn has_list(&self) -> bool {
        self.has_list.get()
    }

    /// Carries out the load balancer's actions until the channel closes. With an agent, the watch is opened and reopened
    /// without such an action.
    pub async fn run(self: Rc<Self>, ex: &'static LocalExecutor<'static>, actions: Receiver<FleetAction>) {
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
                    // The agent counts an update as delivered even if no watch is open. So a watch that lasted
                    // longer than the retry interval is reopened at once, and a failed one after that interval.
                    Timer::after(this.limits.discovery.agent_retry_interval.saturating_sub(from.elapsed()))
                        .await;
                }
            })
        };
        if self.push {
            watch = Some(start());
        }
        while let Ok(action) = actions.recv().await {
            match action {
                // A new watch replaces the old one and closes its connection.
                FleetAction::WatchList => {
                    drop(watch.take());
                    watch = Some(start());
                }
                FleetAction::FetchList => ex.spawn(self.clone().fetch()).detach(),
                FleetAction::Probe(replica) => {
                    let this = self.clone();
                    ex.spawn(async move {
                        let from = Instant::now();
                        let outcome = this.fleet.probe(&replica).await;
                        this.engine.record_probe(replica, from.elapsed(), outcome);
                    })
                    .detach();
                }
            }
        }
        drop(watch);
    }

    /// Runs one watch to its end and reports the end to the load balancer as a failure; the load balancer schedules the
    /// next call. Calls to the agent stay on this machine, so only `agent_retry_interval` limits their rate.
    async fn watch(&self) {
        self.idle.set(false);
        let path = format!("/catalog/members?stream=1&index={}", self.version.get());
        let from = Instant::now();
        let ended =
            if self.push { self.watch_agent(&path).await } else { self.call(&path, true, &|| true).await };
        let why = ended.err().map_or("the response ended".to_owned(), |e| e.to_string());
        // Repeated failures of the agent are logged at debug level.
        let level = if self.push && self.failing.replace(true) { Level::Debug } else { Level::Info };
        let after_ms = from.elapsed().as_millis() as u64;
        log::log!(level, version = self.version.get(), after_ms = after_ms; "watch-ended: {why}");
        // An idle watch was already reported as failed, and the next call is scheduled.
        if !self.push && !self.idle.get() {
            self.engine.update_list(ListKind::Failed, Vec::new());
        }
    }

    /// Watches the list at the agent. A call that was made while discovery was down may never get a response, although
    /// the agent counts its list as delivered once discovery is back. So further calls are made, one at a time, while
    /// the first call waits for its response; the first call with a response becomes the watch.
    async fn watch_agent(&self, path: &str) -> io::Result<()> {
        let claimed_by = Cell::new(None);
        let claim = |caller: u8| {
            claimed_by.set(claimed_by.get().or(Some(caller)));
            claimed_by.get() == Some(caller)
        };
        let first_call = async {
            let end = self.call(path, true, &|| claim(0)).await;
            if claimed_by.get() == Some(1) {
                future::pending::<()>().await;
            }
            end
        };
        let further_calls = async {
            Timer::after(self.limits.discovery.agent_hedge_delay).await;
            while claimed_by.get().is_none() {
                let call_timeout = async {
                    Timer::after(self.limits.discovery.agent_hedge_delay).await;
                    if claimed_by.get() == Some(1) {
                        future::pending::<()>().await;
                    }
                    Err(io::ErrorKind::TimedOut.into())
                };
                let from = Instant::now();
                let end = future::or(self.call(path, true, &|| claim(1)), call_timeout).await;
                if claimed_by.get() == Some(1) {
                    return end;
                }
                Timer::after(self.limits.discovery.agent_retry_interval.saturating_sub(from.elapsed()))
                    .await;
            }
            future::pending().await
        };
        future::or(first_call, further_calls).await
    }

    async fn fetch(self: Rc<Self>) {
        if let Err(e) = self.call("/catalog/members", false, &|| true).await {
            log::info!("list-failed: {e}");
            self.engine.update_list(ListKind::Failed, Vec::new());
        }
    }

    /// Makes a call and reads its response to the end. `claim` is asked at the first element whether the response is
    /// still needed.
    async fn call(&self, path: &str, watch: bool, claim: &dyn Fn() -> bool) -> io::Result<()> {
        let from = Instant::now();
        let (wire, head) = self.open(path).await?;
        self.read_response(wire, head, watch, from, claim).await
    }

    /// Sends a call and reads the head of its response.
    async fn open(&self, path: &str) -> io::Result<(BufferedStream, Head)> {
        let limits = &self.limits;
        let mut wire = BufferedStream::connect(self.addr.get(), &limits.wire).await?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.addr.get());
        wire.write(request.as_bytes()).await?;
        let response_head = within(limits.discovery.response_timeout, async {
            loop {
                match codec::response_head(&mut wire.buf, &limits.wire) {
                    Ok(Some(head)) => return Ok(head),
                    Ok(None) if wire.fill(&limits.wire).await? > 0 => {}
                    Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Err(bad) => return Err(io::Error::other(bad.message())),
                }
            }
        });
        let head = response_head.await??;
        Ok((wire, head))
    }

    /// Reads the response to a call that was made at `from` to its end.
    async fn read_response(
        &self,
        mut wire: BufferedStream,
        head: Head,
        watch: bool,
        from: Instant,
        claim: &dyn Fn() -> bool,
    ) -> io::Result<()> {
        let limits = &self.limits;
        let idle_timeout = if self.push {
            limits.discovery.agent_idle_timeout
        } else {
            limits.discovery.watch_idle_timeout
        };
        if head.status() != 200 {
            if let Some(wait) = head.get("retry-after").and_then(parse_seconds) {
                self.engine.defer_list_calls(wait);
            }
            return Err(io::Error::other(format!("unexpected status {}", head.status())));
        }
        let mut body = head.response_body().map_err(|bad| io::Error::other(bad.message()))?;
        let (mut text, mut objects) = (Vec::new(), ObjectSplitter::default());
        let mut first = true;
        loop {
            let mut ended = match body.take(&mut wire.buf, &mut text, &limits.wire) {
                Ok(is_complete) => is_complete,
                Err(bad) => return Err(io::Error::other(bad.message())),
            };
            loop {
                let element = match objects.take(&mut text) {
                    Ok(Some(Element::BlankLine)) if !watch => continue,
                    Ok(Some(element)) => element,
                    Ok(None) => break,
                    Err(NotAnObject) => return Err(io::Error::other("expected a JSON object")),
                };
                if first && !claim() {
                    return Err(io::Error::other("another call was faster"));
                }
                match element {
                    Element::Object(object) => self.apply_object(&object, &mut first)?,
                    Element::BlankLine => self.apply_no_change(&mut first),
                }
            }
            // Bounds the memory for an unterminated object.
            if text.len() > limits.discovery.list_bytes {
                return Err(io::Error::other("an object exceeds the size limit"));
            }
            if !ended {
                // Discovery sends a line on a watch at least every 2 s; without one it counts as unreachable. The first
                // element is due within the same time after the call, whenever the head arrived.
                let spent = if first { from.elapsed() } else { Duration::ZERO };
                let timeout = idle_timeout.saturating_sub(spent);
                let filled = match within(timeout, wire.fill(&limits.wire)).await {
                    Err(_) if watch && !first && !self.push => self.wait_for_late_line(&mut wire).await,
                    filled => filled?,
                };
                ended = filled? == 0;
                if ended && (watch || body != Body::UntilClose) {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            if ended {
                return match (first, objects.is_amid()) {
                    (_, true) => Err(io::Error::other("the response ended within an object")),
                    (true, _) => Err(io::Error::other("the response is empty")),
                    _ => Ok(()),
                };
            }
        }
    }

    /// Continues a watch that exceeded its idle timeout. The next watch is scheduled, and its start ends this one; a late
    /// line that arrives before makes that call unnecessary.
    async fn wait_for_late_line(&self, wire: &mut BufferedStream) -> io::Result<usize> {
        log::info!(version = self.version.get(); "watch-idle: no line within the idle timeout; reopening the watch unless a line arrives first");
        self.idle.set(true);
        self.engine.update_list(ListKind::Failed, Vec::new());
        let count = wire.fill(&self.limits.wire).await?;
        if count > 0 {
            self.idle.set(false);
            self.apply_no_change(&mut true);
        }
        Ok(count)
    }

    /// Handles an empty line of a watch, which is a keep-alive; as the first element it also means that nothing changed.
    fn apply_no_change(&self, first: &mut bool) {
        if std::mem::replace(first, false) {
            self.apply(Listing { version: self.version.get(), ..Listing::default() }, ListKind::Changes);
        }
    }

    /// Applies an object of a response.
    fn apply_object(&self, object: &[u8], first: &mut bool) -> io::Result<()> {
        let listing: Listing = serde_json::from_slice(object).map_err(io::Error::other)?;
        if !listing.is_full && listing.version < self.version.get() {
            // These changes lead to a version that is already known.
            log::warn!(version = listing.version, held = self.version.get(); "old-changes: ignoring changes up to an already known version");
            self.apply_no_change(first);
            return Ok(());
        }
        *first = false;
        let kind = if listing.is_full { ListKind::Complete } else { ListKind::Changes };
        self.apply(listing, kind);
        Ok(())
    }

    /// Applies a list. The fleet comes first, so that it has the endpoints when the load balancer acts on the list.
    fn apply(&self, mut listing: Listing, kind: ListKind) {
        for (replica, problem) in listing.correct(self.engine.now() as f64 / 1e6) {
            log::warn!(version = listing.version, replica = replica; "bad-entry: {problem}");
        }
        self.version.set(listing.version);
        self.has_list.set(self.has_list.get() || kind != ListKind::Persisted);
        self.failing.set(false);
        let mut members: Vec<Member> = Vec::with_capacity(listing.entries.len());
        for entry in &listing.entries {
            let mut names = self.names.borrow_mut();
            let gone = self.fleet.apply_entry(entry, names.dialect(&entry.kind));
            members.push(names.member(entry));
            for id in gone {
                if entry.state != ReplicaState::Gone {
                    log::info!(replica = &*id.0, addr = entry.addr; "address-taken: a replica that started later has this address; removing the older id");
                }
                match members.iter_mut().find(|m| m.id == id) {
                    Some(member) => member.phase = Phase::Gone,
                    None => members.push(Member { id, phase: Phase::Gone, ..names.member(entry) }),
                }
            }
            if kind == ListKind::Changes && entry.state != ReplicaState::Ready {
                log::info!(version = listing.version, replica = entry.id, state:? = entry.state; "list-change: sending no new requests to this replica");
            }
        }
        if kind != ListKind::Changes {
            let ids: Vec<ReplicaId> = members.iter().map(|m| m.id.clone()).collect();
            self.fleet.retain_only(&ids);
            log::info!(version = listing.version, kind:? = kind, replicas = ids.len(); "list: applied a complete list");
        }
        self.engine.update_list(kind, members);
    }
}

/// Parses a `Retry-After` value in whole or decimal seconds; dates are not supported.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0)?;
    Duration::try_from_secs_f64(seconds).ok()
}
