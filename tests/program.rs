//! The gateway program on loopback, with stand-in clients and replicas of each dialect and a stand-in list service. A
//! fault must have the same outcome for all pairs of dialects.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use support::*;

/// Checks the outcome of a behaviour of the only replica, for all pairs of dialects.
fn check_all_pairs(behavior: ReplicaBehavior, class: &str, deadline_ms: u32, expected: ClientOutcome) {
    for (client, dialect) in DIALECT_PAIRS {
        let replica = start_replica(dialect, behavior);
        let gateway = Gateway::start(dialect, vec![replica_entry(0, &replica, "ready", 0)], 1);
        let (outcome, _) = gateway.exchange(client, class, deadline_ms, 1);
        assert_eq!(outcome, expected, "{behavior:?}, class {class}: client {client}, replica {dialect}");
        assert_eq!(replica.requests.load(Ordering::SeqCst), 1, "exactly one attempt");
        if behavior == ReplicaBehavior::NoResponse {
            replica.connection_ends.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
        }
    }
}

#[test]
fn a_served_request_is_served_for_all_pairs_of_dialects() {
    check_all_pairs(ReplicaBehavior::Serve, "plain", 9000, ClientOutcome::Served("Hello".into()));
}

#[test]
fn a_refusal_of_the_replica_is_shed_in_the_clients_dialect() {
    check_all_pairs(ReplicaBehavior::Overloaded, "plain", 9000, ClientOutcome::Shed);
    check_all_pairs(ReplicaBehavior::Overloaded, "once", 9000, ClientOutcome::Shed);
}

#[test]
fn errors_shed_safe_requests_and_fail_unsafe_ones() {
    check_all_pairs(ReplicaBehavior::InternalError, "plain", 9000, ClientOutcome::Shed);
    check_all_pairs(ReplicaBehavior::InternalError, "once", 9000, ClientOutcome::Failed);
    check_all_pairs(ReplicaBehavior::ErrorEvent, "once", 9000, ClientOutcome::Failed);
}

#[test]
fn closed_connections_shed_safe_requests_and_fail_unsafe_ones() {
    check_all_pairs(ReplicaBehavior::CloseWithoutResponse, "plain", 9000, ClientOutcome::Shed);
    check_all_pairs(ReplicaBehavior::CloseWithoutResponse, "once", 9000, ClientOutcome::Failed);
}

#[test]
fn an_unresponsive_replica_is_abandoned_at_the_deadline() {
    check_all_pairs(ReplicaBehavior::NoResponse, "once", 300, ClientOutcome::Failed);
}

#[test]
fn a_broken_stream_ends_without_its_last_chunk() {
    check_all_pairs(ReplicaBehavior::CloseMidStream, "plain", 9000, ClientOutcome::Truncated("Hel".into()));
    check_all_pairs(
        ReplicaBehavior::ErrorEventAfterText,
        "plain",
        9000,
        ClientOutcome::Truncated("Hel".into()),
    );
}

#[test]
fn a_malformed_response_fails_the_attempt_or_truncates_a_stream() {
    for behavior in [ReplicaBehavior::GarbageHead, ReplicaBehavior::PartialHead] {
        check_all_pairs(behavior, "plain", 9000, ClientOutcome::Shed);
        check_all_pairs(behavior, "once", 9000, ClientOutcome::Failed);
    }
    check_all_pairs(ReplicaBehavior::PartialChunk, "plain", 9000, ClientOutcome::Truncated("Hel".into()));
    let start = Instant::now();
    check_all_pairs(ReplicaBehavior::StallMidStream, "plain", 9000, ClientOutcome::Truncated("Hel".into()));
    // Each pair takes less than 5 s on an idle machine. Guards against a stall that took two minutes for all four.
    assert!(start.elapsed() < 2 * TEST_TIMEOUT);
    check_all_pairs(ReplicaBehavior::HugeChunk, "plain", 9000, ClientOutcome::Truncated("Hel".into()));
}

#[test]
fn surplus_responses_are_skipped_and_retire_the_connection() {
    let replica = start_replica("platform", ReplicaBehavior::SurplusResponses);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &replica, "ready", 0)], 1);
    for session in 0..3 {
        assert_eq!(
            gateway.exchange("platform", "once", 9000, session).0,
            ClientOutcome::Served("Hello".into())
        );
        replica.connection_ends.recv_timeout(TEST_TIMEOUT).expect("the connection is retired");
    }
}

