//! Planned restart: SIGTERM while clients continue to send on open connections, then SIGKILL. Streams that the replica
//! completes are forwarded completely, and each request that was read gets exactly one response.

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

/// Time from SIGTERM to SIGKILL, the minimum that the gateway relies on: requests are still accepted for 0.7 s, and
/// open ones have 3 s more.
const SIGKILL_DELAY: Duration = Duration::from_millis(3700);
/// Added to the ids of second requests on a connection; the ids of first requests are lower.
const SECOND_REQUEST_ID_OFFSET: u64 = 1000;

/// Responses of a replica. Requests are numbered from 0.
#[derive(Clone, Copy)]
enum Script {
    /// Sends a complete stream after this many milliseconds.
    ServeAfterMs(u64),
    /// Sends no response.
    Hang,
    /// Sends a stream; request n lasts as many milliseconds as element n modulo the length of the list. For odd n even
    /// the response head is sent only after that time.
    StreamForMs(&'static [u64]),
}

/// A replica, and the ids of the requests that it received.
struct RecordingReplica {
    replica: StandInReplica,
    request_ids: Arc<Mutex<Vec<u64>>>,
}

fn start_recording_replica(script: Script) -> RecordingReplica {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (request_ids, requests) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
    let (shared_ids, count) = (request_ids.clone(), requests.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (shared_ids, count) = (shared_ids.clone(), count.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().ok()?);
                while let Some((head, _)) = read_message(&mut reader) {
                    let id = header(&head, "x-request-id").expect("an id");
                    shared_ids
                        .lock()
                        .expect("lock")
                        .push(u64::from_str_radix(&id, 16).expect("hex digits"));
                    script.respond(&mut stream, count.fetch_add(1, Ordering::SeqCst))?;
                }
                Some(())
            });
        }
    });
    let (_, connection_ends) = std::sync::mpsc::channel();
    RecordingReplica {
        replica: StandInReplica { addr, requests, bodies: Arc::default(), connection_ends },
        request_ids,
    }
}

impl Script {
    fn respond(self, stream: &mut TcpStream, number: usize) -> Option<()> {
        let text = encode_chunk(&text_event("platform", "a"));
        let end = encode_chunk(&closing_events("platform")) + "0\r\n\r\n";
        let mut send = |bytes: &str| stream.write_all(bytes.as_bytes()).ok();
        match self {
            Script::ServeAfterMs(delay_ms) => {
                thread::sleep(ms(delay_ms));
                send(&(STREAM_HEAD.to_owned() + &text + &end))
            }
            Script::Hang => {
                thread::sleep(TEST_TIMEOUT);
                None
            }
            Script::StreamForMs(durations_ms) => {
                let (start, duration) = (Instant::now(), ms(durations_ms[number % durations_ms.len()]));
                if number % 2 == 1 {
                    thread::sleep(duration);
                }
                send(&(STREAM_HEAD.to_owned() + &text))?;
                while start.elapsed() < duration {
                    thread::sleep(ms(40));
                    send(&text)?;
                }
                send(&end)
            }
        }
    }
}

/// Starts a gateway and waits until it knows the replicas.
fn start_gateway(replicas: &[&StandInReplica]) -> Gateway {
    let entries: Vec<_> =
        replicas.iter().enumerate().map(|(n, replica)| replica_entry(n, replica, "ready", 0)).collect();
    Gateway::start_with_list(entries, 3, (1024, 1024), json!({}))
}

/// Waits for the exit after SIGTERM and returns the exit code. Sends SIGKILL and returns `None` when it is due.
fn wait_for_exit(gateway: &mut Gateway, sigterm_at: Instant) -> Option<i32> {
    while sigterm_at.elapsed() < SIGKILL_DELAY {
        if let Some(status) = gateway.child.try_wait().expect("a child process") {
            return status.code();
        }
        thread::sleep(ms(5));
    }
    gateway.child.kill().expect("a child process");
    None
}

/// Result of one request as its client received it.
#[derive(Debug, PartialEq)]
enum RequestOutcome {
    /// Complete response. `closes` is true if the connection closes after it.
    Complete { status: u16, closes: bool },
    /// Connection closed before the first byte of a response.
    Closed,
    /// Any other result, with a description.
    Invalid(String),
}

impl RequestOutcome {
    /// Whether the response is complete with status 200, and the connection stays open.
    fn is_reusable(&self) -> bool {
        *self == RequestOutcome::Complete { status: 200, closes: false }
    }
}

