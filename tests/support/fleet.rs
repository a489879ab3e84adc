//! Tests with many processes: gateways, stand-in replicas that log events, a stand-in list service with limited
//! capacity, and open-loop clients.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{
    Gateway, Platform, STREAM_HEAD, closing_events, encode_chunk, header, read_message, text_event,
};

/// A logged event of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaEvent {
    /// A connection was accepted.
    Connected,
    /// A request was received.
    Arrived,
    /// The request waits for a free slot.
    Queued,
    /// The request occupies a slot.
    Started,
    /// The response is sent, or its client has left.
    Finished,
}

/// Events of all replicas: time, number of the replica, event.
pub(crate) type EventLog = Arc<Mutex<Vec<(Instant, usize, ReplicaEvent)>>>;

/// Stand-in replicas with a fixed number of slots each, which a request occupies for a fixed time.
pub(crate) struct Replicas {
    pub addrs: Vec<SocketAddr>,
    pub event_log: EventLog,
    /// Numbers of the replicas that respond 500.
    pub failing: Arc<Mutex<Vec<usize>>>,
}

impl Replicas {
    pub(crate) fn start(count: usize, slots: usize, service_time: Duration) -> Replicas {
        let (event_log, failing) = (EventLog::default(), Arc::new(Mutex::new(Vec::new())));
        let addrs =
            (0..count).map(|n| start_replica(n, slots, service_time, &event_log, &failing)).collect();
        Replicas { addrs, event_log, failing }
    }

    /// Entry of replica `n` in the list.
    pub(crate) fn entry(&self, n: usize, state: &str, started_ms: u64) -> Value {
        super::replica_entry_at(n, self.addrs[n], state, started_ms)
    }

    /// Entries of these replicas, all ready.
    pub(crate) fn entries(&self, of: std::ops::Range<usize>) -> Vec<Value> {
        of.map(|n| self.entry(n, "ready", 0)).collect()
    }

    /// All events so far, sorted by time.
    pub(crate) fn events(&self) -> Vec<(Instant, usize, ReplicaEvent)> {
        let mut events = self.event_log.lock().expect("lock").clone();
        events.sort_by_key(|(at, ..)| *at);
        events
    }
}

fn start_replica(
    n: usize,
    slots: usize,
    service_time: Duration,
    event_log: &EventLog,
    failing: &Arc<Mutex<Vec<usize>>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let free_slots = Arc::new((Mutex::new(slots), Condvar::new()));
    let (event_log, failing) = (event_log.clone(), failing.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (free_slots, event_log, failing) = (free_slots.clone(), event_log.clone(), failing.clone());
            thread::spawn(move || {
                let log = |event| event_log.lock().expect("lock").push((Instant::now(), n, event));
                log(ReplicaEvent::Connected);
                serve(stream, &free_slots, service_time, &log, &|| {
                    failing.lock().expect("lock").contains(&n)
                })
            });
        }
    });
    addr
}

fn serve(
    mut stream: TcpStream,
    free_slots: &(Mutex<usize>, Condvar),
    service_time: Duration,
    log: &dyn Fn(ReplicaEvent),
    is_failing: &dyn Fn() -> bool,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while read_message(&mut reader).is_some() {
        log(ReplicaEvent::Arrived);
        if is_failing() {
            log(ReplicaEvent::Finished);
            stream.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let mut slots = free_slots.0.lock().expect("lock");
        if *slots == 0 {
            log(ReplicaEvent::Queued);
        }
        while *slots == 0 {
            slots = free_slots.1.wait(slots).expect("lock");
        }
        *slots -= 1;
        drop(slots);
        log(ReplicaEvent::Started);
        thread::sleep(service_time);
        let events = text_event("platform", "Left.") + &closing_events("platform");
        let sent =
            stream.write_all((STREAM_HEAD.to_owned() + &encode_chunk(&events) + "0\r\n\r\n").as_bytes());
        *free_slots.0.lock().expect("lock") += 1;
        free_slots.1.notify_one();
        log(ReplicaEvent::Finished);
        sent.ok()?;
    }
    Some(())
}

/// Reaction of the list service to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListServiceBehavior {
    /// Serves calls one after another, and sheds a call with 503 whose wait would exceed `SHED_AFTER`.
    Serving,
    /// Responds 503 to every call, with `Retry-After`.
    Refusing,
    /// Accepts connections and sends nothing.
    NoResponse,
    /// Closes every connection without a response.
    Closing,
}

/// A call that the list service received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub at: Instant,
    /// The response is the list.
    pub is_served: bool,
}

