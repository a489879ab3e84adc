//! Clients that use all connection slots, or all descriptors, while the list service is down: the gateway still connects to
//! it when it is back, reaches replicas, and serves the management address.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::json;
use support::fleet::{ListService, ListServiceBehavior};
use support::*;

/// Sends one request to the management address; returns the status of the response, 0 if there is none, and the time that
/// it took.
fn timed_ready_check(mgmt: SocketAddr) -> (u16, Duration) {
    let start = Instant::now();
    (call_status(mgmt, "GET /ready"), start.elapsed())
}

/// Idle clients of all kinds, each of which reconnects once its connection is closed: silent ones, ones with an
/// incomplete request, and ones that have received a response.
struct Crowd {
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn start(gateway: &Gateway, count: usize) -> Crowd {
        let is_over = Arc::new(AtomicBool::new(false));
        let client = |n: usize| {
            let (is_over, front) = (is_over.clone(), gateway.fronts[n % 2]);
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(front) else { continue };
                    let first_bytes: &[u8] = match n / 2 % 3 {
                        0 => b"",
                        1 => b"POST /v1/chat/completions HTTP/1.1\r\nHo",
                        _ => b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n",
                    };
                    let _ = stream.write_all(first_bytes);
                    let _ = stream.set_read_timeout(Some(ms(50)));
                    let is_closed = |stream: &mut TcpStream| match stream.read(&mut [0; 512]) {
                        Ok(count) => count == 0,
                        Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock),
                    };
                    while !is_over.load(Ordering::SeqCst) && !is_closed(&mut stream) {}
                    thread::sleep(ms(5));
                }
            })
        };
        let clients = (0..count).map(client).collect();
        Crowd { is_over, clients }
    }

    fn stop(self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|client| client.join().expect("the client ends"));
    }
}

/// Runs a gateway with a crowd of clients. `descriptors` has the number of available descriptors and the configured number.
fn check_under_crowd(descriptors: (u32, u32), way: &str) {
    let case = format!("{descriptors:?}, {way}");
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let lists = ListService::start(vec![replica_entry(0, &replica, "ready", 0)], 100.0);
    lists.set_behavior(ListServiceBehavior::Closing);
    let platform = Platform::with_discovery((lists.addr, channel().0));
    let more = json!({"mgmt": "127.0.0.1:0", "way": way});
    let started = Gateway::spawn_on("n0", "platform", vec![], 1, descriptors, more, platform);
    let mut gateway = Gateway::attach(started);
    let mgmt = gateway.mgmt.expect("a management address");
    let crowd = Crowd::start(&gateway, 100);
    // Long enough for the clients to try all slots, and for several failed calls to the list service.
    let start = Instant::now();
    let mut calls = Vec::new();
    while start.elapsed() < ms(2500) {
        calls.push(timed_ready_check(mgmt));
        thread::sleep(ms(50));
    }
    // A shortage of descriptors shows first as failures to accept; other log lines occur in any run.
    let failed_during_outage = gateway.count_log_lines("accept-failed");
    let unexpected: Vec<_> = calls.iter().filter(|(status, _)| *status != 503).collect();
    assert!(
        unexpected.len() * 50 <= calls.len(),
        "{case}: calls without status 503: {unexpected:?} of {}",
        calls.len()
    );
    assert!(calls.iter().all(|(_, took)| *took < ms(1000)), "{case}: {calls:?}");
    lists.set_behavior(ListServiceBehavior::Serving);
    let restored_at = Instant::now();
    while call_status(mgmt, "GET /ready") != 200 {
        assert!(
            restored_at.elapsed() < ms(6000),
            "{case}: no list yet; {failed_during_outage} failures to accept"
        );
        thread::sleep(ms(20));
    }
    for session in 0..4 {
        let (outcome, _) = gateway.exchange(["platform", "messages"][session % 2], "plain", 9000, session);
        assert_eq!(outcome, ClientOutcome::Served("Hello".into()), "{case}");
    }
    let failed_in_total = gateway.count_log_lines("accept-failed");
    if descriptors.0 >= descriptors.1 {
        assert_eq!(failed_in_total, 0, "{case}: descriptors are reserved");
    } else {
        // The first shortage shows the number of descriptors. Until silent connections are evicted, after 0.2 s, the other
        // listeners fail every 20 ms; after that nothing fails.
        assert!(
            failed_during_outage <= 60,
            "{case}: {failed_during_outage} failures to accept while the list service was down"
        );
        assert_eq!(failed_in_total, failed_during_outage, "{case}: further failures to accept");
    }
    crowd.stop();
    assert_eq!(gateway.stop(), Some(0), "{case}");
}

#[test]
fn a_crowd_in_all_slots_blocks_no_lists_replicas_or_operators() {
    for way in ["ask", "push"] {
        check_under_crowd((128, 128), way);
    }
}

#[test]
fn a_crowd_on_too_few_descriptors_blocks_nothing_else() {
    for way in ["ask", "push"] {
        check_under_crowd((72, 1024), way);
    }
}
