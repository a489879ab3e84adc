//! Many processes at once: gateways, stand-in replicas that take down what reaches them, a stand-in list service
//! with a pace of its own, and open-loop clients.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{Gateway, HEAD, Platform, chunk, closing, header, message, text};

/// What is taken down at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    /// A connection came.
    Connected,
    /// A request came.
    Arrived,
    /// It waits for a place.
    Queued,
    /// It has a place.
    Begun,
    /// Its answer is out, or nobody waits for it.
    Over,
}

/// What happened at the replicas: when, where, what.
pub(crate) type Record = Arc<Mutex<Vec<(Instant, usize, Seen)>>>;

/// Stand-in replicas of some places each, on which a request stays for a while.
pub(crate) struct Servers {
    pub addrs: Vec<SocketAddr>,
    pub record: Record,
    /// Those that answer with an error, by number.
    pub failing: Arc<Mutex<Vec<usize>>>,
}

impl Servers {
    pub(crate) fn start(count: usize, places: usize, stay: Duration) -> Servers {
        let (record, failing) = (Record::default(), Arc::new(Mutex::new(Vec::new())));
        let addrs = (0..count).map(|n| real_server(n, places, stay, &record, &failing)).collect();
        Servers { addrs, record, failing }
    }

    /// Its line in the list.
    pub(crate) fn entry(&self, n: usize, state: &str, started_ms: u64) -> Value {
        super::entry_at(n, self.addrs[n], state, started_ms)
    }

    pub(crate) fn entries(&self, of: std::ops::Range<usize>) -> Vec<Value> {
        of.map(|n| self.entry(n, "ready", 0)).collect()
    }

    /// All that was taken down so far, in the order of time.
    pub(crate) fn taken(&self) -> Vec<(Instant, usize, Seen)> {
        let mut taken = self.record.lock().expect("whole").clone();
        taken.sort_by_key(|(at, ..)| *at);
        taken
    }
}

fn real_server(
    n: usize,
    places: usize,
    stay: Duration,
    record: &Record,
    failing: &Arc<Mutex<Vec<usize>>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let free = Arc::new((Mutex::new(places), Condvar::new()));
    let (record, failing) = (record.clone(), failing.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (free, record, failing) = (free.clone(), record.clone(), failing.clone());
            thread::spawn(move || {
                let note = |what| record.lock().expect("whole").push((Instant::now(), n, what));
                note(Seen::Connected);
                serve(stream, &free, stay, &note, &|| failing.lock().expect("whole").contains(&n))
            });
        }
    });
    addr
}

fn serve(
    mut stream: TcpStream,
    free: &(Mutex<usize>, Condvar),
    stay: Duration,
    note: &dyn Fn(Seen),
    fails: &dyn Fn() -> bool,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while message(&mut reader).is_some() {
        note(Seen::Arrived);
        if fails() {
            note(Seen::Over);
            stream.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let mut places = free.0.lock().expect("whole");
        if *places == 0 {
            note(Seen::Queued);
        }
        while *places == 0 {
            places = free.1.wait(places).expect("whole");
        }
        *places -= 1;
        drop(places);
        note(Seen::Begun);
        thread::sleep(stay);
        let rest = text("platform", "Left.") + &closing("platform");
        let sent = stream.write_all((HEAD.to_owned() + &chunk(&rest) + "0\r\n\r\n").as_bytes());
        *free.0.lock().expect("whole") += 1;
        free.1.notify_one();
        note(Seen::Over);
        sent.ok()?;
    }
    Some(())
}

/// How the list service behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mood {
    /// Answers calls at its pace, and sheds with 503 what would wait longer than it lets anybody wait.
    Serving,
    /// Refuses every call with 503 and `Retry-After`.
    Refusing,
    /// Takes connections and says nothing.
    Mute,
    /// Closes connections as they come.
    Gone,
}

/// A call at the list service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub at: Instant,
    /// It was answered with the list.
    pub answered: bool,
}

struct Desk {
    version: u64,
    servers: Vec<Value>,
    mood: Mood,
    calls: Vec<Call>,
    /// When the call that was let in last will have been served.
    busy_until: Instant,
    watchers: Vec<std::sync::mpsc::Sender<String>>,
}