struct ListServiceState {
    version: u64,
    replicas: Vec<Value>,
    behavior: ListServiceBehavior,
    calls: Vec<Call>,
    /// Time at which the last admitted call will be served.
    busy_until: Instant,
    watchers: Vec<std::sync::mpsc::Sender<String>>,
}

/// A stand-in list service that serves one call at a time, each for the same time.
pub(crate) struct ListService {
    pub addr: SocketAddr,
    state: Arc<Mutex<ListServiceState>>,
    is_open: Arc<AtomicBool>,
}

/// Maximum wait of a call at the list service, which sheds calls that would wait longer.
const SHED_AFTER: Duration = Duration::from_millis(500);

impl ListService {
    pub(crate) fn start(replicas: Vec<Value>, calls_per_s: f64) -> ListService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let now = Instant::now();
        let (behavior, calls, watchers) = (ListServiceBehavior::Serving, Vec::new(), Vec::new());
        let state = ListServiceState { version: 2, replicas, behavior, calls, busy_until: now, watchers };
        let (state, is_open) = (Arc::new(Mutex::new(state)), Arc::new(AtomicBool::new(true)));
        let (shared, open_flag) = (state.clone(), is_open.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, is_open) = (shared.clone(), open_flag.clone());
                thread::spawn(move || {
                    watch(stream, &state, Duration::from_secs_f64(1.0 / calls_per_s), &is_open)
                });
            }
        });
        ListService { addr, state, is_open }
    }

    pub(crate) fn set_behavior(&self, behavior: ListServiceBehavior) {
        self.state.lock().expect("lock").behavior = behavior;
    }

    /// All calls received so far.
    pub(crate) fn calls(&self) -> Vec<Call> {
        self.state.lock().expect("lock").calls.clone()
    }

    /// Applies changes to the list, and sends them to all open watches.
    pub(crate) fn publish(&self, changes: Vec<Value>) {
        let mut state = self.state.lock().expect("lock");
        state.version += 1;
        for change in &changes {
            match state.replicas.iter_mut().find(|s| s["id"] == change["id"]) {
                Some(replica) => *replica = change.clone(),
                None => state.replicas.push(change.clone()),
            }
        }
        let line = super::replica_list(state.version, false, changes).to_string();
        state.watchers.retain(|watcher| watcher.send(line.clone()).is_ok());
    }

    /// Number of open watches.
    pub(crate) fn watch_count(&self) -> usize {
        self.state.lock().expect("lock").watchers.len()
    }
}

impl Drop for ListService {
    fn drop(&mut self) {
        self.is_open.store(false, Ordering::SeqCst);
    }
}

fn watch(
    mut stream: TcpStream,
    state: &Mutex<ListServiceState>,
    service_time: Duration,
    is_open: &AtomicBool,
) -> Option<()> {
    let (head, _) = read_message(&mut BufReader::new(stream.try_clone().ok()?))?;
    assert!(head[0].starts_with("GET /catalog/members"), "{}", head[0]);
    assert!(header(&head, "host").is_some());
    let at = Instant::now();
    let (behavior, wait) = {
        let mut state = state.lock().expect("lock");
        let ready = state.busy_until.max(at) + service_time;
        let shed = ready - at > SHED_AFTER;
        let behavior = if state.behavior == ListServiceBehavior::Serving && shed {
            ListServiceBehavior::Refusing
        } else {
            state.behavior
        };
        if behavior == ListServiceBehavior::Serving {
            state.busy_until = ready;
        }
        state.calls.push(Call { at, is_served: behavior == ListServiceBehavior::Serving });
        (behavior, ready - at)
    };
    match behavior {
        ListServiceBehavior::Closing => return None,
        ListServiceBehavior::Refusing => {
            let refusal = "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(refusal.as_bytes()).ok();
        }
        ListServiceBehavior::NoResponse => {
            while is_open.load(Ordering::SeqCst)
                && state.lock().expect("lock").behavior == ListServiceBehavior::NoResponse
            {
                thread::sleep(Duration::from_millis(20));
            }
            return None;
        }
        ListServiceBehavior::Serving => thread::sleep(wait),
    }
    let (send, lines) = channel();
    let first = {
        let mut state = state.lock().expect("lock");
        state.watchers.push(send);
        super::replica_list(state.version, true, state.replicas.clone()).to_string()
    };
    let mut out =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned() + &encode_chunk(&(first + "\n"));
    while is_open.load(Ordering::SeqCst) {
        stream.write_all(out.as_bytes()).ok()?;
        let line = lines.recv_timeout(Duration::from_secs(1)).unwrap_or_default();
        out = encode_chunk(&(line + "\n"));
    }
    Some(())
}

/// Gateway processes with one list service.
pub(crate) struct Fleet {
    /// By number; `None` for a process that is killed.
    pub gateways: Vec<Option<Gateway>>,
    known: Vec<Value>,
    list_service: SocketAddr,
    more: Value,
}