#[test]
fn a_request_that_a_replica_rejects_is_not_retried() {
    for (client, dialect) in DIALECT_PAIRS {
        let replica = start_replica(dialect, ReplicaBehavior::Unprocessable);
        let entries = (0..3).map(|n| replica_entry(n, &replica, "ready", 0)).collect();
        let gateway = Gateway::start(dialect, entries, 3);
        assert_eq!(gateway.exchange(client, "plain", 9000, 1).0, ClientOutcome::Failed);
        assert_eq!(replica.requests.load(Ordering::SeqCst), 1);
    }
}

#[test]
fn a_duplicate_id_gets_409_and_the_first_request_its_response() {
    let replica = start_replica("platform", ReplicaBehavior::NoResponse);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &replica, "ready", 0)], 1);
    let first = gateway.send("platform", "once", 2000, 7);
    wait_until(|| replica.requests.load(Ordering::SeqCst) > 0);
    for dialect in ["platform", "messages"] {
        let body = json!({"model": "m", "max_tokens": 1, "stream": true, "messages": [{"role": "user", "content": "?"}]});
        let (path, body) =
            (if dialect == "messages" { "messages" } else { "chat/completions" }, body.to_string());
        let request = format!(
            "POST /v1/{path} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {:016x}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            7,
            body.len()
        );
        assert_eq!(statuses(&gateway, dialect, &[&request]), [409], "{dialect}");
    }
    assert_eq!(read_outcome("platform", first).0, ClientOutcome::Failed);
    assert_eq!(replica.requests.load(Ordering::SeqCst), 1);
}

