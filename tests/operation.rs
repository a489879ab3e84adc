//! Operations on the gateway program while it serves: the operators' address, drains, and a second process on the same
//! listener.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};
use tulipridge::net::codec::Body;
use tulipridge::net::handover_message::{StreamBuffers, StreamSnapshot};

use support::*;

/// Starts a gateway with an operators' address. Its platform front uses the listener `inherited`, if any.
fn start_gateway(replica: &StandInReplica, inherited: Option<&TcpListener>) -> (Gateway, SocketAddr) {
    start_gateway_with(replica, inherited, json!({"mgmt": "127.0.0.1:0"}))
}

fn start_gateway_with(
    replica: &StandInReplica,
    inherited: Option<&TcpListener>,
    more: Value,
) -> (Gateway, SocketAddr) {
    let entries = vec![replica_entry(0, replica, "ready", 0)];
    let listener = inherited.map(|l| OwnedFd::from(l.try_clone().expect("a copy")));
    let platform = Platform {
        discovery: start_discovery(replica_list(2, true, entries.clone())),
        inherited: listener.map(|listener| ("4", listener.into())),
    };
    attach(Gateway::spawn_on("n0", "platform", entries, 1, (1024, 1024), more, platform))
}

/// Waits for the started gateway. Returns its operators' address as well.
fn attach(started: (Child, Sender<Value>)) -> (Gateway, SocketAddr) {
    let gateway = Gateway::attach(started);
    let mgmt = gateway.mgmt.expect("an address for operators");
    (gateway, mgmt)
}

/// Reads the response to a call and returns its status; 0 if the connection closes without one.
fn read_status(stream: &mut TcpStream) -> u16 {
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    response.split(' ').nth(1).map_or(0, |status| status.parse().expect("a status"))
}

fn health_status(gateway: &Gateway) -> u16 {
    call_status(gateway.front("platform"), "GET /_health")
}

#[test]
fn idle_callers_on_every_slot_do_not_block_calls() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, mgmt) = start_gateway(&replica, None);
    wait_until(|| call_status(mgmt, "GET /ready") == 200);
    for (call, status) in [("GET /drain", 405), ("POST /ready", 405), ("GET /", 404), ("nonsense", 400)] {
        assert_eq!(call_status(mgmt, call), status, "{call}");
    }
    assert_eq!(call_status(mgmt, &format!("GET /{}", "x".repeat(20 << 10))), 431);
    let idle_callers: Vec<TcpStream> = (0..200)
        .map(|n| {
            let mut stream = connect(mgmt);
            if n % 2 == 0 {
                // Some connections were already closed in favour of others.
                let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHo");
            }
            stream
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(call_status(mgmt, "GET /ready"), 200);
    }
    assert_eq!(health_status(&gateway), 200);
    drop(idle_callers);
    // An incomplete call whose slot no other caller needs times out with 408.
    let mut partial = connect(mgmt);
    partial.write_all(b"POST /dr").expect("sent");
    assert_eq!(read_status(&mut partial), 408);
    assert_eq!(health_status(&gateway), 200, "an incomplete call has no effect");
}

#[test]
fn calls_and_lists_are_parsed_in_any_pieces() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    // A list service that sends its response byte by byte, to a gateway without a known list.
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let addr = listener.local_addr().expect("an address");
    let line = replica_list(2, true, vec![replica_entry(0, &replica, "ready", 0)]).to_string() + "\n";
    thread::spawn(move || {
        let mut stream = listener.accept().expect("a watch").0;
        stream.set_nodelay(true).expect("no delay");
        let response =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", encode_chunk(&line));
        for byte in response.bytes() {
            stream.write_all(&[byte]).expect("sent");
        }
        // The watch stays open until the gateway exits.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let more = json!({"mgmt": "127.0.0.1:0"});
    let platform = Platform::with_discovery((addr, channel().0));
    let started = Gateway::spawn_on("n0", "platform", vec![], 1, (1024, 1024), more, platform);
    let (gateway, mgmt) = attach(started);
    wait_until(|| call_status(mgmt, "GET /ready") == 200);
    let call = b"POST /undrain HTTP/1.1\r\nHost: gateway\r\nContent-Length: 0\r\n\r\n";
    for cut in 1..call.len() {
        let mut stream = connect(mgmt);
        stream.set_nodelay(true).expect("no delay");
        stream.write_all(&call[..cut]).expect("sent");
        thread::yield_now();
        stream.write_all(&call[cut..]).expect("sent");
        assert_eq!(read_status(&mut stream), 200, "split at {cut}");
    }
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
}

#[test]
fn a_drained_gateway_closes_connections_until_it_is_undrained() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, mgmt) = start_gateway(&replica, None);
    wait_until(|| health_status(&gateway) == 200);
    let (idle, mut active) = (gateway.connect("platform"), gateway.connect("platform"));
    assert_eq!(call_status(mgmt, "POST /drain"), 200);
    assert_eq!(health_status(&gateway), 503);
    assert_eq!(call_status(mgmt, "GET /ready"), 200, "the process is able to serve");
    // A request on an open connection is still served, and its response announces the close.
    active.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("sent");
    let mut response = String::new();
    active.read_to_string(&mut response).expect("the end of the connection");
    assert!(
        response.starts_with("HTTP/1.1 503 ") && response.contains("Connection: close\r\n"),
        "{response}"
    );
    assert_eq!((&idle).read(&mut [0]).expect("an end without a reset"), 0);
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    assert_eq!(call_status(mgmt, "POST /drain"), 200, "a second drain has no effect");
    assert_eq!(call_status(mgmt, "POST /undrain"), 200);
    assert_eq!(health_status(&gateway), 200);
    let mut reused = gateway.connect("platform");
    for _ in 0..2 {
        reused.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("sent");
        let mut line = String::new();
        let mut reader = BufReader::new(&reused);
        while line != "ready\n" {
            line.clear();
            assert!(reader.read_line(&mut line).expect("a response") > 0, "the connection stays open");
        }
    }
}

