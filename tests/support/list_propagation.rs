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

/// What the list service does with calls and with open watches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behaviour {
    /// Responds at once.
    Healthy,
    /// Accepts calls without a response; open watches become idle for good.
    NoResponse,
    /// Like `NoResponse`, after the head of a response.
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
    behaviour: Behaviour,
    /// Number of changes of the behaviour, by which a watch knows whether it was opened before the last
    /// one.
    changes: usize,
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
    socket.set_reuse_port(true).expect("set");
    socket.bind(&addr.into()).expect("its port");
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
        let addr = reservation.local_addr().expect("an address").as_socket().expect("of IP");
        let (written, calls) = (Vec::new(), Vec::new());
        let line_interval = Duration::from_secs(2);
        let state = State {
            behaviour: Behaviour::Healthy,
            changes: 0,
            version: 2,
            replicas,
            written,
            calls,
            line_interval,
        };
        let list_service = ListService { addr, state: Arc::new(Mutex::new(state)), indented };
        let service = list_service.clone();
        let listener = list_service.open();
        thread::spawn(move || service.listen(reservation, listener));
        list_service
    }

    /// `_reservation` keeps the port while the service does not listen: connections are refused, and the
    /// port is not assigned to another process.
    fn listen(self, _reservation: Socket, listener: TcpListener) {
        let mut open = Some(listener);
        loop {
            let away = self.state().behaviour == Behaviour::NotListening;
            match (&open, away) {
                (Some(_), true) => drop(open.take()),
                (None, false) => open = Some(self.open()),
                (Some(listener), false) => {
                    if let Ok((stream, _)) = listener.accept() {
                        stream.set_nonblocking(false).expect("set");
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

    fn open(&self) -> TcpListener {
        let socket = bound_socket(self.addr);
        socket.listen(BACKLOG).expect("listens");
        socket.set_nonblocking(true).expect("set");
        socket.into()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Sets the behaviour and returns the time.
    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) -> Instant {
        let mut state = self.state();
        (state.behaviour, state.changes) = (behaviour, state.changes + 1);
        Instant::now()
    }

    /// Makes open watches idle, while calls get responses as before. Returns the time.
    pub(crate) fn make_watches_idle(&self) -> Instant {
        let from = self.set_behaviour(Behaviour::NoResponse);
        // By then each watch has seen the change.
        thread::sleep(Duration::from_millis(30));
        self.set_behaviour(Behaviour::Healthy);
        from
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

    /// When the current version was first written to a caller.
    pub(crate) fn written(&self) -> Option<Instant> {
        let state = self.state();
        state.written.iter().find(|(version, _)| *version >= state.version).map(|(_, at)| *at)
    }

    /// Number of calls since `from`.
    pub(crate) fn calls_since(&self, from: Instant) -> usize {
        self.state().calls.iter().filter(|at| **at >= from).count()
    }

    fn object(&self) -> (u64, String) {
        let state = self.state();
        let object = replica_list(state.version, true, state.replicas.clone());
        let form =
            if self.indented { serde_json::to_string_pretty } else { serde_json::to_string::<Value> };
        (state.version, form(&object).expect("text") + "\n")
    }

    fn respond(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        read_message(&mut reader)?;
        let (behaviour, changes) = {
            let mut state = self.state();
            state.calls.push(Instant::now());
            (state.behaviour, state.changes)
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        match behaviour {
            Behaviour::Healthy | Behaviour::HeadOnly => stream.write_all(head.as_bytes()).ok()?,
            Behaviour::LateHead(ms) => {
                thread::sleep(Duration::from_millis(ms));
                stream.write_all(head.as_bytes()).ok()?;
            }
            Behaviour::Unavailable => {
                return stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").ok();
            }
            Behaviour::RetryAfter(ms) => {
                let wait = ms as f64 / 1000.0;
                let response =
                    format!("HTTP/1.1 503 No\r\nRetry-After: {wait}\r\nContent-Length: 0\r\n\r\n");
                return stream.write_all(response.as_bytes()).ok();
            }
            Behaviour::Reset => {
                reset(&stream);
                return None;
            }
            Behaviour::NoResponse | Behaviour::NotListening => {}
        }
        if behaviour != Behaviour::Healthy {
            // Until the caller closes the connection.
            let _ = read_message(&mut reader);
            return None;
        }
        let (mut sent_version, mut last) = (0, Instant::now());
        loop {
            let now = self.state().behaviour;
            let older = self.state().changes > changes;
            match now {
                Behaviour::Reset | Behaviour::NotListening => {
                    reset(&stream);
                    return None;
                }
                Behaviour::Unavailable | Behaviour::RetryAfter(_) => return None,
                _ if older => {
                    let _ = read_message(&mut reader);
                    return None;
                }
                _ => {}
            }
            let (version, object) = self.object();
            if version > sent_version {
                stream.write_all(encode_chunk(&object).as_bytes()).ok()?;
                (sent_version, last) = (version, Instant::now());
                self.state().written.push((version, last));
            } else if last.elapsed() > self.state().line_interval {
                stream.write_all(encode_chunk("\n").as_bytes()).ok()?;
                last = Instant::now();
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn reset(stream: &TcpStream) {
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

/// Two replicas, the first of which is drained, their list service, and a gateway with clients that send
/// requests.
pub(crate) struct Scenario {
    pub list_service: ListService,
    pub gateway: Gateway,
    arrivals: [Arc<Mutex<Vec<Instant>>>; 2],
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Scenario {
    /// `way` is the discovery mode in the settings, and `max_list_age_s` the maximum age of the list. The
    /// gateway's persisted list has both replicas as ready, whatever the service's list has.
    pub(crate) fn new(way: &str, max_list_age_s: u64, indented: bool, drained: bool) -> Scenario {
        Scenario::of((0, 1), way, max_list_age_s, indented, drained)
    }

    /// The same with a gateway of this index in a group of this size.
    pub(crate) fn of(
        (me, group): (u32, u32),
        way: &str,
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
        let more = json!({"way": way, "ask_within_s": max_list_age_s, "me": me, "group": group});
        let gateway =
            Gateway::attach(Gateway::spawn_on("n0", "platform", replicas, 3, (1024, 1024), more, platform));
        let stop = Arc::new(AtomicBool::new(false));
        // Many scenarios run at once. With shorter pauses, a busy machine is so slow that gateways shed
        // load.
        let pause = Duration::from_millis(25);
        let (front, next) = (gateway.front("platform"), Arc::new(AtomicUsize::new(1)));
        let clients = (0..3).map(|_| {
            let (stop, next) = (stop.clone(), next.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let session = next.fetch_add(1, Ordering::SeqCst);
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
                scenario.list_service.written().is_some()
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

    /// Waits until the drain is written, and for some time after the propagation deadline and the grace
    /// period. Checks that the drained replica got no requests after that, while the other one did. Returns
    /// the time from `from` until the drain was written.
    pub(crate) fn check_drain(mut self, what: &str, from: Instant, deadline: Duration) -> Duration {
        wait_until(|| self.list_service.written().is_some());
        let written = self.list_service.written().expect("just checked");
        let due = from + deadline + GRACE + SLACK;
        let until = due.max(written + GRACE) + Duration::from_millis(300);
        // A drain that was written early is also obeyed early; there is nothing to see in the remaining
        // time.
        let until = until.min(written + GRACE + Duration::from_millis(500)).max(Instant::now());
        thread::sleep(until - Instant::now());
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client.join().expect("all requests are served");
        }
        let took = written.saturating_duration_since(from);
        println!("{what}: written after {took:?}");
        let end = due.min(written + GRACE + SLACK);
        assert_eq!(
            self.requests_since(0, Some(end)),
            0,
            "{what}: sent to a drained replica, drain written after {took:?}"
        );
        assert!(written <= due, "{what}: written after {took:?}, deadline {deadline:?}");
        assert!(
            self.requests_since(1, Some(written + GRACE)) > 0,
            "{what}: the other replica got no requests"
        );
        took
    }
}

/// Grace period of a drain in the settings.
pub(crate) const GRACE: Duration = Duration::from_millis(250);
/// Allowance for other load on the machine.
pub(crate) const SLACK: Duration = Duration::from_millis(100);
