//! The whole program on loopback: stand-in clients of each dialect against stand-in replicas of each, with
//! a stand-in discovery. Whatever the pairing, the same trouble must come to the same outcome.

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

/// One trouble at the only replica, in all pairings.
fn everywhere(behavior: ReplicaBehavior, class: &str, deadline_ms: u32, expected: ClientOutcome) {
    for (client, dialect) in DIALECT_PAIRS {
        let server = start_replica(dialect, behavior);
        let gateway = Gateway::start(dialect, vec![replica_entry(0, &server, "ready", 0)], 1);
        let (seen, _) = gateway.exchange(client, class, deadline_ms, 1);
        assert_eq!(seen, expected, "{behavior:?} of class {class}: client {client}, server {dialect}");
        assert_eq!(server.requests.load(Ordering::SeqCst), 1, "one attempt, never sent again silently");
        if behavior == ReplicaBehavior::NoResponse {
            server.connection_ends.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection closes");
        }
    }
}

#[test]
fn a_served_request_is_served_in_all_pairings() {
    everywhere(ReplicaBehavior::Serve, "plain", 9000, ClientOutcome::Served("Hello".into()));
}

#[test]
fn what_was_turned_away_is_turned_down_in_the_clients_dialect() {
    everywhere(ReplicaBehavior::Overloaded, "plain", 9000, ClientOutcome::Shed);
    everywhere(ReplicaBehavior::Overloaded, "once", 9000, ClientOutcome::Shed);
}

#[test]
fn errors_turn_down_what_may_be_repeated_and_fail_what_may_not() {
    everywhere(ReplicaBehavior::InternalError, "plain", 9000, ClientOutcome::Shed);
    everywhere(ReplicaBehavior::InternalError, "once", 9000, ClientOutcome::Failed);
    everywhere(ReplicaBehavior::ErrorEvent, "once", 9000, ClientOutcome::Failed);
}

#[test]
fn resets_turn_down_what_may_be_repeated_and_fail_what_may_not() {
    everywhere(ReplicaBehavior::CloseWithoutResponse, "plain", 9000, ClientOutcome::Shed);
    everywhere(ReplicaBehavior::CloseWithoutResponse, "once", 9000, ClientOutcome::Failed);
}

#[test]
fn an_unresponsive_replica_ends_at_the_deadline_and_the_attempts_connection_closes() {
    everywhere(ReplicaBehavior::NoResponse, "once", 300, ClientOutcome::Failed);
}

#[test]
fn a_broken_stream_ends_without_its_last_chunk() {
    everywhere(ReplicaBehavior::CloseMidStream, "plain", 9000, ClientOutcome::Truncated("Hel".into()));
    everywhere(ReplicaBehavior::ErrorEventAfterText, "plain", 9000, ClientOutcome::Truncated("Hel".into()));
}

#[test]
fn a_spoilt_answer_fails_its_scheduling_or_cuts_its_client_off() {
    for behavior in [ReplicaBehavior::GarbageHead, ReplicaBehavior::PartialHead] {
        everywhere(behavior, "plain", 9000, ClientOutcome::Shed);
        everywhere(behavior, "once", 9000, ClientOutcome::Failed);
    }
    everywhere(ReplicaBehavior::PartialChunk, "plain", 9000, ClientOutcome::Truncated("Hel".into()));
    let from = Instant::now();
    everywhere(ReplicaBehavior::StallMidStream, "plain", 9000, ClientOutcome::Truncated("Hel".into()));
    // Each within 5 s where the machine has the time; all four were two minutes once.
    assert!(from.elapsed() < 2 * TEST_TIMEOUT);
    everywhere(ReplicaBehavior::HugeChunk, "plain", 9000, ClientOutcome::Truncated("Hel".into()));
}

#[test]
fn what_a_good_answer_brings_besides_is_skipped_and_its_connection_not_used_again() {
    let server = start_replica("platform", ReplicaBehavior::SurplusResponses);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &server, "ready", 0)], 1);
    for session in 0..3 {
        assert_eq!(
            gateway.exchange("platform", "once", 9000, session).0,
            ClientOutcome::Served("Hello".into())
        );
        server.connection_ends.recv_timeout(TEST_TIMEOUT).expect("the connection is retired");
    }
}

#[test]
fn a_request_that_a_real_server_rejects_is_not_tried_on_the_others() {
    for (client, dialect) in DIALECT_PAIRS {
        let server = start_replica(dialect, ReplicaBehavior::Unprocessable);
        let entries = (0..3).map(|n| replica_entry(n, &server, "ready", 0)).collect();
        let gateway = Gateway::start(dialect, entries, 3);
        assert_eq!(gateway.exchange(client, "plain", 9000, 1).0, ClientOutcome::Failed);
        assert_eq!(server.requests.load(Ordering::SeqCst), 1);
    }
}

