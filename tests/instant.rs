//! Bytes that come in the very instant in which a connection is shut or closed, at every place where an answer is the
//! last thing on a connection; and what replicas send behind, or in place of, the end of their answers.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_io::Async;
use serde_json::json;
use socket2::SockRef;
use support::*;
use tulipridge::limits::Limits;
use tulipridge::net::BufferedStream;

/// Another 1,000 bytes come each so many milliseconds, for 0.3 s: far longer than an answer takes.
const PACE: Duration = Duration::from_millis(10);
const SPAN: Duration = Duration::from_millis(300);

fn gateway(server: &StandInReplica, attempts: u32) -> Gateway {
    let servers = vec![replica_entry(0, server, "ready", 0)];
    Gateway::start_with_list(servers, attempts, (1024, 1024), json!({"mgmt": "127.0.0.1:0"}))
}

/// Sends `first`, and goes on sending while the answer comes and after. What came up to the orderly end; a reset is none.
fn amid_bytes(addr: SocketAddr, first: &[u8]) -> std::io::Result<String> {
    let mut stream = connect(addr);
    stream.write_all(first)?;
    let mut side = stream.try_clone()?;
    let writer = thread::spawn(move || {
        let from = Instant::now();
        // One that is no longer listened to may hear of it.
        while from.elapsed() < SPAN && side.write_all(&[b'x'; 1000]).is_ok() {
            thread::sleep(PACE);
        }
    });
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    // The client looks again once all of its bytes are out: what was on its way must not have been lost by then.
    writer.join().expect("it ends");
    read?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn ends(what: &str, addr: SocketAddr, first: &[u8], status: &str, end: &str) {
    match amid_bytes(addr, first) {
        Ok(answer) => {
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{what}: {answer}");
            assert!(answer.ends_with(end), "{what}: {answer}");
            let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
            let lines: Vec<String> = head.lines().map(str::to_owned).collect();
            let length = header(&lines, "content-length").map(|l| l.parse::<usize>().expect("a length"));
            assert!(length.is_none_or(|length| length == body.len()), "{what}: {answer}");
        }
        Err(e) => panic!("{what}: a reset took the answer's place: {e}"),
    }
}

fn asking(front: &str, class: &str, session: usize) -> Vec<u8> {
    let (head, body) = request(front, class, 3000, session, "Connection: close\r\n");
    (head + &body).into_bytes()
}

#[test]
fn no_last_answer_is_lost_to_a_reset_whatever_still_comes() {
    let health = b"GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
    let large = b"POST /v1/messages HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 9999999\r\n\r\n";
    for front in DIALECTS {
        let cases = [
            (ReplicaBehavior::Serve, "plain", "200 ", "0\r\n\r\n"),
            (ReplicaBehavior::Overloaded, "plain", "5", ""),
            (ReplicaBehavior::InternalError, "once", "5", ""),
            (ReplicaBehavior::Unprocessable, "plain", "422 ", ""),
        ];
        for (n, (behavior, class, status, end)) in cases.into_iter().enumerate() {
            let server = start_replica("platform", behavior);
            let gateway = gateway(&server, 1);
            let what = format!("{front}, {behavior:?}");
            ends(&what, gateway.front(front), &asking(front, class, n), status, end);
            if n == 0 {
                let at = gateway.front(front);
                ends("health", at, health, "200 ", "ready\n");
                ends("no request", at, b"nonsense\r\n\r\n", "400 ", "");
                ends("too large", at, large, "413 ", "");
                ends("half a request", at, b"POST /v1/chat", "4", "");
                let mgmt = gateway.mgmt.expect("a second address");
                let order = b"POST /undrain HTTP/1.1\r\nHost: gateway\r\nContent-Length: 99999\r\n\r\n";
                ends("an order", mgmt, order, "200 ", "clients may come\n");
                ends("no order", mgmt, b"nonsense\r\n\r\n", "400 ", "");
            }
        }
        // A stream that breaks: its client has the events that came, and an end that is no last chunk.
        let server = start_replica("platform", ReplicaBehavior::CloseMidStream);
        let gateway = gateway(&server, 1);
        let answer = amid_bytes(gateway.front(front), &asking(front, "once", 9)).expect("no reset");
        assert!(answer.contains("Hel") && !answer.ends_with("0\r\n\r\n"), "{front}: {answer}");
    }
}

#[test]
fn what_waits_unread_as_the_grace_ends_gets_an_answer_and_no_reset() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let mut gateway = gateway(&server, 1);
    let mut rested = Vec::new();
    for front in DIALECTS {
        for _ in 0..5 {
            let mut stream = gateway.connect(front);
            let mut head = [0; 12];
            stream.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("sent");
            stream.read_exact(&mut head).expect("an answer");
            rested.push((front, stream));
        }
    }
    gateway.signal("-TERM");
    thread::sleep(ms(300));
    // It stands still as its grace ends, and all that comes meanwhile waits unread.
    gateway.signal("-STOP");
    let fresh: Vec<_> = (0..20).map(|n| (DIALECTS[n % 2], gateway.connect(DIALECTS[n % 2]))).collect();
    let mut clients: Vec<_> = rested.into_iter().chain(fresh).collect();
    for (n, (front, stream)) in clients.iter_mut().enumerate() {
        let (head, body) = request(front, "plain", 3000, n, "");
        stream.write_all((head + &body).as_bytes()).expect("sent");
    }
    thread::sleep(ms(800));
    gateway.signal("-CONT");
    for (n, (front, mut stream)) in clients.into_iter().enumerate() {
        let mut answer = String::new();
        let end = stream.read_to_string(&mut answer);
        assert!(end.is_ok(), "{front} {n}: {end:?} after {answer:?}");
        let refused = answer.matches("HTTP/1.1 503 ").count() + answer.matches("HTTP/1.1 529 ").count();
        assert_eq!(refused, 1, "{front} {n}: {answer}");
    }
    assert_eq!(gateway.child.wait().expect("it ends").code(), Some(0));
    assert_eq!(server.requests.load(Ordering::SeqCst), 0, "what was read after the grace is not sent on");
}

