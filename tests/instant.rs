//! Bytes that arrive at the moment at which a connection is shut down or closed, for each response after which the
//! connection ends; and bytes that replicas send after, or instead of, the end of a response.

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

/// Interval at which clients send further bytes, 1,000 at a time.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which clients send further bytes: much longer than a response takes.
const SEND_TIME: Duration = Duration::from_millis(300);

fn start_gateway(replica: &StandInReplica, attempts: u32) -> Gateway {
    let replicas = vec![replica_entry(0, replica, "ready", 0)];
    Gateway::start_with_list(replicas, attempts, (1024, 1024), json!({"mgmt": "127.0.0.1:0"}))
}

/// Sends `first` and then further bytes during and after the response. Returns the bytes received up to the orderly
/// end of the connection; a reset is an error.
fn exchange_while_sending(addr: SocketAddr, first: &[u8]) -> std::io::Result<String> {
    let mut stream = connect(addr);
    stream.write_all(first)?;
    let mut send_half = stream.try_clone()?;
    let writer = thread::spawn(move || {
        let start = Instant::now();
        // A write may fail once the gateway has stopped reading.
        while start.elapsed() < SEND_TIME && send_half.write_all(&[b'x'; 1000]).is_ok() {
            thread::sleep(SEND_INTERVAL);
        }
    });
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    // The response must still be complete after the last further byte was sent.
    writer.join().expect("the writer ends");
    read?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// Asserts that the response has this status, ends with `end`, and has the length that its head states.
fn assert_complete_response(case: &str, addr: SocketAddr, first: &[u8], status: &str, end: &str) {
    match exchange_while_sending(addr, first) {
        Ok(response) => {
            assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{case}: {response}");
            assert!(response.ends_with(end), "{case}: {response}");
            let (head, body) = response.split_once("\r\n\r\n").expect("a head");
            let lines: Vec<String> = head.lines().map(str::to_owned).collect();
            let length = header(&lines, "content-length").map(|l| l.parse::<usize>().expect("a length"));
            assert!(length.is_none_or(|length| length == body.len()), "{case}: {response}");
        }
        Err(e) => panic!("{case}: connection reset instead of a response: {e}"),
    }
}

/// A request after whose response the connection is to close.
fn closing_request(front: &str, class: &str, session: usize) -> Vec<u8> {
    let (head, body) = request(front, class, 3000, session, "Connection: close\r\n");
    (head + &body).into_bytes()
}

#[test]
fn no_final_response_is_lost_to_a_reset_by_further_bytes() {
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
            let replica = start_replica("platform", behavior);
            let gateway = start_gateway(&replica, 1);
            let case = format!("{front}, {behavior:?}");
            assert_complete_response(
                &case,
                gateway.front(front),
                &closing_request(front, class, n),
                status,
                end,
            );
            if n == 0 {
                let addr = gateway.front(front);
                assert_complete_response("health", addr, health, "200 ", "ready\n");
                assert_complete_response("no request", addr, b"nonsense\r\n\r\n", "400 ", "");
                assert_complete_response("too large", addr, large, "413 ", "");
                assert_complete_response("half a request", addr, b"POST /v1/chat", "4", "");
                let mgmt = gateway.mgmt.expect("a management address");
                let command = b"POST /undrain HTTP/1.1\r\nHost: gateway\r\nContent-Length: 99999\r\n\r\n";
                assert_complete_response("a command", mgmt, command, "200 ", "clients may come\n");
                assert_complete_response("no command", mgmt, b"nonsense\r\n\r\n", "400 ", "");
            }
        }
        // For an aborted stream the client gets the events received so far, and an end without the last chunk.
        let replica = start_replica("platform", ReplicaBehavior::CloseMidStream);
        let gateway = start_gateway(&replica, 1);
        let response = exchange_while_sending(gateway.front(front), &closing_request(front, "once", 9))
            .expect("no reset");
        assert!(response.contains("Hel") && !response.ends_with("0\r\n\r\n"), "{front}: {response}");
    }
}