#[test]
fn a_second_request_under_an_open_id_gets_a_conflict_and_the_first_its_answer() {
    let server = start_replica("platform", ReplicaBehavior::NoResponse);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &server, "ready", 0)], 1);
    let first = gateway.send("platform", "once", 2000, 7);
    wait_until(|| server.requests.load(Ordering::SeqCst) > 0);
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
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

#[test]
fn clients_that_say_nothing_or_half_of_it_hold_no_place_for_long() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let servers = vec![replica_entry(0, &server, "ready", 0)];
    let gateway = Gateway::attach(Gateway::spawn("n0", "platform", servers, 1, (1024, 64), json!({})));
    // Far sooner than an idle connection's end of old, on a machine of any speed.
    let from = Instant::now();
    for dialect in ["platform", "messages"] {
        assert_eq!(statuses(&gateway, dialect, &[]), [0; 0]);
        assert_eq!(statuses(&gateway, dialect, &["POST /v1/messages HTTP/1.1\r\nHo"]), [408]);
    }
    assert!(from.elapsed() < TEST_TIMEOUT);
    // More than there are places for; who has something to say is heard all the same.
    let crowd: Vec<TcpStream> =
        (0..200).map(|n| gateway.connect(["platform", "messages"][n % 2])).collect();
    for dialect in ["platform", "messages"] {
        assert_eq!(gateway.exchange(dialect, "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    }
    drop(crowd);
}

#[test]
fn a_new_configuration_moves_discovery_and_a_bad_one_changes_nothing() {
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
    // A second address can't come while it serves.
    config["mgmt"] = "127.0.0.1:1".into();
    std::fs::write(&path, config.to_string()).expect("written");
    gateway.signal("-HUP");
    wait_until(|| gateway.count_log_lines("kind=\"Complete\" replicas=\"1\"") > 1);
    assert_eq!(gateway.exchange("messages", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    assert_eq!(two.requests.load(Ordering::SeqCst), 1);
    assert_eq!(gateway.count_log_lines("mgmt-kept"), 1);
    // Both signals at once: it still stops in order.
    gateway.signal("-HUP");
    assert_eq!(gateway.stop(), Some(0));
}

#[test]
fn a_configuration_that_a_disk_does_not_give_out_delays_no_answer() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let mut gateway = Gateway::start("platform", vec![replica_entry(0, &server, "ready", 0)], 1);
    let environment = std::fs::read(format!("/proc/{}/environ", gateway.child.id())).expect("readable");
    let variables = String::from_utf8(environment).expect("UTF-8");
    let path = variables.split('\0').find_map(|v| v.strip_prefix("EDGE_CONFIG=")).expect("set").to_owned();
    // A pipe in the file's place: whoever opens it waits until somebody writes.
    std::fs::remove_file(&path).expect("removed");
    assert!(Command::new("mkfifo").arg(&path).status().expect("it runs").success());
    gateway.signal("-HUP");
    for session in 0..20 {
        let stream = gateway.send("platform", "plain", 9000, session);
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
        assert_eq!(read_outcome("platform", stream).0, ClientOutcome::Served("Hello".into()));
        thread::sleep(Duration::from_millis(10));
    }
    // It was indeed asked for, and is read once it comes.
    std::fs::write(&path, "{").expect("written");
    wait_until(|| gateway.count_log_lines("reload-failed") == 1);
    // One that is still being waited for does not keep it from ending.
    gateway.signal("-HUP");
    thread::sleep(Duration::from_millis(100));
    assert_eq!(gateway.stop(), Some(0));
}

#[test]
fn an_unknown_event_passes_untouched_or_is_left_out_and_logged_once() {
    for (client, dialect) in DIALECT_PAIRS {
        let server = start_replica(dialect, ReplicaBehavior::UnknownEvent);
        let gateway = Gateway::start(dialect, vec![replica_entry(0, &server, "ready", 0)], 1);
        for session in [1, 2] {
            let (seen, stream) = gateway.exchange(client, "plain", 9000, session);
            assert_eq!(seen, ClientOutcome::Served("Hello".into()));
            assert_eq!(stream.contains(&unknown_event(dialect)), client == dialect, "{stream}");
        }
        assert_eq!(gateway.count_log_lines("event-omitted"), usize::from(client != dialect));
        // The question has kept its parts on the way.
        let body = server.bodies.lock().expect("whole")[0].to_string();
        assert!(
            body.contains("Be brief.") && body.contains("Which gate?") && body.contains("20"),
            "{body}"
        );
    }
}

#[test]
fn nothing_new_goes_to_a_draining_server() {
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
fn idle_connections_are_closed_in_time_and_ended_ones_not_used() {
    // The settings say that a replica closes after 5 s; the gateway must be well before that.
    let server_kept = start_replica("platform", ReplicaBehavior::Serve);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &server_kept, "ready", 0)], 1);
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    server_kept
        .connection_ends
        .recv_timeout(Duration::from_millis(4800))
        .expect("closed before the server would");

    // What ended while it was idle is not written to: each request is sent once, and served.
    let server_ends = start_replica("platform", ReplicaBehavior::ServeAndClose);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &server_ends, "ready", 0)], 1);
    for session in 0..3 {
        assert_eq!(
            gateway.exchange("platform", "once", 9000, session).0,
            ClientOutcome::Served("Hello".into())
        );
        server_ends.connection_ends.recv_timeout(TEST_TIMEOUT).expect("closed");
    }
    assert_eq!(server_ends.requests.load(Ordering::SeqCst), 3);
}

