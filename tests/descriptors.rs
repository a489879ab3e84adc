//! Crowds that fill every place, or every descriptor that there is, while discovery is down: the gateway still finds
//! discovery at its return, reaches replicas and answers calls at the second address.

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

/// One call at the second address: the status of its answer, 0 if there is none, and how long it took.
fn timed(mgmt: SocketAddr) -> (u16, Duration) {
    let from = Instant::now();
    (call_status(mgmt, "GET /ready"), from.elapsed())
}

/// Clients of all idle kinds, each of which comes again as soon as it is sent away.
struct Crowd {
    over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    fn gather(gateway: &Gateway, count: usize) -> Crowd {
        let over = Arc::new(AtomicBool::new(false));
        let client = |n: usize| {
            let (over, front) = (over.clone(), gateway.fronts[n % 2]);
            thread::spawn(move || {
                while !over.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(front) else { continue };
                    let said: &[u8] = match n / 2 % 3 {
                        0 => b"",
                        1 => b"POST /v1/chat/completions HTTP/1.1\r\nHo",
                        _ => b"GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n",
                    };
                    let _ = stream.write_all(said);
                    let _ = stream.set_read_timeout(Some(ms(50)));
                    let gone = |stream: &mut TcpStream| match stream.read(&mut [0; 512]) {
                        Ok(count) => count == 0,
                        Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock),
                    };
                    while !over.load(Ordering::SeqCst) && !gone(&mut stream) {}
                    thread::sleep(ms(5));
                }
            })
        };
        let clients = (0..count).map(client).collect();
        Crowd { over, clients }
    }

    fn leave(self) {
        self.over.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|client| client.join().expect("it leaves"));
    }
}

/// Of descriptors the first number is what there is, the second what the gateway is told.
fn crowded(descriptors: (u32, u32), way: &str) {
    let what = format!("{descriptors:?}, {way}");
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let lists = ListService::start(vec![replica_entry(0, &server, "ready", 0)], 100.0);
    lists.set_behavior(ListServiceBehavior::Closing);
    let platform = Platform::with_discovery((lists.addr, channel().0));
    let more = json!({"mgmt": "127.0.0.1:0", "way": way});
    let started = Gateway::spawn_on("n0", "platform", vec![], 1, descriptors, more, platform);
    let mut gateway = Gateway::attach(started);
    let mgmt = gateway.mgmt.expect("a second address");
    let crowd = Crowd::gather(&gateway, 100);
    // Long enough for the crowd to have tried every place, and for several calls to discovery that fail.
    let from = Instant::now();
    let mut calls = Vec::new();
    while from.elapsed() < ms(2500) {
        calls.push(timed(mgmt));
        thread::sleep(ms(50));
    }
    // What says nothing of descriptors would be logged in any run; this is how the first want of them shows.
    let failed = gateway.count_log_lines("accept-failed");
    let mute: Vec<_> = calls.iter().filter(|(status, _)| *status != 503).collect();
    assert!(
        mute.len() * 50 <= calls.len(),
        "{what}: calls without their answer: {mute:?} of {}",
        calls.len()
    );
    assert!(calls.iter().all(|(_, took)| *took < ms(1000)), "{what}: {calls:?}");
    lists.set_behavior(ListServiceBehavior::Serving);
    let back = Instant::now();
    while call_status(mgmt, "GET /ready") != 200 {
        assert!(
            back.elapsed() < ms(6000),
            "{what}: the list is not there yet; {failed} failures to accept"
        );
        thread::sleep(ms(20));
    }
    for session in 0..4 {
        let (seen, _) = gateway.exchange(["platform", "messages"][session % 2], "plain", 9000, session);
        assert_eq!(seen, ClientOutcome::Served("Hello".into()), "{what}");
    }
    let late = gateway.count_log_lines("accept-failed");
    if descriptors.0 >= descriptors.1 {
        assert_eq!(late, 0, "{what}: descriptors are kept back");
    } else {
        // It learns from the first want how many there are, and until the mute have made room, after 0.2 s, others that
        // listen fail every 20 ms. From then on nothing fails any more.
        assert!(failed <= 60, "{what}: {failed} failures to accept while discovery was down");
        assert_eq!(late, failed, "{what}: it fails to accept again and again");
    }
    crowd.leave();
    assert_eq!(gateway.stop(), Some(0), "{what}");
}

#[test]
fn a_crowd_in_every_place_keeps_discovery_real_servers_and_operators_within_reach() {
    for way in ["ask", "push"] {
        crowded((128, 128), way);
    }
}

#[test]
fn a_crowd_on_fewer_descriptors_than_configured_keeps_them_within_reach_too() {
    for way in ["ask", "push"] {
        crowded((72, 1024), way);
    }
}
