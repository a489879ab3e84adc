//! A request whose client has closed, reset or half-closed its connection must not be sent to a replica any
//! more. The tests compare when the last byte of a request reached a replica with when its client left.

mod support;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

use quickcheck::{Gen, QuickCheck};
use serde_json::json;
use socket2::SockRef;
use support::departures::*;
use support::*;
use tulipridge::admission::pipelined::{Disposition, PipelinedInput, PipelinedLimits};

/// Larger than a connection's buffers, and below the limit of a request's size.
const LARGE_PADDING: usize = 200 << 10;
const STAYING_ID: u64 = 0xabc;
/// Ids of the requests of which some are hedged.
const HEDGED_IDS: Range<u64> = 0x400..0x43c;

#[test]
fn a_departed_client_is_not_retried_when_a_replica_is_listed() {
    for refused in [false, true] {
        // The first attempt is rejected, or finds no connection; then the request waits for its first
        // replica.
        let arrivals = Arrivals::default();
        let (taken, nobody) = connect_faults::bound_socket();
        let first =
            if refused { nobody } else { arrivals.spawn_replica(|stream, _, _| write(stream, FULL)) };
        let gateway = gateway(&[first], json!({}));
        let mut clients = Clients::new(&gateway, |front, id| request_bytes(front, "plain", id, 0));
        let staying_clients = DIALECTS
            .map(|front| staying_client(&gateway, front, STAYING_ID + u64::from(front == "messages")));
        thread::sleep(ms(200));
        clients.leave();
        thread::sleep(3 * MAX_SEND_DELAY);
        let good = arrivals.spawn_replica(|stream, _, _| write(stream, &complete_response()));
        gateway
            .discovery
            .send(replica_list(3, false, vec![replica_entry_at(1, good, "ready", 0)]))
            .expect("open");
        for staying in staying_clients {
            assert_eq!(staying.join().expect("a response"), ClientOutcome::Served("a".into()));
        }
        thread::sleep(3 * MAX_SEND_DELAY);
        arrivals.check("waiting for a replica", &clients.departed, 1);
        drop(taken);
    }
}

#[test]
fn a_departed_client_is_not_retried_after_a_failed_attempt() {
    // A gateway that was stopped sees the failure and the departure together.
    for stopped in [false, true] {
        for failure in [ERROR, FULL, ""] {
            let arrivals = Arrivals::default();
            let replica = || {
                arrivals.spawn_replica(move |stream, _, _| {
                    thread::sleep(ms(600));
                    if failure.is_empty() { None } else { write(stream, failure) }
                })
            };
            let gateway = gateway(&[replica(), replica(), replica()], json!({}));
            let mut clients = Clients::new(&gateway, |front, id| request_bytes(front, "plain", id, 0));
            let staying = staying_client(&gateway, "platform", STAYING_ID);
            thread::sleep(ms(200));
            let guard = stopped.then(|| Stopped::new(&gateway));
            clients.leave();
            thread::sleep(ms(600));
            drop(guard);
            assert_ne!(staying.join().expect("a response"), ClientOutcome::Served("a".into()));
            thread::sleep(3 * MAX_SEND_DELAY);
            assert!(arrivals.times(STAYING_ID).len() > 1, "the request of a client that stays is retried");
            arrivals.check(&format!("after '{failure:.12}', stopped: {stopped}"), &clients.departed, 1);
            assert!(
                clients.departed.at.keys().all(|id| arrivals.times(*id).len() == 1),
                "each request was sent once"
            );
        }
    }
}

#[test]
fn a_departure_while_connecting_prevents_the_send() {
    // With and without a gateway that is stopped meanwhile.
    for stopped in [false, true] {
        let (arrivals, late) = (Arrivals::default(), connect_faults::FullBacklogListener::new());
        let gateway = gateway(&[late.addr], json!({"connect_timeout_ms": 2500}));
        let mut clients = Clients::new(&gateway, |front, id| request_bytes(front, "plain", id, 0));
        let staying = staying_client(&gateway, "platform", STAYING_ID);
        thread::sleep(ms(300));
        let guard = stopped.then(|| Stopped::new(&gateway));
        clients.leave();
        arrivals.serve_on(
            late.accept_connections(),
            Arc::new(|stream: &mut TcpStream, _, _| write(stream, &complete_response())),
        );
        // By now its connections are established, unless they were abandoned.
        thread::sleep(ms(1200));
        drop(guard);
        assert_eq!(staying.join().expect("a response"), ClientOutcome::Served("a".into()));
        thread::sleep(3 * MAX_SEND_DELAY);
        arrivals.check(&format!("connecting, stopped: {stopped}"), &clients.departed, 0);
    }
}