#[test]
fn discovery_is_called_again_after_a_refusal_a_reset_an_end_and_no_answer() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let whole = replica_list(7, true, vec![replica_entry(0, &server, "ready", 0)]);
    let old = replica_list(3, false, vec![replica_entry(0, &server, "gone", 0)]);
    let begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let watch = |lines: &[&Value]| {
        begin.to_owned() + &lines.iter().map(|l| encode_chunk(&format!("{l}\n"))).collect::<String>()
    };
    // What each call is answered, and whether its connection then stays open in silence.
    let answers = [
        ("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_owned(), false),
        (String::new(), false),
        (watch(&[&whole, &old]) + "0\r\n\r\n", false),
        (watch(&[]) + &encode_chunk("\n"), true),
        (watch(&[&replica_list(8, false, vec![replica_entry(0, &server, "draining", 0)])]), true),
    ];
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (tell, asked) = channel();
    thread::spawn(move || {
        let mut open = Vec::new();
        for (answer, stays) in answers {
            let mut stream = listener.accept().expect("a call").0;
            let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
            let (head, _) = read_message(&mut reader).expect("a call");
            tell.send(head[0].split(' ').nth(1).expect("a path").to_owned()).expect("heard");
            stream.write_all(answer.as_bytes()).expect("sent");
            open.extend(stays.then_some((stream, reader)));
        }
        thread::park();
    });
    let known = Vec::new();
    let found = (addr, channel().0);
    let platform = Platform::with_discovery(found);
    let gateway =
        Gateway::attach(Gateway::spawn_on("n0", "platform", known, 1, (1024, 1024), json!({}), platform));
    let next = || asked.recv_timeout(TEST_TIMEOUT).expect("asked again");
    let path = |index: u32| format!("/catalog/members?stream=1&index={index}");
    assert_eq!([next(), next(), next()], [path(1), path(1), path(1)]);
    assert_eq!(next(), path(7), "from the list held, which older changes did not touch");
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Served("Hello".into()));
    assert_eq!(next(), path(7), "after silence");
    wait_until(|| gateway.count_log_lines("state=\"Draining\"") > 0);
    let (seen, _) = gateway.exchange("platform", "plain", 300, 2);
    assert!(matches!(seen, ClientOutcome::Failed | ClientOutcome::Shed), "{seen:?}");
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

#[test]
fn a_cold_server_is_spared() {
    // How many of the same requests the second of two servers gets, started at that time.
    let second_gets = |client, dialect, started| {
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
        let (warm, cold) = (second_gets(client, dialect, 0), second_gets(client, dialect, now));
        assert!(cold < warm, "{cold} cold, {warm} warm: client {client}, server {dialect}");
    }
}

#[test]
fn a_client_that_leaves_takes_its_scheduling_along() {
    for (client, dialect) in DIALECT_PAIRS {
        let server = start_replica(dialect, ReplicaBehavior::NoResponse);
        let gateway = Gateway::start(dialect, vec![replica_entry(0, &server, "ready", 0)], 3);
        let stream = gateway.send(client, "plain", 9000, 1);
        wait_until(|| server.requests.load(Ordering::SeqCst) > 0);
        drop(stream);
        server.connection_ends.recv_timeout(TEST_TIMEOUT).expect("the attempt's connection closes");
        assert_eq!(server.requests.load(Ordering::SeqCst), 1);
    }
}

