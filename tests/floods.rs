//! Replicas whose connections are established late, limits of retries, and floods of clients.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::*;

/// A replica to which no connection is established until it is opened.
struct LateReplica {
    replica: StandInReplica,
    listener: connect_faults::FullBacklogListener,
}

impl LateReplica {
    fn new() -> LateReplica {
        let listener = connect_faults::FullBacklogListener::new();
        let (requests, bodies) = Default::default();
        LateReplica {
            replica: StandInReplica { addr: listener.addr, requests, bodies, connection_ends: channel().1 },
            listener,
        }
    }

    /// Accepts connections once this time has elapsed. Returns a function that counts the requests.
    fn open(self, after: Duration) -> impl Fn() -> usize {
        let requests = self.replica.requests.clone();
        thread::spawn(move || {
            thread::sleep(after);
            for stream in self.listener.accept_connections().incoming().flatten() {
                let requests = self.replica.requests.clone();
                thread::spawn(move || {
                    serve_connection(
                        stream,
                        "platform",
                        ReplicaBehavior::Serve,
                        &requests,
                        &Mutex::default(),
                        &channel().0,
                    )
                });
            }
        });
        move || requests.load(Ordering::SeqCst)
    }
}

/// Sends `session_count` requests concurrently, one for each session, in the class `once` (must not run twice); asserts
/// that all are served. Returns each session and its response time.
fn exchange_in_parallel(front: SocketAddr, session_count: usize) -> Vec<(usize, Duration)> {
    let exchange = |session| {
        thread::spawn(move || {
            let start = Instant::now();
            let stream = send(front, "platform", "once", 9000, session);
            assert_eq!(
                read_outcome("platform", stream).0,
                ClientOutcome::Served("Hello".into()),
                "{session}"
            );
            (session, start.elapsed())
        })
    };
    let clients: Vec<_> = (0..session_count).map(exchange).collect();
    clients.into_iter().map(|client| client.join().expect("a served client")).collect()
}

fn start_gateway(replicas: Vec<Value>, attempts: u32, extra_settings: Value) -> Gateway {
    Gateway::start_with_list(replicas, attempts, (1024, 1024), extra_settings)
}

#[test]
fn a_slow_connect_delays_only_its_requests_and_is_no_failure() {
    let (late, quick) = (LateReplica::new(), start_replica("platform", ReplicaBehavior::Serve));
    let replicas = vec![replica_entry(0, &late.replica, "ready", 0), replica_entry(1, &quick, "ready", 0)];
    // The connect timeout is 4 s; the connections take 2 to 3 s.
    let gateway = start_gateway(replicas, 1, json!({"connect_timeout_ms": 4000}));
    let late_request_count = late.open(ms(1500));
    let waits = exchange_in_parallel(gateway.front("platform"), 40);
    let delayed: Vec<_> =
        waits.iter().filter(|(_, wait)| *wait > ms(900)).map(|(session, _)| *session).collect();
    assert_eq!(
        delayed.len(),
        late_request_count(),
        "only the requests to the late replica waited: {waits:?}"
    );
    assert!((1..40).contains(&delayed.len()), "a replica has no requests: {waits:?}");
    assert_eq!(gateway.count_log_lines("no-connection"), 0);
    // The late replica is used like any other now.
    let previous_count = late_request_count();
    for session in &delayed {
        let start = Instant::now();
        assert_eq!(
            gateway.exchange("platform", "once", 9000, 1000 + session).0,
            ClientOutcome::Served("Hello".into())
        );
        assert!(start.elapsed() < ms(1000));
    }
    let session = delayed[0];
    assert_eq!(
        gateway.exchange("platform", "once", 9000, session).0,
        ClientOutcome::Served("Hello".into())
    );
    assert!(late_request_count() > previous_count, "the sessions of the late replica return to it");
}