impl Fleet {
    /// Starts all gateways at the same time.
    pub(crate) fn start(count: usize, known: Vec<Value>, list_service: SocketAddr, more: Value) -> Fleet {
        let mut fleet = Fleet { gateways: (0..count).map(|_| None).collect(), known, list_service, more };
        fleet.spawn(&(0..count).collect::<Vec<_>>());
        fleet
    }

    /// Starts these gateways at the same time, and waits until all listen.
    pub(crate) fn spawn(&mut self, which: &[usize]) {
        let children: Vec<_> = which.iter().map(|n| (*n, self.spawn_child(*n))).collect();
        for (n, child) in children {
            self.gateways[n] = Some(Gateway::attach(child));
        }
    }

    fn spawn_child(&self, n: usize) -> (std::process::Child, std::sync::mpsc::Sender<Value>) {
        let mut more = self.more.clone();
        more["group"] = self.gateways.len().into();
        more["me"] = n.into();
        let platform = Platform::with_discovery((self.list_service, channel().0));
        Gateway::spawn_on(&format!("n{n}"), "platform", self.known.clone(), 4, (1024, 1024), more, platform)
    }

    /// Kills these gateways with SIGKILL.
    pub(crate) fn kill(&mut self, which: &[usize]) {
        which.iter().for_each(|n| self.gateways[*n] = None);
    }

    /// Addresses of the fronts by gateway number; `None` for a killed gateway.
    pub(crate) fn fronts(&self) -> Vec<Option<SocketAddr>> {
        self.gateways.iter().map(|g| g.as_ref().map(|g| g.front("platform"))).collect()
    }
}

/// Numbers of requests by their outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OutcomeCounts {
    pub served: usize,
    pub shed: usize,
    /// Truncated or without a response because the gateway was killed.
    pub gateway_killed: usize,
    /// Without a response, truncated, or with an unexpected status, at a gateway that runs.
    pub lost: usize,
}

/// Clients that send at a constant rate regardless of earlier responses, to the gateways in turn.
pub(crate) struct OpenLoopClients {
    fronts: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    counts: Arc<Mutex<OutcomeCounts>>,
    response_times: Arc<Mutex<Vec<(Instant, Duration)>>>,
    pending: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    sender: Option<thread::JoinHandle<()>>,
}