#[test]
fn a_departure_during_the_write_leaves_a_request_incomplete() {
    for stopped in [false, true] {
        // A size that fits into the system's send buffer of the gateway, and one that does not.
        for padding in [30 << 10, LARGE_PADDING] {
            let arrivals = Arrivals::default();
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let addr = listener.local_addr().expect("an address");
            SockRef::from(&listener).set_recv_buffer_size(4 << 10).expect("a socket");
            let gateway = gateway(&[addr], json!({}));
            let mut clients =
                Clients::new(&gateway, |front, id| request_bytes(front, "plain", id, padding));
            let staying = connect_and_send(
                gateway.front("platform"),
                &request_bytes("platform", "plain", STAYING_ID, padding),
            );
            thread::sleep(ms(300));
            let guard = stopped.then(|| Stopped::new(&gateway));
            clients.leave();
            thread::sleep(3 * MAX_SEND_DELAY);
            drop(guard);
            thread::sleep(3 * MAX_SEND_DELAY);
            arrivals.serve_on(
                listener,
                Arc::new(|stream: &mut TcpStream, _, _| write(stream, &complete_response())),
            );
            assert_eq!(read_outcome("platform", staying).0, ClientOutcome::Served("a".into()));
            thread::sleep(3 * MAX_SEND_DELAY);
            arrivals.check(
                &format!("{padding} bytes, partly written, stopped: {stopped}"),
                &clients.departed,
                0,
            );
        }
    }
}

#[test]
fn a_departure_discards_the_pipelined_request() {
    // The outcome of the first request; if its client were still there, the second one would be sent after
    // it.
    let all =
        [("complete", complete_response()), ("an error", ERROR.to_owned()), ("full", FULL.to_owned())]
            .map(|(what, response)| thread::spawn(move || check_pipelined_request(what, &response)));
    all.into_iter().for_each(|one| one.join().expect("the check passes"));
}

fn check_pipelined_request(what: &str, response: &str) {
    // Padding of the second request. A close is not visible behind more bytes than are kept.
    for padding in [0, 20 << 10, LARGE_PADDING] {
        for stopped in [false, true] {
            let (arrivals, response) = (Arrivals::default(), response.to_owned());
            let replica = || {
                let response = response.clone();
                arrivals.spawn_replica(move |stream, _, _| {
                    thread::sleep(ms(600));
                    write(stream, &response)
                })
            };
            let gateway = gateway(&[replica(), replica(), replica()], json!({}));
            let mut clients = Clients::new(&gateway, |front, id| {
                let second = request_bytes(front, "plain", id + PIPELINED_ID_OFFSET, padding);
                [request_bytes(front, "plain", id, 0), second].concat()
            });
            let first = clients.ids();
            thread::sleep(ms(200));
            let guard = stopped.then(|| Stopped::new(&gateway));
            clients.leave();
            thread::sleep(ms(600));
            drop(guard);
            thread::sleep(ms(1000));
            let what = format!("{what}, {padding} pipelined bytes, stopped: {stopped}");
            arrivals.check(&what, &clients.departed, 1);
            arrivals.check(&format!("{what}, pipelined request"), &clients.departed.pipelined(), 0);
            assert!(
                first.iter().all(|id| arrivals.times(*id).len() == 1),
                "{what}: not all first requests were sent"
            );
        }
    }
}

#[test]
fn a_departure_behind_more_input_than_is_kept_is_noticed() {
    let arrivals = Arrivals::default();
    let replica = || {
        arrivals.spawn_replica(|stream, _, _| {
            thread::sleep(ms(700));
            write(stream, ERROR)
        })
    };
    let gateway = gateway(&[replica(), replica(), replica()], json!({}));
    let mut clients = Clients::new(&gateway, |front, id| request_bytes(front, "plain", id, 0));
    // Each client sends as much as the socket buffers take: requests, or bytes that are not HTTP.
    for (n, (id, _, stream)) in clients.connected.iter_mut().enumerate() {
        let more = match n % 2 {
            0 => {
                request_bytes(DIALECTS[n / 3], "plain", *id + PIPELINED_ID_OFFSET, LARGE_PADDING).repeat(30)
            }
            _ => vec![b'x'; 6 << 20],
        };
        stream.set_nonblocking(true).expect("a socket");
        let (from, mut done) = (Instant::now(), 0);
        while from.elapsed() < ms(40) && done < more.len() {
            match stream.write(&more[done..]) {
                Ok(count) => done += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(ms(1)),
                Err(_) => break,
            }
        }
    }
    clients.leave();
    thread::sleep(ms(2500));
    arrivals.check("much pipelined input", &clients.departed, 1);
    arrivals.check("much pipelined input, pipelined request", &clients.departed.pipelined(), 0);
}

