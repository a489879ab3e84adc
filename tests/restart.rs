//! The planned restart: SIGTERM, clients that go on sending on whatever stays open, and SIGKILL. Every stream that its
//! replica finished is passed on to its end, and every request that was read gets its one answer.

mod support;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use support::*;

/// SIGKILL comes no sooner after SIGTERM: the longest deadline, taken as 3 s, and 0.7 s more.
const KILL: Duration = Duration::from_millis(3700);

/// What a replica does with its requests, the first of which has number 0.
#[derive(Clone, Copy)]
enum Work {
    /// It serves after so long.
    Serve(u64),
    /// It never answers.
    Hang,
    /// A stream that is whole after the time of its number, its head there at once or, of each other, at the end.
    Streams(&'static [u64]),
}

/// A replica and the ids of the requests that reached it.
struct Working {
    server: StandInReplica,
    ids: Arc<Mutex<Vec<u64>>>,
}

fn working(work: Work) -> Working {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (ids, requests) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
    let (noted, count) = (ids.clone(), requests.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (noted, count) = (noted.clone(), count.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().ok()?);
                while let Some((head, _)) = read_message(&mut reader) {
                    let id = header(&head, "x-request-id").expect("an id");
                    noted.lock().expect("whole").push(u64::from_str_radix(&id, 16).expect("hex digits"));
                    work.on(&mut stream, count.fetch_add(1, Ordering::SeqCst))?;
                }
                Some(())
            });
        }
    });
    let (_, left) = std::sync::mpsc::channel();
    Working {
        server: StandInReplica { addr, requests, bodies: Arc::default(), connection_ends: left },
        ids,
    }
}

impl Work {
    fn on(self, stream: &mut TcpStream, number: usize) -> Option<()> {
        let word = encode_chunk(&text_event("platform", "a"));
        let end = encode_chunk(&closing_events("platform")) + "0\r\n\r\n";
        let mut say = |words: &str| stream.write_all(words.as_bytes()).ok();
        match self {
            Work::Serve(after) => {
                thread::sleep(ms(after));
                say(&(STREAM_HEAD.to_owned() + &word + &end))
            }
            Work::Hang => {
                thread::sleep(TEST_TIMEOUT);
                None
            }
            Work::Streams(times) => {
                let (from, time) = (Instant::now(), ms(times[number % times.len()]));
                if number % 2 == 1 {
                    thread::sleep(time);
                }
                say(&(STREAM_HEAD.to_owned() + &word))?;
                while from.elapsed() < time {
                    thread::sleep(ms(40));
                    say(&word)?;
                }
                say(&end)
            }
        }
    }
}

/// A gateway that has heard of its replicas.
fn gateway(servers: &[&StandInReplica]) -> Gateway {
    let servers: Vec<_> =
        servers.iter().enumerate().map(|(n, s)| replica_entry(n, s, "ready", 0)).collect();
    Gateway::start_with_list(servers, 3, (1024, 1024), json!({}))
}

/// Tells it to end, and waits for that up to SIGKILL: its status.
fn restart(gateway: &mut Gateway, term: Instant) -> Option<i32> {
    while term.elapsed() < KILL {
        if let Some(status) = gateway.child.try_wait().expect("a child") {
            return status.code();
        }
        thread::sleep(ms(5));
    }
    gateway.child.kill().expect("a child");
    None
}

/// What became of one request.
#[derive(Debug, PartialEq)]
enum ClientOutcome {
    /// An answer of that status, whole; and whether its connection ends with it.
    Answer(u16, bool),
    /// The connection was closed without a byte.
    Closed,
    /// Anything else.
    Cut(String),
}

/// A client's connection.
struct Line {
    reader: BufReader<TcpStream>,
    dialect: &'static str,
}

impl Line {
    fn to(front: SocketAddr, dialect: &'static str) -> Option<Line> {
        let stream = TcpStream::connect(front).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        Some(Line { reader: BufReader::new(stream), dialect })
    }

    /// A request as bytes.
    fn request(&self, class: &str, deadline_ms: u32, id: u64) -> Vec<u8> {
        let more = match self.dialect {
            "messages" => format!("X-Request-Id: {id:016x}\r\n"),
            _ => String::new(),
        };
        let (head, body) = request(self.dialect, class, deadline_ms, id as usize, &more);
        (head + &body).into_bytes()
    }

    fn send(&mut self, bytes: &[u8]) {
        // It may have been closed: the answer, or its want, says so.
        let _ = self.reader.get_mut().write_all(bytes);
    }

