//! Streams in trouble, against the program itself on loopback: replicas that stall, break and flood, readers
//! that pause, trickle and leave, and stops amid all that.

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

fn say(stream: &mut TcpStream, bytes: &str) -> bool {
    stream.write_all(bytes.as_bytes()).is_ok()
}

/// Writes events of 4 KiB until nobody takes them any more.
fn flood(stream: &mut TcpStream) {
    let event = encode_chunk(&text_event("platform", &"x".repeat(4000)));
    while say(stream, &event) {}
}

fn gateway(dialect: &str, server: &StandInReplica, more: Value) -> Gateway {
    let (mut child, discovery) =
        Gateway::spawn("n0", dialect, vec![replica_entry(0, server, "ready", 0)], 1, (1024, 1024), more);
    let log = BufReader::new(child.stderr.take().expect("piped"));
    Gateway::attach_with_log(child, discovery, log.lines().map_while(Result::ok))
}

fn ended_by(gateway: &Gateway, cause: &str, times: usize) {
    let word = format!("cause=\"{cause}\"");
    wait_until(|| gateway.count_log_lines(&word) >= times);
    assert_eq!(gateway.count_log_lines(&word), times, "each stream has one record");
}

#[test]
fn a_stall_is_cut_off_wherever_it_comes_and_the_servers_connection_closed() {
    let whole = || encode_chunk(&text_event("platform", "Hel"));
    // Just before the last token; amid an event; amid a chunk; between the last event and the last chunk.
    let stalls: [(&str, String); 4] = [
        ("between events", whole()),
        ("amid an event", whole() + &encode_chunk("data: {\"choi")),
        ("amid a chunk", whole() + "20\r\ndata: {"),
        ("before the last chunk", whole() + &encode_chunk(&closing_events("platform"))),
    ];
    for (place, answer) in stalls {
        let (server, closed) =
            start_scripted_replica(move |stream, _| say(stream, &(STREAM_HEAD.to_owned() + &answer)));
        let limits = json!({"streams": {"silence": "700ms", "stall": "300ms", "tail": "300ms"}});
        for client in ["platform", "messages"] {
            let gateway = gateway("platform", &server, limits.clone());
            let (seen, stream) = gateway.exchange(client, "plain", 9000, 1);
            assert_eq!(seen, ClientOutcome::Truncated("Hel".into()), "{place}");
            if client == "messages" {
                assert!(stream.contains("event: error\n") && stream.contains("timeout_error"), "{stream}");
            }
            closed.recv_timeout(TEST_TIMEOUT).expect("the server's connection closes");
            ended_by(&gateway, "stalled", 1);
            assert_eq!(gateway.count_log_lines("side=\"Replica\""), 1);
        }
    }
    // With the head there and no event at all nothing has begun: it may be tried elsewhere.
    let (server, closed) = start_scripted_replica(|stream, _| say(stream, STREAM_HEAD));
    let gateway = gateway("platform", &server, json!({"streams": {"opening": "300ms"}}));
    assert_eq!(gateway.exchange("platform", "plain", 9000, 1).0, ClientOutcome::Shed);
    closed.recv_timeout(TEST_TIMEOUT).expect("the server's connection closes");
}

#[test]
fn sixty_readers_pause_four_seconds_on_a_fast_stream_and_get_every_byte_in_32_mb() {
    let events = 256;
    let (server, _closed) = start_scripted_replica(move |stream, _| {
        let event = encode_chunk(&text_event("platform", &"x".repeat(4000)));
        say(stream, STREAM_HEAD)
            && (0..events).all(|_| say(stream, &event))
            && say(stream, &(encode_chunk(&closing_events("platform")) + "0\r\n\r\n"))
    });
    let gateway = gateway("platform", &server, json!({"memory_mb": 32}));
    let readers: Vec<TcpStream> = (0..60).map(|n| gateway.send("platform", "plain", 9000, n + 1)).collect();
    thread::sleep(Duration::from_secs(4));
    let texts: Vec<_> = readers
        .into_iter()
        .map(|stream| thread::spawn(move || read_outcome("platform", stream).0))
        .map(|reader| reader.join().expect("a reader"))
        .collect();
    for seen in texts {
        let ClientOutcome::Served(words) = seen else { panic!("not served whole") };
        assert_eq!(words.len(), events * 4000);
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).expect("it runs");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak < 32 << 10, "{peak} KiB");
}