/// Connection of a client to a front.
struct Connection {
    reader: BufReader<TcpStream>,
    dialect: &'static str,
}

impl Connection {
    fn open(front: SocketAddr, dialect: &'static str) -> Option<Connection> {
        let stream = TcpStream::connect(front).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        Some(Connection { reader: BufReader::new(stream), dialect })
    }

    /// Encodes a request.
    fn request(&self, class: &str, deadline_ms: u32, id: u64) -> Vec<u8> {
        let extra_headers = match self.dialect {
            "messages" => format!("X-Request-Id: {id:016x}\r\n"),
            _ => String::new(),
        };
        let (head, body) = request(self.dialect, class, deadline_ms, id as usize, &extra_headers);
        (head + &body).into_bytes()
    }

    fn send(&mut self, bytes: &[u8]) {
        // A closed connection is detected when the response is read.
        let _ = self.reader.get_mut().write_all(bytes);
    }

    /// Reads one response. No bytes may follow a response with `Connection: close`.
    fn read_response(&mut self) -> RequestOutcome {
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(0) if head.is_empty() => return RequestOutcome::Closed,
                Err(e) if head.is_empty() && e.kind() != ErrorKind::WouldBlock => {
                    return RequestOutcome::Closed;
                }
                Ok(count) if count > 2 => head.push(line.trim_end().to_owned()),
                Ok(2) => break,
                other => return RequestOutcome::Invalid(format!("{other:?} after {head:?}")),
            }
        }
        let status = head[0].split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        let body = match header(&head, "content-length") {
            Some(length) => {
                let mut body = vec![0; length.parse().expect("a length")];
                self.reader.read_exact(&mut body).map(|()| String::new())
            }
            None => self.read_chunks(),
        };
        let closes = header(&head, "connection").is_some_and(|c| c == "close");
        match body {
            Ok(text) if status == 200 && !text.contains("stop") => RequestOutcome::Invalid(text),
            Ok(_) if closes && !matches!(self.reader.read(&mut [0; 64]), Ok(0)) => {
                RequestOutcome::Invalid("no end of the connection after Connection: close".into())
            }
            Ok(_) => RequestOutcome::Complete { status, closes },
            Err(e) => RequestOutcome::Invalid(format!("{head:?}: {e}")),
        }
    }

    fn read_chunks(&mut self) -> std::io::Result<String> {
        let mut text = String::new();
        loop {
            let mut size = String::new();
            self.reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim_end(), 16)
                .map_err(|_| std::io::Error::other(format!("invalid chunk size after {text}")))?;
            let mut bytes = vec![0; size + 2];
            self.reader.read_exact(&mut bytes)?;
            if size == 0 {
                return Ok(text);
            }
            text += &String::from_utf8_lossy(&bytes[..size]);
        }
    }
}

fn take_id(next_id: &AtomicUsize) -> u64 {
    next_id.fetch_add(1, Ordering::SeqCst) as u64
}

/// Ids and outcomes of all requests.
#[derive(Default)]
struct Outcomes(Mutex<Vec<(u64, RequestOutcome)>>);

impl Outcomes {
    fn record(&self, id: u64, outcome: RequestOutcome) {
        self.0.lock().expect("lock").push((id, outcome));
    }

    /// Checks that each request got a complete response with one of these statuses, or that its connection was closed
    /// and no replica received it. Returns the number of responses.
    fn check(&self, dialect: &str, statuses: &[u16], received_ids: &[u64]) -> usize {
        let received_ids: BTreeSet<u64> = received_ids.iter().copied().collect();
        let all = self.0.lock().expect("lock");
        for (id, outcome) in &*all {
            let is_valid = match outcome {
                RequestOutcome::Complete { status, .. } => statuses.contains(status),
                RequestOutcome::Closed => !received_ids.contains(id),
                RequestOutcome::Invalid(_) => false,
            };
            assert!(is_valid, "{dialect}: {outcome:?}");
        }
        all.iter().filter(|(_, outcome)| matches!(outcome, RequestOutcome::Complete { .. })).count()
    }
}

/// Checks that the replica received no request twice and that the outcomes of all requests are allowed.
fn check_responses(dialect: &str, replica: &RecordingReplica, outcomes: &Outcomes) {
    let received_ids = replica.request_ids.lock().expect("lock").clone();
    assert_eq!(
        received_ids.iter().collect::<BTreeSet<_>>().len(),
        received_ids.len(),
        "no request is forwarded twice"
    );
    let response_count = outcomes.check(dialect, &[200, 429, 503, 529], &received_ids);
    println!("{dialect}: {response_count} responses, {} requests forwarded", received_ids.len());
    assert!(response_count > 60);
}