#[test]
fn silent_and_partial_requests_do_not_block_other_clients() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let entries = vec![replica_entry(0, &replica, "ready", 0)];
    let gateway = Gateway::attach(Gateway::spawn("n0", "platform", entries, 1, (1024, 64), json!({})));
    // Far less than the idle timeout of an earlier version, on a machine of any speed.
    let start = Instant::now();
    for dialect in ["platform", "messages"] {
        assert_eq!(statuses(&gateway, dialect, &[]), [0; 0]);
        assert_eq!(statuses(&gateway, dialect, &["POST /v1/messages HTTP/1.1\r\nHo"]), [408]);
    }
    assert!(start.elapsed() < TEST_TIMEOUT);
    // More connections than slots; a client that sends a request is still served.
    let idle_clients: Vec<TcpStream> =
        (0..200).map(|n| gateway.connect(["platform", "messages"][n % 2])).collect();
    for dialect in ["platform", "messages"] {
        assert_eq!(gateway.exchange(dialect, "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    }
    drop(idle_clients);
}

#[test]
fn a_reload_moves_discovery_and_ignores_an_invalid_file() {
    let (one, two) = (
        start_replica("platform", ReplicaBehavior::Serve),
        start_replica("platform", ReplicaBehavior::Serve),
    );
    let mut gateway = Gateway::start("platform", vec![replica_entry(0, &one, "ready", 0)], 1);
    let environment = std::fs::read(format!("/proc/{}/environ", gateway.child.id())).expect("readable");
    let variables = String::from_utf8(environment).expect("UTF-8");
    let path = variables.split('\0').find_map(|v| v.strip_prefix("EDGE_CONFIG=")).expect("set").to_owned();
    let good = std::fs::read_to_string(&path).expect("there");
    for bad in ["{", "7", "{\"name\": \"n0\"}"] {
        let before = gateway.count_log_lines("reload-failed");
        std::fs::write(&path, bad).expect("written");
        gateway.signal("-HUP");
        wait_until(|| gateway.count_log_lines("reload-failed") > before);
        assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    }
    wait_until(|| gateway.count_log_lines("kind=\"Complete\" replicas=\"1\"") == 1);
    let (addr, _elsewhere) =
        start_discovery(replica_list(3, true, vec![replica_entry(1, &two, "ready", 0)]));
    let mut config: Value = serde_json::from_str(&good).expect("JSON");
    config["discovery"] = addr.to_string().into();
    // The operators' address can't be added while the process runs.
    config["mgmt"] = "127.0.0.1:1".into();
    std::fs::write(&path, config.to_string()).expect("written");
    gateway.signal("-HUP");
    wait_until(|| gateway.count_log_lines("kind=\"Complete\" replicas=\"1\"") > 1);
    assert_eq!(gateway.exchange("messages", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    assert_eq!(two.requests.load(Ordering::SeqCst), 1);
    assert_eq!(gateway.count_log_lines("mgmt-kept"), 1);
    // SIGHUP and SIGTERM at once: the process still exits with code 0.
    gateway.signal("-HUP");
    assert_eq!(gateway.stop(), Some(0));
}

#[test]
fn a_blocked_read_of_the_configuration_delays_no_response() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let mut gateway = Gateway::start("platform", vec![replica_entry(0, &replica, "ready", 0)], 1);
    let environment = std::fs::read(format!("/proc/{}/environ", gateway.child.id())).expect("readable");
    let variables = String::from_utf8(environment).expect("UTF-8");
    let path = variables.split('\0').find_map(|v| v.strip_prefix("EDGE_CONFIG=")).expect("set").to_owned();
    // A named pipe instead of the file: opening it blocks until it is written to.
    std::fs::remove_file(&path).expect("removed");
    assert!(Command::new("mkfifo").arg(&path).status().expect("it runs").success());
    gateway.signal("-HUP");
    for session in 0..20 {
        let stream = gateway.send("platform", "plain", 9000, session);
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("set the timeout");
        assert_eq!(read_outcome("platform", stream).0, ClientOutcome::Served("Hello".into()));
        thread::sleep(Duration::from_millis(10));
    }
    // The read was pending, and completes after the write.
    std::fs::write(&path, "{").expect("written");
    wait_until(|| gateway.count_log_lines("reload-failed") == 1);
    // A pending read does not delay the shutdown.
    gateway.signal("-HUP");
    thread::sleep(Duration::from_millis(100));
    assert_eq!(gateway.stop(), Some(0));
}

#[test]
fn an_unknown_event_is_forwarded_or_omitted_and_logged_once() {
    for (client, dialect) in DIALECT_PAIRS {
        let replica = start_replica(dialect, ReplicaBehavior::UnknownEvent);
        let gateway = Gateway::start(dialect, vec![replica_entry(0, &replica, "ready", 0)], 1);
        for session in [1, 2] {
            let (outcome, stream) = gateway.exchange(client, "plain", 9000, session);
            assert_eq!(outcome, ClientOutcome::Served("Hello".into()));
            assert_eq!(stream.contains(&unknown_event(dialect)), client == dialect, "{stream}");
        }
        // The log is read by another thread, so a line may arrive after the response.
        let expected_lines = usize::from(client != dialect);
        wait_until(|| gateway.count_log_lines("event-omitted") >= expected_lines);
        assert_eq!(gateway.count_log_lines("event-omitted"), expected_lines);
        // All parts of the request arrived.
        let body = replica.bodies.lock().expect("lock")[0].to_string();
        assert!(
            body.contains("Be brief.") && body.contains("Which gate?") && body.contains("20"),
            "{body}"
        );
    }
}

#[test]
fn a_draining_replica_gets_no_new_requests() {
    for (client, dialect) in DIALECT_PAIRS {
        let (one, two) = (
            start_replica(dialect, ReplicaBehavior::Serve),
            start_replica(dialect, ReplicaBehavior::Serve),
        );
        let entries = |state| vec![replica_entry(0, &one, state, 0), replica_entry(1, &two, "ready", 0)];
        let gateway = Gateway::start(dialect, entries("ready"), 3);
        gateway
            .discovery
            .send(replica_list(3, false, vec![replica_entry(0, &one, "draining", 0)]))
            .expect("watched");
        wait_until(|| gateway.count_log_lines("state=\"Draining\"") > 0);
        let before = one.requests.load(Ordering::SeqCst);
        for session in 0..12 {
            assert_eq!(
                gateway.exchange(client, "plain", 9000, session).0,
                ClientOutcome::Served("Hello".into())
            );
        }
        assert_eq!(one.requests.load(Ordering::SeqCst), before);
        assert_eq!(two.requests.load(Ordering::SeqCst), 12);
    }
}

#[test]
fn idle_connections_close_in_time_and_closed_ones_are_not_used() {
    // By the settings a replica closes idle connections after 5 s; the gateway must close them well before that.
    let open_replica = start_replica("platform", ReplicaBehavior::Serve);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &open_replica, "ready", 0)], 1);
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    open_replica
        .connection_ends
        .recv_timeout(Duration::from_millis(4800))
        .expect("closed before the replica would close");

    // A connection that closed while idle is not reused: each request is sent once, and served.
    let closing_replica = start_replica("platform", ReplicaBehavior::ServeAndClose);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &closing_replica, "ready", 0)], 1);
    for session in 0..3 {
        assert_eq!(
            gateway.exchange("platform", "once", 9000, session).0,
            ClientOutcome::Served("Hello".into())
        );
        closing_replica.connection_ends.recv_timeout(TEST_TIMEOUT).expect("the connection is closed");
    }
    assert_eq!(closing_replica.requests.load(Ordering::SeqCst), 3);
}

