//! A list service with selectable faults, replicas that record the arrival of requests, and clients that
//! send requests.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use super::{
    ClientOutcome, Gateway, Platform, STREAM_HEAD, StandInReplica, closing_events, encode_chunk,
    read_message, read_outcome, replica_entry, replica_list, send, start_scripted_replica, text_event,
    wait_until,
};

/// The behavior of the list service for calls and open watches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ListServiceBehavior {
    /// Responds at once.
    Healthy,
    /// Accepts calls without a response; open watches become idle permanently.
    NoResponse,
    /// Sends the head of a response, and then nothing; open watches become idle permanently.
    HeadOnly,
    /// Like `HeadOnly`, with the head sent after this many milliseconds.
    LateHead(u64),
    /// Resets calls and open watches.
    Reset,
    /// Responds 503 to calls, and ends open watches.
    Unavailable,
    /// Responds 503 to calls with a `Retry-After` of this many milliseconds, and ends open watches.
    RetryAfter(u64),
    /// Does not listen, and resets open watches.
    NotListening,
}

struct State {
    behavior: ListServiceBehavior,
    /// Number of changes of the behavior, from which a watch detects that it was opened before the last change.
    behavior_changes: usize,
    version: u64,
    replicas: Vec<Value>,
    /// Time of each write of a list, with its version.
    written: Vec<(u64, Instant)>,
    /// Time of each call.
    calls: Vec<Instant>,
    /// Interval of the empty lines on a watch without changes.
    line_interval: Duration,
}

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// Binds a socket with `SO_REUSEPORT` to an address that other such sockets may share.
fn bound_socket(addr: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_port(true).expect("set SO_REUSEPORT");
    socket.bind(&addr.into()).expect("bind the socket");
    socket
}

/// The list service.
#[derive(Clone)]
pub(crate) struct ListService {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    indented: bool,
}

impl ListService {
    /// Starts a service with these replicas in version 2; `indented` is whether it writes indented JSON.
    pub(crate) fn new(replicas: Vec<Value>, indented: bool) -> ListService {
        let reservation = bound_socket(SocketAddr::from(([127, 0, 0, 1], 0)));
        let addr = reservation.local_addr().expect("an address").as_socket().expect("an IP address");
        let (written, calls) = (Vec::new(), Vec::new());
        let line_interval = Duration::from_secs(2);
        let state = State {
            behavior: ListServiceBehavior::Healthy,
            behavior_changes: 0,
            version: 2,
            replicas,
            written,
            calls,
            line_interval,
        };
        let list_service = ListService { addr, state: Arc::new(Mutex::new(state)), indented };
        let service = list_service.clone();
        let listener = list_service.open_listener();
        thread::spawn(move || service.listen(reservation, listener));
        list_service
    }

