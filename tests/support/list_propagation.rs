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
    Gateway, HEAD, Platform, Seen, Server, chunk, closing, entry, eventually, list, message, scripted,
    seen, send, text,
};

/// What the list service does with calls and with open watches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mood {
    /// Responds at once.
    Well,
    /// Accepts calls without a response; open watches become idle for good.
    Mute,
    /// Like `NoResponse`, after the head of a response.
    HeadOnly,
    /// Like `HeadOnly`, with the head sent after this many milliseconds.
    LateHead(u64),
    /// Resets calls and open watches.
    Reset,
    /// Responds 503 to calls, and ends open watches.
    Sorry,
    /// Responds 503 to calls with a `Retry-After` of this many milliseconds, and ends open watches.
    Later(u64),
    /// Does not listen, and resets open watches.
    Away,
}

struct Inside {
    mood: Mood,
    /// Number of changes of the behaviour, by which a watch knows whether it was opened before the last
    /// one.
    moods: usize,
    version: u64,
    servers: Vec<Value>,
    /// Time of each write of a list, with its version.
    written: Vec<(u64, Instant)>,
    /// Time of each call.
    calls: Vec<Instant>,
    /// Interval of the empty lines on a watch without changes.
    every: Duration,
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
pub(crate) struct Lists {
    pub addr: SocketAddr,
    inside: Arc<Mutex<Inside>>,
    indented: bool,
}

impl Lists {
    /// Starts a service with these replicas in version 2; `indented` is whether it writes indented JSON.
    pub(crate) fn new(servers: Vec<Value>, indented: bool) -> Lists {
        let reservation = bound_socket(SocketAddr::from(([127, 0, 0, 1], 0)));
        let addr = reservation.local_addr().expect("an address").as_socket().expect("of IP");
        let (written, calls) = (Vec::new(), Vec::new());
        let every = Duration::from_secs(2);
        let inside = Inside { mood: Mood::Well, moods: 0, version: 2, servers, written, calls, every };
        let lists = Lists { addr, inside: Arc::new(Mutex::new(inside)), indented };
        let kept = lists.clone();
        let listener = lists.open();
        thread::spawn(move || kept.listen(reservation, listener));
        lists
    }

