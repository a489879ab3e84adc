//! What operators do to the program while it serves: the second address, drains, a second process beside it.

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

/// A gateway with a second address, which takes its platform's port from `inherited` if there is one.
fn gateway(server: &StandInReplica, inherited: Option<&TcpListener>) -> (Gateway, SocketAddr) {
    gateway_with(server, inherited, json!({"mgmt": "127.0.0.1:0"}))
}

fn gateway_with(
    server: &StandInReplica,
    inherited: Option<&TcpListener>,
    more: Value,
) -> (Gateway, SocketAddr) {
    let servers = vec![replica_entry(0, server, "ready", 0)];
    let listener = inherited.map(|l| OwnedFd::from(l.try_clone().expect("a copy")));
    let platform = Platform {
        discovery: start_discovery(replica_list(2, true, servers.clone())),
        inherited: listener.map(|listener| ("4", listener.into())),
    };
    operated(Gateway::spawn_on("n0", "platform", servers, 1, (1024, 1024), more, platform))
}

/// The same, and its second address.
fn operated(started: (Child, Sender<Value>)) -> (Gateway, SocketAddr) {
    let gateway = Gateway::attach(started);
    let mgmt = gateway.mgmt.expect("it listens for calls");
    (gateway, mgmt)
}

/// One call, and the status of its answer; 0 is a close without one.
fn status(stream: &mut TcpStream) -> u16 {
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1).map_or(0, |status| status.parse().expect("a status"))
}

fn health(gateway: &Gateway) -> u16 {
    call_status(gateway.front("platform"), "GET /_health")
}

#[test]
fn calls_are_answered_while_callers_that_say_nothing_or_half_a_call_hold_every_place() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, mgmt) = gateway(&server, None);
    wait_until(|| call_status(mgmt, "GET /ready") == 200);
    for (what, status) in [("GET /drain", 405), ("POST /ready", 405), ("GET /", 404), ("nonsense", 400)] {
        assert_eq!(call_status(mgmt, what), status, "{what}");
    }
    assert_eq!(call_status(mgmt, &format!("GET /{}", "x".repeat(20 << 10))), 431);
    let holders: Vec<TcpStream> = (0..200)
        .map(|n| {
            let mut stream = connect(mgmt);
            if n % 2 == 0 {
                // Some have made room for others by then.
                let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHo");
            }
            stream
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(call_status(mgmt, "GET /ready"), 200);
    }
    assert_eq!(health(&gateway), 200);
    drop(holders);
    // Half a call alone is told that it took too long.
    let mut half = connect(mgmt);
    half.write_all(b"POST /dr").expect("sent");
    assert_eq!(status(&mut half), 408);
    assert_eq!(health(&gateway), 200, "half an order is none");
}

#[test]
fn calls_and_lists_are_read_however_they_are_cut() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    // A discovery whose answer comes byte by byte; what the gateway knew before is nothing.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let line = replica_list(2, true, vec![replica_entry(0, &server, "ready", 0)]).to_string() + "\n";
    thread::spawn(move || {
        let mut stream = listener.accept().expect("a watch").0;
        stream.set_nodelay(true).expect("no delay");
        let answer =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", encode_chunk(&line));
        for byte in answer.bytes() {
            stream.write_all(&[byte]).expect("sent");
        }
        // The watch stays open for as long as the gateway lives.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let more = json!({"mgmt": "127.0.0.1:0"});
    let platform = Platform::with_discovery((addr, channel().0));
    let started = Gateway::spawn_on("n0", "platform", vec![], 1, (1024, 1024), more, platform);
    let (gateway, mgmt) = operated(started);
    wait_until(|| call_status(mgmt, "GET /ready") == 200);
    let whole = b"POST /undrain HTTP/1.1\r\nHost: gateway\r\nContent-Length: 0\r\n\r\n";
    for cut in 1..whole.len() {
        let mut stream = connect(mgmt);
        stream.set_nodelay(true).expect("no delay");
        stream.write_all(&whole[..cut]).expect("sent");
        thread::yield_now();
        stream.write_all(&whole[cut..]).expect("sent");
        assert_eq!(status(&mut stream), 200, "cut at {cut}");
    }
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
}

#[test]
fn a_drained_gateway_sends_its_clients_away_and_takes_them_again() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, mgmt) = gateway(&server, None);
    wait_until(|| health(&gateway) == 200);
    let (idle, mut used) = (gateway.connect("platform"), gateway.connect("platform"));
    assert_eq!(call_status(mgmt, "POST /drain"), 200);
    assert_eq!(health(&gateway), 503);
    assert_eq!(call_status(mgmt, "GET /ready"), 200, "the process could serve");
    // What comes on a connection that is open is still served, and told to be the last.
    used.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("sent");
    let mut answer = String::new();
    used.read_to_string(&mut answer).expect("an end");
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Connection: close\r\n"), "{answer}");
    assert_eq!((&idle).read(&mut [0]).expect("an end, and no reset"), 0);
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    assert_eq!(call_status(mgmt, "POST /drain"), 200, "it is drained already");
    assert_eq!(call_status(mgmt, "POST /undrain"), 200);
    assert_eq!(health(&gateway), 200);
    let mut kept = gateway.connect("platform");
    for _ in 0..2 {
        kept.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("sent");
        let mut line = String::new();
        let mut reader = BufReader::new(&kept);
        while line != "ready\n" {
            line.clear();
            assert!(reader.read_line(&mut line).expect("an answer") > 0, "the connection stays");
        }
    }
}