/// A replica whose first answer is followed, some milliseconds later, by what else it has to say on that connection.
fn second_word(late: Duration, word: &'static str) -> StandInReplica {
    start_scripted_replica(move |stream, number| {
        let answer = STREAM_HEAD.to_owned()
            + &encode_chunk(&(text_event("platform", "Hello") + &closing_events("platform")))
            + "0\r\n\r\n";
        if stream.write_all(answer.as_bytes()).is_err() {
            return false;
        }
        if number == 0 {
            thread::sleep(late);
            let _ = stream.write_all(word.as_bytes());
        }
        true
    })
    .0
}

#[test]
fn what_comes_behind_an_answer_is_never_taken_for_the_next_ones() {
    let whole = STREAM_HEAD.to_owned()
        + &encode_chunk(&(text_event("platform", "Stray") + &closing_events("platform")))
        + "0\r\n\r\n";
    let whole: &'static str = whole.leak();
    for front in DIALECTS {
        for word in [whole, "HTTP/1.1 2", "\u{1}noise", "\r\n", "0\r\n\r\n"] {
            for late in [0, 2, 10] {
                let server = second_word(ms(late), word);
                let gateway = gateway(&server, 1);
                for session in 0..4 {
                    // The class that may not be tried again, at once after the one before.
                    let (seen, _) = gateway.exchange(front, "once", 5000, session);
                    assert_eq!(
                        seen,
                        ClientOutcome::Served("Hello".into()),
                        "{front}: {word:?} after {late} ms"
                    );
                }
                assert_eq!(server.requests.load(Ordering::SeqCst), 4, "each is sent once");
            }
        }
    }
}

#[test]
fn connections_serve_again_soon_after_an_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (tell, connections) = channel();
    let requests = Arc::new(AtomicUsize::new(0));
    let count = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            tell.send(()).expect("counted");
            let (count, (tell, _)) = (count.clone(), channel());
            thread::spawn(move || {
                serve_connection(
                    stream,
                    "platform",
                    ReplicaBehavior::Serve,
                    &count,
                    &Mutex::default(),
                    &tell,
                )
            });
        }
    });
    let server = StandInReplica { addr, requests, bodies: Arc::default(), connection_ends: channel().1 };
    let gateway = gateway(&server, 1);
    for session in 0..100 {
        assert_eq!(
            gateway.exchange("platform", "once", 5000, session).0,
            ClientOutcome::Served("Hello".into())
        );
        thread::sleep(ms(5));
    }
    // At one request in 5 ms or more, four connections take turns; room is for a busy machine.
    let opened = connections.try_iter().count();
    assert!((1..=10).contains(&opened), "{opened} connections for 100 requests");
}