#[test]
fn discovery_is_called_again_after_each_kind_of_failure() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let complete = replica_list(7, true, vec![replica_entry(0, &replica, "ready", 0)]);
    let outdated = replica_list(3, false, vec![replica_entry(0, &replica, "gone", 0)]);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let watch = |lines: &[&Value]| {
        head.to_owned() + &lines.iter().map(|l| encode_chunk(&format!("{l}\n"))).collect::<String>()
    };
    // The response to each call, and whether its connection then stays open without further bytes.
    let responses = [
        ("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_owned(), false),
        (String::new(), false),
        (watch(&[&complete, &outdated]) + "0\r\n\r\n", false),
        (watch(&[]) + &encode_chunk("\n"), true),
        (watch(&[&replica_list(8, false, vec![replica_entry(0, &replica, "draining", 0)])]), true),
    ];
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let addr = listener.local_addr().expect("an address");
    let (path_sender, paths) = channel();
    thread::spawn(move || {
        let mut open = Vec::new();
        for (response, stays_open) in responses {
            let mut stream = listener.accept().expect("a call").0;
            let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
            let (head, _) = read_message(&mut reader).expect("a call");
            path_sender
                .send(head[0].split(' ').nth(1).expect("a path").to_owned())
                .expect("an open channel");
            stream.write_all(response.as_bytes()).expect("sent");
            open.extend(stays_open.then_some((stream, reader)));
        }
        thread::park();
    });
    let known_entries = Vec::new();
    let discovery = (addr, channel().0);
    let platform = Platform::with_discovery(discovery);
    let gateway = Gateway::attach(Gateway::spawn_on(
        "n0",
        "platform",
        known_entries,
        1,
        (1024, 1024),
        json!({}),
        platform,
    ));
    let next = || paths.recv_timeout(TEST_TIMEOUT).expect("another call");
    let path = |index: u32| format!("/catalog/members?stream=1&index={index}");
    assert_eq!([next(), next(), next()], [path(1), path(1), path(1)]);
    assert_eq!(next(), path(7), "from the index of the known list, which outdated changes did not affect");
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    assert_eq!(next(), path(7), "after a watch without data");
    wait_until(|| gateway.count_log_lines("state=\"Draining\"") > 0);
    let (outcome, _) = gateway.exchange("platform", "plain", 300, 2);
    assert!(matches!(outcome, ClientOutcome::Failed | ClientOutcome::Shed), "{outcome:?}");
    assert_eq!(replica.requests.load(Ordering::SeqCst), 1);
}

#[test]
fn a_replica_in_slow_start_gets_fewer_requests() {
    // Number of the same requests that the second of two replicas gets if it started at this time.
    let second_request_count = |client, dialect, started| {
        let (one, two) = (
            start_replica(dialect, ReplicaBehavior::Serve),
            start_replica(dialect, ReplicaBehavior::Serve),
        );
        let entries = vec![replica_entry(0, &one, "ready", 0), replica_entry(1, &two, "ready", started)];
        let gateway = Gateway::start(dialect, entries, 3);
        for session in 0..12 {
            assert_eq!(
                gateway.exchange(client, "plain", 9000, session).0,
                ClientOutcome::Served("Hello".into())
            );
        }
        let counts = [&one, &two].map(|s| s.requests.load(Ordering::SeqCst));
        assert_eq!(counts[0] + counts[1], 12);
        counts[1]
    };
    for (client, dialect) in DIALECT_PAIRS {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
        let (warm, cold) =
            (second_request_count(client, dialect, 0), second_request_count(client, dialect, now));
        assert!(cold < warm, "{cold} in slow start, {warm} otherwise: client {client}, replica {dialect}");
    }
}