#[test]
fn two_processes_on_one_listener_refuse_no_connection() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let (mut old, old_mgmt) = start_gateway(&replica, Some(&listener));
    wait_until(|| call_status(old_mgmt, "GET /ready") == 200);
    assert_eq!(old.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    // Clients that send requests throughout the handover, each on a new connection.
    let (front, is_stopped) = (old.fronts[0], Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (1..5)
        .map(|client| {
            let is_stopped = is_stopped.clone();
            thread::spawn(move || {
                let mut request_count = 0;
                while !is_stopped.load(Ordering::SeqCst) {
                    let stream = send(front, "platform", "plain", 9000, client << 20 | request_count);
                    assert_eq!(read_outcome("platform", stream).0, ClientOutcome::Served("Hello".into()));
                    request_count += 1;
                }
                request_count
            })
        })
        .collect();
    let (new, new_mgmt) = start_gateway(&replica, Some(&listener));
    assert_eq!(new.fronts[0], listener.local_addr().expect("an address"));
    wait_until(|| call_status(new_mgmt, "GET /ready") == 200);
    wait_until(|| old.count_log_lines(" newcomer ") == 1);
    old.signal("-TERM");
    wait_until(|| call_status(old_mgmt, "GET /ready") == 503);
    assert_eq!(call_status(old_mgmt, "POST /undrain"), 409);
    assert_eq!(old.child.wait().expect("wait for the exit").code(), Some(0));
    assert_eq!(new.exchange("platform", "plain", 9000, 31).0, ClientOutcome::Served("Hello".into()));
    is_stopped.store(true, Ordering::SeqCst);
    let request_count: usize = clients.into_iter().map(|client| client.join().expect("all served")).sum();
    assert!(request_count > 0);
    assert_eq!(replica.requests.load(Ordering::SeqCst), request_count + 2, "each request is served once");
}

#[test]
fn a_drain_closes_idle_connections_and_completes_requests() {
    for front in ["platform", "messages"] {
        let (replica, started, words) = start_stepwise_replica();
        let (gateway, mgmt) = start_gateway(&replica, None);
        wait_until(|| health_status(&gateway) == 200);
        let (first_idle, second_idle) = (gateway.connect(front), gateway.connect(front));
        let stream = gateway.send(front, "plain", 9000, 1);
        started.recv_timeout(TEST_TIMEOUT).expect("the request has started");
        let mut partial = gateway.connect(front);
        partial.write_all(b"GET /_health HTTP/1.1\r\nHo").expect("sent");
        assert_eq!(call_status(mgmt, "POST /drain"), 200);
        // A partly received request is completed; its response is 503 and closes the connection.
        partial.write_all(b"st: app.svc\r\n\r\n").expect("sent");
        assert_eq!(read_status(&mut partial), 503, "{front}");
        for idle in [first_idle, second_idle] {
            assert_eq!((&idle).read(&mut [0]).expect("an end without a reset"), 0, "{front}");
        }
        words.send("lo").expect("open");
        drop(words);
        let mut reader = BufReader::new(stream);
        let mut response = String::new();
        reader.read_to_string(&mut response).expect("an end without a reset");
        assert!(
            response.starts_with("HTTP/1.1 200 ") && response.ends_with("0\r\n\r\n"),
            "{front}: {response}"
        );
        assert_eq!(health_status(&gateway), 503);
    }
}

#[test]
fn responses_near_the_connection_limit_close_their_connections() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let entries = vec![replica_entry(0, &replica, "ready", 0)];
    // The process has 128 descriptors, of which 55 are for clients.
    let more = json!({"mgmt": "127.0.0.1:0"});
    let (gateway, mgmt) = attach(Gateway::spawn("n0", "platform", entries, 1, (128, 128), more));
    wait_until(|| health_status(&gateway) == 200);
    let mut clients = Vec::new();
    let mut is_closed = Vec::new();
    for _ in 0..200 {
        let mut stream = gateway.connect("platform");
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("sent");
        let (mut response, mut piece) = (String::new(), [0; 512]);
        while !response.ends_with("ready\n") {
            let count = stream.read(&mut piece).expect("a response");
            response.push_str(&String::from_utf8_lossy(&piece[..count]));
        }
        is_closed.push(response.contains("Connection: close"));
        // Each client sends one request and stays connected.
        clients.push(stream);
    }
    // Idle connections take the remaining slots; the operators' address still responds.
    let idle_clients: Vec<TcpStream> = (0..100).map(|_| gateway.connect("platform")).collect();
    for _ in 0..10 {
        assert_eq!(call_status(mgmt, "GET /ready"), 200);
    }
    drop(idle_clients);
    assert_eq!(gateway.count_log_lines("accept-failed"), 0, "some descriptors are reserved");
    assert!(
        is_closed[..30].iter().all(|close| !close),
        "connections stay open while slots are free: {is_closed:?}"
    );
    assert!(
        is_closed[60..].iter().filter(|close| **close).count() > 100,
        "connections are closed near the limit: {is_closed:?}"
    );
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
}