#[test]
fn a_connect_beyond_its_timeout_is_retried_elsewhere() {
    let (late, quick) = (LateReplica::new(), start_replica("platform", ReplicaBehavior::Serve));
    let replicas = vec![replica_entry(0, &late.replica, "ready", 0), replica_entry(1, &quick, "ready", 0)];
    let gateway = start_gateway(replicas, 3, json!({"connect_timeout_ms": 500}));
    let late_request_count = late.open(ms(1500));
    // Nothing was sent, so that even a request that must not run twice is sent to the other replica.
    for (_, wait) in exchange_in_parallel(gateway.front("platform"), 20) {
        assert!(wait < ms(2000), "{wait:?}");
    }
    assert_eq!(
        (late_request_count(), quick.requests.load(Ordering::SeqCst)),
        (0, 20),
        "each request is sent once"
    );
}

/// Sends a request that is retried on a replica whose connection is established a second later. Repeated requests with
/// the same key are discarded by the replicas for `key_ttl_ms`. Returns how often that replica received the request,
/// and the outcome for the client.
fn retry_on_late_replica(key_ttl_ms: u64, class: &str) -> (usize, ClientOutcome) {
    let (failing, _) = start_scripted_replica(|stream, _| {
        thread::sleep(ms(250));
        stream.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").is_ok()
    });
    let late = LateReplica::new();
    let gateway = start_gateway(
        vec![replica_entry(0, &failing, "ready", 0)],
        2,
        json!({"key_ttl_ms": key_ttl_ms, "connect_timeout_ms": 4000}),
    );
    let client = gateway.send("platform", class, 5000, 1);
    wait_until(|| failing.requests.load(Ordering::SeqCst) == 1);
    gateway
        .discovery
        .send(replica_list(3, false, vec![replica_entry(1, &late.replica, "ready", 0)]))
        .expect("send the list");
    let late_request_count = late.open(ms(700));
    let (outcome, _) = read_outcome("platform", client);
    // A request still in transit would arrive within this time.
    thread::sleep(ms(1500));
    assert_eq!(failing.requests.load(Ordering::SeqCst), 1, "no second attempt at the same replica");
    (late_request_count(), outcome)
}

#[test]
fn a_retry_connected_after_the_key_ttl_is_not_sent() {
    let (sent, outcome) = retry_on_late_replica(500, "keyed");
    assert_eq!(sent, 0, "a second attempt after the TTL of the key: {outcome:?}");
    assert!(matches!(outcome, ClientOutcome::Failed | ClientOutcome::Shed), "{outcome:?}");
    // Within the TTL of the key the retry is sent; a class that may be retried at any time has no TTL.
    assert_eq!(retry_on_late_replica(4000, "keyed"), (1, ClientOutcome::Served("Hello".into())));
    assert_eq!(retry_on_late_replica(500, "plain"), (1, ClientOutcome::Served("Hello".into())));
    assert_eq!(retry_on_late_replica(500, "once").0, 0);
}

/// Sends one request to a gateway with three replicas. Each replica sends `response` after `delay_ms`; if `response` is
/// empty, it closes the connection instead. Repeated requests with the same key are discarded for `key_ttl_ms`. Returns
/// the number of attempts, and the time between the first and the last.
fn count_attempts(
    class: &str,
    key_ttl_ms: u64,
    delay_ms: u64,
    response: &'static str,
) -> (usize, Duration) {
    let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let replicas: Vec<StandInReplica> = (0..3)
        .map(|_| {
            let times = times.clone();
            let (replica, _) = start_scripted_replica(move |stream, _| {
                times.lock().expect("lock").push(Instant::now());
                thread::sleep(ms(delay_ms));
                // Without a response the connection is closed.
                stream.write_all(response.as_bytes()).is_ok() && !response.is_empty()
            });
            replica
        })
        .collect();
    let entries = replicas.iter().enumerate().map(|(n, r)| replica_entry(n, r, "ready", 0)).collect();
    let gateway = start_gateway(entries, 3, json!({"key_ttl_ms": key_ttl_ms}));
    let (outcome, _) = gateway.exchange("platform", class, 4000, 1);
    assert!(matches!(outcome, ClientOutcome::Failed | ClientOutcome::Shed), "{outcome:?}");
    let times = times.lock().expect("lock");
    (times.len(), *times.iter().max().expect("an attempt") - times[0])
}