impl OpenLoopClients {
    pub(crate) fn start(fronts: Vec<Option<SocketAddr>>, rate: f64) -> OpenLoopClients {
        let fronts = Arc::new(Mutex::new(fronts));
        let counts = Arc::new(Mutex::new(OutcomeCounts::default()));
        let response_times = Arc::new(Mutex::new(Vec::new()));
        let (pending, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (shared_fronts, shared_counts, shared_times, pending_count, is_stopped) =
            (fronts.clone(), counts.clone(), response_times.clone(), pending.clone(), stop.clone());
        let sender_thread = thread::spawn(move || {
            let from = Instant::now();
            for n in 0.. {
                let due = from + Duration::from_secs_f64(n as f64 / rate);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                pending_count.fetch_add(1, Ordering::SeqCst);
                let (shared_fronts, shared_counts, shared_times, pending_count) = (
                    shared_fronts.clone(),
                    shared_counts.clone(),
                    shared_times.clone(),
                    pending_count.clone(),
                );
                thread::spawn(move || {
                    send_and_count(n, &shared_fronts, &shared_counts, &shared_times);
                    pending_count.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        OpenLoopClients { fronts, counts, response_times, pending, stop, sender: Some(sender_thread) }
    }

    /// Replaces the fronts to which later requests are sent.
    pub(crate) fn set_fronts(&self, fronts: Vec<Option<SocketAddr>>) {
        *self.fronts.lock().expect("lock") = fronts;
    }

    /// Stops the clients and waits for pending requests. Returns the outcomes, and for each served request its start
    /// and the time to the first byte of its response.
    pub(crate) fn stop(mut self) -> (OutcomeCounts, Vec<(Instant, Duration)>) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(sender) = self.sender.take() {
            sender.join().expect("join the sender");
        }
        super::wait_until(|| self.pending.load(Ordering::SeqCst) == 0);
        let response_times = std::mem::take(&mut *self.response_times.lock().expect("lock"));
        (*self.counts.lock().expect("lock"), response_times)
    }
}

fn send_and_count(
    n: u64,
    fronts: &Mutex<Vec<Option<SocketAddr>>>,
    counts: &Mutex<OutcomeCounts>,
    response_times: &Mutex<Vec<(Instant, Duration)>>,
) {
    let at = Instant::now();
    let count = fronts.lock().expect("lock").len();
    // The load balancer in front of the gateways does not use one that is known to be down.
    let front = (0..count).find_map(|k| fronts.lock().expect("lock")[(n as usize + k) % count]);
    let Some(front) = front else { return counts.lock().expect("lock").lost += 1 };
    let response = send_request(front, n);
    let is_running = fronts.lock().expect("lock").contains(&Some(front));
    let mut counts = counts.lock().expect("lock");
    match response {
        Ok((200, true, first)) => {
            counts.served += 1;
            response_times.lock().expect("lock").push((at, first));
        }
        Ok((429 | 503, true, _)) => counts.shed += 1,
        _ if !is_running => counts.gateway_killed += 1,
        other => {
            eprintln!("lost: request {n}: {other:?}");
            counts.lost += 1;
        }
    }
}

/// Sends a request; returns the status, whether the response is complete, and the time to its first byte.
fn send_request(front: SocketAddr, n: u64) -> std::io::Result<(u16, bool, Duration)> {
    let at = Instant::now();
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(super::TEST_TIMEOUT))?;
    let (head, body) = super::request("platform", "plain", 5000, n as usize, "Connection: close\r\n");
    stream.write_all((head + &body).as_bytes())?;
    let mut response = Vec::new();
    let mut first = None;
    let mut buffer = [0; 4096];
    loop {
        match std::io::Read::read(&mut stream, &mut buffer)? {
            0 => break,
            read => {
                first = first.or(Some(at.elapsed()));
                response.extend_from_slice(&buffer[..read]);
            }
        }
    }
    let text = String::from_utf8_lossy(&response);
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    let is_complete = status != Some(200) || text.ends_with("0\r\n\r\n");
    let no_status = || std::io::Error::other(format!("no response: {text:?}"));
    Ok((status.ok_or_else(no_status)?, is_complete, first.unwrap_or_default()))
}

/// Highest ratio, over all windows of `span`, of the arrivals at one of the selected `count` replicas to their mean, and
/// the time at the end of that window. Windows with fewer than `min_arrivals` arrivals are skipped.
pub(crate) fn max_arrival_ratio(
    events: &[(Instant, usize, ReplicaEvent)],
    is_selected: &dyn Fn(usize) -> bool,
    count: usize,
    span: Duration,
    min_arrivals: usize,
) -> (f64, Option<Instant>) {
    let arrivals = events.iter().filter(|(_, n, event)| *event == ReplicaEvent::Arrived && is_selected(*n));
    let mut window: VecDeque<(Instant, usize)> = VecDeque::new();
    let mut counts = std::collections::BTreeMap::<usize, usize>::new();
    let mut highest = (0.0, None);
    for (at, n, _) in arrivals {
        window.push_back((*at, *n));
        *counts.entry(*n).or_default() += 1;
        while window.front().is_some_and(|(first, _)| *first + span <= *at) {
            if let Some((_, expired)) = window.pop_front() {
                *counts.entry(expired).or_default() -= 1;
            }
        }
        let most = counts.values().copied().max().unwrap_or(0) as f64;
        let ratio = most * count as f64 / window.len() as f64;
        if window.len() >= min_arrivals && ratio > highest.0 {
            highest = (ratio, Some(*at));
        }
    }
    highest
}

/// Longest time during which one selected replica was idle while another had a queue.
pub(crate) fn idle_while_queued(
    events: &[(Instant, usize, ReplicaEvent)],
    is_selected: &dyn Fn(usize) -> bool,
) -> Duration {
    // In-flight and queued requests of each replica. A replica without an arrival so far counts as idle.
    let mut state: std::collections::BTreeMap<usize, (i64, i64)> =
        events.iter().filter(|(_, n, _)| is_selected(*n)).map(|(_, n, _)| (*n, (0, 0))).collect();
    let (mut since, mut longest) = (None, Duration::ZERO);
    for (at, n, event) in events.iter().filter(|(_, n, _)| is_selected(*n)) {
        let (in_flight, queued) = state.entry(*n).or_default();
        match event {
            ReplicaEvent::Connected => {}
            ReplicaEvent::Arrived => *in_flight += 1,
            ReplicaEvent::Queued => *queued += 1,
            ReplicaEvent::Started => *queued = (*queued - 1).max(0),
            ReplicaEvent::Finished => *in_flight -= 1,
        }
        let is_idle_beside_queue =
            state.values().any(|(h, _)| *h == 0) && state.values().any(|(_, q)| *q > 0);
        since = if is_idle_beside_queue { since.or(Some(*at)) } else { None };
        longest = longest.max(since.map_or(Duration::ZERO, |since| *at - since));
    }
    longest
}