#[test]
fn a_disconnect_of_the_client_cancels_its_attempt() {
    for (client, dialect) in DIALECT_PAIRS {
        let replica = start_replica(dialect, ReplicaBehavior::NoResponse);
        let gateway = Gateway::start(dialect, vec![replica_entry(0, &replica, "ready", 0)], 3);
        let stream = gateway.send(client, "plain", 9000, 1);
        wait_until(|| replica.requests.load(Ordering::SeqCst) > 0);
        drop(stream);
        replica.connection_ends.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection is closed");
        assert_eq!(replica.requests.load(Ordering::SeqCst), 1);
    }
}

/// Sends bytes and returns the status of each response up to the end of the connection.
fn statuses(gateway: &Gateway, dialect: &str, pieces: &[&str]) -> Vec<u16> {
    let mut stream = gateway.connect(dialect);
    for piece in pieces {
        // The response and the close may precede the last piece.
        let _ = stream.write_all(piece.as_bytes());
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response).into_owned();
    response.split("HTTP/1.1 ").skip(1).map(|a| a[..3].parse().expect("a status")).collect()
}

#[test]
fn invalid_requests_get_their_status_on_both_fronts() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &replica, "ready", 0)], 1);
    let close = "Connection: close\r\n";
    let long = "x".repeat(20_000);
    for (expected, input) in [
        (vec![400], vec!["nonsense\r\n\r\n"]),
        (
            vec![400],
            vec![
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ],
        ),
        (vec![413], vec!["POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n"]),
        (vec![431], vec!["GET / HTTP/1.1\r\nHost: a\r\nX: ", &long]),
        (vec![505], vec!["POST / HTTP/1.0\r\n\r\n"]),
        (vec![404], vec!["GET /nowhere HTTP/1.0\r\n\r\n"]),
        (vec![505], vec!["GET / HTTP/2.0\r\nHost: a\r\n\r\n"]),
        (
            vec![404, 404],
            vec!["GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HT", "TP/1.1\r\nHost: a\r\n", close, "\r\n"],
        ),
        (
            vec![400],
            vec!["POST /v1/messages HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n", close, "\r\n{}"],
        ),
        (
            vec![400],
            vec!["POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Class: none\r\n", close, "\r\n"],
        ),
    ] {
        for front in ["platform", "messages"] {
            let other = if front == "messages" { "POST /v1/chat" } else { "POST /v1/mess" };
            if !input[0].starts_with(other) {
                assert_eq!(statuses(&gateway, front, &input), expected, "{input:.80?} on {front}");
            }
        }
    }
    assert_eq!(replica.requests.load(Ordering::SeqCst), 0);
}

#[test]
fn service_resumes_after_descriptors_were_exhausted() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let entries = vec![replica_entry(0, &replica, "ready", 0)];
    let gateway = Gateway::attach(Gateway::spawn("n0", "platform", entries, 1, (24, 1024), json!({})));
    let idle_clients: Vec<TcpStream> = (0..40).map(|_| gateway.connect("platform")).collect();
    wait_until(|| gateway.count_log_lines("accept-failed") > 0);
    drop(idle_clients);
    wait_until(|| {
        gateway.exchange("platform", "plain", 9000, 1).0 == ClientOutcome::Served("Hello".into())
    });
}

#[test]
fn a_stop_completes_requests_and_closes_idle_connections() {
    let replica = start_replica("platform", ReplicaBehavior::NoResponse);
    let mut gateway = Gateway::start("platform", vec![replica_entry(0, &replica, "ready", 0)], 1);
    let idle = gateway.connect("platform");
    let pending = gateway.send("platform", "once", 2500, 1);
    wait_until(|| replica.requests.load(Ordering::SeqCst) > 0);
    let fronts = gateway.fronts;
    let waiter = thread::spawn(move || read_outcome("platform", pending).0);
    assert_eq!(gateway.stop(), Some(0));
    assert_eq!(waiter.join().expect("a response"), ClientOutcome::Failed);
    assert_eq!((&idle).read(&mut [0]).expect("closed without a reset"), 0);
    assert!(fronts.iter().all(|front| TcpStream::connect(front).is_err()));
}