/// Starts a replica that reports the start of a request, sends one event for each word from the channel, and completes
/// the stream when the channel is closed.
fn start_stepwise_replica() -> (StandInReplica, Receiver<()>, Sender<&'static str>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let addr = listener.local_addr().expect("an address");
    let (start_sender, started) = channel();
    let (words, word_receiver) = channel::<&'static str>();
    let (_, connection_ends) = channel();
    thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        read_message(&mut reader).expect("a request");
        let first = encode_chunk(&text_event("platform", "Hel"));
        let head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        write!(stream, "{head}{first}").expect("sent");
        start_sender.send(()).expect("open");
        // Each chunk is sent in two halves, the second one with the next word.
        let mut rest = String::new();
        for word in &word_receiver {
            let chunk = encode_chunk(&text_event("platform", word));
            let (now, later) = chunk.split_at(chunk.len() / 2);
            write!(stream, "{rest}{now}").expect("sent");
            rest = later.to_owned();
        }
        write!(stream, "{rest}{}0\r\n\r\n", encode_chunk(&closing_events("platform"))).expect("sent");
        // The connection stays open.
        let _ = reader.read(&mut [0]);
    });
    let (requests, bodies) = Default::default();
    (StandInReplica { addr, requests, bodies, connection_ends }, started, words)
}

