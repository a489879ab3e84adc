//! Faults of streams, against the gateway program on loopback: replicas that stall, disconnect and send without limit,
//! clients that pause, read slowly and disconnect, and shutdowns at the same time.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

use support::*;

fn write(stream: &mut TcpStream, bytes: &str) -> bool {
    stream.write_all(bytes.as_bytes()).is_ok()
}

/// Writes events of about 4 KiB until the connection fails.
fn send_until_closed(stream: &mut TcpStream) {
    let event = encode_chunk(&text_event("platform", &"x".repeat(4000)));
    while write(stream, &event) {}
}

fn start_gateway(dialect: &str, replica: &StandInReplica, more: Value) -> Gateway {
    let (mut child, discovery) =
        Gateway::spawn("n0", dialect, vec![replica_entry(0, replica, "ready", 0)], 1, (1024, 1024), more);
    let log = BufReader::new(child.stderr.take().expect("piped"));
    Gateway::attach_with_log(child, discovery, log.lines().map_while(Result::ok))
}

fn wait_for_log_lines(gateway: &Gateway, cause: &str, count: usize) {
    let text = format!("cause=\"{cause}\"");
    wait_until(|| gateway.count_log_lines(&text) >= count);
    assert_eq!(gateway.count_log_lines(&text), count, "one log line per stream");
}

#[test]
fn a_stall_at_any_position_ends_the_stream_and_its_attempt() {
    let first_event = || encode_chunk(&text_event("platform", "Hel"));
    // Before the last token; within an event; within a chunk; between the last event and the last chunk.
    let stalls: [(&str, String); 4] = [
        ("between events", first_event()),
        ("within an event", first_event() + &encode_chunk("data: {\"choi")),
        ("within a chunk", first_event() + "20\r\ndata: {"),
        ("before the last chunk", first_event() + &encode_chunk(&closing_events("platform"))),
    ];
    for (position, response) in stalls {
        let (replica, closed) =
            start_scripted_replica(move |stream, _| write(stream, &(STREAM_HEAD.to_owned() + &response)));
        let limits = json!({"streams": {"silence": "700ms", "stall": "300ms", "tail": "300ms"}});
        for client in ["platform", "messages"] {
            let gateway = start_gateway("platform", &replica, limits.clone());
            let (outcome, stream) = gateway.exchange(client, "plain", 9000, 1);
            assert_eq!(outcome, ClientOutcome::Truncated("Hel".into()), "{position}");
            if client == "messages" {
                assert!(stream.contains("event: error\n") && stream.contains("timeout_error"), "{stream}");
            }
            closed.recv_timeout(TEST_TIMEOUT).expect("the replica's connection is closed");
            wait_for_log_lines(&gateway, "stalled", 1);
            assert_eq!(gateway.count_log_lines("side=\"Replica\""), 1);
        }
    }
    // After the head and before the first event, a retry is still allowed.
    let (replica, closed) = start_scripted_replica(|stream, _| write(stream, STREAM_HEAD));
    let gateway = start_gateway("platform", &replica, json!({"streams": {"opening": "300ms"}}));
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Shed);
    closed.recv_timeout(TEST_TIMEOUT).expect("the replica's connection is closed");
}

#[test]
fn sixty_clients_that_pause_4_s_get_all_bytes_within_32_mb() {
    let events = 256;
    let (replica, _closed) = start_scripted_replica(move |stream, _| {
        let event = encode_chunk(&text_event("platform", &"x".repeat(4000)));
        write(stream, STREAM_HEAD)
            && (0..events).all(|_| write(stream, &event))
            && write(stream, &(encode_chunk(&closing_events("platform")) + "0\r\n\r\n"))
    });
    let gateway = start_gateway("platform", &replica, json!({"memory_mb": 32}));
    let clients: Vec<TcpStream> = (0..60).map(|n| gateway.send("platform", "plain", 9000, n + 1)).collect();
    thread::sleep(Duration::from_secs(4));
    let outcomes: Vec<_> = clients
        .into_iter()
        .map(|stream| thread::spawn(move || read_outcome("platform", stream).0))
        .map(|reader| reader.join().expect("a reader"))
        .collect();
    for outcome in outcomes {
        let ClientOutcome::Served(text) = outcome else { panic!("not served completely") };
        assert_eq!(text.len(), events * 4000);
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id()))
        .expect("the status of the process");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("the peak memory");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak < 32 << 10, "{peak} KiB");
}