#[test]
fn pipelined_requests_of_any_size_are_served() {
    let arrivals = Arrivals::default();
    let replica = arrivals.spawn_replica(|stream, _, _| {
        thread::sleep(ms(300));
        write(stream, &complete_response())
    });
    let gateway = gateway(&[replica], json!({}));
    for front in DIALECTS {
        for (n, padding) in [0, 20 << 10, LARGE_PADDING].into_iter().enumerate() {
            let id = 0x10 * (n as u64 + 1) + u64::from(front == "messages");
            let mut stream = connect(gateway.front(front));
            let mut writer = stream.try_clone().expect("a clone");
            let second = request_bytes(front, "plain", id + PIPELINED_ID_OFFSET, padding);
            let both = [request_bytes(front, "plain", id, 0), second].concat();
            let writing = thread::spawn(move || writer.write_all(&both));
            let mut got = Vec::new();
            while got.windows(7).filter(|w| w == b"\r\n0\r\n\r\n").count() < 2 {
                let mut piece = [0; 4096];
                let count = stream.read(&mut piece).expect("a response");
                assert!(count > 0, "{front}, {padding}: {}", String::from_utf8_lossy(&got));
                got.extend_from_slice(&piece[..count]);
            }
            writing.join().expect("a thread").expect("all is written");
            assert_eq!(
                (arrivals.times(id).len(), arrivals.times(id + PIPELINED_ID_OFFSET).len()),
                (1, 1),
                "{front}, {padding}"
            );
        }
    }
}

#[test]
fn kept_requests_are_served_and_a_flood_gets_413() {
    let arrivals = Arrivals::default();
    // The replica sends no response to requests of flooding clients.
    let replica = arrivals.spawn_replica(|stream, _, id| {
        if id % 0x11 == 3 {
            return wait_for_close(stream);
        }
        thread::sleep(ms(400));
        write(stream, &complete_response())
    });
    let gateway = gateway(&[replica], json!({}));
    for (f, front) in DIALECTS.into_iter().enumerate() {
        // A second request is kept completely, and the third in part, after which the connection ends.
        let id = 0x11 * (f as u64 + 1);
        let three: Vec<u8> = (0..3)
            .flat_map(|n| request_bytes(front, "plain", id + n, LARGE_PADDING * n.min(1) as usize))
            .collect();
        let mut stream = connect_and_send(gateway.front(front), &three);
        let mut got = Vec::new();
        stream.read_to_end(&mut got).expect("an end without a reset");
        assert_eq!(
            got.windows(7).filter(|w| w == b"\r\n0\r\n\r\n").count(),
            2,
            "{front}: two complete responses"
        );
        assert_eq!([0, 1, 2].map(|n| arrivals.times(id + n).len()), [1, 1, 0], "{front}");
        // A client that floods gets an error for its open request, and its connection is closed.
        let mut stream = connect_and_send(gateway.front(front), &request_bytes(front, "plain", id + 3, 0));
        stream.write_all(&vec![b'x'; 6 << 20]).expect("no reset while it is sent");
        thread::sleep(ms(300));
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("an end without a reset");
        assert!(response.starts_with("HTTP/1.1 413 "), "{front}: {response}");
        assert_eq!(gateway.count_log_lines(" flooded "), f + 1);
    }
}

#[test]
fn many_departures_at_once_prevent_their_retries() {
    // The clients leave before a replica is listed; a gateway that was stopped sees both together.
    for stopped in [false, true] {
        let arrivals = Arrivals::default();
        let first = arrivals.spawn_replica(|stream, _, _| write(stream, FULL));
        let gateway = gateway(&[first], json!({}));
        let staying = staying_client(&gateway, "platform", STAYING_ID);
        let mut clients: Vec<_> = (0..300u64)
            .map(|n| {
                let front = DIALECTS[n as usize / 2 % 2];
                let stream =
                    connect_and_send(gateway.front(front), &request_bytes(front, "plain", 0x1000 + n, 0));
                (0x1000 + n, DEPARTURES[n as usize % 3], stream)
            })
            .collect();
        wait_until(|| arrivals.count() > 300);
        thread::sleep(MAX_SEND_DELAY);
        let guard = stopped.then(|| Stopped::new(&gateway));
        let mut departed = Departed::default();
        clients.drain(..).for_each(|(id, departure, stream)| departed.leave(id, departure, stream));
        thread::sleep(3 * MAX_SEND_DELAY);
        let good = arrivals.spawn_replica(|stream, _, _| write(stream, &complete_response()));
        gateway
            .discovery
            .send(replica_list(3, false, vec![replica_entry_at(1, good, "ready", 0)]))
            .expect("open");
        thread::sleep(ms(1000));
        drop(guard);
        assert_eq!(staying.join().expect("a response"), ClientOutcome::Served("a".into()));
        thread::sleep(3 * MAX_SEND_DELAY);
        arrivals.check(&format!("a burst, stopped: {stopped}"), &departed, 1);
    }
}