fn requests_get_one_response(dialect: &'static str) {
    let replica = start_recording_replica(Script::ServeAfterMs(20));
    let mut gateway = start_gateway(&[&replica.replica]);
    let (addr, next_id, outcomes) = (gateway.front(dialect), AtomicUsize::new(1), Outcomes::default());
    let (next_id, outcomes) = (&next_id, &outcomes);
    thread::scope(|scope| {
        // Clients that send the next request at once on the same connection.
        for _ in 0..6 {
            scope.spawn(move || {
                while let Some(mut connection) = Connection::open(addr, dialect) {
                    loop {
                        let id = take_id(next_id);
                        let bytes = connection.request("plain", 2900, id);
                        connection.send(&bytes);
                        let outcome = connection.read_response();
                        let is_reusable = outcome.is_reusable();
                        outcomes.record(id, outcome);
                        if !is_reusable {
                            break;
                        }
                    }
                }
            });
        }
        // Clients that send half of a request before SIGTERM, and the rest this many milliseconds after it.
        for delay_ms in [100, 600, 1000, 1600] {
            let mut connection = Connection::open(addr, dialect).expect("an accepted connection");
            let id = take_id(next_id);
            let bytes = connection.request("plain", 2900, id);
            let (start, rest) = bytes.split_at(bytes.len() / 2);
            connection.send(start);
            let rest = rest.to_vec();
            scope.spawn(move || {
                thread::sleep(ms(300 + delay_ms));
                connection.send(&rest);
                let outcome = connection.read_response();
                assert_ne!(
                    outcome,
                    RequestOutcome::Closed,
                    "part of the request was received before SIGTERM"
                );
                outcomes.record(id, outcome);
            });
        }
        thread::sleep(ms(300));
        gateway.signal("-TERM");
        let sigterm_at = Instant::now();
        // New connections, whose requests are sent at once or later.
        for n in 0..16 {
            scope.spawn(move || {
                thread::sleep(ms(n % 4 * 100));
                let mut connection = Connection::open(addr, dialect).expect("an accepted connection");
                thread::sleep(ms(n / 4 * 200));
                let id = take_id(next_id);
                let bytes = connection.request("plain", 2900, id);
                connection.send(&bytes);
                outcomes.record(id, connection.read_response());
            });
        }
        assert_eq!(wait_for_exit(&mut gateway, sigterm_at), Some(0), "{dialect}");
        let elapsed = sigterm_at.elapsed();
        println!("{dialect}: exited {elapsed:?} after SIGTERM");
    });
    check_responses(dialect, &replica, outcomes);
}

#[test]
fn requests_on_open_connections_get_one_response_each() {
    let tests = DIALECTS.map(|dialect| thread::spawn(move || requests_get_one_response(dialect)));
    tests.into_iter().for_each(|test| test.join().expect("the test passes"));
}

fn streams_are_completed(dialect: &'static str) {
    // SIGTERM is sent 0.3 s after the start of the requests.
    let replica =
        start_recording_replica(Script::StreamForMs(&[400, 700, 1200, 1700, 2300, 2800, 3300, 3500]));
    let mut gateway = start_gateway(&[&replica.replica]);
    let (addr, next_id, outcomes) = (gateway.front(dialect), AtomicUsize::new(1), Outcomes::default());
    let (next_id, outcomes) = (&next_id, &outcomes);
    thread::scope(|scope| {
        let start = Instant::now();
        for n in 0..24 {
            scope.spawn(move || {
                let mut connection = Connection::open(addr, dialect).expect("an accepted connection");
                let id = take_id(next_id);
                let bytes = connection.request(if n % 3 == 0 { "once" } else { "plain" }, 9000, id);
                connection.send(&bytes);
                let outcome = connection.read_response();
                let is_reusable = outcome.is_reusable();
                outcomes.record(id, outcome);
                // One more request at once on a reusable connection: it gets a response, unless the gateway closes at
                // the same time.
                if is_reusable {
                    let id = SECOND_REQUEST_ID_OFFSET + take_id(next_id);
                    let bytes = connection.request("plain", 100, id);
                    connection.send(&bytes);
                    outcomes.record(id, connection.read_response());
                }
            });
        }
        // On a slow machine the 24 counted requests may include second requests on a connection.
        wait_until(|| replica.replica.requests.load(Ordering::SeqCst) >= 24);
        thread::sleep(ms(300).saturating_sub(start.elapsed()));
        gateway.signal("-TERM");
        let sigterm_at = Instant::now();
        assert_eq!(wait_for_exit(&mut gateway, sigterm_at), Some(0), "{dialect}");
        println!("{dialect}: exited {:?} after SIGTERM", sigterm_at.elapsed());
    });
    let received_ids = replica.request_ids.lock().expect("lock").clone();
    outcomes.check(dialect, &[200, 503, 504, 529], &received_ids);
    let all = outcomes.0.lock().expect("lock");
    let complete_count = all
        .iter()
        .filter(|(id, outcome)| {
            *id < SECOND_REQUEST_ID_OFFSET
                && matches!(outcome, RequestOutcome::Complete { status: 200, .. })
        })
        .count();
    assert_eq!(complete_count, 24, "{dialect}: all streams are forwarded completely");
}