#[test]
fn requests_unread_at_the_end_of_the_grace_are_refused() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let mut gateway = start_gateway(&replica, 1);
    let mut idle = Vec::new();
    for front in DIALECTS {
        for _ in 0..5 {
            let mut stream = gateway.connect(front);
            let mut head = [0; 12];
            stream.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("send");
            stream.read_exact(&mut head).expect("a response");
            idle.push((front, stream));
        }
    }
    gateway.signal("-TERM");
    thread::sleep(ms(300));
    // The process is suspended while its grace period ends, so that requests remain unread.
    gateway.signal("-STOP");
    let fresh: Vec<_> = (0..20).map(|n| (DIALECTS[n % 2], gateway.connect(DIALECTS[n % 2]))).collect();
    let mut clients: Vec<_> = idle.into_iter().chain(fresh).collect();
    for (n, (front, stream)) in clients.iter_mut().enumerate() {
        let (head, body) = request(front, "plain", 3000, n, "");
        stream.write_all((head + &body).as_bytes()).expect("send");
    }
    thread::sleep(ms(800));
    gateway.signal("-CONT");
    for (n, (front, mut stream)) in clients.into_iter().enumerate() {
        let mut response = String::new();
        let end = stream.read_to_string(&mut response);
        assert!(end.is_ok(), "{front} {n}: {end:?} after {response:?}");
        let refused = response.matches("HTTP/1.1 503 ").count() + response.matches("HTTP/1.1 529 ").count();
        assert_eq!(refused, 1, "{front} {n}: {response}");
    }
    assert_eq!(gateway.child.wait().expect("wait for the exit").code(), Some(0));
    assert_eq!(
        replica.requests.load(Ordering::SeqCst),
        0,
        "requests read after the grace period are not forwarded"
    );
}

/// Starts a replica that writes `surplus` to the connection after its first response and this delay.
fn start_replica_with_surplus(delay: Duration, surplus: &'static str) -> StandInReplica {
    start_scripted_replica(move |stream, number| {
        let response = STREAM_HEAD.to_owned()
            + &encode_chunk(&(text_event("platform", "Hello") + &closing_events("platform")))
            + "0\r\n\r\n";
        if stream.write_all(response.as_bytes()).is_err() {
            return false;
        }
        if number == 0 {
            thread::sleep(delay);
            let _ = stream.write_all(surplus.as_bytes());
        }
        true
    })
    .0
}

#[test]
fn bytes_after_a_response_are_never_read_as_the_next_response() {
    let stray = STREAM_HEAD.to_owned()
        + &encode_chunk(&(text_event("platform", "Stray") + &closing_events("platform")))
        + "0\r\n\r\n";
    let stray: &'static str = stray.leak();
    for front in DIALECTS {
        for surplus in [stray, "HTTP/1.1 2", "\u{1}noise", "\r\n", "0\r\n\r\n"] {
            for delay_ms in [0, 2, 10] {
                let replica = start_replica_with_surplus(ms(delay_ms), surplus);
                let gateway = start_gateway(&replica, 1);
                for session in 0..4 {
                    // The class whose requests must not run twice, immediately after the previous request.
                    let (outcome, _) = gateway.exchange(front, "once", 5000, session);
                    assert_eq!(
                        outcome,
                        ClientOutcome::Served("Hello".into()),
                        "{front}: {surplus:?} after {delay_ms} ms"
                    );
                }
                assert_eq!(replica.requests.load(Ordering::SeqCst), 4, "each request is sent once");
            }
        }
    }
}

#[test]
fn connections_are_reused_soon_after_a_response() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (accept_sender, connections) = channel();
    let requests = Arc::new(AtomicUsize::new(0));
    let count = requests.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            accept_sender.send(()).expect("the test counts connections");
            let (count, (end_sender, _)) = (count.clone(), channel());
            thread::spawn(move || {
                serve_connection(
                    stream,
                    "platform",
                    ReplicaBehavior::Serve,
                    &count,
                    &Mutex::default(),
                    &end_sender,
                )
            });
        }
    });
    let replica = StandInReplica { addr, requests, bodies: Arc::default(), connection_ends: channel().1 };
    let gateway = start_gateway(&replica, 1);
    for session in 0..100 {
        assert_eq!(
            gateway.exchange("platform", "once", 5000, session).0,
            ClientOutcome::Served("Hello".into())
        );
        thread::sleep(ms(5));
    }
    // At one request in 5 ms or more, four connections are used in turn; the limit allows for a busy machine.
    let opened = connections.try_iter().count();
    assert!((1..=10).contains(&opened), "{opened} connections for 100 requests");
}