/// Sends bytes and gives back the status line of each answer up to the connection's end.
fn statuses(gateway: &Gateway, dialect: &str, pieces: &[&str]) -> Vec<u16> {
    let mut stream = gateway.connect(dialect);
    for piece in pieces {
        // It may have been answered and closed before all is sent.
        let _ = stream.write_all(piece.as_bytes());
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.split("HTTP/1.1 ").skip(1).map(|a| a[..3].parse().expect("a status")).collect()
}

#[test]
fn bad_input_gets_its_status_on_both_fronts() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let gateway = Gateway::start("platform", vec![replica_entry(0, &server, "ready", 0)], 1);
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
    assert_eq!(server.requests.load(Ordering::SeqCst), 0);
}

#[test]
fn a_want_of_descriptors_is_survived() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let servers = vec![replica_entry(0, &server, "ready", 0)];
    let gateway = Gateway::attach(Gateway::spawn("n0", "platform", servers, 1, (24, 1024), json!({})));
    let crowd: Vec<TcpStream> = (0..40).map(|_| gateway.connect("platform")).collect();
    wait_until(|| gateway.count_log_lines("accept-failed") > 0);
    drop(crowd);
    wait_until(|| {
        gateway.exchange("platform", "plain", 9000, 1).0 == ClientOutcome::Served("Hello".into())
    });
}

#[test]
fn a_stop_answers_open_requests_closes_idle_connections_and_exits_well() {
    let server = start_replica("platform", ReplicaBehavior::NoResponse);
    let mut gateway = Gateway::start("platform", vec![replica_entry(0, &server, "ready", 0)], 1);
    let idle = gateway.connect("platform");
    let held = gateway.send("platform", "once", 2500, 1);
    wait_until(|| server.requests.load(Ordering::SeqCst) > 0);
    let fronts = gateway.fronts;
    let waiter = thread::spawn(move || read_outcome("platform", held).0);
    assert_eq!(gateway.stop(), Some(0));
    assert_eq!(waiter.join().expect("answered"), ClientOutcome::Failed);
    assert_eq!((&idle).read(&mut [0]).expect("closed in order"), 0);
    assert!(fronts.iter().all(|front| TcpStream::connect(front).is_err()));
}

/// A line that is a message of RFC 5424, parted into its header, its structured data and its text.
fn parted(line: &str) -> (Vec<&str>, &str, &str) {
    let mut parts = line.splitn(7, ' ');
    let header: Vec<&str> = parts.by_ref().take(6).collect();
    let rest = parts.next().expect("structured data");
    if let Some(text) = rest.strip_prefix('-') {
        return (header, "-", text.trim_start());
    }
    let (mut quoted, mut escaped) = (false, false);
    let end = rest.char_indices().find(|(_, c)| {
        let over = *c == ']' && !quoted;
        quoted ^= *c == '"' && !escaped;
        escaped = *c == '\\' && !escaped;
        over
    });
    let end = end.expect("an end of the structured data").0 + 1;
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
    assert_eq!(parted(&line).2, "one\\ntwo");
    let record = log::Record::builder().args(format_args!("plain words")).level(log::Level::Error).build();
    let line = tulipridge::syslog::line("-", "n0", 7, &record);
    assert_eq!(line, "<27>1 - n0 tulipridge 7 plainwords -");
}