#[test]
fn paused_and_slow_clients_are_cut_and_their_attempts_closed() {
    let (replica, closed) = start_scripted_replica(|stream, _| {
        write(stream, STREAM_HEAD);
        send_until_closed(stream);
        true
    });
    let limits = json!({"streams": {"reader_span": "1s", "reader_floor": "256KiB"}});
    let gateway = start_gateway("platform", &replica, limits);
    let mut stopped_client = gateway.send("platform", "plain", 9000, 1);
    read_event(&mut stopped_client);
    let mut slow_client = gateway.send("platform", "plain", 9000, 2);
    read_event(&mut slow_client);
    let (stop, stop_signal) = channel::<()>();
    let slow_reader = thread::spawn(move || {
        let mut bytes = [0; 16];
        // The bytes in the socket buffers last far longer than the gateway takes to end the stream.
        while stop_signal
            .recv_timeout(Duration::from_millis(50))
            .is_err_and(|e| e == RecvTimeoutError::Timeout)
        {
            let _ = slow_client.read(&mut bytes);
        }
    });
    for _ in 0..2 {
        closed.recv_timeout(TEST_TIMEOUT).expect("the replica's connection is closed");
    }
    wait_for_log_lines(&gateway, "reader-slow", 2);
    assert_eq!(gateway.count_log_lines("side=\"Client\""), 2);
    drop((stopped_client, stop));
    slow_reader.join().expect("a reader thread");
}

#[test]
fn a_close_reset_or_half_close_of_the_client_ends_the_attempt() {
    for is_sending in [false, true] {
        let (replica, closed) = start_scripted_replica(move |stream, _| {
            write(stream, &(STREAM_HEAD.to_owned() + &encode_chunk(&text_event("platform", "Hel"))));
            if is_sending {
                send_until_closed(stream);
            }
            true
        });
        let more = json!({"streams": {"silence": "1m"}});
        let mut gateway = start_gateway("platform", &replica, more);
        let disconnects: [fn(TcpStream) -> Option<TcpStream>; 3] = [
            |stream| {
                drop(stream);
                None
            },
            |stream| {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
                drop(stream);
                None
            },
            |stream| {
                stream.shutdown(Shutdown::Write).expect("half closed");
                Some(stream)
            },
        ];
        for (n, disconnect) in disconnects.into_iter().enumerate() {
            let mut client = gateway.send("platform", "plain", 9000, n + 1);
            read_event(&mut client);
            let half_closed = disconnect(client);
            closed.recv_timeout(TEST_TIMEOUT).expect("the replica's connection is closed");
            drop(half_closed);
        }
        assert_eq!(gateway.stop(), Some(0));
        wait_until(|| gateway.count_log_lines("stream-figures") > 0);
        let log = gateway.log.lock().expect("lock");
        let statistics = log.iter().find(|l| l.contains("stream-figures")).expect("the statistics");
        assert!(
            statistics.contains("cause=\"client-left\"") && statistics.contains("count=\"3\""),
            "{statistics}"
        );
    }
}

#[test]
fn a_disconnect_within_an_event_forwards_only_complete_events() {
    let first = text_event("platform", "Hel");
    let second = text_event("platform", "lo");
    let cut_count = second.len();
    let script = {
        let (first, second) = (first.clone(), second.clone());
        move |stream: &mut TcpStream, number: usize| {
            // The part of the event is a complete chunk, so that only the event is incomplete.
            let part = &second[..number % cut_count];
            let part = if part.is_empty() { String::new() } else { encode_chunk(part) };
            write(stream, &(STREAM_HEAD.to_owned() + &encode_chunk(&first) + &part));
            let _ = stream.shutdown(Shutdown::Both);
            false
        }
    };
    let (replica, _closed) = start_scripted_replica(script);
    // So many failures in a row would eject the replica, so each gateway gets only two of them.
    let mut number = 0;
    while number < cut_count {
        let gateway = start_gateway("platform", &replica, json!({}));
        for n in 0..2.min(cut_count - number) {
            let (outcome, stream) = gateway.exchange("platform", "plain", 9000, n + 1);
            assert_eq!(
                (outcome, stream.as_str()),
                (ClientOutcome::Truncated("Hel".into()), first.as_str()),
                "at {number}"
            );
            number += 1;
        }
    }
}