#[test]
fn a_stream_with_an_incomplete_end_is_aborted_and_not_reused() {
    const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    const TOO_LONG: &str =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 99999\r\n\r\n";
    // The head, the bytes after the first event, and whether the connection then stays open.
    let last_events = text_event("platform", "lo") + &closing_events("platform");
    let cases: Vec<(&str, String, bool)> = vec![
        (STREAM_HEAD, "zz\r\n".into(), true),
        (STREAM_HEAD, "-1\r\n".into(), true),
        (STREAM_HEAD, "3\r\nabcde\r\n0\r\n\r\n".into(), true),
        (STREAM_HEAD, encode_chunk(&last_events) + "0\r\n", false),
        (STREAM_HEAD, encode_chunk(&last_events) + "0\r\nX-Tr", false),
        (STREAM_HEAD, encode_chunk(&last_events) + "HTTP/1.1 200 OK\r\n\r\n", true),
        (STREAM_HEAD, encode_chunk(&last_events), false),
        (STREAM_HEAD, "5\r\nda".into(), false),
        (UNTIL_CLOSE, last_events.clone(), false),
        (TOO_LONG, last_events.clone(), false),
    ];
    for front in DIALECTS {
        for (n, (head, rest, stays_open)) in cases.iter().cloned().enumerate() {
            let is_chunked = head == STREAM_HEAD;
            let (replica, close_times) = start_scripted_replica(move |stream, _| {
                let first = text_event("platform", "Hel");
                let first = if is_chunked { encode_chunk(&first) } else { first };
                let sent = stream.write_all((head.to_owned() + &first + &rest).as_bytes()).is_ok();
                if !stays_open {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                sent && stays_open
            });
            let gateway = start_gateway(&replica, 1);
            for session in 0..2 {
                let (outcome, bytes) = gateway.exchange(front, "once", 5000, session);
                assert!(
                    matches!(&outcome, ClientOutcome::Truncated(t) if t.starts_with("Hel")),
                    "{front} {n}: {outcome:?} {bytes}"
                );
                if stays_open {
                    assert!(
                        close_times.recv_timeout(TEST_TIMEOUT).is_ok(),
                        "{front} {n}: the connection was not closed"
                    );
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
    let client = TcpStream::connect(addr).expect("connect");
    let accepted = listener.accept().expect("a connection").0;
    let handed_over = client.try_clone().expect("clone the stream");
    async_io::block_on(async {
        let streams = [
            BufferedStream::new(Async::new(accepted).expect("register the stream")),
            BufferedStream::from_handover(handed_over.into(), Vec::new()).expect("register the stream"),
            BufferedStream::connect(addr, &limits.wire).await.expect("connect"),
        ];
        for stream in streams {
            assert!(SockRef::from(&stream.fd()).tcp_nodelay().expect("get the option"));
        }
    });
}

/// Clients send on idle connections around the moment at which the gateway closes them.
fn send_during_close(front: &'static str) {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let mut gateway = start_gateway(&replica, 1);
    let addr = gateway.front(front);
    let mut idle: Vec<TcpStream> = (0..120).map(|_| connect(addr)).collect();
    for stream in &mut idle {
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("send");
        let mut response = Vec::new();
        while !response.ends_with(b"ready\n") {
            let mut piece = [0; 256];
            let count = stream.read(&mut piece).expect("a response");
            assert!(count > 0, "{front}: the connection was closed");
            response.extend(&piece[..count]);
        }
    }
    let signalled_at = Instant::now();
    gateway.signal("-TERM");
    let served = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = idle
        .into_iter()
        .enumerate()
        .map(|(n, mut stream)| {
            let served = served.clone();
            thread::spawn(move || {
                let (head, body) = request(front, "plain", 3000, n, "");
                // Spread from 0.67 to 0.73 s after the signal.
                let due = signalled_at + ms(670) + Duration::from_micros(500) * n as u32;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let _ = stream.write_all((head + &body).as_bytes());
                let mut response = String::new();
                // Without a response, too, the connection must end without a reset.
                let end = stream.read_to_string(&mut response);
                assert!(end.is_ok(), "{front} {n}: {end:?} after {response:?}");
                if response.starts_with("HTTP/1.1 200 ") {
                    assert!(response.ends_with("0\r\n\r\n"), "{front} {n}: {response}");
                    served.lock().expect("lock").push(n);
                } else {
                    let refused =
                        response.starts_with("HTTP/1.1 503 ") || response.starts_with("HTTP/1.1 529 ");
                    assert!(response.is_empty() || refused, "{front} {n}: {response}");
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("every connection ends in order"));
    assert_eq!(gateway.child.wait().expect("wait for the exit").code(), Some(0));
    assert!(signalled_at.elapsed() < ms(3700), "the exit precedes SIGKILL");
    let served = served.lock().expect("lock").len();
    assert_eq!(
        replica.requests.load(Ordering::SeqCst),
        served,
        "{front}: each forwarded request was served"
    );
    assert!(served > 0, "no request was in time");
}

#[test]
fn a_request_on_a_closing_connection_is_served_or_not_forwarded() {
    DIALECTS.into_iter().for_each(send_during_close);
}