#[test]
fn a_collector_gets_counted_lines_and_its_hang_or_death_delays_nobody() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let collector = listener.local_addr().expect("an address");
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let more = json!({"syslog": {"tcp": collector.to_string()}});
    let (child, discovery) = Gateway::spawn(
        "n0",
        "platform",
        vec![replica_entry(0, &server, "ready", 0)],
        1,
        (1024, 1024),
        more,
    );
    let stream = listener.accept().expect("a connection").0;
    let kept = stream.try_clone().expect("a clone");
    let mut reader = BufReader::new(stream);
    // Reads the first lines and then no more, while the connection stays open.
    let lines = (0..3).map(move |_| {
        let mut count = Vec::new();
        reader.read_until(b' ', &mut count).expect("a count");
        let count = String::from_utf8(count).expect("UTF-8").trim_end().parse().expect("a count");
        let mut line = vec![0; count];
        reader.read_exact(&mut line).expect("a line");
        let line = String::from_utf8(line).expect("UTF-8");
        let (header, data, _) = parted(&line);
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
    drop((kept, listener));
    for session in 0..3 {
        statuses(&gateway, "platform", &["nonsense\r\n\r\n"]);
        assert_eq!(
            gateway.exchange("platform", "plain", 9000, session).0,
            ClientOutcome::Served("Hello".into())
        );
    }
}

/// A node of the store, and the address of its port.
fn node(name: &str, servers: Vec<Value>, peers: &[SocketAddr]) -> (Gateway, SocketAddr) {
    let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    let more = json!({"store": {"listen": "127.0.0.1:0", "peers": peers}});
    let gateway = Gateway::attach(Gateway::spawn(name, "platform", servers, 1, (1024, 1024), more));
    wait_until(|| gateway.count_log_lines("port=\"Store\"") > 0);
    let addr = {
        let log = gateway.log.lock().expect("whole");
        let line = log.iter().find(|l| l.contains("port=\"Store\"")).expect("just seen");
        line.split('"').nth(1).and_then(|a| a.parse().ok()).expect("an address")
    };
    (gateway, addr)
}

/// What a node's port answers to a line; `None` if it closes instead.
fn answer_to_line(addr: SocketAddr, line: &str) -> Option<Value> {
    let mut stream = TcpStream::connect(addr).expect("it accepts");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    stream.write_all(format!("{line}\n").as_bytes()).expect("sent");
    let mut answer = String::new();
    // A close with unread bytes may come as a reset.
    let _ = BufReader::new(stream).read_line(&mut answer);
    serde_json::from_str(&answer).ok()
}

fn holds(addr: SocketAddr, key: &str, value: &Value) -> bool {
    answer_to_line(addr, &json!({"get": key}).to_string()).expect("an answer")["value"] == *value
}

fn comes_to_hold(addr: SocketAddr, key: &str, value: Value) {
    wait_until(|| holds(addr, key, &value));
}

#[test]
fn the_store_survives_a_restart_a_lost_peer_a_stale_one_and_garbage() {
    let (_one, first) = node("n1", Vec::new(), &[]);
    let (two, second) = node("n2", Vec::new(), &[first]);
    let set = |addr, key: &str, value: Value| {
        assert_eq!(
            answer_to_line(addr, &json!({"set": key, "value": value}).to_string()),
            Some(json!({"taken": true}))
        );
    };
    set(first, "config/models/a", json!("once"));
    set(second, "config/models/b", json!("plain"));
    comes_to_hold(second, "config/models/a", json!("once"));
    comes_to_hold(first, "config/models/b", json!("plain"));
    comes_to_hold(first, "state/n2", json!({"held": 0, "connections": 0, "places": 0}));

    // A peer is lost: the other is written to alone. A restart comes back empty and catches up.
    drop(two);
    set(first, "config/models/b", json!("once"));
    set(first, "config/models/a", Value::Null);
    let (_two, second) = node("n2", Vec::new(), &[first]);
    comes_to_hold(second, "config/models/b", json!("once"));

    // A stale peer back from a cut: what it held before does not undo what came after, removals included.
    let old = |value: &str| json!({"stamp": [1000, "n9"], "value": value});
    let news = json!({"news": {"config/models/a": old("once"), "config/models/b": old("plain"), "kept": old("x")}});
    assert_eq!(
        answer_to_line(first, &format!("{news}\n{}", json!({"get": "kept"}))),
        Some(json!({"value": "x"}))
    );
    assert!(
        holds(first, "config/models/a", &Value::Null) && holds(first, "config/models/b", &json!("once"))
    );
    comes_to_hold(second, "kept", json!("x"));

    // Garbage ends its connection; a stamp from the far future, which would win for ever, is not taken.
    for garbage in
        ["{", "[]", "{\"get\":1}", "{\"digest\":{\"a\":\"b\"}}", "GET / HTTP/1.1", "{\"news\":{},\"x\":1}"]
    {
        assert_eq!(answer_to_line(first, garbage), None, "{garbage}");
    }
    let late = json!({"news": {"kept": {"stamp": [99_999_999_999_999u64, "n9"], "value": "y"}}});
    assert_eq!(
        answer_to_line(first, &format!("{late}\n{}", json!({"get": "kept"}))),
        Some(json!({"value": "x"}))
    );
    let large = json!({"set": "large", "value": "x".repeat(5000)});
    assert_eq!(answer_to_line(first, &large.to_string()), Some(json!({"taken": false})));
}

#[test]
fn the_store_moves_a_models_class_while_the_program_runs() {
    let server = start_replica("platform", ReplicaBehavior::InternalError);
    let (gateway, store) = node("n0", vec![replica_entry(0, &server, "ready", 0)], &[]);
    assert_eq!(gateway.exchange("messages", "plain", 9000, 1).0, ClientOutcome::Shed);
    answer_to_line(store, &json!({"set": "config/models/plain-model", "value": "once"}).to_string())
        .expect("taken");
    // The class that may not be repeated fails where the other is shed.
    wait_until(|| gateway.exchange("messages", "plain", 9000, 2).0 == ClientOutcome::Failed);
}