#[test]
fn a_second_process_serves_beside_the_first_on_one_listener_and_nothing_is_refused() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (mut old, old_mgmt) = gateway(&server, Some(&listener));
    wait_until(|| call_status(old_mgmt, "GET /ready") == 200);
    assert_eq!(old.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    // Clients that come again and again all the while, each time on a connection of its own.
    let (front, over) = (old.fronts[0], Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (1..5)
        .map(|client| {
            let over = over.clone();
            thread::spawn(move || {
                let mut asked = 0;
                while !over.load(Ordering::SeqCst) {
                    let stream = send(front, "platform", "plain", 9000, client << 20 | asked);
                    assert_eq!(read_outcome("platform", stream).0, ClientOutcome::Served("Hello".into()));
                    asked += 1;
                }
                asked
            })
        })
        .collect();
    let (new, new_mgmt) = gateway(&server, Some(&listener));
    assert_eq!(new.fronts[0], listener.local_addr().expect("an address"));
    wait_until(|| call_status(new_mgmt, "GET /ready") == 200);
    wait_until(|| old.count_log_lines(" newcomer ") == 1);
    old.signal("-TERM");
    wait_until(|| call_status(old_mgmt, "GET /ready") == 503);
    assert_eq!(call_status(old_mgmt, "POST /undrain"), 409);
    assert_eq!(old.child.wait().expect("it ends").code(), Some(0));
    assert_eq!(new.exchange("platform", "plain", 9000, 31).0, ClientOutcome::Served("Hello".into()));
    over.store(true, Ordering::SeqCst);
    let asked: usize = clients.into_iter().map(|client| client.join().expect("all served")).sum();
    assert!(asked > 0);
    assert_eq!(server.requests.load(Ordering::SeqCst), asked + 2, "each is answered once");
}

#[test]
fn a_drain_leaves_nobody_idle_and_cuts_nobody_off_on_either_front() {
    for front in ["platform", "messages"] {
        let (server, begins, words) = halting_server();
        let (gateway, mgmt) = gateway(&server, None);
        wait_until(|| health(&gateway) == 200);
        let (mute, silent) = (gateway.connect(front), gateway.connect(front));
        let stream = gateway.send(front, "plain", 9000, 1);
        begins.recv_timeout(TEST_TIMEOUT).expect("it begins");
        let mut half = gateway.connect(front);
        half.write_all(b"GET /_health HTTP/1.1\r\nHo").expect("sent");
        assert_eq!(call_status(mgmt, "POST /drain"), 200);
        // What is on its way is taken and answered, with a no that ends its connection.
        half.write_all(b"st: app.svc\r\n\r\n").expect("sent");
        assert_eq!(status(&mut half), 503, "{front}");
        for idle in [mute, silent] {
            assert_eq!((&idle).read(&mut [0]).expect("an end, and no reset"), 0, "{front}");
        }
        words.send("lo").expect("open");
        drop(words);
        let mut reader = BufReader::new(stream);
        let mut all = String::new();
        reader.read_to_string(&mut all).expect("an end, and no reset");
        assert!(all.starts_with("HTTP/1.1 200 ") && all.ends_with("0\r\n\r\n"), "{front}: {all}");
        assert_eq!(health(&gateway), 503);
    }
}

#[test]
fn answers_in_a_crowd_end_their_connections_so_that_the_next_are_taken_at_once() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let servers = vec![replica_entry(0, &server, "ready", 0)];
    // Of 128 descriptors, and it has no more, 55 are clients'.
    let more = json!({"mgmt": "127.0.0.1:0"});
    let (gateway, mgmt) = operated(Gateway::spawn("n0", "platform", servers, 1, (128, 128), more));
    wait_until(|| health(&gateway) == 200);
    let mut crowd = Vec::new();
    let mut told = Vec::new();
    for _ in 0..200 {
        let mut stream = gateway.connect("platform");
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n").expect("sent");
        let (mut answer, mut piece) = (String::new(), [0; 512]);
        while !answer.ends_with("ready\n") {
            let count = stream.read(&mut piece).expect("an answer");
            answer.push_str(&String::from_utf8_lossy(&piece[..count]));
        }
        told.push(answer.contains("Connection: close"));
        // Each asks once and stays.
        crowd.push(stream);
    }
    // Mute ones take what places are left, and the second address is as before.
    let mute: Vec<TcpStream> = (0..100).map(|_| gateway.connect("platform")).collect();
    for _ in 0..10 {
        assert_eq!(call_status(mgmt, "GET /ready"), 200);
    }
    drop(mute);
    assert_eq!(gateway.count_log_lines("accept-failed"), 0, "descriptors are kept back");
    assert!(told[..30].iter().all(|close| !close), "with room, connections stay: {told:?}");
    assert!(told[60..].iter().filter(|close| **close).count() > 100, "in a crowd they don't: {told:?}");
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
}