#[test]
fn a_stop_during_a_drain_and_a_stall_logs_every_end_of_stream() {
    let (replica, _closed) = start_scripted_replica(|stream, number| {
        write(stream, &(STREAM_HEAD.to_owned() + &encode_chunk(&text_event("platform", "Hel"))));
        match number {
            // Stalls.
            0 => true,
            // Completes a little later, while the replica drains and the gateway shuts down.
            1 => {
                thread::sleep(Duration::from_millis(900));
                write(stream, &(encode_chunk(&closing_events("platform")) + "0\r\n\r\n"))
            }
            // Continues for longer than the shutdown waits.
            _ => {
                while write(stream, &encode_chunk(&text_event("platform", "l"))) {
                    thread::sleep(Duration::from_millis(50));
                }
                true
            }
        }
    });
    let limits = json!({"streams": {"silence": "1s", "stop_within": "2s"}});
    let mut gateway = start_gateway("platform", &replica, limits);
    let mut clients = Vec::new();
    for n in 0..3 {
        let mut client = gateway.send("platform", "plain", 9000, n + 1);
        read_event(&mut client);
        clients.push(client);
    }
    let drain = replica_list(3, false, vec![replica_entry(0, &replica, "draining", 0)]);
    gateway.discovery.send(drain).expect("open");
    wait_until(|| gateway.count_log_lines("list-change") == 1);
    assert_eq!(gateway.stop(), Some(0));
    wait_for_log_lines(&gateway, "stalled", 1 + 1);
    wait_for_log_lines(&gateway, "shutdown", 1 + 1);
    // Each cause is also in a line of statistics; a complete stream has only that line.
    wait_for_log_lines(&gateway, "complete", 1);
    let is_complete = clients.into_iter().map(|mut client| {
        let mut rest = String::new();
        // The stream may also end with a reset.
        let _ = client.read_to_string(&mut rest);
        rest.ends_with("0\r\n\r\n")
    });
    assert_eq!(is_complete.collect::<Vec<_>>(), [false, true, false]);
}