/// Splits a message of RFC 5424 into its header, structured data and text.
fn split_log_line(line: &str) -> (Vec<&str>, &str, &str) {
    let mut parts = line.splitn(7, ' ');
    let header: Vec<&str> = parts.by_ref().take(6).collect();
    let rest = parts.next().expect("structured data");
    if let Some(text) = rest.strip_prefix('-') {
        return (header, "-", text.trim_start());
    }
    let (mut quoted, mut escaped) = (false, false);
    let end = rest.char_indices().find(|(_, c)| {
        let is_end = *c == ']' && !quoted;
        quoted ^= *c == '"' && !escaped;
        escaped = *c == '\\' && !escaped;
        is_end
    });
    let end = end.expect("the end of the structured data").0 + 1;
    (header, &rest[..end], rest[end..].trim_start())
}

#[test]
fn log_lines_are_rfc_5424_with_escaped_structured_data() {
    let args = format_args!("bad-request: one\ntwo");
    let pairs = [("client", "a\"b]c\\d\ne"), ("a=b", "x")];
    let record = log::Record::builder().args(args).level(log::Level::Warn).key_values(&pairs).build();
    let line = tulipridge::syslog::line("2026-01-02T03:04:05.000006Z", "n0", 7, &record);
    assert_eq!(
        line,
        "<28>1 2026-01-02T03:04:05.000006Z n0 tulipridge 7 bad-request \
         [tulipridge@32473 client=\"a\\\"b\\]c\\\\d\\ne\" ab=\"x\"] one\\ntwo"
    );
    assert_eq!(split_log_line(&line).2, "one\\ntwo");
    let record = log::Record::builder().args(format_args!("plain words")).level(log::Level::Error).build();
    let line = tulipridge::syslog::line("-", "n0", 7, &record);
    assert_eq!(line, "<27>1 - n0 tulipridge 7 plainwords -");
}

#[test]
fn a_hung_or_lost_log_collector_delays_no_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let collector = listener.local_addr().expect("an address");
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let more = json!({"syslog": {"tcp": collector.to_string()}});
    let (child, discovery) = Gateway::spawn(
        "n0",
        "platform",
        vec![replica_entry(0, &replica, "ready", 0)],
        1,
        (1024, 1024),
        more,
    );
    let stream = listener.accept().expect("a connection").0;
    let open_stream = stream.try_clone().expect("a clone");
    let mut reader = BufReader::new(stream);
    // Reads the first lines only, while the connection stays open.
    let lines = (0..3).map(move |_| {
        let mut count = Vec::new();
        reader.read_until(b' ', &mut count).expect("a count");
        let count = String::from_utf8(count).expect("UTF-8").trim_end().parse().expect("a count");
        let mut line = vec![0; count];
        reader.read_exact(&mut line).expect("a line");
        let line = String::from_utf8(line).expect("UTF-8");
        let (header, data, _) = split_log_line(&line);
        assert!(header[0].starts_with('<') && header[0].ends_with(">1"), "{line}");
        assert_eq!((header[2], header[3]), ("n0", "tulipridge"));
        assert!(data == "-" || data.starts_with("[tulipridge@32473 "), "{line}");
        line
    });
    let gateway = Gateway::attach_with_log(child, discovery, lines);
    for session in 0..3 {
        statuses(&gateway, "platform", &["nonsense\r\n\r\n"]);
        assert_eq!(
            gateway.exchange("platform", "plain", 9000, session).0,
            ClientOutcome::Served("Hello".into())
        );
    }
    drop((open_stream, listener));
    for session in 0..3 {
        statuses(&gateway, "platform", &["nonsense\r\n\r\n"]);
        assert_eq!(
            gateway.exchange("platform", "plain", 9000, session).0,
            ClientOutcome::Served("Hello".into())
        );
    }
}

/// Starts a gateway with a store. Returns the address of its store port as well.
fn start_node(name: &str, entries: Vec<Value>, peers: &[SocketAddr]) -> (Gateway, SocketAddr) {
    let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    let more = json!({"store": {"listen": "127.0.0.1:0", "peers": peers}});
    let gateway = Gateway::attach(Gateway::spawn(name, "platform", entries, 1, (1024, 1024), more));
    wait_until(|| gateway.count_log_lines("port=\"Store\"") > 0);
    let addr = {
        let log = gateway.log.lock().expect("lock");
        let line = log.iter().find(|l| l.contains("port=\"Store\"")).expect("a line with the port");
        line.split('"').nth(1).and_then(|a| a.parse().ok()).expect("an address")
    };
    (gateway, addr)
}