    /// `_reservation` keeps the port while the service does not listen: connections are refused, and the
    /// port is not assigned to another process.
    fn listen(self, _reservation: Socket, listener: TcpListener) {
        let mut open = Some(listener);
        loop {
            let away = self.inside().mood == Mood::Away;
            match (&open, away) {
                (Some(_), true) => drop(open.take()),
                (None, false) => open = Some(self.open()),
                (Some(listener), false) => {
                    if let Ok((stream, _)) = listener.accept() {
                        stream.set_nonblocking(false).expect("set");
                        let this = self.clone();
                        thread::spawn(move || this.answer(stream));
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

    fn inside(&self) -> std::sync::MutexGuard<'_, Inside> {
        self.inside.lock().expect("whole")
    }

    /// Sets the behaviour and returns the time.
    pub(crate) fn become_(&self, mood: Mood) -> Instant {
        let mut inside = self.inside();
        (inside.mood, inside.moods) = (mood, inside.moods + 1);
        Instant::now()
    }

    /// Makes open watches idle, while calls get responses as before. Returns the time.
    pub(crate) fn make_watches_idle(&self) -> Instant {
        let from = self.become_(Mood::Mute);
        // By then each watch has seen the change.
        thread::sleep(Duration::from_millis(30));
        self.become_(Mood::Well);
        from
    }

    /// Sets the interval of empty lines. Returns the time.
    pub(crate) fn lines_every(&self, every: Duration) -> Instant {
        self.inside().every = every;
        Instant::now()
    }

    /// Drains a replica. Returns the time.
    pub(crate) fn drain(&self, n: usize) -> Instant {
        let mut inside = self.inside();
        inside.version += 1;
        inside.servers[n]["state"] = "draining".into();
        Instant::now()
    }

    /// When the current version was first written to a caller.
    pub(crate) fn written(&self) -> Option<Instant> {
        let inside = self.inside();
        inside.written.iter().find(|(version, _)| *version >= inside.version).map(|(_, at)| *at)
    }

    /// Number of calls since `from`.
    pub(crate) fn calls_since(&self, from: Instant) -> usize {
        self.inside().calls.iter().filter(|at| **at >= from).count()
    }

    fn object(&self) -> (u64, String) {
        let inside = self.inside();
        let object = list(inside.version, true, inside.servers.clone());
        let form =
            if self.indented { serde_json::to_string_pretty } else { serde_json::to_string::<Value> };
        (inside.version, form(&object).expect("text") + "\n")
    }

    fn answer(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        message(&mut reader)?;
        let (mood, moods) = {
            let mut inside = self.inside();
            inside.calls.push(Instant::now());
            (inside.mood, inside.moods)
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        match mood {
            Mood::Well => stream.write_all(head.as_bytes()).ok()?,
            Mood::HeadOnly => stream.write_all(head.as_bytes()).ok()?,
            Mood::LateHead(ms) => {
                thread::sleep(Duration::from_millis(ms));
                stream.write_all(head.as_bytes()).ok()?;
            }
            Mood::Sorry => {
                return stream.write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n").ok();
            }
            Mood::Later(ms) => {
                let wait = ms as f64 / 1000.0;
                let answer = format!("HTTP/1.1 503 No\r\nRetry-After: {wait}\r\nContent-Length: 0\r\n\r\n");
                return stream.write_all(answer.as_bytes()).ok();
            }
            Mood::Reset => {
                reset(&stream);
                return None;
            }
            Mood::Mute | Mood::Away => {}
        }
        if mood != Mood::Well {
            // Until the caller closes the connection.
            let _ = message(&mut reader);
            return None;
        }
        let (mut told, mut last) = (0, Instant::now());
        loop {
            let now = self.inside().mood;
            let older = self.inside().moods > moods;
            match now {
                Mood::Reset | Mood::Away => {
                    reset(&stream);
                    return None;
                }
                Mood::Sorry | Mood::Later(_) => return None,
                _ if older => {
                    let _ = message(&mut reader);
                    return None;
                }
                _ => {}
            }
            let (version, object) = self.object();
            if version > told {
                stream.write_all(chunk(&object).as_bytes()).ok()?;
                (told, last) = (version, Instant::now());
                self.inside().written.push((version, last));
            } else if last.elapsed() > self.inside().every {
                stream.write_all(chunk("\n").as_bytes()).ok()?;
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
pub(crate) fn noting() -> (Server, Arc<Mutex<Vec<Instant>>>) {
    let came: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let noted = came.clone();
    let rest = text("platform", "Hello") + &closing("platform");
    let (server, _) = scripted(move |stream, _| {
        noted.lock().expect("whole").push(Instant::now());
        stream.write_all((HEAD.to_owned() + &chunk(&rest) + "0\r\n\r\n").as_bytes()).is_ok()
    });
    (server, came)
}

/// Two replicas, the first of which is drained, their list service, and a gateway with clients that send
/// requests.
pub(crate) struct Scene {
    pub lists: Lists,
    pub gateway: Gateway,
    came: [Arc<Mutex<Vec<Instant>>>; 2],
    over: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Scene {
    /// `way` is the discovery mode in the settings, and `ask_within_s` the maximum age of the list. The
    /// gateway's persisted list has both replicas as ready, whatever the service's list has.
    pub(crate) fn new(way: &str, ask_within_s: u64, indented: bool, drained: bool) -> Scene {
        Scene::of((0, 1), way, ask_within_s, indented, drained)
    }

    /// The same with a gateway of this index in a group of this size.
    pub(crate) fn of(
        (me, group): (u32, u32),
        way: &str,
        ask_within_s: u64,
        indented: bool,
        drained: bool,
    ) -> Scene {
        let ((one, came_one), (two, came_two)) = (noting(), noting());
        let servers = vec![entry(0, &one, "ready", 0), entry(1, &two, "ready", 0)];
        let lists = Lists::new(servers.clone(), indented);
        if drained {
            lists.drain(0);
        }
        let platform = Platform::with((lists.addr, channel().0));
        let more = json!({"way": way, "ask_within_s": ask_within_s, "me": me, "group": group});
        let gateway =
            Gateway::watched(Gateway::spawn_by("n0", "platform", servers, 3, (1024, 1024), more, platform));
        let over = Arc::new(AtomicBool::new(false));
        // Many scenarios run at once. With shorter pauses, a busy machine is so slow that gateways shed
        // load.
        let pause = Duration::from_millis(25);
        let (front, next) = (gateway.front("platform"), Arc::new(AtomicUsize::new(1)));
        let clients = (0..3).map(|_| {
            let (over, next) = (over.clone(), next.clone());
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let session = next.fetch_add(1, Ordering::SeqCst);
                    assert_eq!(
                        seen("platform", send(front, "platform", "plain", 9000, session)).0,
                        Seen::Served("Hello".into())
                    );
                    thread::sleep(pause);
                }
            })
        });
        let clients = clients.collect();
        let scene = Scene { lists, gateway, came: [came_one, came_two], over, clients };
        if !drained {
            eventually(|| {
                scene.lists.written().is_some() && scene.since(0, None) > 5 && scene.since(1, None) > 5
            });
        }
        scene
    }

    /// Number of requests that reached a replica, since `from` if it is given.
    pub(crate) fn since(&self, n: usize, from: Option<Instant>) -> usize {
        let came = self.came[n].lock().expect("whole");
        came.iter().filter(|at| from.is_none_or(|from| **at > from)).count()
    }

    /// Waits until the drain is written, and for some time after the propagation deadline and the grace
    /// period. Checks that the drained replica got no requests after that, while the other one did. Returns
    /// the time from `from` until the drain was written.
    pub(crate) fn holds(mut self, what: &str, from: Instant, counted: Duration) -> Duration {
        eventually(|| self.lists.written().is_some());
        let written = self.lists.written().expect("just seen");
        let due = from + counted + GRACE + SLACK;
        let until = due.max(written + GRACE) + Duration::from_millis(300);
        // A drain that was written early is also obeyed early; there is nothing to see in the remaining
        // time.
        let until = until.min(written + GRACE + Duration::from_millis(500)).max(Instant::now());
        thread::sleep(until - Instant::now());
        self.over.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            client.join().expect("all are served");
        }
        let took = written.saturating_duration_since(from);
        println!("{what}: told after {took:?}");
        let end = due.min(written + GRACE + SLACK);
        assert_eq!(self.since(0, Some(end)), 0, "{what}: sent to a drained server, told after {took:?}");
        assert!(written <= due, "{what}: told after {took:?}, which counts after {counted:?}");
        assert!(self.since(1, Some(written + GRACE)) > 0, "{what}: the other one serves");
        took
    }
}

/// Grace period of a drain in the settings.
pub(crate) const GRACE: Duration = Duration::from_millis(250);
/// Allowance for other load on the machine.
pub(crate) const SLACK: Duration = Duration::from_millis(100);