/// A stand-in list service: one call at a time, each as long as its pace says.
pub(crate) struct Lists {
    pub addr: SocketAddr,
    desk: Arc<Mutex<Desk>>,
    open: Arc<AtomicBool>,
}

/// Longer than this nobody waits at the list service: it sheds the call instead.
const SHED_AFTER: Duration = Duration::from_millis(500);

impl Lists {
    pub(crate) fn start(servers: Vec<Value>, calls_per_s: f64) -> Lists {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let now = Instant::now();
        let (mood, calls, watchers) = (Mood::Serving, Vec::new(), Vec::new());
        let desk = Desk { version: 2, servers, mood, calls, busy_until: now, watchers };
        let (desk, open) = (Arc::new(Mutex::new(desk)), Arc::new(AtomicBool::new(true)));
        let (shared, live) = (desk.clone(), open.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (desk, live) = (shared.clone(), live.clone());
                thread::spawn(move || {
                    watch(stream, &desk, Duration::from_secs_f64(1.0 / calls_per_s), &live)
                });
            }
        });
        Lists { addr, desk, open }
    }

    pub(crate) fn mood(&self, mood: Mood) {
        self.desk.lock().expect("whole").mood = mood;
    }

    /// All calls so far.
    pub(crate) fn calls(&self) -> Vec<Call> {
        self.desk.lock().expect("whole").calls.clone()
    }

    /// Publishes changes to all that watch.
    pub(crate) fn publish(&self, changes: Vec<Value>) {
        let mut desk = self.desk.lock().expect("whole");
        desk.version += 1;
        for change in &changes {
            match desk.servers.iter_mut().find(|s| s["id"] == change["id"]) {
                Some(server) => *server = change.clone(),
                None => desk.servers.push(change.clone()),
            }
        }
        let line = super::list(desk.version, false, changes).to_string();
        desk.watchers.retain(|watcher| watcher.send(line.clone()).is_ok());
    }

    /// Watches that are open.
    pub(crate) fn watchers(&self) -> usize {
        self.desk.lock().expect("whole").watchers.len()
    }
}

impl Drop for Lists {
    fn drop(&mut self) {
        self.open.store(false, Ordering::SeqCst);
    }
}

fn watch(mut stream: TcpStream, desk: &Mutex<Desk>, pace: Duration, open: &AtomicBool) -> Option<()> {
    let (head, _) = message(&mut BufReader::new(stream.try_clone().ok()?))?;
    assert!(head[0].starts_with("GET /catalog/members"), "{}", head[0]);
    assert!(header(&head, "host").is_some());
    let at = Instant::now();
    let (mood, wait) = {
        let mut desk = desk.lock().expect("whole");
        let ready = desk.busy_until.max(at) + pace;
        let shed = ready - at > SHED_AFTER;
        let mood = if desk.mood == Mood::Serving && shed { Mood::Refusing } else { desk.mood };
        if mood == Mood::Serving {
            desk.busy_until = ready;
        }
        desk.calls.push(Call { at, answered: mood == Mood::Serving });
        (mood, ready - at)
    };
    match mood {
        Mood::Gone => return None,
        Mood::Refusing => {
            let refusal = "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(refusal.as_bytes()).ok();
        }
        Mood::Mute => {
            while open.load(Ordering::SeqCst) && desk.lock().expect("whole").mood == Mood::Mute {
                thread::sleep(Duration::from_millis(20));
            }
            return None;
        }
        Mood::Serving => thread::sleep(wait),
    }
    let (send, lines) = channel();
    let first = {
        let mut desk = desk.lock().expect("whole");
        desk.watchers.push(send);
        super::list(desk.version, true, desk.servers.clone()).to_string()
    };
    let mut out =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned() + &chunk(&(first + "\n"));
    while open.load(Ordering::SeqCst) {
        stream.write_all(out.as_bytes()).ok()?;
        let line = lines.recv_timeout(Duration::from_secs(1)).unwrap_or_default();
        out = chunk(&(line + "\n"));
    }
    Some(())
}

/// Gateways behind one list service.
pub(crate) struct Fleet {
    /// `None` while it is gone.
    pub gateways: Vec<Option<Gateway>>,
    known: Vec<Value>,
    lists: SocketAddr,
    more: Value,
}

