//! Idle clients occupy all connection slots, or all descriptors, during an outage of the list service. The gateway
//! still reconnects to the list service after the outage, reaches replicas, and serves the management address.

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

/// Sends one request to the management address; returns the status of the response, 0 if there is none, and the time
/// that it took.
fn timed_ready_check(mgmt: SocketAddr) -> (u16, Duration) {
    let start = Instant::now();
    (call_status(mgmt, "GET /ready"), start.elapsed())
}

/// Idle clients of all kinds, each of which reconnects once its connection is closed: silent ones, ones with an
/// incomplete request, and ones that have received a response.
struct IdleClients {
    is_stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl IdleClients {
    fn start(gateway: &Gateway, count: usize) -> IdleClients {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let client = |n: usize| {
            let (is_stopped, front) = (is_stopped.clone(), gateway.fronts[n % 2]);
            thread::spawn(move || {
                while !is_stopped.load(Ordering::SeqCst) {
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
                    while !is_stopped.load(Ordering::SeqCst) && !is_closed(&mut stream) {}
                    thread::sleep(ms(5));
                }
            })
        };
        let clients = (0..count).map(client).collect();
        IdleClients { is_stopped, clients }
    }

    fn stop(self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|client| client.join().expect("the client ends"));
    }
}

/// Starts a gateway with these limits on descriptors and sockets, and without a replica list.
fn start_gateway(
    list_service: SocketAddr,
    descriptor_limit: u32,
    configured_sockets: u32,
    discovery_mode: &str,
) -> Gateway {
    let sockets = (descriptor_limit, configured_sockets);
    let platform = Platform::with_discovery((list_service, channel().0));
    let extra_settings = json!({"mgmt": "127.0.0.1:0", "way": discovery_mode});
    Gateway::attach(Gateway::spawn_on("n0", "platform", vec![], 1, sockets, extra_settings, platform))
}

/// Runs a gateway with 100 idle clients. `descriptor_limit` is the limit on descriptors of its process, and
/// `configured_sockets` the number of sockets in its configuration.
fn check_with_idle_clients(descriptor_limit: u32, configured_sockets: u32, discovery_mode: &str) {
    let case = format!("{descriptor_limit} descriptors for {configured_sockets} sockets, {discovery_mode}");
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let lists = ListService::start(vec![replica_entry(0, &replica, "ready", 0)], 100.0);
    lists.set_behavior(ListServiceBehavior::Closing);
    let mut gateway = start_gateway(lists.addr, descriptor_limit, configured_sockets, discovery_mode);
    let mgmt = gateway.mgmt.expect("a management address");
    let idle_clients = IdleClients::start(&gateway, 100);
    // Long enough for the clients to try all slots, and for several failed calls to the list service.
    let start = Instant::now();
    let mut calls = Vec::new();
    while start.elapsed() < ms(2500) {
        calls.push(timed_ready_check(mgmt));
        thread::sleep(ms(50));
    }
    // A shortage of descriptors first causes failures to accept, of clients or of management calls; other log lines
    // occur in any run.
    let accept_failures_during_outage = gateway.count_log_lines("accept-failed");
    // At most 2 % of the calls, one in 50, may fail or have another status.
    let not_503: Vec<_> = calls.iter().filter(|(status, _)| *status != 503).collect();
    assert!(
        not_503.len() * 50 <= calls.len(),
        "{case}: calls without status 503: {not_503:?} of {}",
        calls.len()
    );
    assert!(calls.iter().all(|(_, took)| *took < ms(1000)), "{case}: {calls:?}");
    lists.set_behavior(ListServiceBehavior::Serving);
    let restored_at = Instant::now();
    while call_status(mgmt, "GET /ready") != 200 {
        assert!(
            restored_at.elapsed() < ms(6000),
            "{case}: no list yet; {accept_failures_during_outage} failures to accept"
        );
        thread::sleep(ms(20));
    }
    for session in 0..4 {
        let (outcome, _) = gateway.exchange(["platform", "messages"][session % 2], "plain", 9000, session);
        assert_eq!(outcome, ClientOutcome::Served("Hello".into()), "{case}");
    }
    let total_accept_failures = gateway.count_log_lines("accept-failed");
    if descriptor_limit >= configured_sockets {
        assert_eq!(
            total_accept_failures, 0,
            "{case}: accept failed although the limit covers all configured sockets"
        );
    } else {
        // At the first failure to accept, the gateway lowers its connection limits to what the available descriptors
        // allow. For the 0.2 s until it evicts silent connections, each other listener fails to accept every 20 ms;
        // later none fails.
        assert!(
            accept_failures_during_outage <= 60,
            "{case}: {accept_failures_during_outage} failures to accept while the list service was down"
        );
        assert_eq!(
            total_accept_failures, accept_failures_during_outage,
            "{case}: further failures to accept"
        );
    }
    idle_clients.stop();
    assert_eq!(gateway.stop(), Some(0), "{case}");
}

#[test]
fn idle_clients_in_all_slots_block_no_other_kind_of_connection() {
    for discovery_mode in ["ask", "push"] {
        check_with_idle_clients(128, 128, discovery_mode);
    }
}

#[test]
fn idle_clients_under_a_low_descriptor_limit_block_nothing_else() {
    for discovery_mode in ["ask", "push"] {
        check_with_idle_clients(72, 1024, discovery_mode);
    }
}