#[test]
fn an_unread_request_of_a_departed_client_is_not_sent() {
    let arrivals = Arrivals::default();
    let replica = arrivals.spawn_replica(|stream, _, _| write(stream, &complete_response()));
    let gateway = gateway(&[replica], json!({}));
    // An idle connection to the replica is available.
    assert_eq!(
        staying_client(&gateway, "platform", STAYING_ID).join().expect("a response"),
        ClientOutcome::Served("a".into())
    );
    let idle: Vec<_> = DIALECTS
        .map(|front| {
            let mut stream = connect(gateway.front(front));
            stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").expect("sent");
            let mut response = [0; 1024];
            assert!(stream.read(&mut response).expect("a response") > 0);
            (front, stream)
        })
        .into();
    let guard = Stopped::new(&gateway);
    let mut departed = Departed::default();
    for (n, (front, mut stream)) in idle.into_iter().enumerate() {
        let id = 0x900 + n as u64;
        stream.write_all(&request_bytes(front, "plain", id, 0)).expect("sent");
        departed.leave(id, DEPARTURES[n], stream);
    }
    for n in 0..60u64 {
        let (front, id) = (DIALECTS[n as usize % 2], 0x1000 + n);
        let padding = if n % 4 < 2 { 0 } else { 40 << 10 };
        departed.leave(
            id,
            DEPARTURES[n as usize % 3],
            connect_and_send(gateway.front(front), &request_bytes(front, "plain", id, padding)),
        );
    }
    thread::sleep(3 * MAX_SEND_DELAY);
    drop(guard);
    thread::sleep(3 * MAX_SEND_DELAY);
    arrivals.check("unread", &departed, 0);
    assert_eq!(
        staying_client(&gateway, "messages", STAYING_ID + 1).join().expect("a response"),
        ClientOutcome::Served("a".into())
    );
}

fn check_hedged_requests(stopped: bool) {
    // One of the replicas stops responding; the others respond.
    let (arrivals, outage) = (Arrivals::default(), Arc::new(Outage::new(HEDGED_IDS.count())));
    let replicas: Vec<_> = (0..6)
        .map(|n| {
            let outage = outage.clone();
            arrivals.spawn_replica(move |stream, _, id| {
                if HEDGED_IDS.contains(&id) && outage.affects(n, id) {
                    wait_for_close(stream)
                } else {
                    write(stream, &complete_response())
                }
            })
        })
        .collect();
    let gateway = gateway(&replicas, json!({"copies": true, "promise_ms": 1000}));
    let answered =
        |n: u64| staying_client(&gateway, DIALECTS[n as usize % 2], 0x2000 + n).join().expect("a response");
    assert!((0..16).all(|n| answered(n) == ClientOutcome::Served("a".into())));
    let mut clients: BTreeMap<u64, TcpStream> = BTreeMap::new();
    for id in HEDGED_IDS {
        let front = DIALECTS[id as usize % 2];
        let bytes = request_bytes(front, "plain", id, 0);
        clients.insert(id, connect_and_send(gateway.front(front), &bytes));
    }
    let from = Instant::now();
    // A hedged request is sent after 650 ms without a response, once the missing responses to the first
    // requests have shown that the replica is unresponsive.
    thread::sleep(ms(300));
    let unanswered = outage.unanswered();
    assert!(unanswered.len() >= 6, "{unanswered:x?}");
    let guard = stopped.then(|| Stopped::new(&gateway));
    let mut departed = Departed::default();
    for (n, id) in unanswered.iter().enumerate().skip(3).step_by(2) {
        departed.leave(*id, DEPARTURES[n / 2 % 3], clients.remove(id).expect("a client"));
    }
    thread::sleep(ms(800).saturating_sub(from.elapsed()));
    drop(guard);
    thread::sleep(ms(1300).saturating_sub(from.elapsed()));
    arrivals.check(&format!("before a hedged request, stopped: {stopped}"), &departed, 1);
    let hedged = unanswered.iter().filter(|id| arrivals.times(**id).len() > 1).count();
    println!("{} unanswered, {} departed, {hedged} hedged", unanswered.len(), departed.at.len());
    assert!(hedged > 0, "no request of a client that stayed was hedged");
}