/// Settings with handover, where streams are offered half a second before they are cut. The folder is unique to this
/// run, as others may run at the same time.
fn handover_settings(name: &str) -> Value {
    let shared = format!("{}/{}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    json!({"mgmt": "127.0.0.1:0", "handover": true, "streams": {"stop_within": "1s"}, "shared": shared})
}

#[test]
fn a_handed_over_stream_is_completed_by_the_successor() {
    let (replica, started, words) = start_stepwise_replica();
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let more = handover_settings("complete");
    let (mut old, old_mgmt) = start_gateway_with(&replica, Some(&listener), more.clone());
    wait_until(|| call_status(old_mgmt, "GET /ready") == 200);
    let client = old.send("platform", "once", 9000, 1);
    started.recv_timeout(TEST_TIMEOUT).expect("the request has started");
    words.send("lo").expect("open");
    let (new, new_mgmt) = start_gateway_with(&replica, Some(&listener), more);
    wait_until(|| call_status(new_mgmt, "GET /ready") == 200);
    assert_eq!(old.stop(), Some(0));
    // The process that accepted the request has exited.
    for word in [", wor", "ld"] {
        words.send(word).expect("open");
    }
    drop(words);
    let reused = client.try_clone().expect("a clone");
    let (outcome, bytes) = read_outcome("platform", client);
    assert_eq!(outcome, ClientOutcome::Served("Hello, world".into()), "{bytes}");
    wait_until(|| new.count_log_lines(" handover ") == 1);
    // The connection now belongs to the new process, and serves further requests.
    let mut reused = reused;
    reused.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n").expect("sent");
    assert_eq!(read_status(&mut reused), 200);
}

#[test]
fn a_stream_without_a_successor_is_cut_in_time() {
    let (replica, started, words) = start_stepwise_replica();
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let more = handover_settings("alone");
    let (mut old, mgmt) = start_gateway_with(&replica, Some(&listener), more);
    wait_until(|| call_status(mgmt, "GET /ready") == 200);
    let client = old.send("platform", "once", 9000, 1);
    started.recv_timeout(TEST_TIMEOUT).expect("the request has started");
    assert_eq!(old.stop(), Some(0));
    assert_eq!(read_outcome("platform", client).0, ClientOutcome::Truncated("Hel".into()));
    drop(words);
}

#[test]
fn the_successor_cancels_a_stream_whose_client_disconnects() {
    let (replica, closed) = start_stalling_replica("platform", 1);
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let mut more = handover_settings("left");
    more["streams"]["silence"] = json!("1m");
    let (mut old, old_mgmt) = start_gateway_with(&replica, Some(&listener), more.clone());
    wait_until(|| call_status(old_mgmt, "GET /ready") == 200);
    let mut client = old.send("platform", "once", 9000, 1);
    read_event(&mut client);
    let (new, new_mgmt) = start_gateway_with(&replica, Some(&listener), more);
    wait_until(|| call_status(new_mgmt, "GET /ready") == 200);
    assert_eq!(old.stop(), Some(0));
    wait_until(|| new.count_log_lines(" handover ") == 1);
    assert!(closed.try_recv().is_err(), "the handover closed the replica's connection");
    drop(client);
    assert!(
        closed.recv_timeout(MAX_ABANDONED_WORK).is_ok(),
        "the successor did not close the replica's connection"
    );
}

#[test]
fn a_stream_cut_by_a_stop_closes_its_attempt_on_both_fronts() {
    for front in ["platform", "messages"] {
        let (replica, closed) = start_stalling_replica("platform", 1);
        let mut more = handover_settings("cut");
        more["streams"]["silence"] = json!("1m");
        let (mut gateway, mgmt) = start_gateway_with(&replica, None, more);
        wait_until(|| call_status(mgmt, "GET /ready") == 200);
        let client = gateway.send(front, "once", 9000, 1);
        assert_eq!(call_status(mgmt, "POST /drain"), 200);
        gateway.signal("-TERM");
        assert_eq!(read_outcome(front, client).0, ClientOutcome::Truncated("Hel".into()), "{front}");
        // The stand-in reports the close from its own thread, possibly after the client's end of stream.
        assert!(
            closed.recv_timeout(MAX_ABANDONED_WORK).is_ok(),
            "{front}: the replica continued after the cut"
        );
        assert_eq!(gateway.stop(), Some(0));
    }
}

/// Checks that a snapshot is decoded unchanged, and that truncated, extended or random bytes are an error.
fn check_snapshot(id: u64, buffers: (Vec<u8>, Vec<u8>, Vec<u8>, Vec<u8>), cut: usize, noise: Vec<u8>) {
    let (to_client, from_client, from_replica, partial_event) = buffers;
    let snapshot = StreamSnapshot {
        id,
        body: Some(Body::Length(cut)),
        buffers: StreamBuffers { to_client, from_client, from_replica, partial_event },
        ..StreamSnapshot::default()
    };
    let bytes = snapshot.bytes().expect("bytes");
    assert_eq!(StreamSnapshot::read(&bytes).expect("a snapshot"), snapshot);
    assert!(StreamSnapshot::read(&bytes[..cut % bytes.len()]).is_err());
    assert!(StreamSnapshot::read(&noise).is_err());
    assert!(StreamSnapshot::read(&[&bytes[..], b"x"].concat()).is_err());
}

#[test]
fn snapshots_are_decoded_unchanged_and_other_bytes_rejected() {
    type Buffers = (Vec<u8>, Vec<u8>, Vec<u8>, Vec<u8>);
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 44)).tests(400);
    check.quickcheck(check_snapshot as fn(u64, Buffers, usize, Vec<u8>));
}

#[test]
fn an_inherited_descriptor_that_is_no_listener_is_reported() {
    let connected = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let connected = TcpStream::connect(connected.local_addr().expect("an address")).expect("a connection");
    for (descriptor, stdin, message) in [
        ("four", Stdio::null(), "'four' is not a descriptor number"),
        ("1", Stdio::null(), "'1' is not a descriptor number"),
        ("4", Stdio::null(), "not a socket"),
        ("4", Stdio::from(OwnedFd::from(connected)), "does not listen"),
    ] {
        let discovery = start_discovery(replica_list(2, true, vec![]));
        let platform = Platform { discovery, inherited: Some((descriptor, stdin)) };
        let (child, _discovery) =
            Gateway::spawn_on("n0", "platform", vec![], 1, (1024, 1024), json!({}), platform);
        let output = child.wait_with_output().expect("wait for the exit");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && text.contains(message), "{descriptor}: {text}");
    }
}
