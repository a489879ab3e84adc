//! Clients that go: nothing is sent on for one that has closed, reset or cancelled its request. What counts is when a
//! request's last byte reaches a replica, against the instant in which its client left.

mod support;

use std::collections::BTreeMap;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};
use socket2::SockRef;
use support::*;
use tulipridge::admission::pipelined::{Disposition, PipelinedInput, PipelinedLimits};

/// No attempt's last byte may arrive later after its client's leaving. Whatever a test provokes is due three times
/// later at the least, so that a busy machine makes no difference.
const BOUND: Duration = Duration::from_millis(100);
const WAYS: [Way; 3] = [Way::Close, Way::Reset, Way::HalfClose];
/// The id of a request that lies behind another's is that one's and this.
const BEHIND: u64 = 0x1000;
/// More than a connection's buffers hold, and less than a request may.
const LARGE: usize = 200 << 10;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Way {
    Close,
    Reset,
    /// It ends its sending only. Nobody can tell that from a close before something is written to it.
    HalfClose,
}

/// Clients that have left, each with when.
#[derive(Default)]
struct Left {
    at: BTreeMap<u64, Instant>,
    /// What is left of a connection is kept for as long as the test lasts.
    halves: Vec<TcpStream>,
}

impl Left {
    fn go(&mut self, id: u64, way: Way, stream: TcpStream) {
        match way {
            Way::Close => drop(stream),
            Way::Reset => {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
                drop(stream);
            }
            Way::HalfClose => {
                // A flood may have been ended before.
                let _ = stream.shutdown(Shutdown::Write);
                self.halves.push(stream);
            }
        }
        self.at.insert(id, Instant::now());
    }

    /// Those whose further request lay behind the one that they waited for, by that one's id.
    fn behind(&self) -> Left {
        Left { at: self.at.iter().map(|(id, at)| (id + BEHIND, *at)).collect(), halves: Vec::new() }
    }
}

/// A request as bytes, with a body that is longer by `padding`.
fn bytes(front: &str, class: &str, id: u64, padding: usize) -> Vec<u8> {
    let more = if front == "messages" { format!("X-Request-Id: {id:016x}\r\n") } else { String::new() };
    let (head, body) = request(front, class, 9000, id as usize, &more);
    let longer = body.replace("Which gate?", &format!("Which gate?{}", "x".repeat(padding)));
    let length = |body: &str| format!("Content-Length: {}\r\n", body.len());
    (head.replace(&length(&body), &length(&longer)) + &longer).into_bytes()
}

/// What a stand-in does with a request: of this number at it, and with this id.
type Work = dyn Fn(&mut TcpStream, usize, u64) -> Option<()> + Send + Sync;

const FULL: &str = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno";

fn complete_response() -> String {
    HEAD.to_owned() + &chunk(&text("platform", "a")) + &chunk(&closing("platform")) + "0\r\n\r\n"
}

fn say(stream: &mut TcpStream, words: &str) -> Option<()> {
    stream.write_all(words.as_bytes()).ok()
}

/// Waits for the end of a connection on which an answer is due.
fn hang(stream: &mut TcpStream) -> Option<()> {
    let _ = stream.read(&mut [0]);
    None
}

/// Replicas' notes: the ids of the requests that reached them, with when their last byte did.
#[derive(Clone, Default)]
struct Notes(Arc<Mutex<Vec<(u64, Instant)>>>);