#[test]
fn a_reader_that_never_returns_and_one_that_trickles_are_cut_and_the_servers_work_stops() {
    let (server, closed) = start_scripted_replica(|stream, _| {
        say(stream, STREAM_HEAD);
        flood(stream);
        true
    });
    let limits = json!({"streams": {"reader_span": "1s", "reader_floor": "256KiB"}});
    let gateway = gateway("platform", &server, limits);
    let mut still = gateway.send("platform", "plain", 9000, 1);
    read_event(&mut still);
    let mut trickler = gateway.send("platform", "plain", 9000, 2);
    read_event(&mut trickler);
    let (over, trickling) = channel::<()>();
    let trickle = thread::spawn(move || {
        let mut bytes = [0; 16];
        // What the system has for it lasts far longer than the cut takes.
        while trickling
            .recv_timeout(Duration::from_millis(50))
            .is_err_and(|e| e == RecvTimeoutError::Timeout)
        {
            let _ = trickler.read(&mut bytes);
        }
    });
    for _ in 0..2 {
        closed.recv_timeout(TEST_TIMEOUT).expect("the server's connection closes");
    }
    ended_by(&gateway, "reader-slow", 2);
    assert_eq!(gateway.count_log_lines("side=\"Client\""), 2);
    drop((still, over));
    trickle.join().expect("a trickler");
}