#[test]
fn streams_that_the_replica_completes_are_forwarded_completely() {
    let tests = DIALECTS.map(|dialect| thread::spawn(move || streams_are_completed(dialect)));
    tests.into_iter().for_each(|test| test.join().expect("the test passes"));
}

fn late_requests_get_a_response(dialect: &'static str) {
    // So many replicas that late requests are not shed for lack of usable ones.
    let replicas: Vec<RecordingReplica> = (0..12).map(|_| start_recording_replica(Script::Hang)).collect();
    let mut gateway = start_gateway(&replicas.iter().map(|replica| &replica.replica).collect::<Vec<_>>());
    let (addr, next_id, outcomes) = (gateway.front(dialect), AtomicUsize::new(1), Outcomes::default());
    let (next_id, outcomes) = (&next_id, &outcomes);
    thread::scope(|scope| {
        // Requests received before SIGTERM, or within 0.7 s after it, have their full deadline; later ones have until
        // SIGKILL. Each entry: milliseconds from SIGTERM to the connect, milliseconds from SIGTERM to the request,
        // deadline in milliseconds.
        for (connect_ms, send_ms, deadline_ms) in
            [(0, 0, 2900), (0, 400, 2900), (200, 500, 2900), (500, 1000, 2900), (500, 1100, 9000)]
        {
            scope.spawn(move || {
                // SIGTERM is sent after 100 ms.
                thread::sleep(ms(100 + connect_ms));
                let mut connection = Connection::open(addr, dialect).expect("an accepted connection");
                thread::sleep(ms(send_ms - connect_ms));
                let id = take_id(next_id);
                let bytes = connection.request("once", deadline_ms, id);
                connection.send(&bytes);
                let outcome = connection.read_response();
                assert!(
                    matches!(outcome, RequestOutcome::Complete { .. }),
                    "{dialect}, {connect_ms}, {send_ms}: {outcome:?}"
                );
                outcomes.record(id, outcome);
            });
        }
        for (rest_ms, deadline_ms) in [(900, 2900), (1500, 9000)] {
            let mut connection = Connection::open(addr, dialect).expect("an accepted connection");
            let id = take_id(next_id);
            let bytes = connection.request("once", deadline_ms, id);
            connection.send(&bytes[..bytes.len() - 1]);
            let last = bytes[bytes.len() - 1..].to_vec();
            scope.spawn(move || {
                thread::sleep(ms(100 + rest_ms));
                connection.send(&last);
                let outcome = connection.read_response();
                assert!(
                    matches!(outcome, RequestOutcome::Complete { .. }),
                    "{dialect}, complete after {rest_ms} ms: {outcome:?}"
                );
                outcomes.record(id, outcome);
            });
        }
        thread::sleep(ms(100));
        gateway.signal("-TERM");
        let sigterm_at = Instant::now();
        assert_eq!(
            wait_for_exit(&mut gateway, sigterm_at),
            Some(0),
            "{dialect}: no exit with code 0 before SIGKILL"
        );
        println!("{dialect}: exited {:?} after SIGTERM", sigterm_at.elapsed());
    });
    let received_ids: Vec<u64> =
        replicas.iter().flat_map(|replica| replica.request_ids.lock().expect("lock").clone()).collect();
    assert_eq!(outcomes.check(dialect, &[429, 503, 504, 529], &received_ids), 7);
}

#[test]
fn late_requests_to_hung_replicas_get_a_response_before_sigkill() {
    let tests = DIALECTS.map(|dialect| thread::spawn(move || late_requests_get_a_response(dialect)));
    tests.into_iter().for_each(|test| test.join().expect("the test passes"));
}