impl Fleet {
    /// Starts all at once.
    pub(crate) fn start(count: usize, known: Vec<Value>, lists: SocketAddr, more: Value) -> Fleet {
        let mut fleet = Fleet { gateways: (0..count).map(|_| None).collect(), known, lists, more };
        fleet.spawn(&(0..count).collect::<Vec<_>>());
        fleet
    }

    /// Starts these, all before the first is waited for.
    pub(crate) fn spawn(&mut self, which: &[usize]) {
        let children: Vec<_> = which.iter().map(|n| (*n, self.child(*n))).collect();
        for (n, child) in children {
            self.gateways[n] = Some(Gateway::watched(child));
        }
    }

    fn child(&self, n: usize) -> (std::process::Child, std::sync::mpsc::Sender<Value>) {
        let mut more = self.more.clone();
        more["group"] = self.gateways.len().into();
        more["me"] = n.into();
        let platform = Platform::with((self.lists, channel().0));
        Gateway::spawn_by(&format!("n{n}"), "platform", self.known.clone(), 4, (1024, 1024), more, platform)
    }

    /// Kills these outright.
    pub(crate) fn kill(&mut self, which: &[usize]) {
        which.iter().for_each(|n| self.gateways[*n] = None);
    }

    /// Where clients connect; `None` for one that is gone.
    pub(crate) fn fronts(&self) -> Vec<Option<SocketAddr>> {
        self.gateways.iter().map(|g| g.as_ref().map(|g| g.front("platform"))).collect()
    }
}

/// How clients' requests came out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Ends {
    pub served: usize,
    pub turned_down: usize,
    /// Broken or without an answer because its gateway was killed.
    pub killed: usize,
    /// Without an answer, or an end that nobody may see, at a gateway that lives.
    pub lost: usize,
}

/// Clients that send at even times, whatever becomes of what they sent before; each request to the next gateway.
pub(crate) struct Clients {
    fronts: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    ends: Arc<Mutex<Ends>>,
    waits: Arc<Mutex<Vec<(Instant, Duration)>>>,
    out: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    sending: Option<thread::JoinHandle<()>>,
}