impl Notes {
    /// A replica that listens already.
    fn listen(&self, listener: TcpListener, work: Arc<Work>) {
        let notes = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (notes, work) = (notes.clone(), work.clone());
                thread::spawn(move || notes.converse(stream, &*work));
            }
        });
    }

    fn converse(&self, stream: TcpStream, work: &Work) -> Option<()> {
        let mut reader = BufReader::new(stream);
        for number in 0.. {
            let (head, _) = message(&mut reader)?;
            let at = Instant::now();
            let id = u64::from_str_radix(&header(&head, "x-request-id")?, 16).expect("hex digits");
            self.0.lock().expect("whole").push((id, at));
            work(reader.get_mut(), number, id)?;
        }
        None
    }

    /// A new replica: its address.
    fn server(
        &self,
        work: impl Fn(&mut TcpStream, usize, u64) -> Option<()> + Send + Sync + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        self.listen(listener, Arc::new(work));
        addr
    }

    /// When a request reached any replica.
    fn of(&self, id: u64) -> Vec<Instant> {
        self.0.lock().expect("whole").iter().filter(|(other, _)| *other == id).map(|(_, at)| *at).collect()
    }

    /// None of these was sent on more than the bound after its client had left, nor more often than this in all.
    fn hold(&self, what: &str, left: &Left, most: usize) {
        for (id, left) in &left.at {
            let all = self.of(*id);
            let late: Vec<_> =
                all.iter().filter(|at| **at > *left + BOUND).map(|at| at.duration_since(*left)).collect();
            assert!(late.is_empty(), "{what}: {id:x} was sent on {late:?} after its client had left");
            assert!(all.len() <= most, "{what}: {id:x} was sent on {} times", all.len());
        }
    }
}

fn entries(addrs: &[SocketAddr]) -> Vec<Value> {
    addrs.iter().enumerate().map(|(n, addr)| entry_at(n, *addr, "ready", 0)).collect()
}

/// A gateway that has heard of these replicas.
fn gateway(addrs: &[SocketAddr], mut more: Value) -> Gateway {
    if more.get("promise_ms").is_none() {
        // Guards against what the load balancer does about silence, where leaving is all that is looked at.
        more["promise_ms"] = json!(9000);
    }
    Gateway::listed(entries(addrs), 3, (1024, 1024), more)
}

fn sent(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = connect(addr);
    stream.write_all(bytes).expect("sent");
    stream
}

/// Clients of both fronts, one for each way to leave.
struct Crowd {
    leavers: Vec<(u64, Way, TcpStream)>,
    left: Left,
}

impl Crowd {
    /// Their bytes are what `bytes` makes of front and id.
    fn new(gateway: &Gateway, bytes: impl Fn(&str, u64) -> Vec<u8>) -> Crowd {
        let mut leavers = Vec::new();
        for (f, front) in FRONTS.into_iter().enumerate() {
            for (w, way) in WAYS.into_iter().enumerate() {
                let id = (0x100 * (f + 1) + w) as u64;
                leavers.push((id, way, sent(gateway.front(front), &bytes(front, id))));
            }
        }
        Crowd { leavers, left: Left::default() }
    }

    fn ids(&self) -> Vec<u64> {
        self.leavers.iter().map(|(id, ..)| *id).collect()
    }

    fn leave(&mut self) {
        for (id, way, stream) in self.leavers.drain(..) {
            self.left.go(id, way, stream);
        }
    }
}

/// A client that stays, which shows that there was something to be sent.
fn stays(gateway: &Gateway, front: &'static str, id: u64) -> thread::JoinHandle<Seen> {
    let stream = sent(gateway.front(front), &bytes(front, "plain", id, 0));
    thread::spawn(move || seen(front, stream).0)
}

const STAYER: u64 = 0xabc;

/// A gateway that stands still, as one that waits for a processor does, until this is dropped.
struct Frozen<'a>(&'a Gateway);

impl Frozen<'_> {
    fn new(gateway: &Gateway) -> Frozen<'_> {
        gateway.signal("-STOP");
        Frozen(gateway)
    }
}

impl Drop for Frozen<'_> {
    fn drop(&mut self) {
        self.0.signal("-CONT");
    }
}

