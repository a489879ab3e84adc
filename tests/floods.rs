//! Replicas whose connections come up late, what may be repeated and for how long, and floods of clients.

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

/// A replica that serves once connections to it come up.
struct LateReplica {
    server: StandInReplica,
    late: connect_faults::FullBacklogListener,
}

impl LateReplica {
    fn new() -> LateReplica {
        let late = connect_faults::FullBacklogListener::new();
        let (requests, bodies) = Default::default();
        LateReplica {
            server: StandInReplica { addr: late.addr, requests, bodies, connection_ends: channel().1 },
            late,
        }
    }

    /// From then on they do. Counts its requests.
    fn open(self, after: Duration) -> impl Fn() -> usize {
        let requests = self.server.requests.clone();
        thread::spawn(move || {
            thread::sleep(after);
            for stream in self.late.accept_connections().incoming().flatten() {
                let requests = self.server.requests.clone();
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

/// These sessions ask at once for what may not be repeated, and all are served; how long each waited.
fn asked_at_once(front: SocketAddr, sessions: usize) -> Vec<(usize, Duration)> {
    let ask = |session| {
        thread::spawn(move || {
            let from = Instant::now();
            let stream = send(front, "platform", "once", 9000, session);
            assert_eq!(
                read_outcome("platform", stream).0,
                ClientOutcome::Served("Hello".into()),
                "{session}"
            );
            (session, from.elapsed())
        })
    };
    let asked: Vec<_> = (0..sessions).map(ask).collect();
    asked.into_iter().map(|a| a.join().expect("served")).collect()
}

fn gateway(servers: Vec<Value>, attempts: u32, more: Value) -> Gateway {
    Gateway::start_with_list(servers, attempts, (1024, 1024), more)
}

#[test]
fn a_connection_that_comes_up_late_blocks_nobody_and_its_server_is_not_taken_for_dead() {
    let (late, quick) = (LateReplica::new(), start_replica("platform", ReplicaBehavior::Serve));
    let servers = vec![replica_entry(0, &late.server, "ready", 0), replica_entry(1, &quick, "ready", 0)];
    // The settings allow 4 s; 2 to 3 s it takes.
    let gateway = gateway(servers, 1, json!({"connect_timeout_ms": 4000}));
    let count = late.open(ms(1500));
    let asked = asked_at_once(gateway.front("platform"), 40);
    let waited: Vec<_> =
        asked.iter().filter(|(_, took)| *took > ms(900)).map(|(session, _)| *session).collect();
    assert_eq!(waited.len(), count(), "those at the late one waited, and nobody else: {asked:?}");
    assert!((1..40).contains(&waited.len()), "both have some: {asked:?}");
    assert_eq!(gateway.count_log_lines("no-connection"), 0);
    // It is in use as before.
    let had = count();
    for session in &waited {
        let from = Instant::now();
        assert_eq!(
            gateway.exchange("platform", "once", 9000, 1000 + session).0,
            ClientOutcome::Served("Hello".into())
        );
        assert!(from.elapsed() < ms(1000));
    }
    let session = waited[0];
    assert_eq!(
        gateway.exchange("platform", "once", 9000, session).0,
        ClientOutcome::Served("Hello".into())
    );
    assert!(count() > had, "its sessions come to it again");
}

#[test]
fn a_connection_that_comes_up_later_than_the_settings_allow_is_a_failed_one() {
    let (late, quick) = (LateReplica::new(), start_replica("platform", ReplicaBehavior::Serve));
    let servers = vec![replica_entry(0, &late.server, "ready", 0), replica_entry(1, &quick, "ready", 0)];
    let gateway = gateway(servers, 3, json!({"connect_timeout_ms": 500}));
    let count = late.open(ms(1500));
    // Nothing was sent: also what may not be repeated goes elsewhere.
    for (_, took) in asked_at_once(gateway.front("platform"), 20) {
        assert!(took < ms(2000), "{took:?}");
    }
    assert_eq!((count(), quick.requests.load(Ordering::SeqCst)), (0, 20), "each is sent once");
}

/// A repeat goes to a replica whose connection comes up a second later. How often it got the request, and what the
/// client was told.
fn late_repeat(window_ms: u64, class: &str) -> (usize, ClientOutcome) {
    let (failing, _) = start_scripted_replica(|stream, _| {
        thread::sleep(ms(250));
        stream.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").is_ok()
    });
    let late = LateReplica::new();
    let gateway = gateway(
        vec![replica_entry(0, &failing, "ready", 0)],
        2,
        json!({"key_ttl_ms": window_ms, "connect_timeout_ms": 4000}),
    );
    let client = gateway.send("platform", class, 5000, 1);
    wait_until(|| failing.requests.load(Ordering::SeqCst) == 1);
    gateway
        .discovery
        .send(replica_list(3, false, vec![replica_entry(1, &late.server, "ready", 0)]))
        .expect("open");
    let count = late.open(ms(700));
    let (seen, _) = read_outcome("platform", client);
    // What was on its way would have come by then.
    thread::sleep(ms(1500));
    assert_eq!(failing.requests.load(Ordering::SeqCst), 1, "never twice to the same one");
    (count(), seen)
}

#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_sent() {
    let (sent, seen) = late_repeat(500, "keyed");
    assert_eq!(sent, 0, "a second run after the window: {seen:?}");
    assert!(matches!(seen, ClientOutcome::Failed | ClientOutcome::Shed), "{seen:?}");
    // In the window it is, and so is what may be repeated at any time.
    assert_eq!(late_repeat(4000, "keyed"), (1, ClientOutcome::Served("Hello".into())));
    assert_eq!(late_repeat(500, "plain"), (1, ClientOutcome::Served("Hello".into())));
    assert_eq!(late_repeat(500, "once").0, 0);
}

/// Three replicas that all do the same after a while. How often the request was sent, and the longest time from
/// the first to the last.
fn repeated(class: &str, window_ms: u64, after: u64, answer: &'static str) -> (usize, Duration) {
    let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let servers: Vec<StandInReplica> = (0..3)
        .map(|_| {
            let times = times.clone();
            let (server, _) = start_scripted_replica(move |stream, _| {
                times.lock().expect("whole").push(Instant::now());
                thread::sleep(ms(after));
                // Without a word it breaks.
                stream.write_all(answer.as_bytes()).is_ok() && !answer.is_empty()
            });
            server
        })
        .collect();
    let entries = servers.iter().enumerate().map(|(n, s)| replica_entry(n, s, "ready", 0)).collect();
    let gateway = gateway(entries, 3, json!({"key_ttl_ms": window_ms}));
    let (seen, _) = gateway.exchange("platform", class, 4000, 1);
    assert!(matches!(seen, ClientOutcome::Failed | ClientOutcome::Shed), "{seen:?}");
    let times = times.lock().expect("whole");
    (times.len(), *times.iter().max().expect("some") - times[0])
}

#[test]
fn repeats_follow_the_window_and_the_effect_of_the_class() {
    const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
    const FULL: &str = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    for may_have_run in [ERROR, ""] {
        // What may not be repeated is sent once; what may, as often as the settings say.
        assert_eq!(repeated("once", 300, 20, may_have_run).0, 1);
        assert_eq!(repeated("plain", 300, 20, may_have_run).0, 3);
        // Within the window like the one, after it like the other.
        assert_eq!(repeated("keyed", 2000, 20, may_have_run).0, 3);
        assert_eq!(repeated("keyed", 300, 400, may_have_run).0, 1);
        let (times, span) = repeated("keyed", 300, 200, may_have_run);
        assert!(times <= 2 && span <= ms(350), "{times} times in {span:?}");
    }
    // What has never run may be sent again, whatever it is.
    for class in ["once", "plain", "keyed"] {
        assert_eq!(repeated(class, 50, 60, FULL).0, 3, "{class}");
    }
}

/// Resident memory in KiB, and open descriptors.
fn uses(gateway: &Gateway) -> (usize, usize) {
    let id = gateway.child.id();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it lives");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("a size");
    let size = line.split_whitespace().nth(1).expect("a number").parse().expect("a number");
    (size, std::fs::read_dir(format!("/proc/{id}/fd")).expect("it lives").count())
}

#[test]
fn floods_are_bounded_in_memory_and_descriptors_and_well_behaved_clients_are_served() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let more = json!({"memory_mb": 64});
    let gateway =
        Gateway::start_with_list(vec![replica_entry(0, &server, "ready", 0)], 1, (128, 128), more);
    let over = Arc::new(AtomicBool::new(false));
    let came = Arc::new(AtomicUsize::new(0));
    let large =
        format!("POST /v1/messages HTTP/1.1\r\nHost: app.svc\r\nContent-Length: {}\r\n\r\n", 256 << 10);
    let endless = format!("GET /{}", "x".repeat(8 << 10));
    let flood: Vec<_> = (0..160)
        .map(|n| {
            let (over, came, front) = (over.clone(), came.clone(), gateway.fronts[n % 2]);
            let (large, endless) = (large.clone(), endless.clone());
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(front) else { continue };
                    let _ = stream.set_write_timeout(Some(ms(200)));
                    let _ = stream.set_read_timeout(Some(ms(100)));
                    came.fetch_add(1, Ordering::SeqCst);
                    let _ = match n / 2 % 4 {
                        // A body that never ends, a head that never ends, noise without an end, or requests behind each
                        // other whose answers nobody reads.
                        0 => stream
                            .write_all(large.as_bytes())
                            .and_then(|()| stream.write_all(&[b'x'; 200 << 10])),
                        1 => stream.write_all(endless.as_bytes()),
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
    let (from, mut worst, mut longest, mut asked) = (Instant::now(), (0, 0), Duration::ZERO, 0);
    while from.elapsed() < ms(4000) {
        let at = Instant::now();
        let (seen, _) = gateway.exchange(["platform", "messages"][asked % 2], "plain", 9000, asked);
        assert_eq!(seen, ClientOutcome::Served("Hello".into()));
        longest = longest.max(at.elapsed());
        let (size, open) = uses(&gateway);
        worst = (worst.0.max(size), worst.1.max(open));
        asked += 1;
    }
    over.store(true, Ordering::SeqCst);
    flood.into_iter().for_each(|f| f.join().expect("it ends"));
    assert!(came.load(Ordering::SeqCst) > 200, "a flood");
    assert!(worst.0 < 64 << 10, "{} KiB", worst.0);
    assert!(worst.1 < 128, "{} descriptors", worst.1);
    assert_eq!(gateway.count_log_lines("accept-failed"), 0);
    assert!(asked >= 4, "{asked} in 4 s, the longest wait {longest:?}");
    // All of it is given back.
    wait_until(|| uses(&gateway).1 < 64);
}