    /// The one answer; if the connection ends with it, nothing comes behind it.
    fn outcome(&mut self) -> ClientOutcome {
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(0) if head.is_empty() => return ClientOutcome::Closed,
                Err(e) if head.is_empty() && e.kind() != ErrorKind::WouldBlock => {
                    return ClientOutcome::Closed;
                }
                Ok(count) if count > 2 => head.push(line.trim_end().to_owned()),
                Ok(2) => break,
                other => return ClientOutcome::Cut(format!("{other:?} after {head:?}")),
            }
        }
        let status = head[0].split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        let body = match header(&head, "content-length") {
            Some(length) => {
                let mut body = vec![0; length.parse().expect("a length")];
                self.reader.read_exact(&mut body).map(|()| String::new())
            }
            None => self.chunks(),
        };
        let closes = header(&head, "connection").is_some_and(|c| c == "close");
        match body {
            Ok(text) if status == 200 && !text.contains("stop") => ClientOutcome::Cut(text),
            Ok(_) if closes && !matches!(self.reader.read(&mut [0; 64]), Ok(0)) => {
                ClientOutcome::Cut("no end after the last answer".into())
            }
            Ok(_) => ClientOutcome::Answer(status, closes),
            Err(e) => ClientOutcome::Cut(format!("{head:?}: {e}")),
        }
    }

    fn chunks(&mut self) -> std::io::Result<String> {
        let mut text = String::new();
        loop {
            let mut size = String::new();
            self.reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim_end(), 16)
                .map_err(|_| std::io::Error::other(format!("no chunk after {text}")))?;
            let mut bytes = vec![0; size + 2];
            self.reader.read_exact(&mut bytes)?;
            if size == 0 {
                return Ok(text);
            }
            text += &String::from_utf8_lossy(&bytes[..size]);
        }
    }
}

/// What became of all requests, and their ids.
#[derive(Default)]
struct Tally(Mutex<Vec<(u64, ClientOutcome)>>);

impl Tally {
    fn fresh(next: &AtomicUsize) -> u64 {
        next.fetch_add(1, Ordering::SeqCst) as u64
    }

    fn note(&self, id: u64, told: ClientOutcome) {
        self.0.lock().expect("whole").push((id, told));
    }

    /// Each was answered, with one of these statuses, or its connection was closed before it was read.
    fn holds(&self, what: &str, statuses: &[u16], reached: &[u64]) -> usize {
        let reached: BTreeSet<u64> = reached.iter().copied().collect();
        let all = self.0.lock().expect("whole");
        for (id, told) in &*all {
            let good = match told {
                ClientOutcome::Answer(status, _) => statuses.contains(status),
                ClientOutcome::Closed => !reached.contains(id),
                ClientOutcome::Cut(_) => false,
            };
            assert!(good, "{what}: {told:?}");
        }
        all.iter().filter(|(_, told)| matches!(told, ClientOutcome::Answer(..))).count()
    }
}

fn goes_on_sending(front: &'static str) {
    let quick = working(Work::Serve(20));
    let mut gateway = gateway(&[&quick.server]);
    let (addr, next, tally) = (gateway.front(front), AtomicUsize::new(1), Tally::default());
    let (next, tally) = (&next, &tally);
    thread::scope(|scope| {
        // They keep their connections, and send again at once.
        for _ in 0..6 {
            scope.spawn(move || {
                while let Some(mut line) = Line::to(addr, front) {
                    loop {
                        let id = Tally::fresh(next);
                        let bytes = line.request("plain", 2900, id);
                        line.send(&bytes);
                        let told = line.outcome();
                        let stays = told == ClientOutcome::Answer(200, false);
                        tally.note(id, told);
                        if !stays {
                            break;
                        }
                    }
                }
            });
        }
        // They have a part of their request there at SIGTERM, and the rest so long after it.
        for after in [100, 600, 1000, 1600] {
            let mut line = Line::to(addr, front).expect("it accepts");
            let id = Tally::fresh(next);
            let bytes = line.request("plain", 2900, id);
            let (begin, rest) = bytes.split_at(bytes.len() / 2);
            line.send(begin);
            let rest = rest.to_vec();
            scope.spawn(move || {
                thread::sleep(ms(300 + after));
                line.send(&rest);
                let told = line.outcome();
                assert_ne!(told, ClientOutcome::Closed, "a request that had begun to come");
                tally.note(id, told);
            });
        }
        thread::sleep(ms(300));
        gateway.signal("-TERM");
        let term = Instant::now();
        // New connections, that say something at once or only later.
        for n in 0..16 {
            scope.spawn(move || {
                thread::sleep(ms(n % 4 * 100));
                let mut line = Line::to(addr, front).expect("it accepts for a while");
                thread::sleep(ms(n / 4 * 200));
                let id = Tally::fresh(next);
                let bytes = line.request("plain", 2900, id);
                line.send(&bytes);
                tally.note(id, line.outcome());
            });
        }
        assert_eq!(restart(&mut gateway, term), Some(0), "{front}");
        let took = term.elapsed();
        println!("{front}: ended {took:?} after SIGTERM");
    });
    let reached = quick.ids.lock().expect("whole").clone();
    assert_eq!(reached.iter().collect::<BTreeSet<_>>().len(), reached.len(), "each is sent on once");
    let answered = tally.holds(front, &[200, 429, 503, 529], &reached);
    println!("{front}: {answered} answered, {} sent on", reached.len());
    assert!(answered > 60);
}

#[test]
fn every_request_on_a_connection_that_stays_open_gets_its_one_answer() {
    let all = DIALECTS.map(|front| thread::spawn(move || goes_on_sending(front)));
    all.into_iter().for_each(|one| one.join().expect("it holds"));
}