#[test]
fn retries_follow_the_key_ttl_and_the_effect_of_the_class() {
    const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
    const FULL: &str = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    // After these responses the request may have run.
    for response in [ERROR, ""] {
        // A request that must not run twice is sent once; one that may, as often as the settings allow.
        assert_eq!(count_attempts("once", 300, 20, response).0, 1);
        assert_eq!(count_attempts("plain", 300, 20, response).0, 3);
        // Within the TTL of the key a keyed request is retried; later, it is not.
        assert_eq!(count_attempts("keyed", 2000, 20, response).0, 3);
        assert_eq!(count_attempts("keyed", 300, 400, response).0, 1);
        let (attempts, span) = count_attempts("keyed", 300, 200, response);
        assert!(attempts <= 2 && span <= ms(350), "{attempts} attempts in {span:?}");
    }
    // A request that has not run may be retried in every class.
    for class in ["once", "plain", "keyed"] {
        assert_eq!(count_attempts(class, 50, 60, FULL).0, 3, "{class}");
    }
}

/// Resident memory in KiB, and number of open descriptors.
fn resource_use(gateway: &Gateway) -> (usize, usize) {
    let id = gateway.child.id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("a size");
    let size = line.split_whitespace().nth(1).expect("a number").parse().expect("a number");
    (size, std::fs::read_dir(format!("/proc/{id}/fd")).expect("the process runs").count())
}

#[test]
fn floods_are_bounded_and_well_behaved_clients_are_served() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let extra_settings = json!({"memory_mb": 64});
    let gateway = Gateway::start_with_list(
        vec![replica_entry(0, &replica, "ready", 0)],
        1,
        (128, 128),
        extra_settings,
    );
    let is_stopped = Arc::new(AtomicBool::new(false));
    let connects = Arc::new(AtomicUsize::new(0));
    let large_request_head =
        format!("POST /v1/messages HTTP/1.1\r\nHost: app.svc\r\nContent-Length: {}\r\n\r\n", 256 << 10);
    let incomplete_head = format!("GET /{}", "x".repeat(8 << 10));
    let flood: Vec<_> = (0..160)
        .map(|n| {
            let (is_stopped, connects, front) =
                (is_stopped.clone(), connects.clone(), gateway.fronts[n % 2]);
            let (large_request_head, incomplete_head) =
                (large_request_head.clone(), incomplete_head.clone());
            thread::spawn(move || {
                while !is_stopped.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(front) else { continue };
                    let _ = stream.set_write_timeout(Some(ms(200)));
                    let _ = stream.set_read_timeout(Some(ms(100)));
                    connects.fetch_add(1, Ordering::SeqCst);
                    let _ = match n / 2 % 4 {
                        // An incomplete body, an incomplete head, bytes that are no request, or pipelined requests
                        // whose responses are not read.
                        0 => stream
                            .write_all(large_request_head.as_bytes())
                            .and_then(|()| stream.write_all(&[b'x'; 200 << 10])),
                        1 => stream.write_all(incomplete_head.as_bytes()),
                        2 => stream.write_all(&[0; 64 << 10]),
                        _ => {
                            let health = b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n".repeat(400);
                            stream.write_all(&health)
                        }
                    };
                    let _ = stream.read(&mut [0; 64]);
                }
            })
        })
        .collect();
    let (start, mut peak, mut longest, mut served) = (Instant::now(), (0, 0), Duration::ZERO, 0);
    while start.elapsed() < ms(4000) {
        let sent_at = Instant::now();
        let (outcome, _) = gateway.exchange(["platform", "messages"][served % 2], "plain", 9000, served);
        assert_eq!(outcome, ClientOutcome::Served("Hello".into()));
        longest = longest.max(sent_at.elapsed());
        let (memory_kib, open) = resource_use(&gateway);
        peak = (peak.0.max(memory_kib), peak.1.max(open));
        served += 1;
    }
    is_stopped.store(true, Ordering::SeqCst);
    flood.into_iter().for_each(|client| client.join().expect("the client ends"));
    assert!(connects.load(Ordering::SeqCst) > 200, "too few connections for a flood");
    assert!(peak.0 < 64 << 10, "{} KiB", peak.0);
    assert!(peak.1 < 128, "{} descriptors", peak.1);
    assert_eq!(gateway.count_log_lines("accept-failed"), 0);
    assert!(served >= 4, "{served} served in 4 s, the longest wait {longest:?}");
    // The descriptors are released after the flood.
    wait_until(|| resource_use(&gateway).1 < 64);
}