#[test]
fn in_a_retrys_wait_with_no_server_to_go_to() {
    for refused in [false, true] {
        // The first attempt is turned away, or has no connection: that one's wait is for a first server.
        let notes = Notes::default();
        let (taken, nobody) = late::bound();
        let first = if refused { nobody } else { notes.server(|stream, _, _| say(stream, FULL)) };
        let gateway = gateway(&[first], json!({}));
        let mut crowd = Crowd::new(&gateway, |front, id| bytes(front, "plain", id, 0));
        let stayers = FRONTS.map(|front| stays(&gateway, front, STAYER + u64::from(front == "messages")));
        thread::sleep(ms(200));
        crowd.leave();
        thread::sleep(3 * BOUND);
        let good = notes.server(|stream, _, _| say(stream, &complete_response()));
        gateway.discovery.send(list(3, false, vec![entry_at(1, good, "ready", 0)])).expect("open");
        for stayer in stayers {
            assert_eq!(stayer.join().expect("an answer"), Seen::Served("a".into()));
        }
        thread::sleep(3 * BOUND);
        notes.hold("held", &crowd.left, 1);
        drop(taken);
    }
}

#[test]
fn between_attempts_and_with_one_under_way() {
    // A gateway that stood still learns of the failure and of the leaving together.
    for frozen in [false, true] {
        for failure in [ERROR, FULL, ""] {
            let notes = Notes::default();
            let server = || {
                notes.server(move |stream, _, _| {
                    thread::sleep(ms(600));
                    if failure.is_empty() { None } else { say(stream, failure) }
                })
            };
            let gateway = gateway(&[server(), server(), server()], json!({}));
            let mut crowd = Crowd::new(&gateway, |front, id| bytes(front, "plain", id, 0));
            let stayer = stays(&gateway, "platform", STAYER);
            thread::sleep(ms(200));
            let still = frozen.then(|| Frozen::new(&gateway));
            crowd.leave();
            thread::sleep(ms(600));
            drop(still);
            assert_ne!(stayer.join().expect("an answer"), Seen::Served("a".into()));
            thread::sleep(3 * BOUND);
            assert!(notes.of(STAYER).len() > 1, "one that stays is tried again");
            notes.hold(&format!("after '{failure:.12}', frozen: {frozen}"), &crowd.left, 1);
            assert!(crowd.left.at.keys().all(|id| notes.of(*id).len() == 1), "each was tried once");
        }
    }
}

#[test]
fn while_its_connection_to_a_real_server_comes_up() {
    // The gateway stands still meanwhile, or doesn't.
    for frozen in [false, true] {
        let (notes, late) = (Notes::default(), late::Late::new());
        let gateway = gateway(&[late.addr], json!({"connect_timeout_ms": 2500}));
        let mut crowd = Crowd::new(&gateway, |front, id| bytes(front, "plain", id, 0));
        let stayer = stays(&gateway, "platform", STAYER);
        thread::sleep(ms(300));
        let still = frozen.then(|| Frozen::new(&gateway));
        crowd.leave();
        notes.listen(
            late.open(),
            Arc::new(|stream: &mut TcpStream, _, _| say(stream, &complete_response())),
        );
        // Its connections are up then, if they were not abandoned.
        thread::sleep(ms(1200));
        drop(still);
        assert_eq!(stayer.join().expect("an answer"), Seen::Served("a".into()));
        thread::sleep(3 * BOUND);
        notes.hold(&format!("connecting, frozen: {frozen}"), &crowd.left, 0);
    }
}

#[test]
fn while_its_request_is_written_to_a_real_server_that_does_not_read() {
    for frozen in [false, true] {
        // It fits into what the system holds for the gateway's side, or not.
        for padding in [30 << 10, LARGE] {
            let notes = Notes::default();
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let addr = listener.local_addr().expect("an address");
            SockRef::from(&listener).set_recv_buffer_size(4 << 10).expect("a socket");
            let gateway = gateway(&[addr], json!({}));
            let mut crowd = Crowd::new(&gateway, |front, id| bytes(front, "plain", id, padding));
            let stayer = sent(gateway.front("platform"), &bytes("platform", "plain", STAYER, padding));
            thread::sleep(ms(300));
            let still = frozen.then(|| Frozen::new(&gateway));
            crowd.leave();
            thread::sleep(3 * BOUND);
            drop(still);
            thread::sleep(3 * BOUND);
            notes.listen(
                listener,
                Arc::new(|stream: &mut TcpStream, _, _| say(stream, &complete_response())),
            );
            assert_eq!(seen("platform", stayer).0, Seen::Served("a".into()));
            thread::sleep(3 * BOUND);
            notes.hold(&format!("{padding} bytes, partly written, frozen: {frozen}"), &crowd.left, 0);
        }
    }
}