fn streams_end_completely(front: &'static str) {
    // SIGTERM comes 0.3 s after they began.
    let long = working(Work::Streams(&[400, 700, 1200, 1700, 2300, 2800, 3300, 3500]));
    let mut gateway = gateway(&[&long.server]);
    let (addr, next, tally) = (gateway.front(front), AtomicUsize::new(1), Tally::default());
    let (next, tally) = (&next, &tally);
    thread::scope(|scope| {
        let from = Instant::now();
        for n in 0..24 {
            scope.spawn(move || {
                let mut line = Line::to(addr, front).expect("it accepts");
                let id = Tally::fresh(next);
                let bytes = line.request(if n % 3 == 0 { "once" } else { "plain" }, 9000, id);
                line.send(&bytes);
                let told = line.outcome();
                let stays = told == ClientOutcome::Answer(200, false);
                tally.note(id, told);
                // Whoever may, asks again at once: it is answered, or the close crossed it.
                if stays {
                    let id = 1000 + Tally::fresh(next);
                    let bytes = line.request("plain", 100, id);
                    line.send(&bytes);
                    tally.note(id, line.outcome());
                }
            });
        }
        // Those that ask again are among them on a slow machine.
        wait_until(|| long.server.requests.load(Ordering::SeqCst) >= 24);
        thread::sleep(ms(300).saturating_sub(from.elapsed()));
        gateway.signal("-TERM");
        let term = Instant::now();
        assert_eq!(restart(&mut gateway, term), Some(0), "{front}");
        println!("{front}: ended {:?} after SIGTERM", term.elapsed());
    });
    let reached = long.ids.lock().expect("whole").clone();
    tally.holds(front, &[200, 503, 504, 529], &reached);
    let all = tally.0.lock().expect("whole");
    let whole =
        all.iter().filter(|(id, told)| *id < 1000 && matches!(told, ClientOutcome::Answer(200, _))).count();
    assert_eq!(whole, 24, "{front}: all streams are passed on to their end");
}

#[test]
fn every_stream_that_its_server_finishes_is_passed_on_to_its_end() {
    let all = DIALECTS.map(|front| thread::spawn(move || streams_end_completely(front)));
    all.into_iter().for_each(|one| one.join().expect("it holds"));
}

fn answered_before_sigkill(front: &'static str) {
    // Enough of them that no want of good ones turns the late requests down.
    let hung: Vec<Working> = (0..12).map(|_| working(Work::Hang)).collect();
    let mut gateway = gateway(&hung.iter().map(|w| &w.server).collect::<Vec<_>>());
    let (addr, next, tally) = (gateway.front(front), AtomicUsize::new(1), Tally::default());
    let (next, tally) = (&next, &tally);
    thread::scope(|scope| {
        // What came before SIGTERM, or within 0.7 s after it, has its time; what comes later has up to SIGKILL.
        for (open, ask, deadline) in
            [(0, 0, 2900), (0, 400, 2900), (200, 500, 2900), (500, 1000, 2900), (500, 1100, 9000)]
        {
            scope.spawn(move || {
                // SIGTERM comes after 100 ms.
                thread::sleep(ms(100 + open));
                let mut line = Line::to(addr, front).expect("it accepts for a while");
                thread::sleep(ms(ask - open));
                let id = Tally::fresh(next);
                let bytes = line.request("once", deadline, id);
                line.send(&bytes);
                let told = line.outcome();
                assert!(matches!(told, ClientOutcome::Answer(..)), "{front}, {open}, {ask}: {told:?}");
                tally.note(id, told);
            });
        }
        for (rest, deadline) in [(900, 2900), (1500, 9000)] {
            let mut line = Line::to(addr, front).expect("it accepts");
            let id = Tally::fresh(next);
            let bytes = line.request("once", deadline, id);
            line.send(&bytes[..bytes.len() - 1]);
            let last = bytes[bytes.len() - 1..].to_vec();
            scope.spawn(move || {
                thread::sleep(ms(100 + rest));
                line.send(&last);
                let told = line.outcome();
                assert!(matches!(told, ClientOutcome::Answer(..)), "{front}, whole after {rest}: {told:?}");
                tally.note(id, told);
            });
        }
        thread::sleep(ms(100));
        gateway.signal("-TERM");
        let term = Instant::now();
        assert_eq!(restart(&mut gateway, term), Some(0), "{front}: something is unanswered");
        println!("{front}: ended {:?} after SIGTERM", term.elapsed());
    });
    let reached: Vec<u64> = hung.iter().flat_map(|w| w.ids.lock().expect("whole").clone()).collect();
    assert_eq!(tally.holds(front, &[429, 503, 504, 529], &reached), 7);
}

#[test]
fn what_comes_late_is_answered_before_sigkill_though_its_server_hangs() {
    let all = DIALECTS.map(|front| thread::spawn(move || answered_before_sigkill(front)));
    all.into_iter().for_each(|one| one.join().expect("it holds"));
}