#[test]
fn a_departure_prevents_the_hedged_request() {
    [false, true].into_iter().for_each(check_hedged_requests);
}

#[test]
fn a_departure_discards_requests_behind_a_resumed_stream() {
    let arrivals = Arrivals::default();
    let end = Arc::new(AtomicBool::new(false));
    let ended = end.clone();
    let replica = arrivals.spawn_replica(move |stream, _, _| {
        write(stream, &(STREAM_HEAD.to_owned() + &encode_chunk(&text_event("platform", "a"))))?;
        while !ended.load(Ordering::SeqCst) {
            thread::sleep(ms(10));
        }
        write(stream, &(encode_chunk(&closing_events("platform")) + "0\r\n\r\n"))
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let shared = format!("{}/{}-gone", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let start = || {
        let more = json!({"mgmt": "127.0.0.1:0", "handover": true, "shared": shared,
            "streams": {"stop_within": "1s", "silence": "1m"}});
        let inherited = OwnedFd::from(listener.try_clone().expect("a copy"));
        let platform = Platform {
            discovery: start_discovery(replica_list(2, true, entries(&[replica]))),
            inherited: Some(("4", inherited.into())),
        };
        let gateway = Gateway::attach(Gateway::spawn_on(
            "n0",
            "platform",
            entries(&[replica]),
            3,
            (1024, 1024),
            more,
            platform,
        ));
        // From then on it accepts and hands over streams.
        wait_until(|| call_status(gateway.mgmt.expect("it has a management port"), "GET /ready") == 200);
        gateway
    };
    let mut old = start();
    // The second request is short, or longer than what is handed over.
    let mut clients: Vec<_> = (0..6)
        .map(|n| {
            let (id, departure, padding) = (0x100 + n as u64, DEPARTURES[n % 3], LARGE_PADDING * (n / 3));
            let second = request_bytes("platform", "once", id + PIPELINED_ID_OFFSET, padding);
            let two = [request_bytes("platform", "once", id, 0), second].concat();
            let mut stream = connect_and_send(old.front("platform"), &two);
            read_event(&mut stream);
            (id, departure, stream)
        })
        .collect();
    let new = start();
    assert_eq!(old.stop(), Some(0));
    wait_until(|| new.count_log_lines(" handover ") > 0);
    let mut departed = Departed::default();
    clients.drain(..).for_each(|(id, departure, stream)| departed.leave(id, departure, stream));
    // The streams end only now; the pipelined requests would be next.
    thread::sleep(3 * MAX_SEND_DELAY);
    end.store(true, Ordering::SeqCst);
    thread::sleep(3 * MAX_SEND_DELAY);
    arrivals.check("handed over", &departed, 1);
    arrivals.check("handed over, pipelined request", &departed.pipelined(), 0);
    for id in 0x100..0x106 {
        assert_eq!(
            (arrivals.times(id).len(), arrivals.times(id + PIPELINED_ID_OFFSET).len()),
            (1, 0),
            "{id:x}"
        );
    }
}

/// Keeps a prefix of the received bytes without a gap and within the bounds. A flood is reported once more
/// bytes are dropped than a departed client can have left in the buffers, and not before.
fn keeps_a_prefix_within_bounds(came: Vec<(u8, bool)>, cut: bool) {
    let bounds = PipelinedLimits { guaranteed_bytes: 100, max_bytes: 400, max_dropped_bytes: 1000 };
    let mut pipelined = PipelinedInput::new(bounds, cut);
    let (mut kept, mut dropped, mut gap) = (0, 0, cut);
    for (bytes, room) in came {
        let bytes = usize::from(bytes);
        let fits = kept + bytes <= if room { 400 } else { 100 };
        let expected = match () {
            () if !gap && fits => Disposition::Keep,
            () if dropped + bytes > 1000 => Disposition::Flood,
            () => Disposition::Drop,
        };
        assert_eq!(
            pipelined.received(kept, bytes, room),
            expected,
            "{bytes} behind {kept}, {dropped} dropped"
        );
        match expected {
            Disposition::Keep => kept += bytes,
            _ => (dropped, gap) = (dropped + bytes, true),
        }
        assert_eq!((pipelined.is_truncated(), pipelined.is_flood()), (gap, dropped > 1000));
        assert!(kept <= 400);
    }
}

#[test]
fn pipelined_input_is_kept_without_a_gap_within_its_bounds() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(40, 45)).tests(400);
    check.quickcheck(keeps_a_prefix_within_bounds as fn(Vec<(u8, bool)>, bool));
}