#[test]
fn behind_another_request_on_its_connection() {
    // What the first one meets: an answer while its client is still there would set the second off.
    let all = [("whole", complete_response()), ("an error", ERROR.to_owned()), ("full", FULL.to_owned())]
        .map(|(what, answer)| thread::spawn(move || behind_one_that_meets(what, &answer)));
    all.into_iter().for_each(|one| one.join().expect("it holds"));
}

fn behind_one_that_meets(what: &str, answer: &str) {
    // The second is so long; more than is kept of it hides the close.
    for padding in [0, 20 << 10, LARGE] {
        for frozen in [false, true] {
            let (notes, answer) = (Notes::default(), answer.to_owned());
            let server = || {
                let answer = answer.clone();
                notes.server(move |stream, _, _| {
                    thread::sleep(ms(600));
                    say(stream, &answer)
                })
            };
            let gateway = gateway(&[server(), server(), server()], json!({}));
            let mut crowd = Crowd::new(&gateway, |front, id| {
                let second = bytes(front, "plain", id + BEHIND, padding);
                [bytes(front, "plain", id, 0), second].concat()
            });
            let first = crowd.ids();
            thread::sleep(ms(200));
            let still = frozen.then(|| Frozen::new(&gateway));
            crowd.leave();
            thread::sleep(ms(600));
            drop(still);
            thread::sleep(ms(1000));
            let what = format!("{what}, {padding} bytes behind it, frozen: {frozen}");
            notes.hold(&what, &crowd.left, 1);
            notes.hold(&format!("{what}, the second"), &crowd.left.behind(), 0);
            assert!(first.iter().all(|id| notes.of(*id).len() == 1), "{what}: each first one was sent");
        }
    }
}

#[test]
fn behind_more_than_is_ever_kept() {
    let notes = Notes::default();
    let server = || {
        notes.server(|stream, _, _| {
            thread::sleep(ms(700));
            say(stream, ERROR)
        })
    };
    let gateway = gateway(&[server(), server(), server()], json!({}));
    let mut crowd = Crowd::new(&gateway, |front, id| bytes(front, "plain", id, 0));
    // As much as the two systems take: requests of a pair, or noise.
    for (n, (id, _, stream)) in crowd.leavers.iter_mut().enumerate() {
        let more = match n % 2 {
            0 => bytes(FRONTS[n / 3], "plain", *id + BEHIND, LARGE).repeat(30),
            _ => vec![b'x'; 6 << 20],
        };
        stream.set_nonblocking(true).expect("a socket");
        let (from, mut done) = (Instant::now(), 0);
        while from.elapsed() < ms(40) && done < more.len() {
            match stream.write(&more[done..]) {
                Ok(count) => done += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(ms(1)),
                Err(_) => break,
            }
        }
    }
    crowd.leave();
    thread::sleep(ms(2500));
    notes.hold("much behind it", &crowd.left, 1);
    notes.hold("much behind it, the second", &crowd.left.behind(), 0);
}