/// A replica that says so when a request has begun, and goes on at each word; it ends at the last.
fn halting_server() -> (StandInReplica, Receiver<()>, Sender<&'static str>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (begun, begins) = channel();
    let (words, said) = channel::<&'static str>();
    let (_, left) = channel();
    thread::spawn(move || {
        let mut stream = listener.accept().expect("a connection").0;
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        read_message(&mut reader).expect("a request");
        let first = encode_chunk(&text_event("platform", "Hel"));
        let head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        write!(stream, "{head}{first}").expect("sent");
        begun.send(()).expect("open");
        // Each word comes cut amid its chunk.
        let mut rest = String::new();
        for word in &said {
            let whole = encode_chunk(&text_event("platform", word));
            let (now, later) = whole.split_at(whole.len() / 2);
            write!(stream, "{rest}{now}").expect("sent");
            rest = later.to_owned();
        }
        write!(stream, "{rest}{}0\r\n\r\n", encode_chunk(&closing_events("platform"))).expect("sent");
        // The connection stays.
        let _ = reader.read(&mut [0]);
    });
    let (requests, bodies) = Default::default();
    (StandInReplica { addr, requests, bodies, connection_ends: left }, begins, words)
}

/// Streams are offered half a second before they are cut. The folder is this run's: others may run beside it.
fn handing_over(name: &str) -> Value {
    let shared = format!("{}/{}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    json!({"mgmt": "127.0.0.1:0", "handover": true, "streams": {"stop_within": "1s"}, "shared": shared})
}

#[test]
fn a_stream_that_outlasts_its_process_goes_on_completely_in_the_one_that_follows() {
    let (server, begins, words) = halting_server();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let more = handing_over("follower");
    let (mut old, old_mgmt) = gateway_with(&server, Some(&listener), more.clone());
    wait_until(|| call_status(old_mgmt, "GET /ready") == 200);
    let client = old.send("platform", "once", 9000, 1);
    begins.recv_timeout(TEST_TIMEOUT).expect("it begins");
    words.send("lo").expect("open");
    let (new, new_mgmt) = gateway_with(&server, Some(&listener), more);
    wait_until(|| call_status(new_mgmt, "GET /ready") == 200);
    assert_eq!(old.stop(), Some(0));
    // The process that took the request is gone.
    for word in [", wor", "ld"] {
        words.send(word).expect("open");
    }
    drop(words);
    let again = client.try_clone().expect("a clone");
    let (told, bytes) = read_outcome("platform", client);
    assert_eq!(told, ClientOutcome::Served("Hello, world".into()), "{bytes}");
    wait_until(|| new.count_log_lines(" handover ") == 1);
    // Its connection is the new process's, and serves on.
    let mut again = again;
    again.write_all(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n").expect("sent");
    assert_eq!(status(&mut again), 200);
}

#[test]
fn a_stream_that_nobody_takes_over_is_cut_in_time() {
    let (server, begins, words) = halting_server();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let more = handing_over("nobody");
    let (mut old, mgmt) = gateway_with(&server, Some(&listener), more);
    wait_until(|| call_status(mgmt, "GET /ready") == 200);
    let client = old.send("platform", "once", 9000, 1);
    begins.recv_timeout(TEST_TIMEOUT).expect("it begins");
    assert_eq!(old.stop(), Some(0));
    assert_eq!(read_outcome("platform", client).0, ClientOutcome::Truncated("Hel".into()));
    drop(words);
}

#[test]
fn a_handed_over_stream_whose_client_leaves_frees_its_real_server_in_the_follower() {
    let (server, closed) = start_stalling_replica("platform", 1);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut more = handing_over("leaver");
    more["streams"]["silence"] = json!("1m");
    let (mut old, old_mgmt) = gateway_with(&server, Some(&listener), more.clone());
    wait_until(|| call_status(old_mgmt, "GET /ready") == 200);
    let mut client = old.send("platform", "once", 9000, 1);
    read_event(&mut client);
    let (new, new_mgmt) = gateway_with(&server, Some(&listener), more);
    wait_until(|| call_status(new_mgmt, "GET /ready") == 200);
    assert_eq!(old.stop(), Some(0));
    wait_until(|| new.count_log_lines(" handover ") == 1);
    assert!(closed.try_recv().is_err(), "the handing over closed the replica's connection");
    drop(client);
    assert!(
        closed.recv_timeout(MAX_ABANDONED_WORK).is_ok(),
        "the follower kept the leaver's replica working"
    );
}

#[test]
fn a_stream_cut_by_the_stop_frees_its_real_server_by_the_clients_end_on_both_fronts() {
    for front in ["platform", "messages"] {
        let (server, closed) = start_stalling_replica("platform", 1);
        let mut more = handing_over("cut");
        more["streams"]["silence"] = json!("1m");
        let (mut gateway, mgmt) = gateway_with(&server, None, more);
        wait_until(|| call_status(mgmt, "GET /ready") == 200);
        let client = gateway.send(front, "once", 9000, 1);
        assert_eq!(call_status(mgmt, "POST /drain"), 200);
        gateway.signal("-TERM");
        assert_eq!(read_outcome(front, client).0, ClientOutcome::Truncated("Hel".into()), "{front}");
        // The stand-in tells of the close from a thread of its own, which may come to it after the client.
        assert!(
            closed.recv_timeout(MAX_ABANDONED_WORK).is_ok(),
            "{front}: the replica worked on after the cut"
        );
        assert_eq!(gateway.stop(), Some(0));
    }
}

/// Random snapshots come back as they were; whatever else comes is an error.
fn snapshots(id: u64, buffers: (Vec<u8>, Vec<u8>, Vec<u8>, Vec<u8>), cut: usize, noise: Vec<u8>) {
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
fn snapshots_come_back_as_they_were_and_nothing_else_does() {
    type Buffers = (Vec<u8>, Vec<u8>, Vec<u8>, Vec<u8>);
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 44)).tests(400);
    check.quickcheck(snapshots as fn(u64, Buffers, usize, Vec<u8>));
}

#[test]
fn a_descriptor_that_is_no_listener_is_named_at_the_start() {
    let connected = TcpListener::bind("127.0.0.1:0").expect("a port");
    let connected = TcpStream::connect(connected.local_addr().expect("an address")).expect("a connection");
    for (told, stdin, word) in [
        ("four", Stdio::null(), "'four' is not a descriptor number"),
        ("1", Stdio::null(), "'1' is not a descriptor number"),
        ("4", Stdio::null(), "not a socket"),
        ("4", Stdio::from(OwnedFd::from(connected)), "does not listen"),
    ] {
        let found = start_discovery(replica_list(2, true, vec![]));
        let platform = Platform { discovery: found, inherited: Some((told, stdin)) };
        let (child, _discovery) =
            Gateway::spawn_on("n0", "platform", vec![], 1, (1024, 1024), json!({}), platform);
        let output = child.wait_with_output().expect("it ends");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && text.contains(word), "{told}: {text}");
    }
}