impl Clients {
    pub(crate) fn start(fronts: Vec<Option<SocketAddr>>, rate: f64) -> Clients {
        let fronts = Arc::new(Mutex::new(fronts));
        let ends = Arc::new(Mutex::new(Ends::default()));
        let waits = Arc::new(Mutex::new(Vec::new()));
        let (out, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (all, told, lives, count, end) =
            (fronts.clone(), ends.clone(), waits.clone(), out.clone(), stop.clone());
        let sending = thread::spawn(move || {
            let from = Instant::now();
            for n in 0.. {
                let due = from + Duration::from_secs_f64(n as f64 / rate);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if end.load(Ordering::SeqCst) {
                    return;
                }
                count.fetch_add(1, Ordering::SeqCst);
                let (all, told, lives, count) = (all.clone(), told.clone(), lives.clone(), count.clone());
                thread::spawn(move || {
                    one(n, &all, &told, &lives);
                    count.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Clients { fronts, ends, waits, out, stop, sending: Some(sending) }
    }

    /// Where they connect from now on.
    pub(crate) fn fronts(&self, fronts: Vec<Option<SocketAddr>>) {
        *self.fronts.lock().expect("whole") = fronts;
    }

    /// Stops them and waits for what is out; the ends, and the time to each answer's first byte.
    pub(crate) fn stop(mut self) -> (Ends, Vec<(Instant, Duration)>) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(sending) = self.sending.take() {
            sending.join().expect("they sent");
        }
        super::eventually(|| self.out.load(Ordering::SeqCst) == 0);
        let waits = std::mem::take(&mut *self.waits.lock().expect("whole"));
        (*self.ends.lock().expect("whole"), waits)
    }
}

fn one(
    n: u64,
    fronts: &Mutex<Vec<Option<SocketAddr>>>,
    ends: &Mutex<Ends>,
    waits: &Mutex<Vec<(Instant, Duration)>>,
) {
    let at = Instant::now();
    let count = fronts.lock().expect("whole").len();
    // The layer before the gateways sends nobody to one that is known to be gone.
    let front = (0..count).find_map(|k| fronts.lock().expect("whole")[(n as usize + k) % count]);
    let Some(front) = front else { return ends.lock().expect("whole").lost += 1 };
    let answer = send_request(front, n);
    let lives = fronts.lock().expect("whole").contains(&Some(front));
    let mut ends = ends.lock().expect("whole");
    match answer {
        Ok((200, true, first)) => {
            ends.served += 1;
            waits.lock().expect("whole").push((at, first));
        }
        Ok((429 | 503, true, _)) => ends.turned_down += 1,
        _ if !lives => ends.killed += 1,
        other => {
            eprintln!("lost: request {n}: {other:?}");
            ends.lost += 1;
        }
    }
}

/// One request: its status, whether its answer is whole, and the time to its head.
fn send_request(front: SocketAddr, n: u64) -> std::io::Result<(u16, bool, Duration)> {
    let at = Instant::now();
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(super::FOREVER))?;
    let (head, body) = super::request("platform", "plain", 5000, n as usize, "Connection: close\r\n");
    stream.write_all((head + &body).as_bytes())?;
    let mut answer = Vec::new();
    let mut first = None;
    let mut part = [0; 4096];
    loop {
        match std::io::Read::read(&mut stream, &mut part)? {
            0 => break,
            read => {
                first = first.or(Some(at.elapsed()));
                answer.extend_from_slice(&part[..read]);
            }
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    let whole = status != Some(200) || text.ends_with("0\r\n\r\n");
    let none = || std::io::Error::other(format!("no answer: {text:?}"));
    Ok((status.ok_or_else(none)?, whole, first.unwrap_or_default()))
}

/// In which window of `span` one server had the most arrivals beside the mean of all in that window; windows with
/// fewer than `least` arrivals say nothing. The ratio, and when.
pub(crate) fn worst_window(
    taken: &[(Instant, usize, Seen)],
    servers: &dyn Fn(usize) -> bool,
    count: usize,
    span: Duration,
    least: usize,
) -> (f64, Option<Instant>) {
    let arrivals = taken.iter().filter(|(_, n, what)| *what == Seen::Arrived && servers(*n));
    let mut inside: VecDeque<(Instant, usize)> = VecDeque::new();
    let mut counts = std::collections::BTreeMap::<usize, usize>::new();
    let mut worst = (0.0, None);
    for (at, n, _) in arrivals {
        inside.push_back((*at, *n));
        *counts.entry(*n).or_default() += 1;
        while inside.front().is_some_and(|(first, _)| *first + span <= *at) {
            if let Some((_, old)) = inside.pop_front() {
                *counts.entry(old).or_default() -= 1;
            }
        }
        let most = counts.values().copied().max().unwrap_or(0) as f64;
        let ratio = most * count as f64 / inside.len() as f64;
        if inside.len() >= least && ratio > worst.0 {
            worst = (ratio, Some(*at));
        }
    }
    worst
}

/// The longest time in which one server stood idle while another had a queue.
pub(crate) fn idle_while_queued(
    taken: &[(Instant, usize, Seen)],
    servers: &dyn Fn(usize) -> bool,
) -> Duration {
    // Requests in hand and in the queue of each, from the start: one that nothing has reached yet is idle.
    let mut state: std::collections::BTreeMap<usize, (i64, i64)> =
        taken.iter().filter(|(_, n, _)| servers(*n)).map(|(_, n, _)| (*n, (0, 0))).collect();
    let (mut since, mut longest) = (None, Duration::ZERO);
    for (at, n, what) in taken.iter().filter(|(_, n, _)| servers(*n)) {
        let (in_hand, queued) = state.entry(*n).or_default();
        match what {
            Seen::Connected => {}
            Seen::Arrived => *in_hand += 1,
            Seen::Queued => *queued += 1,
            Seen::Begun => *queued = (*queued - 1).max(0),
            Seen::Over => *in_hand -= 1,
        }
        let both = state.values().any(|(h, _)| *h == 0) && state.values().any(|(_, q)| *q > 0);
        since = if both { since.or(Some(*at)) } else { None };
        longest = longest.max(since.map_or(Duration::ZERO, |since| *at - since));
    }
    longest
}