/// Sends a line to a store port and returns the response; `None` if the connection is closed instead.
fn call_store(addr: SocketAddr, line: &str) -> Option<Value> {
    let mut stream = TcpStream::connect(addr).expect("an accepted connection");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the timeout");
    stream.write_all(format!("{line}\n").as_bytes()).expect("sent");
    let mut response = String::new();
    // A close with unread bytes may appear as a reset.
    let _ = BufReader::new(stream).read_line(&mut response);
    serde_json::from_str(&response).ok()
}

fn has_entry(addr: SocketAddr, key: &str, value: &Value) -> bool {
    call_store(addr, &json!({"get": key}).to_string()).expect("a response")["value"] == *value
}

fn wait_for_entry(addr: SocketAddr, key: &str, value: Value) {
    wait_until(|| has_entry(addr, key, &value));
}

#[test]
fn the_store_survives_lost_and_stale_peers_and_invalid_lines() {
    let (_one, first) = start_node("n1", Vec::new(), &[]);
    let (two, second) = start_node("n2", Vec::new(), &[first]);
    let set = |addr, key: &str, value: Value| {
        assert_eq!(
            call_store(addr, &json!({"set": key, "value": value}).to_string()),
            Some(json!({"taken": true}))
        );
    };
    set(first, "config/models/a", json!("once"));
    set(second, "config/models/b", json!("plain"));
    wait_for_entry(second, "config/models/a", json!("once"));
    wait_for_entry(first, "config/models/b", json!("plain"));
    wait_for_entry(first, "state/n2", json!({"held": 0, "connections": 0, "places": 0}));

    // One peer is lost and only the other is written to. The restarted peer is empty at first and catches up.
    drop(two);
    set(first, "config/models/b", json!("once"));
    set(first, "config/models/a", Value::Null);
    let (_two, second) = start_node("n2", Vec::new(), &[first]);
    wait_for_entry(second, "config/models/b", json!("once"));

    // A stale peer returns after a network partition: its old entries replace no newer ones, removals included.
    let old = |value: &str| json!({"stamp": [1000, "n9"], "value": value});
    let update = json!({"news": {"config/models/a": old("once"), "config/models/b": old("plain"), "kept": old("x")}});
    assert_eq!(
        call_store(first, &format!("{update}\n{}", json!({"get": "kept"}))),
        Some(json!({"value": "x"}))
    );
    assert!(
        has_entry(first, "config/models/a", &Value::Null)
            && has_entry(first, "config/models/b", &json!("once"))
    );
    wait_for_entry(second, "kept", json!("x"));

    // An invalid line closes its connection. A stamp far in the future, which would win for ever, is rejected.
    for line in
        ["{", "[]", "{\"get\":1}", "{\"digest\":{\"a\":\"b\"}}", "GET / HTTP/1.1", "{\"news\":{},\"x\":1}"]
    {
        assert_eq!(call_store(first, line), None, "{line}");
    }
    let future = json!({"news": {"kept": {"stamp": [99_999_999_999_999u64, "n9"], "value": "y"}}});
    assert_eq!(
        call_store(first, &format!("{future}\n{}", json!({"get": "kept"}))),
        Some(json!({"value": "x"}))
    );
    let large = json!({"set": "large", "value": "x".repeat(5000)});
    assert_eq!(call_store(first, &large.to_string()), Some(json!({"taken": false})));
}

#[test]
fn the_store_changes_the_class_of_a_model_at_run_time() {
    let replica = start_replica("platform", ReplicaBehavior::InternalError);
    let (gateway, store) = start_node("n0", vec![replica_entry(0, &replica, "ready", 0)], &[]);
    assert_eq!(gateway.exchange("messages", "plain", 9000, 1).0, ClientOutcome::Shed);
    call_store(store, &json!({"set": "config/models/plain-model", "value": "once"}).to_string())
        .expect("a response");
    // A request of the unsafe class fails where one of the safe class is shed.
    wait_until(|| gateway.exchange("messages", "plain", 9000, 2).0 == ClientOutcome::Failed);
}