#[test]
fn a_stream_whose_end_is_incomplete_is_never_ended_as_complete_nor_its_connection_used_again() {
    const CLOSED: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    const LONG: &str =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 99999\r\n\r\n";
    // The head, what follows the first events, and whether the connection then stays open.
    let all = text_event("platform", "lo") + &closing_events("platform");
    let cases: Vec<(&str, String, bool)> = vec![
        (STREAM_HEAD, "zz\r\n".into(), true),
        (STREAM_HEAD, "-1\r\n".into(), true),
        (STREAM_HEAD, "3\r\nabcde\r\n0\r\n\r\n".into(), true),
        (STREAM_HEAD, encode_chunk(&all) + "0\r\n", false),
        (STREAM_HEAD, encode_chunk(&all) + "0\r\nX-Tr", false),
        (STREAM_HEAD, encode_chunk(&all) + "HTTP/1.1 200 OK\r\n\r\n", true),
        (STREAM_HEAD, encode_chunk(&all), false),
        (STREAM_HEAD, "5\r\nda".into(), false),
        (CLOSED, all.clone(), false),
        (LONG, all.clone(), false),
    ];
    for front in DIALECTS {
        for (n, (head, rest, stays)) in cases.iter().cloned().enumerate() {
            let framed = head == STREAM_HEAD;
            let (server, closed) = start_scripted_replica(move |stream, _| {
                let first = text_event("platform", "Hel");
                let first = if framed { encode_chunk(&first) } else { first };
                let sent = stream.write_all((head.to_owned() + &first + &rest).as_bytes()).is_ok();
                if !stays {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                sent && stays
            });
            let gateway = gateway(&server, 1);
            for session in 0..2 {
                let (seen, bytes) = gateway.exchange(front, "once", 5000, session);
                assert!(
                    matches!(&seen, ClientOutcome::Truncated(t) if t.starts_with("Hel")),
                    "{front} {n}: {seen:?} {bytes}"
                );
                if stays {
                    assert!(closed.recv_timeout(TEST_TIMEOUT).is_ok(), "{front} {n}: it stayed open");
                }
            }
        }
    }
}

#[test]
fn small_writes_are_not_delayed_on_any_connection() {
    let limits = Limits::new(1024, 192, TEST_TIMEOUT, TEST_TIMEOUT);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let client = TcpStream::connect(addr).expect("it accepts");
    let accepted = listener.accept().expect("a connection").0;
    let handed = client.try_clone().expect("a copy");
    async_io::block_on(async {
        let wires = [
            BufferedStream::new(Async::new(accepted).expect("watched")),
            BufferedStream::from_handover(handed.into(), Vec::new()).expect("watched"),
            BufferedStream::connect(addr, &limits.wire).await.expect("it accepts"),
        ];
        for wire in wires {
            assert!(SockRef::from(&wire.fd()).tcp_nodelay().expect("an option"));
        }
    });
}

/// Clients whose connections rest and who send in the very instant in which the gateway closes them.
fn crossing(front: &'static str) {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let mut gateway = gateway(&server, 1);
    let at = gateway.front(front);
    let mut resting: Vec<TcpStream> = (0..120).map(|_| connect(at)).collect();
    for stream in &mut resting {
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("sent");
        let mut answer = Vec::new();
        while !answer.ends_with(b"ready\n") {
            let mut piece = [0; 256];
            let count = stream.read(&mut piece).expect("an answer");
            assert!(count > 0, "{front}: it stays");
            answer.extend(&piece[..count]);
        }
    }
    let term = Instant::now();
    gateway.signal("-TERM");
    let answered = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = resting
        .into_iter()
        .enumerate()
        .map(|(n, mut stream)| {
            let answered = answered.clone();
            thread::spawn(move || {
                let (head, body) = request(front, "plain", 3000, n, "");
                // From 0.67 to 0.73 s after the signal.
                let due = term + ms(670) + Duration::from_micros(500) * n as u32;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let _ = stream.write_all((head + &body).as_bytes());
                let mut answer = String::new();
                // It ends in order also if it ends without an answer.
                let end = stream.read_to_string(&mut answer);
                assert!(end.is_ok(), "{front} {n}: {end:?} after {answer:?}");
                if answer.starts_with("HTTP/1.1 200 ") {
                    assert!(answer.ends_with("0\r\n\r\n"), "{front} {n}: {answer}");
                    answered.lock().expect("whole").push(n);
                } else {
                    let refused =
                        answer.starts_with("HTTP/1.1 503 ") || answer.starts_with("HTTP/1.1 529 ");
                    assert!(answer.is_empty() || refused, "{front} {n}: {answer}");
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("all ends are in order"));
    assert_eq!(gateway.child.wait().expect("it ends").code(), Some(0));
    assert!(term.elapsed() < ms(3700), "it ends before SIGKILL");
    let answered = answered.lock().expect("whole").len();
    assert_eq!(server.requests.load(Ordering::SeqCst), answered, "{front}: what was sent on was answered");
    assert!(answered > 0, "some came in time");
}

#[test]
fn a_request_on_a_resting_connection_is_answered_or_never_read_as_the_stop_ends_it() {
    DIALECTS.into_iter().for_each(crossing);
}