#[test]
fn a_leaver_stops_the_work_by_close_reset_and_half_close_of_a_silent_and_of_a_flooding_server() {
    for floods in [false, true] {
        let (server, closed) = start_scripted_replica(move |stream, _| {
            say(stream, &(STREAM_HEAD.to_owned() + &encode_chunk(&text_event("platform", "Hel"))));
            if floods {
                flood(stream);
            }
            true
        });
        let more = json!({"streams": {"silence": "1m"}});
        let mut gateway = gateway("platform", &server, more);
        let leave: [fn(TcpStream) -> Option<TcpStream>; 3] = [
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
        for (n, leave) in leave.into_iter().enumerate() {
            let mut client = gateway.send("platform", "plain", 9000, n + 1);
            read_event(&mut client);
            let half = leave(client);
            closed.recv_timeout(TEST_TIMEOUT).expect("the server's connection closes");
            drop(half);
        }
        assert_eq!(gateway.stop(), Some(0));
        wait_until(|| gateway.count_log_lines("stream-figures") > 0);
        let log = gateway.log.lock().expect("whole");
        let figures = log.iter().find(|l| l.contains("stream-figures")).expect("figures");
        assert!(figures.contains("cause=\"client-left\"") && figures.contains("count=\"3\""), "{figures}");
    }
}

#[test]
fn a_break_amid_an_event_passes_on_what_was_complete_and_nothing_else() {
    let first = text_event("platform", "Hel");
    let second = text_event("platform", "lo");
    let places = second.len();
    let script = {
        let (first, second) = (first.clone(), second.clone());
        move |stream: &mut TcpStream, number: usize| {
            // As one chunk that was cut by the event's end, so that only the event is broken.
            let part = &second[..number % places];
            let part = if part.is_empty() { String::new() } else { encode_chunk(part) };
            say(stream, &(STREAM_HEAD.to_owned() + &encode_chunk(&first) + &part));
            let _ = stream.shutdown(Shutdown::Both);
            false
        }
    };
    let (server, _closed) = start_scripted_replica(script);
    // So many breaks in a row are a replica's end; each gateway sees a few of them.
    let mut number = 0;
    while number < places {
        let gateway = gateway("platform", &server, json!({}));
        for n in 0..2.min(places - number) {
            let (seen, stream) = gateway.exchange("platform", "plain", 9000, n + 1);
            assert_eq!(
                (seen, stream.as_str()),
                (ClientOutcome::Truncated("Hel".into()), first.as_str()),
                "at {number}"
            );
            number += 1;
        }
    }
}

#[test]
fn a_stop_a_drain_and_a_stall_at_once_end_every_stream_with_a_record_and_the_program_well() {
    let (server, _closed) = start_scripted_replica(|stream, number| {
        say(stream, &(STREAM_HEAD.to_owned() + &encode_chunk(&text_event("platform", "Hel"))));
        match number {
            // Stalls.
            0 => true,
            // Ends a little later, though its server drains and the program stops.
            1 => {
                thread::sleep(Duration::from_millis(900));
                say(stream, &(encode_chunk(&closing_events("platform")) + "0\r\n\r\n"))
            }
            // Goes on for longer than the stop waits.
            _ => {
                while say(stream, &encode_chunk(&text_event("platform", "l"))) {
                    thread::sleep(Duration::from_millis(50));
                }
                true
            }
        }
    });
    let limits = json!({"streams": {"silence": "1s", "stop_within": "2s"}});
    let mut gateway = gateway("platform", &server, limits);
    let mut clients = Vec::new();
    for n in 0..3 {
        let mut client = gateway.send("platform", "plain", 9000, n + 1);
        read_event(&mut client);
        clients.push(client);
    }
    let drain = replica_list(3, false, vec![replica_entry(0, &server, "draining", 0)]);
    gateway.discovery.send(drain).expect("open");
    wait_until(|| gateway.count_log_lines("list-change") == 1);
    assert_eq!(gateway.stop(), Some(0));
    ended_by(&gateway, "stalled", 1 + 1);
    ended_by(&gateway, "shutdown", 1 + 1);
    // Each cause has its figures besides, the complete one these alone.
    ended_by(&gateway, "complete", 1);
    let ends = clients.into_iter().map(|mut client| {
        let mut rest = String::new();
        // A reset is an end too.
        let _ = client.read_to_string(&mut rest);
        rest.ends_with("0\r\n\r\n")
    });
    assert_eq!(ends.collect::<Vec<_>>(), [false, true, false]);
}

#[test]
fn the_demo_answers_the_calls_of_the_readme() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tulipridge"))
        .args(["demo", "--port", "0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    // Kept to the end: the program goes on to print, and would end where nobody reads.
    let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines().map_while(Result::ok);
    let addrs: Vec<SocketAddr> = lines
        .by_ref()
        .filter(|l| l.starts_with("curl -N "))
        .map(|l| l["curl -N ".len()..].split('/').next().expect("an address").parse().expect("an address"))
        .take(2)
        .collect();
    let readme = include_str!("../README.md").replace("\\\n", " ");
    let calls: Vec<&str> = readme.lines().filter(|l| l.starts_with("curl -N ")).collect();
    assert_eq!(calls.len(), 2, "one for each front");
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
        let mut answer = String::new();
        // The demo listens a moment after it has printed.
        wait_until(|| {
            answer.clear();
            let Ok(mut stream) = TcpStream::connect(addr) else { return false };
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
            stream.write_all(request.as_bytes()).expect("sent");
            stream.read_to_string(&mut answer).is_ok() && !answer.starts_with("HTTP/1.1 503")
        });
        assert!(answer.starts_with("HTTP/1.1 200"), "{call}: {answer}");
        assert!(answer.contains("heard: ") && answer.contains("gate?"), "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    }
    // Ctrl-C ends it.
    send_signal(&child, "-INT");
    assert_eq!(child.wait().expect("it ends").code(), Some(0));
}

#[test]
fn a_settings_file_is_checked_and_its_faults_are_named() {
    let check = |text: &str| {
        let path = format!("{}/check-{}.hcl", env!("CARGO_TARGET_TMPDIR"), text.len());
        std::fs::write(&path, text).expect("written");
        let out = Command::new(env!("CARGO_BIN_EXE_tulipridge"))
            .args(["check", &path])
            .env_remove("EDGE_CONFIG")
            .output()
            .expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    assert!(check("streams {\n  window = \"64KiB\"\n  silence = \"2s\"\n}\n").0);
    for (text, faults) in [
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
        let (good, said) = check(text);
        assert!(!good && faults.iter().all(|f| said.contains(f)), "{text}: {said}");
    }
}

#[test]
fn a_key_is_made_with_the_line_that_the_settings_hold_of_it() {
    let make = |args: &[&str], read: &str| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_tulipridge"))
            .arg("key")
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        // It may have ended without reading.
        let _ = child.stdin.take().expect("piped").write_all(read.as_bytes());
        let out = child.wait_with_output().expect("it ends");
        (out.status.success(), String::from_utf8(out.stdout).expect("UTF-8"))
    };
    let (good, told) = make(&["map-office", "--tenant", "office"], "");
    assert!(good);
    let key = told.lines().find_map(|l| l.strip_prefix("# the client's: ")).expect("the key");
    let line = told.lines().last().expect("the line");
    assert!(key.len() >= 40 && !line.contains(key), "{told}");
    let settings = format!("messages {{\n  keys = {{ {line} }}\n}}\n");
    let settings = tulipridge::settings::Settings::parse("made", &settings).expect("it fits in");
    let held = &settings.messages.keys["map-office"];
    assert_eq!(held.sha256, tulipridge::api_keys::digits_of(key));
    assert_eq!(held.tenant.as_deref(), Some("office"));
    assert_ne!(make(&["map-office"], "").1, told, "another one each time");

    let (good, told) = make(&["old", "--read"], "a-key-that-is-there-already\n");
    let digits = tulipridge::api_keys::digits_of("a-key-that-is-there-already");
    assert!(good && told.contains(&digits) && !told.contains("a-key-that-is-there"), "{told}");
    assert!(!make(&["old", "--read"], "short\n").0);
}

#[test]
fn a_server_that_spoils_its_streams_rests_for_a_while_and_comes_back() {
    let good: Vec<StandInReplica> =
        (0..4).map(|_| start_replica("platform", ReplicaBehavior::Serve)).collect();
    // Every second stream breaks, which is no run of failures.
    let (bad, _closed) = start_scripted_replica(|stream, number| {
        let hello = STREAM_HEAD.to_owned() + &encode_chunk(&text_event("platform", "Hel"));
        if number % 2 == 1 {
            say(stream, &hello);
            let _ = stream.shutdown(Shutdown::Both);
            return false;
        }
        say(stream, &(hello + &encode_chunk(&closing_events("platform")) + "0\r\n\r\n"))
    });
    let mut entries: Vec<Value> =
        good.iter().enumerate().map(|(n, s)| replica_entry(n, s, "ready", 0)).collect();
    entries.push(replica_entry(9, &bad, "ready", 0));
    let more = json!({"rest": {"first": "2s", "longest": "2s"}});
    let gateway = Gateway::attach(Gateway::spawn("n0", "platform", entries, 1, (1024, 1024), more));
    let mut session = 0;
    let mut ask = |times: usize| {
        let ask_one = |_| {
            session += 1;
            gateway.exchange("platform", "plain", 9000, session).0
        };
        (0..times).map(ask_one).filter(|seen| matches!(seen, ClientOutcome::Truncated(_))).count()
    };
    wait_until(|| {
        ask(10);
        gateway.count_log_lines(" replica-ejected ") > 0
    });
    assert!(
        gateway
            .log
            .lock()
            .expect("whole")
            .iter()
            .any(|l| l.contains("replica-ejected") && l.contains("s-9"))
    );
    // While it rests nothing goes there, so nothing breaks.
    let broken = ask(30);
    if gateway.count_log_lines(" replica-readmitted ") == 0 {
        assert_eq!(broken, 0);
    }
    wait_until(|| gateway.count_log_lines(" replica-readmitted ") > 0);
}

#[test]
fn of_two_copies_the_one_that_stalls_neither_reaches_the_client_nor_ends_its_stream() {
    let good = start_replica("platform", ReplicaBehavior::Serve);
    // Holds its requests without a word, until it is left.
    let held = Arc::new(AtomicUsize::new(0));
    let holds = held.clone();
    let (silent, closed) =
        start_scripted_replica(move |_, _| holds.fetch_add(1, Ordering::SeqCst) < usize::MAX);
    let entries = vec![replica_entry(0, &good, "ready", 0), replica_entry(1, &silent, "ready", 0)];
    let more = json!({"copies": true, "streams": {"silence": "1m"}});
    let gateway = Gateway::attach(Gateway::spawn("n0", "platform", entries, 3, (1024, 1024), more));
    let asked = 24;
    let readers: Vec<_> = (1..=asked)
        .map(|n| {
            let stream = gateway.send("platform", "plain", 9000, n);
            thread::spawn(move || read_outcome("platform", stream).0)
        })
        .collect();
    let seen: Vec<ClientOutcome> = readers.into_iter().map(|r| r.join().expect("a reader")).collect();
    let served = seen.iter().filter(|s| **s == ClientOutcome::Served("Hello".into())).count();
    assert!(seen.iter().all(|s| !matches!(s, ClientOutcome::Truncated(_))), "{seen:?}");
    // Some that the silent one held were served by a copy, and its connection closed with the request.
    assert_eq!(good.requests.load(Ordering::SeqCst), served);
    assert!(served + held.load(Ordering::SeqCst) > asked, "no copy was sent at all");
    closed.recv_timeout(TEST_TIMEOUT).expect("the copy's connection closes");
}

#[test]
fn where_memory_is_short_the_paused_are_cut_and_who_reads_is_served() {
    let events = 512;
    let (server, closed) = start_scripted_replica(move |stream, number| {
        if number < 96 {
            say(stream, STREAM_HEAD);
            flood(stream);
            return true;
        }
        let event = encode_chunk(&text_event("platform", &"x".repeat(4000)));
        say(stream, STREAM_HEAD)
            && (0..events).all(|_| say(stream, &event))
            && say(stream, &(encode_chunk(&closing_events("platform")) + "0\r\n\r\n"))
    });
    // Streams that hold least go on reading until each has a part of an event in line: that many do not fit.
    let limits = json!({"streams": {"budget": "64KiB", "window": "16KiB", "reader_span": "1m"}});
    let gateway = gateway("platform", &server, limits);
    let paused: Vec<TcpStream> = (0..96)
        .map(|n| {
            let mut stream = gateway.send("platform", "plain", 9000, n + 1);
            read_event(&mut stream);
            stream
        })
        .collect();
    closed.recv_timeout(TEST_TIMEOUT).expect("one of the paused is cut");
    let (seen, _) = gateway.exchange("platform", "plain", 9000, 999);
    let ClientOutcome::Served(words) = seen else { panic!("{seen:?}") };
    assert_eq!(words.len(), events * 4000);
    let cut = gateway.count_log_lines("cause=\"budget\"");
    assert!((1..96).contains(&cut), "{cut} were cut");
    assert_eq!(gateway.count_log_lines("cause=\"budget\" side=\"Gateway\""), cut);
    drop(paused);
}

#[test]
fn a_stop_cuts_what_stands_still_in_time_and_the_program_ends_well() {
    let (server, closed) = start_scripted_replica(|stream, number| {
        say(stream, &(STREAM_HEAD.to_owned() + &encode_chunk(&text_event("platform", "Hel"))));
        if number == 0 {
            flood(stream);
        }
        true
    });
    // Neither the silent server nor the reader that pauses would end its stream in time.
    let limits = json!({"streams": {"silence": "10m", "reader_span": "10m", "stop_within": "1s"}});
    let mut gateway = gateway("platform", &server, limits);
    let clients: Vec<TcpStream> = (0..2)
        .map(|n| {
            let mut client = gateway.send("platform", "plain", 9000, n + 1);
            read_event(&mut client);
            client
        })
        .collect();
    let from = Instant::now();
    assert_eq!(gateway.stop(), Some(0));
    assert!(from.elapsed() < TEST_TIMEOUT);
    for _ in 0..2 {
        closed.recv_timeout(TEST_TIMEOUT).expect("the server's connection closes");
    }
    // One record each, and the figures of both.
    ended_by(&gateway, "shutdown", 2 + 1);
    drop(clients);
}

#[test]
fn a_leaver_and_a_stall_free_the_real_server_at_once_on_both_fronts_and_dialects_with_copies() {
    for dialect in ["platform", "messages"] {
        // Two servers, and copies beside the first one: the settings of the example.
        let ((one, one_closed), (two, two_closed)) =
            (start_stalling_replica(dialect, 5), start_stalling_replica(dialect, 5));
        let entries = vec![replica_entry(0, &one, "ready", 0), replica_entry(1, &two, "ready", 0)];
        let limits = json!({"copies": true, "streams": {"silence": "1s"}});
        let gateway = Gateway::attach(Gateway::spawn("n0", dialect, entries, 5, (1024, 1024), limits));
        // Whichever of the two had it tells of its close, and the other of none.
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
            let left = Instant::now();
            drop(stream);
            let after = closed().saturating_duration_since(left);
            assert!(
                after < MAX_ABANDONED_WORK,
                "{dialect} to {client}: the leaver's work went on for {after:?}"
            );
            // The stall: the server's connection is closed before the client hears of the end, or so soon after
            // it as the stand-in's thread comes to telling.
            let (seen, _) = gateway.exchange(client, "plain", 9000, 2);
            let heard = Instant::now();
            assert_eq!(seen, ClientOutcome::Truncated("Hel".repeat(5)), "{dialect} to {client}");
            let after = closed().saturating_duration_since(heard);
            assert!(
                after < MAX_ABANDONED_WORK,
                "{dialect} to {client}: the stalled server worked on for {after:?}"
            );
        }
        // Leavers are told of at the debug level only.
        ended_by(&gateway, "stalled", 2);
    }
}