    /// `_reservation` keeps the port while the service does not listen: connections are refused, and the
    /// port is not assigned to another process.
    fn listen(self, _reservation: Socket, listener: TcpListener) {
        let mut open = Some(listener);
        loop {
            let must_not_listen = self.state().behavior == ListServiceBehavior::NotListening;
            match (&open, must_not_listen) {
                (Some(_), true) => drop(open.take()),
                (None, false) => open = Some(self.open_listener()),
                (Some(listener), false) => {
                    if let Ok((stream, _)) = listener.accept() {
                        stream.set_nonblocking(false).expect("make the stream blocking");
                        let this = self.clone();
                        thread::spawn(move || this.respond(stream));
                        continue;
                    }
                }
                _ => {}
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn open_listener(&self) -> TcpListener {
        let socket = bound_socket(self.addr);
        socket.listen(BACKLOG).expect("listen");
        socket.set_nonblocking(true).expect("make the listener non-blocking");
        socket.into()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Sets the behavior and returns the time.
    pub(crate) fn set_behavior(&self, behavior: ListServiceBehavior) -> Instant {
        let mut state = self.state();
        (state.behavior, state.behavior_changes) = (behavior, state.behavior_changes + 1);
        Instant::now()
    }

    /// Makes open watches idle. Calls get no response for 30 ms, and then responses as before. Returns the time.
    pub(crate) fn make_watches_idle(&self) -> Instant {
        let changed_at = self.set_behavior(ListServiceBehavior::NoResponse);
        // Each watch checks the behavior every 2 ms, so it sees the change within this time.
        thread::sleep(Duration::from_millis(30));
        self.set_behavior(ListServiceBehavior::Healthy);
        changed_at
    }

    /// Sets the interval of empty lines. Returns the time.
    pub(crate) fn set_line_interval(&self, line_interval: Duration) -> Instant {
        self.state().line_interval = line_interval;
        Instant::now()
    }

    /// Drains a replica. Returns the time.
    pub(crate) fn drain(&self, n: usize) -> Instant {
        let mut state = self.state();
        state.version += 1;
        state.replicas[n]["state"] = "draining".into();
        Instant::now()
    }

    /// The time at which the current version was first written to a caller.
    pub(crate) fn written_at(&self) -> Option<Instant> {
        let state = self.state();
        state.written.iter().find(|(version, _)| *version >= state.version).map(|(_, at)| *at)
    }

    /// Number of calls since `from`.
    pub(crate) fn calls_since(&self, from: Instant) -> usize {
        self.state().calls.iter().filter(|at| **at >= from).count()
    }

    fn versioned_list_json(&self) -> (u64, String) {
        let state = self.state();
        let list = replica_list(state.version, true, state.replicas.clone());
        let serialize =
            if self.indented { serde_json::to_string_pretty } else { serde_json::to_string::<Value> };
        (state.version, serialize(&list).expect("serialize the list") + "\n")
    }

    fn respond(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        read_message(&mut reader)?;
        let (behavior, behavior_changes) = {
            let mut state = self.state();
            state.calls.push(Instant::now());
            (state.behavior, state.behavior_changes)
        };
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        match behavior {
            ListServiceBehavior::Healthy | ListServiceBehavior::HeadOnly => stream.write_all(head).ok()?,
            ListServiceBehavior::LateHead(ms) => {
                thread::sleep(Duration::from_millis(ms));
                stream.write_all(head).ok()?;
            }
            ListServiceBehavior::Unavailable => {
                return stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").ok();
            }
            ListServiceBehavior::RetryAfter(ms) => {
                let wait = ms as f64 / 1000.0;
                let response =
                    format!("HTTP/1.1 503 No\r\nRetry-After: {wait}\r\nContent-Length: 0\r\n\r\n");
                return stream.write_all(response.as_bytes()).ok();
            }
            ListServiceBehavior::Reset => {
                reset_on_close(&stream);
                return None;
            }
            ListServiceBehavior::NoResponse | ListServiceBehavior::NotListening => {}
        }
        if behavior != ListServiceBehavior::Healthy {
            // Waits until the caller closes the connection.
            let _ = read_message(&mut reader);
            return None;
        }
        let (mut sent_version, mut last_write_at) = (0, Instant::now());
        loop {
            let current_behavior = self.state().behavior;
            let is_older_than_change = self.state().behavior_changes > behavior_changes;
            match current_behavior {
                ListServiceBehavior::Reset | ListServiceBehavior::NotListening => {
                    reset_on_close(&stream);
                    return None;
                }
                ListServiceBehavior::Unavailable | ListServiceBehavior::RetryAfter(_) => return None,
                _ if is_older_than_change => {
                    let _ = read_message(&mut reader);
                    return None;
                }
                _ => {}
            }
            let (version, list) = self.versioned_list_json();
            if version > sent_version {
                stream.write_all(encode_chunk(&list).as_bytes()).ok()?;
                (sent_version, last_write_at) = (version, Instant::now());
                self.state().written.push((version, last_write_at));
            } else if last_write_at.elapsed() > self.state().line_interval {
                stream.write_all(encode_chunk("\n").as_bytes()).ok()?;
                last_write_at = Instant::now();
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn reset_on_close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A replica that responds at once and records the arrival of each request.
pub(crate) fn recording_replica() -> (StandInReplica, Arc<Mutex<Vec<Instant>>>) {
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded = arrivals.clone();
    let rest = text_event("platform", "Hello") + &closing_events("platform");
    let (replica, _) = start_scripted_replica(move |stream, _| {
        recorded.lock().expect("not poisoned").push(Instant::now());
        stream.write_all((STREAM_HEAD.to_owned() + &encode_chunk(&rest) + "0\r\n\r\n").as_bytes()).is_ok()
    });
    (replica, arrivals)
}

/// Two replicas, their list service, and a gateway with clients that send requests. A test drains the first replica.
pub(crate) struct Scenario {
    pub list_service: ListService,
    pub gateway: Gateway,
    arrivals: [Arc<Mutex<Vec<Instant>>>; 2],
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Scenario {
    /// `discovery_mode` is the mode in the settings, and `max_list_age_s` the maximum age of the list. The
    /// gateway's persisted list has both replicas as ready, whatever the service's list has.
    pub(crate) fn new(
        discovery_mode: &str,
        max_list_age_s: u64,
        indented: bool,
        drained: bool,
    ) -> Scenario {
        Scenario::in_group((0, 1), discovery_mode, max_list_age_s, indented, drained)
    }

    /// Like `new`, with a gateway that has index `index` in a group of `group_size`.
    pub(crate) fn in_group(
        (index, group_size): (u32, u32),
        discovery_mode: &str,
        max_list_age_s: u64,
        indented: bool,
        drained: bool,
    ) -> Scenario {
        let ((one, arrivals_one), (two, arrivals_two)) = (recording_replica(), recording_replica());
        let replicas = vec![replica_entry(0, &one, "ready", 0), replica_entry(1, &two, "ready", 0)];
        let list_service = ListService::new(replicas.clone(), indented);
        if drained {
            list_service.drain(0);
        }
        let platform = Platform::with_discovery((list_service.addr, channel().0));
        let extra_settings = json!({
            "way": discovery_mode, "ask_within_s": max_list_age_s, "me": index, "group": group_size
        });
        let gateway = Gateway::attach(Gateway::spawn_on(
            "n0",
            "platform",
            replicas,
            3,
            (1024, 1024),
            extra_settings,
            platform,
        ));
        let stop = Arc::new(AtomicBool::new(false));
        // Many scenarios run at once. With shorter pauses, a busy machine is so slow that gateways shed
        // load.
        let pause = Duration::from_millis(25);
        let (front, next_session) = (gateway.front("platform"), Arc::new(AtomicUsize::new(1)));
        let clients = (0..3).map(|_| {
            let (stop, next_session) = (stop.clone(), next_session.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let session = next_session.fetch_add(1, Ordering::SeqCst);
                    assert_eq!(
                        read_outcome("platform", send(front, "platform", "plain", 9000, session)).0,
                        ClientOutcome::Served("Hello".into())
                    );
                    thread::sleep(pause);
                }
            })
        });
        let clients = clients.collect();
        let scenario =
            Scenario { list_service, gateway, arrivals: [arrivals_one, arrivals_two], stop, clients };
        if !drained {
            wait_until(|| {
                scenario.list_service.written_at().is_some()
                    && scenario.requests_since(0, None) > 5
                    && scenario.requests_since(1, None) > 5
            });
        }
        scenario
    }

    /// Number of requests that reached a replica, since `from` if it is given.
    pub(crate) fn requests_since(&self, n: usize, from: Option<Instant>) -> usize {
        let arrivals = self.arrivals[n].lock().expect("not poisoned");
        arrivals.iter().filter(|at| from.is_none_or(|from| **at > from)).count()
    }

    /// Checks that the drain was written by the deadline, and that after the grace period only the other replica got
    /// requests. Waits until the drain is written, and for some time after the propagation deadline and the grace
    /// period. Returns the time from `from` until the drain was written.
    pub(crate) fn check_drain(mut self, case: &str, from: Instant, deadline: Duration) -> Duration {
        wait_until(|| self.list_service.written_at().is_some());
        let written_at = self.list_service.written_at().expect("just checked");
        let due = from + deadline + GRACE + SLACK;
        let until = due.max(written_at + GRACE) + Duration::from_millis(300);
        // If the drain was written early, waiting 500 ms after its grace period is enough.
        let until = until.min(written_at + GRACE + Duration::from_millis(500)).max(Instant::now());
        thread::sleep(until - Instant::now());
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client.join().expect("all requests are served");
        }
        let propagation_time = written_at.saturating_duration_since(from);
        println!("{case}: the drain was written after {propagation_time:?}");
        let end = due.min(written_at + GRACE + SLACK);
        assert_eq!(
            self.requests_since(0, Some(end)),
            0,
            "{case}: requests were sent to the drained replica; the drain was written after {propagation_time:?}"
        );
        assert!(
            written_at <= due,
            "{case}: the drain was written after {propagation_time:?}, with a limit of {:?}",
            due - from
        );
        assert!(
            self.requests_since(1, Some(written_at + GRACE)) > 0,
            "{case}: the other replica got no requests"
        );
        propagation_time
    }
}

/// Grace period of a drain in the settings.
pub(crate) const GRACE: Duration = Duration::from_millis(250);
/// Allowance for other load on the machine.
pub(crate) const SLACK: Duration = Duration::from_millis(100);