#[test]
fn one_that_stays_is_answered_however_much_it_sent_behind_its_request() {
    let notes = Notes::default();
    let server = notes.server(|stream, _, _| {
        thread::sleep(ms(300));
        say(stream, &complete_response())
    });
    let gateway = gateway(&[server], json!({}));
    for front in FRONTS {
        for (n, padding) in [0, 20 << 10, LARGE].into_iter().enumerate() {
            let id = 0x10 * (n as u64 + 1) + u64::from(front == "messages");
            let mut stream = connect(gateway.front(front));
            let mut writer = stream.try_clone().expect("a clone");
            let second = bytes(front, "plain", id + BEHIND, padding);
            let both = [bytes(front, "plain", id, 0), second].concat();
            let writing = thread::spawn(move || writer.write_all(&both));
            let mut got = Vec::new();
            while got.windows(7).filter(|w| w == b"\r\n0\r\n\r\n").count() < 2 {
                let mut piece = [0; 4096];
                let count = stream.read(&mut piece).expect("an answer");
                assert!(count > 0, "{front}, {padding}: {}", String::from_utf8_lossy(&got));
                got.extend_from_slice(&piece[..count]);
            }
            writing.join().expect("a thread").expect("all is taken");
            assert_eq!((notes.of(id).len(), notes.of(id + BEHIND).len()), (1, 1), "{front}, {padding}");
        }
    }
}

#[test]
fn one_that_sends_more_than_is_kept_is_answered_as_far_as_that_goes_and_one_that_floods_gets_413() {
    let notes = Notes::default();
    // It never answers those that flood.
    let server = notes.server(|stream, _, id| {
        if id % 0x11 == 3 {
            return hang(stream);
        }
        thread::sleep(ms(400));
        say(stream, &complete_response())
    });
    let gateway = gateway(&[server], json!({}));
    for (f, front) in FRONTS.into_iter().enumerate() {
        // A whole further request is kept, and a part of the third, behind which the connection ends.
        let id = 0x11 * (f as u64 + 1);
        let three: Vec<u8> =
            (0..3).flat_map(|n| bytes(front, "plain", id + n, LARGE * n.min(1) as usize)).collect();
        let mut stream = sent(gateway.front(front), &three);
        let mut got = Vec::new();
        stream.read_to_end(&mut got).expect("an end without a reset");
        assert_eq!(
            got.windows(7).filter(|w| w == b"\r\n0\r\n\r\n").count(),
            2,
            "{front}: two whole answers"
        );
        assert_eq!([0, 1, 2].map(|n| notes.of(id + n).len()), [1, 1, 0], "{front}");
        // A flood ends, with what it had asked for.
        let mut stream = sent(gateway.front(front), &bytes(front, "plain", id + 3, 0));
        stream.write_all(&vec![b'x'; 6 << 20]).expect("no reset while it is sent");
        thread::sleep(ms(300));
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an end without a reset");
        assert!(answer.starts_with("HTTP/1.1 413 "), "{front}: {answer}");
        assert_eq!(gateway.logged(" flooded "), f + 1);
    }
}

#[test]
fn a_burst_of_leavers() {
    // Before the news of a server to go to, which a gateway that stood still learns together with their leaving.
    for frozen in [false, true] {
        let notes = Notes::default();
        let first = notes.server(|stream, _, _| say(stream, FULL));
        let gateway = gateway(&[first], json!({}));
        let stayer = stays(&gateway, "platform", STAYER);
        let mut clients: Vec<_> = (0..300u64)
            .map(|n| {
                let front = FRONTS[n as usize / 2 % 2];
                let stream = sent(gateway.front(front), &bytes(front, "plain", 0x1000 + n, 0));
                (0x1000 + n, WAYS[n as usize % 3], stream)
            })
            .collect();
        eventually(|| notes.0.lock().expect("whole").len() > 300);
        thread::sleep(BOUND);
        let still = frozen.then(|| Frozen::new(&gateway));
        let mut left = Left::default();
        clients.drain(..).for_each(|(id, way, stream)| left.go(id, way, stream));
        thread::sleep(3 * BOUND);
        let good = notes.server(|stream, _, _| say(stream, &complete_response()));
        gateway.discovery.send(list(3, false, vec![entry_at(1, good, "ready", 0)])).expect("open");
        thread::sleep(ms(1000));
        drop(still);
        assert_eq!(stayer.join().expect("an answer"), Seen::Served("a".into()));
        thread::sleep(3 * BOUND);
        notes.hold(&format!("a burst, frozen: {frozen}"), &left, 1);
    }
}