#[test]
fn the_demo_serves_the_calls_of_the_readme() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tulipridge"))
        .args(["demo", "--port", "0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("start the program");
    // The pipe stays open: the program continues to print, and would exit if the pipe were closed.
    let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines().map_while(Result::ok);
    let addrs: Vec<SocketAddr> = lines
        .by_ref()
        .filter(|l| l.starts_with("curl -N "))
        .map(|l| l["curl -N ".len()..].split('/').next().expect("an address").parse().expect("an address"))
        .take(2)
        .collect();
    let readme = include_str!("../README.md").replace("\\\n", " ");
    let calls: Vec<&str> = readme.lines().filter(|l| l.starts_with("curl -N ")).collect();
    assert_eq!(calls.len(), 2, "one call for each front");
    for (call, addr) in calls.into_iter().zip(addrs) {
        let quoted = |flag: &str| {
            let parts = call.split(flag).skip(1);
            parts.map(|p| p.split('\'').nth(1).expect("quoted").to_owned()).collect::<Vec<_>>()
        };
        let path = &call[call.find("/v1/").expect("a path")..].split(' ').next().expect("a path");
        let body = quoted("-d ").remove(0);
        let headers: String = quoted("-H ").iter().map(|h| format!("{h}\r\n")).collect();
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: {addr}\r\n{headers}Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut response = String::new();
        // The demo listens shortly after it has printed.
        wait_until(|| {
            response.clear();
            let Ok(mut stream) = TcpStream::connect(addr) else { return false };
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the timeout");
            stream.write_all(request.as_bytes()).expect("sent");
            stream.read_to_string(&mut response).is_ok() && !response.starts_with("HTTP/1.1 503")
        });
        assert!(response.starts_with("HTTP/1.1 200"), "{call}: {response}");
        assert!(response.contains("heard: ") && response.contains("gate?"), "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    }
    // The signal of Ctrl-C.
    send_signal(&child, "-INT");
    assert_eq!(child.wait().expect("wait for the exit").code(), Some(0));
}

#[test]
fn check_reports_position_and_key_of_a_settings_error() {
    let check = |text: &str| {
        let path = format!("{}/check-{}.hcl", env!("CARGO_TARGET_TMPDIR"), text.len());
        std::fs::write(&path, text).expect("written");
        let out = Command::new(env!("CARGO_BIN_EXE_tulipridge"))
            .args(["check", &path])
            .env_remove("EDGE_CONFIG")
            .output()
            .expect("run the program");
        (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    assert!(check("streams {\n  window = \"64KiB\"\n  silence = \"2s\"\n}\n").0);
    for (text, expected) in [
        ("streams {\n  silense = \"4s\"\n}\n", ["2:3", "streams.silense", "unknown field"]),
        ("streams {\n  window = \"8MiB\"\n}\n", ["2:3", "streams.window", "8.0 MiB is not between"]),
        ("streams {\n\n  stall = \"soon\"\n}\n", ["3:3", "streams.stall", "\"soon\""]),
        ("store {\n  listen = \"nowhere\"\n}\n", ["2:3", "store.listen", "\"nowhere\""]),
        ("syslog {\n}\nsyslog {\n}\n", ["1:1", "syslog", "given twice"]),
        ("streams {\n  pace_factor = 3\n}\n", ["2:3", "streams.pace_factor", "pace_least"]),
        (
            "messages {\n  keys = { \"a\" = { sha256 = \"12\" } }\n}\n",
            ["2:3", "messages.keys.a.sha256", "not 64 hex digits"],
        ),
        (
            "messages {\n  limits = { t = { requests = 0 } }\n}\n",
            ["2:3", "messages.limits.t.requests", "0 would let nobody in"],
        ),
        (
            "messages {\n  models = { m = { created = \"soon\" } }\n}\n",
            ["2:3", "messages.models.m.created", "no time"],
        ),
        ("messages {\n  only_listed = true\n}\n", ["2:3", "messages.only_listed", "no model"]),
        ("messages {\n  body = \"1GiB\"\n}\n", ["2:3", "messages.body", "1.0 GiB is not between"]),
        ("speeds = { large = 0 }\n", ["1:1", "speeds.large", "0 is not between 0.01 and 100"]),
        ("list {\n  calls_per_s = 0\n}\n", ["2:3", "list.calls_per_s", "0 is not between 0.1 and 100000"]),
        ("streams {\n  window = \n}\n", ["2:12", "invalid expression", "expected"]),
    ] {
        let (is_valid, errors) = check(text);
        assert!(!is_valid && expected.iter().all(|part| errors.contains(part)), "{text}: {errors}");
    }
}

#[test]
fn a_generated_key_matches_its_line_of_settings() {
    let run_key_command = |args: &[&str], input: &str| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_tulipridge"))
            .arg("key")
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the program");
        // The process may exit without reading.
        let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
        let out = child.wait_with_output().expect("wait for the exit");
        (out.status.success(), String::from_utf8(out.stdout).expect("UTF-8"))
    };
    let (is_success, output) = run_key_command(&["map-office", "--tenant", "office"], "");
    assert!(is_success);
    let key = output.lines().find_map(|l| l.strip_prefix("# the client's: ")).expect("the key");
    let line = output.lines().last().expect("the line");
    assert!(key.len() >= 40 && !line.contains(key), "{output}");
    let settings = format!("messages {{\n  keys = {{ {line} }}\n}}\n");
    let settings = tulipridge::settings::Settings::parse("generated", &settings).expect("valid settings");
    let entry = &settings.messages.keys["map-office"];
    assert_eq!(entry.sha256, tulipridge::api_keys::digits_of(key));
    assert_eq!(entry.tenant.as_deref(), Some("office"));
    assert_ne!(run_key_command(&["map-office"], "").1, output, "a new key each time");

    let (is_success, output) = run_key_command(&["old", "--read"], "a-key-that-is-there-already\n");
    let digits = tulipridge::api_keys::digits_of("a-key-that-is-there-already");
    assert!(is_success && output.contains(&digits) && !output.contains("a-key-that-is-there"), "{output}");
    assert!(!run_key_command(&["old", "--read"], "short\n").0);
}

#[test]
fn a_replica_that_breaks_streams_is_ejected_and_readmitted() {
    let good: Vec<StandInReplica> =
        (0..4).map(|_| start_replica("platform", ReplicaBehavior::Serve)).collect();
    // Every second stream breaks, so that failures are not consecutive.
    let (bad, _closed) = start_scripted_replica(|stream, number| {
        let hello = STREAM_HEAD.to_owned() + &encode_chunk(&text_event("platform", "Hel"));
        if number % 2 == 1 {
            write(stream, &hello);
            let _ = stream.shutdown(Shutdown::Both);
            return false;
        }
        write(stream, &(hello + &encode_chunk(&closing_events("platform")) + "0\r\n\r\n"))
    });
    let mut entries: Vec<Value> =
        good.iter().enumerate().map(|(n, s)| replica_entry(n, s, "ready", 0)).collect();
    entries.push(replica_entry(9, &bad, "ready", 0));
    let more = json!({"rest": {"first": "2s", "longest": "2s"}});
    let gateway = Gateway::attach(Gateway::spawn("n0", "platform", entries, 1, (1024, 1024), more));
    let mut session = 0;
    let mut count_truncated = |times: usize| {
        let send_request = |_| {
            session += 1;
            gateway.exchange("platform", "plain", 9000, session).0
        };
        (0..times)
            .map(send_request)
            .filter(|outcome| matches!(outcome, ClientOutcome::Truncated(_)))
            .count()
    };
    wait_until(|| {
        count_truncated(10);
        gateway.count_log_lines(" replica-ejected ") > 0
    });
    assert!(
        gateway
            .log
            .lock()
            .expect("lock")
            .iter()
            .any(|l| l.contains("replica-ejected") && l.contains("s-9"))
    );
    // An ejected replica gets no requests, so no stream breaks.
    let truncated_count = count_truncated(30);
    if gateway.count_log_lines(" replica-readmitted ") == 0 {
        assert_eq!(truncated_count, 0);
    }
    wait_until(|| gateway.count_log_lines(" replica-readmitted ") > 0);
}

#[test]
fn a_stalled_copy_neither_reaches_nor_ends_the_clients_stream() {
    let good = start_replica("platform", ReplicaBehavior::Serve);
    // Sends nothing until the gateway closes the connection.
    let stalled_count = Arc::new(AtomicUsize::new(0));
    let script_count = stalled_count.clone();
    let (stalled, closed) =
        start_scripted_replica(move |_, _| script_count.fetch_add(1, Ordering::SeqCst) < usize::MAX);
    let entries = vec![replica_entry(0, &good, "ready", 0), replica_entry(1, &stalled, "ready", 0)];
    let more = json!({"copies": true, "streams": {"silence": "1m"}});
    let gateway = Gateway::attach(Gateway::spawn("n0", "platform", entries, 3, (1024, 1024), more));
    let request_count = 24;
    let readers: Vec<_> = (1..=request_count)
        .map(|n| {
            let stream = gateway.send("platform", "plain", 9000, n);
            thread::spawn(move || read_outcome("platform", stream).0)
        })
        .collect();
    let outcomes: Vec<ClientOutcome> = readers.into_iter().map(|r| r.join().expect("a reader")).collect();
    let served_count = outcomes.iter().filter(|s| **s == ClientOutcome::Served("Hello".into())).count();
    assert!(outcomes.iter().all(|s| !matches!(s, ClientOutcome::Truncated(_))), "{outcomes:?}");
    // Some requests to the stalled replica were served by a copy, and its connection was closed with the request.
    assert_eq!(good.requests.load(Ordering::SeqCst), served_count);
    assert!(served_count + stalled_count.load(Ordering::SeqCst) > request_count, "no copy was sent");
    closed.recv_timeout(TEST_TIMEOUT).expect("the copy's connection is closed");
}

#[test]
fn a_short_budget_cuts_paused_clients_but_not_a_reading_one() {
    let events = 512;
    let (replica, closed) = start_scripted_replica(move |stream, number| {
        if number < 96 {
            write(stream, STREAM_HEAD);
            send_until_closed(stream);
            return true;
        }
        let event = encode_chunk(&text_event("platform", &"x".repeat(4000)));
        write(stream, STREAM_HEAD)
            && (0..events).all(|_| write(stream, &event))
            && write(stream, &(encode_chunk(&closing_events("platform")) + "0\r\n\r\n"))
    });
    // The streams with the fewest buffered bytes continue to read until each has part of an event: that many exceed the
    // budget.
    let limits = json!({"streams": {"budget": "64KiB", "window": "16KiB", "reader_span": "1m"}});
    let gateway = start_gateway("platform", &replica, limits);
    let paused_clients: Vec<TcpStream> = (0..96)
        .map(|n| {
            let mut stream = gateway.send("platform", "plain", 9000, n + 1);
            read_event(&mut stream);
            stream
        })
        .collect();
    closed.recv_timeout(TEST_TIMEOUT).expect("a paused client's stream ends");
    let (outcome, _) = gateway.exchange("platform", "plain", 9000, 999);
    let ClientOutcome::Served(text) = outcome else { panic!("{outcome:?}") };
    assert_eq!(text.len(), events * 4000);
    let cut_count = gateway.count_log_lines("cause=\"budget\"");
    assert!((1..96).contains(&cut_count), "{cut_count} streams ended");
    assert_eq!(gateway.count_log_lines("cause=\"budget\" side=\"Gateway\""), cut_count);
    drop(paused_clients);
}

#[test]
fn a_stop_ends_idle_streams_in_time_and_exits_with_0() {
    let (replica, closed) = start_scripted_replica(|stream, number| {
        write(stream, &(STREAM_HEAD.to_owned() + &encode_chunk(&text_event("platform", "Hel"))));
        if number == 0 {
            send_until_closed(stream);
        }
        true
    });
    // Neither the silent replica nor the paused client would end its stream in time.
    let limits = json!({"streams": {"silence": "10m", "reader_span": "10m", "stop_within": "1s"}});
    let mut gateway = start_gateway("platform", &replica, limits);
    let clients: Vec<TcpStream> = (0..2)
        .map(|n| {
            let mut client = gateway.send("platform", "plain", 9000, n + 1);
            read_event(&mut client);
            client
        })
        .collect();
    let start = Instant::now();
    assert_eq!(gateway.stop(), Some(0));
    assert!(start.elapsed() < TEST_TIMEOUT);
    for _ in 0..2 {
        closed.recv_timeout(TEST_TIMEOUT).expect("the replica's connection is closed");
    }
    // One log line each, and one of the statistics of both.
    wait_for_log_lines(&gateway, "shutdown", 2 + 1);
    drop(clients);
}

#[test]
fn a_disconnect_and_a_stall_close_the_attempt_at_once() {
    for dialect in ["platform", "messages"] {
        // Two replicas, and copies in addition to the first attempt: the settings of the example.
        let ((one, one_closed), (two, two_closed)) =
            (start_stalling_replica(dialect, 5), start_stalling_replica(dialect, 5));
        let entries = vec![replica_entry(0, &one, "ready", 0), replica_entry(1, &two, "ready", 0)];
        let limits = json!({"copies": true, "streams": {"silence": "1s"}});
        let gateway = Gateway::attach(Gateway::spawn("n0", dialect, entries, 5, (1024, 1024), limits));
        // Exactly one of the two replicas reports a close.
        let closed = || {
            let (one, two) =
                (one_closed.recv_timeout(MAX_ABANDONED_WORK), two_closed.recv_timeout(MAX_ABANDONED_WORK));
            assert!(one.is_ok() != two.is_ok(), "one close: {one:?}, {two:?}");
            one.or(two).expect("a close")
        };
        for client in ["platform", "messages"] {
            let mut stream = gateway.send(client, "plain", 9000, 1);
            for _ in 0..5 {
                read_event(&mut stream);
            }
            let disconnected_at = Instant::now();
            drop(stream);
            let delay = closed().saturating_duration_since(disconnected_at);
            assert!(
                delay < MAX_ABANDONED_WORK,
                "{dialect} to {client}: the replica continued for {delay:?} after the disconnect"
            );
            // The stall: the replica's connection is closed before the client notices the end, or shortly after, as the
            // stand-in reports it from its own thread.
            let (outcome, _) = gateway.exchange(client, "plain", 9000, 2);
            let ended_at = Instant::now();
            assert_eq!(outcome, ClientOutcome::Truncated("Hel".repeat(5)), "{dialect} to {client}");
            let delay = closed().saturating_duration_since(ended_at);
            assert!(
                delay < MAX_ABANDONED_WORK,
                "{dialect} to {client}: the replica continued for {delay:?} after the stall"
            );
        }
        // Disconnects of clients are logged only at the debug level.
        wait_for_log_lines(&gateway, "stalled", 2);
    }
}