#[test]
fn before_its_request_is_read() {
    let notes = Notes::default();
    let server = notes.server(|stream, _, _| say(stream, &complete_response()));
    let gateway = gateway(&[server], json!({}));
    // A connection to the replica lies ready.
    assert_eq!(stays(&gateway, "platform", STAYER).join().expect("an answer"), Seen::Served("a".into()));
    let rested: Vec<_> = FRONTS
        .map(|front| {
            let mut stream = connect(gateway.front(front));
            stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").expect("sent");
            let mut answer = [0; 1024];
            assert!(stream.read(&mut answer).expect("an answer") > 0);
            (front, stream)
        })
        .into();
    let frozen = Frozen::new(&gateway);
    let mut left = Left::default();
    for (n, (front, mut stream)) in rested.into_iter().enumerate() {
        let id = 0x900 + n as u64;
        stream.write_all(&bytes(front, "plain", id, 0)).expect("sent");
        left.go(id, WAYS[n], stream);
    }
    for n in 0..60u64 {
        let (front, id) = (FRONTS[n as usize % 2], 0x1000 + n);
        let padding = if n % 4 < 2 { 0 } else { 40 << 10 };
        left.go(id, WAYS[n as usize % 3], sent(gateway.front(front), &bytes(front, "plain", id, padding)));
    }
    thread::sleep(3 * BOUND);
    drop(frozen);
    thread::sleep(3 * BOUND);
    notes.hold("unread", &left, 0);
    assert_eq!(
        stays(&gateway, "messages", STAYER + 1).join().expect("an answer"),
        Seen::Served("a".into())
    );
}

fn second_copy(frozen: bool) {
    // The first of them falls silent after a while; the others answer.
    let (notes, mute) = (Notes::default(), Arc::new(Mutex::new(None::<Vec<u64>>)));
    let servers: Vec<_> = (0..6)
        .map(|n| {
            let mute = mute.clone();
            notes.server(move |stream, _, id| {
                let held = n == 0 && mute.lock().expect("whole").as_mut().map(|ids| ids.push(id)).is_some();
                if held { hang(stream) } else { say(stream, &complete_response()) }
            })
        })
        .collect();
    let gateway = gateway(&servers, json!({"copies": true, "promise_ms": 1000}));
    let answered = |n: u64| stays(&gateway, FRONTS[n as usize % 2], 0x2000 + n).join().expect("an answer");
    assert!((0..16).all(|n| answered(n) == Seen::Served("a".into())));
    *mute.lock().expect("whole") = Some(Vec::new());
    let mut clients: BTreeMap<u64, TcpStream> = BTreeMap::new();
    for n in 0..60u64 {
        let front = FRONTS[n as usize % 2];
        clients.insert(0x400 + n, sent(gateway.front(front), &bytes(front, "plain", 0x400 + n, 0)));
    }
    let from = Instant::now();
    // A copy comes where no answer has come after 650 ms, once silence has shown that the replica is sick: what
    // the first of them tell.
    thread::sleep(ms(300));
    let silent = mute.lock().expect("whole").clone().expect("it is mute");
    assert!(silent.len() >= 6, "{silent:x?}");
    let still = frozen.then(|| Frozen::new(&gateway));
    let mut left = Left::default();
    for (n, id) in silent.iter().enumerate().skip(3).step_by(2) {
        left.go(*id, WAYS[n / 2 % 3], clients.remove(id).expect("a client"));
    }
    thread::sleep(ms(800).saturating_sub(from.elapsed()));
    drop(still);
    thread::sleep(ms(1300).saturating_sub(from.elapsed()));
    notes.hold(&format!("before a copy, frozen: {frozen}"), &left, 1);
    let copied = silent.iter().filter(|id| notes.of(**id).len() > 1).count();
    println!("{} silent, {} left, {copied} copied", silent.len(), left.at.len());
    assert!(copied > 0, "of those that stayed some were sent on twice");
}

#[test]
fn before_a_second_copy() {
    [false, true].into_iter().for_each(second_copy);
}

#[test]
fn behind_a_handed_over_stream() {
    let notes = Notes::default();
    let end = Arc::new(AtomicBool::new(false));
    let told = end.clone();
    let server = notes.server(move |stream, _, _| {
        say(stream, &(HEAD.to_owned() + &chunk(&text("platform", "a"))))?;
        while !told.load(Ordering::SeqCst) {
            thread::sleep(ms(10));
        }
        say(stream, &(chunk(&closing("platform")) + "0\r\n\r\n"))
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let shared = format!("{}/{}-gone", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let start = || {
        let more = json!({"mgmt": "127.0.0.1:0", "handover": true, "shared": shared,
            "streams": {"stop_within": "1s", "silence": "1m"}});
        let inherited = OwnedFd::from(listener.try_clone().expect("a copy"));
        let platform = Platform {
            discovery: discovery(list(2, true, entries(&[server]))),
            inherited: Some(("4", inherited.into())),
        };
        let gateway = Gateway::watched(Gateway::spawn_by(
            "n0",
            "platform",
            entries(&[server]),
            3,
            (1024, 1024),
            more,
            platform,
        ));
        // It takes and gives streams then.
        eventually(|| call(gateway.mgmt.expect("it listens for calls"), "GET /ready") == 200);
        gateway
    };
    let mut old = start();
    // The second is short, or longer than what is handed over.
    let mut clients: Vec<_> = (0..6)
        .map(|n| {
            let (id, way, padding) = (0x100 + n as u64, WAYS[n % 3], LARGE * (n / 3));
            let second = bytes("platform", "once", id + BEHIND, padding);
            let two = [bytes("platform", "once", id, 0), second].concat();
            let mut stream = sent(old.front("platform"), &two);
            begun(&mut stream);
            (id, way, stream)
        })
        .collect();
    let new = start();
    assert_eq!(old.stop(), Some(0));
    eventually(|| new.logged(" handover ") > 0);
    let mut left = Left::default();
    clients.drain(..).for_each(|(id, way, stream)| left.go(id, way, stream));
    // The streams end only now, which would be the turn of those behind them.
    thread::sleep(3 * BOUND);
    end.store(true, Ordering::SeqCst);
    thread::sleep(3 * BOUND);
    notes.hold("handed over", &left, 1);
    notes.hold("handed over, the second", &left.behind(), 0);
    for id in 0x100..0x106 {
        assert_eq!((notes.of(id).len(), notes.of(id + BEHIND).len()), (1, 0), "{id:x}");
    }
}

/// What is kept is the beginning of what came, without a gap, and within its bounds; a flood is told once more was
/// dropped than one that has left can have left behind, and not before.
fn kept_is_a_beginning(came: Vec<(u8, bool)>, cut: bool) {
    let bounds = PipelinedLimits { guaranteed_bytes: 100, max_bytes: 400, max_dropped_bytes: 1000 };
    let mut pipelined = PipelinedInput::new(bounds, cut);
    let (mut kept, mut dropped, mut gap) = (0, 0, cut);
    for (bytes, room) in came {
        let bytes = usize::from(bytes);
        let fits = kept + bytes <= if room { 400 } else { 100 };
        let expected = match () {
            () if !gap && fits => Disposition::Keep,
            () if dropped + bytes > 1000 => Disposition::Flood,
            () => Disposition::Drop,
        };
        assert_eq!(
            pipelined.received(kept, bytes, room),
            expected,
            "{bytes} behind {kept}, {dropped} dropped"
        );
        match expected {
            Disposition::Keep => kept += bytes,
            _ => (dropped, gap) = (dropped + bytes, true),
        }
        assert_eq!((pipelined.is_truncated(), pipelined.is_flood()), (gap, dropped > 1000));
        assert!(kept <= 400);
    }
}

#[test]
fn what_comes_behind_a_request_is_kept_without_a_gap_and_within_its_bounds() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 45)).tests(400);
    check.quickcheck(kept_is_a_beginning as fn(Vec<(u8, bool)>, bool));
}
