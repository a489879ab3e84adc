//! Measures the latency of the management address and the cost of handing over streams, on loopback.
//!
//!     cargo run --release --example operation_bench

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;

use tulipridge::demo_replica;

type BenchResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Starts a list service that responds to each request with the same list and keeps watches open.
fn start_list_service(list: String) -> BenchResult<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || -> std::io::Result<()> {
                let _ = stream.read(&mut [0; 4096])?;
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
                    list.len() + 1
                )?;
                loop {
                    thread::sleep(Duration::from_secs(2));
                    stream.write_all(b"1\r\n\n\r\n")?;
                }
            });
        }
    });
    Ok(addr)
}

/// Starts a replica whose streams have an event every 50 ms for `stream_duration`.
fn start_replica(stream_duration: Duration) -> BenchResult<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || -> std::io::Result<()> {
                let mut reader = BufReader::new(stream.try_clone()?);
                let mut stream = stream;
                while demo_replica::read_message(&mut reader).is_some() {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                    let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"},\"finish_reason\":null}]}\n\n";
                    let started_at = Instant::now();
                    while started_at.elapsed() < stream_duration {
                        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
                        thread::sleep(Duration::from_millis(50));
                    }
                    let end = "data: [DONE]\n\n";
                    write!(stream, "{:x}\r\n{end}\r\n0\r\n\r\n", end.len())?;
                }
                Ok(())
            });
        }
    });
    Ok(addr)
}

struct Gateway {
    child: Child,
    client_addr: SocketAddr,
    management_addr: SocketAddr,
}

impl Gateway {
    /// Starts the program that was built beside this example, with an inherited listener, and waits until it is ready.
    fn start(
        listener: &TcpListener,
        replica: SocketAddr,
        list_service: SocketAddr,
        folder: &str,
    ) -> BenchResult<Gateway> {
        let second_ns = 1_000_000_000u64;
        let list = json!({"version": 1, "full": true, "servers": [replica_entry(replica)]});
        let config = json!({"name": "bench", "listen": listener.local_addr()?.to_string(), "mgmt": "127.0.0.1:0",
            "discovery": list_service.to_string(), "seed": "1", "limits": {"sockets": 4096, "memory_mb": 192},
            "known": list, "settings": {"discovery": "ask", "weight-source": "rough", "shapes": ["k"],
            "lanes": [{"name": "docs", "effect": "retryable", "promise-ns": second_ns, "deadline-ns": 5 * second_ns, "stream": true}],
            "accounts": [{"name": "office", "share": 1.0}],
            "policy-limits": {"send-cap": 3, "cancel": true, "conn-idle-ns": 5 * second_ns},
            "safety": {"cold-from": 1.0, "ramp-time-ns": 0, "overload-factor": 2.5, "fall-ns": second_ns}}});
        std::fs::create_dir_all(folder)?;
        let path = format!("{folder}/config.json");
        std::fs::write(&path, config.to_string())?;
        std::fs::write(format!("{folder}/settings.hcl"), "handover = true\n")?;
        let program = std::env::current_exe()?.with_file_name("../tulipridge");
        let mut child = Command::new("sh")
            .args(["-c", "exec 4<&0 </dev/null; exec \"$0\" --config \"$1\" --settings \"$2\""])
            .arg(program)
            .arg(&path)
            .arg(format!("{folder}/settings.hcl"))
            .env("EDGE_INHERITED_FD", "4")
            .env("TMPDIR", folder)
            .stdin(OwnedFd::from(listener.try_clone()?))
            .stderr(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(child.stderr.take().ok_or("standard error is not piped")?)
            .lines()
            .map_while(Result::ok);
        let line = lines.find(|l| l.contains("port=\"Mgmt\"")).ok_or("the gateway does not listen")?;
        let management_addr =
            line.split('"').find_map(|w| w.parse().ok()).ok_or("the log line has no address")?;
        thread::spawn(move || lines.filter(|l| l.contains(" handover")).for_each(|l| println!("  {l}")));
        let gateway = Gateway { child, client_addr: listener.local_addr()?, management_addr };
        while gateway.request_readiness()?.0 != 200 {
            thread::sleep(Duration::from_millis(5));
        }
        Ok(gateway)
    }

    /// The status of `/ready`, and the time from connecting to the end of the response.
    fn request_readiness(&self) -> BenchResult<(u16, Duration)> {
        let started_at = Instant::now();
        let mut stream = TcpStream::connect(self.management_addr)?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: bench\r\n\r\n")?;
        let mut response = String::new();
        stream.read_to_string(&mut response)?;
        Ok((response.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0), started_at.elapsed()))
    }

    fn measure_readiness(&self, condition: &str) -> BenchResult<()> {
        let mut times = Histogram::<u64>::new_with_max(60_000_000, 3)?;
        let mut unexpected = 0;
        for _ in 0..500 {
            let (status, duration) = self.request_readiness()?;
            unexpected += u32::from(status != 200);
            times.saturating_record(duration.as_micros() as u64);
            thread::sleep(Duration::from_millis(4));
        }
        let quantile = |q| times.value_at_quantile(q);
        println!(
            "ready, {condition}: p50 {} us, p99 {} us, longest {} us, wrong {unexpected} of 500",
            quantile(0.5),
            quantile(0.99),
            times.max()
        );
        Ok(())
    }
}

fn replica_entry(replica: SocketAddr) -> serde_json::Value {
    json!({"id": "s-0", "addr": replica.to_string(), "zone": "a", "kind": "k", "cell": 0, "state": "ready",
        "weight": 1.0, "started_ms": 0})
}

/// Sends a request and reads the response until it is complete or the connection ends. Returns the bytes and the
/// longest time between two reads.
fn exchange(stream: &mut TcpStream, id: u64, key: u64) -> (Vec<u8>, Duration) {
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: {id:016x}\r\nX-Class: docs\r\n\
        X-Tenant: office\r\nX-Key: {key:x}\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let _ = stream.write_all(request.as_bytes());
    let (mut response, mut scratch) = (Vec::new(), [0; 4096]);
    let (mut longest_gap, mut last_read) = (Duration::ZERO, None::<Instant>);
    while !is_complete(&response) {
        match stream.read(&mut scratch) {
            Ok(count) if count > 0 => response.extend_from_slice(&scratch[..count]),
            _ => break,
        }
        longest_gap = longest_gap.max(last_read.map_or(Duration::ZERO, |at| at.elapsed()));
        last_read = Some(Instant::now());
    }
    (response, longest_gap)
}

fn is_complete(response: &[u8]) -> bool {
    response.starts_with(b"HTTP/1.1 200 ") && response.ends_with(b"0\r\n\r\n")
}

/// Sends health checks to the clients' port without a pause on one connection while `is_running`; returns their number.
fn send_health_checks(client_addr: SocketAddr, is_running: &AtomicBool) -> BenchResult<u64> {
    let mut stream = TcpStream::connect(client_addr)?;
    let (mut count, mut scratch) = (0, [0; 4096]);
    while is_running.load(Ordering::SeqCst) {
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")?;
        count += u64::from(stream.read(&mut scratch)? > 0);
    }
    Ok(count)
}

/// Opens 200 management connections a second that send nothing or half a request, each for 4 s.
fn flood_with_idle_connections(
    management_addr: SocketAddr,
    is_flooding: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut connections = std::collections::VecDeque::new();
        while is_flooding.load(Ordering::SeqCst) {
            if let Ok(mut stream) = TcpStream::connect(management_addr) {
                let _ = stream.write_all(if connections.len() % 2 == 0 { b"" } else { b"GET /rea" });
                connections.push_back(stream);
            }
            if connections.len() > 800 {
                connections.pop_front();
            }
            thread::sleep(Duration::from_millis(5));
        }
    })
}

/// Measures the readiness check while 64 clients keep the gateway's only thread busy.
fn measure_under_load(old: &Gateway) -> BenchResult<()> {
    let is_running = Arc::new(AtomicBool::new(true));
    let clients: Vec<_> = (0..64)
        .map(|_| {
            let (is_running, client_addr) = (is_running.clone(), old.client_addr);
            thread::spawn(move || send_health_checks(client_addr, &is_running).unwrap_or_default())
        })
        .collect();
    let started_at = Instant::now();
    old.measure_readiness("the one thread full with 64 clients that never pause")?;
    let duration = started_at.elapsed();
    is_running.store(false, Ordering::SeqCst);
    let response_count: u64 = clients.into_iter().filter_map(|thread| thread.join().ok()).sum();
    println!("  they were answered {:.0} times a second", response_count as f64 / duration.as_secs_f64());
    Ok(())
}

/// Replaces a gateway while `count` streams of 6 s are open; returns the new gateway.
fn replace_under_streams(
    mut old: Gateway,
    count: u64,
    listener: &TcpListener,
    replica: SocketAddr,
    list_service: SocketAddr,
    folder: &str,
) -> BenchResult<Gateway> {
    let client_addr = old.client_addr;
    let start_client = move |n| {
        thread::spawn(move || {
            let id = count * 1000 + n;
            TcpStream::connect(client_addr)
                .map_or_else(|_| Default::default(), |mut s| exchange(&mut s, id, id))
        })
    };
    let clients: Vec<_> = (0..count).map(start_client).collect();
    thread::sleep(Duration::from_secs(1));
    let new = Gateway::start(listener, replica, list_service, folder)?;
    Command::new("kill").args(["-TERM", &old.child.id().to_string()]).status()?;
    let started_at = Instant::now();
    old.child.wait()?;
    println!(
        "{count} streams of 6 s, SIGTERM at 1 s: the old process ended after {:?}",
        started_at.elapsed()
    );
    let (mut complete_count, mut gaps) = (0, Histogram::<u64>::new_with_max(60_000_000, 3)?);
    for client in clients {
        let (response, gap) = client.join().map_err(|_| "a client failed")?;
        complete_count += usize::from(is_complete(&response));
        gaps.saturating_record(gap.as_micros() as u64);
    }
    let quantile = |q| gaps.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "  whole: {complete_count} of {count}; the longest gap of each, where 50 ms were sent: p50 {:.1} ms, longest {:.1} ms",
        quantile(0.5),
        quantile(1.0)
    );
    Ok(new)
}

fn main() -> BenchResult<()> {
    let folder = format!("{}/tulipridge-bench-{}", std::env::temp_dir().display(), std::process::id());
    let replica = start_replica(Duration::from_secs(6))?;
    let list_service = start_list_service(
        json!({"version": 2, "full": true, "servers": [replica_entry(replica)]}).to_string(),
    )?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut old = Gateway::start(&listener, replica, list_service, &folder)?;
    old.measure_readiness("at rest")?;
    let idle: Vec<TcpStream> = (0..1500).map_while(|_| TcpStream::connect(old.client_addr).ok()).collect();
    old.measure_readiness("1,500 mute clients")?;
    drop(idle);
    let is_flooding = Arc::new(AtomicBool::new(true));
    let flood = flood_with_idle_connections(old.management_addr, is_flooding.clone());
    old.measure_readiness("200 mute or half callers a second")?;
    is_flooding.store(false, Ordering::SeqCst);
    flood.join().map_err(|_| "the flood failed")?;
    measure_under_load(&old)?;
    for count in [10_u64, 100, 500] {
        old = replace_under_streams(old, count, &listener, replica, list_service, &folder)?;
    }
    old.child.kill()?;
    old.child.wait()?;
    measure_upgrades(&listener, &folder)?;
    std::fs::remove_dir_all(folder)?;
    Ok(())
}

/// Numbers of outcomes of clients that reuse their connections and repeat requests.
#[derive(Default)]
struct RequestCounts {
    requests: AtomicU64,
    refused: AtomicU64,
    /// Connections that ended before any byte of the response.
    unread: AtomicU64,
    broken: AtomicU64,
}

/// Repeats requests on one connection. Reconnects after `Connection: close` or if the connection ended between two
/// requests.
fn repeat_requests(client_addr: SocketAddr, number: u64, is_running: &AtomicBool, counts: &RequestCounts) {
    let (mut connection, mut id) = (None::<TcpStream>, number << 32);
    while is_running.load(Ordering::SeqCst) {
        // A client that detects the end of its connection sends no request on it.
        let is_open = |s: &TcpStream| {
            let _ = s.set_nonblocking(true);
            let is_open = s.peek(&mut [0]).is_err();
            let _ = s.set_nonblocking(false);
            is_open
        };
        let stream = connection.take().filter(is_open).map_or_else(|| TcpStream::connect(client_addr), Ok);
        id += 1;
        counts.requests.fetch_add(1, Ordering::SeqCst);
        let Ok(mut stream) = stream else {
            counts.refused.fetch_add(1, Ordering::SeqCst);
            continue;
        };
        let (response, _) = exchange(&mut stream, id, number);
        if response.is_empty() {
            counts.unread.fetch_add(1, Ordering::SeqCst);
        } else if !is_complete(&response) {
            counts.broken.fetch_add(1, Ordering::SeqCst);
        } else if !String::from_utf8_lossy(&response).contains("Connection: close") {
            connection = Some(stream);
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// Resident memory in MB and number of descriptors of a process.
fn resource_usage(child: &Child) -> (f64, usize) {
    let pid = child.id();
    let pages = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: f64 = pages.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
    (pages * 4.0 / 1024.0, std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count))
}

/// Upgrades the gateway 20 times under load, and then drains it.
fn measure_upgrades(listener: &TcpListener, folder: &str) -> BenchResult<()> {
    let replica = start_replica(Duration::from_millis(20))?;
    let list_service = start_list_service(
        json!({"version": 2, "full": true, "servers": [replica_entry(replica)]}).to_string(),
    )?;
    let mut old = Gateway::start(listener, replica, list_service, folder)?;
    let (counts, is_running) = (Arc::new(RequestCounts::default()), Arc::new(AtomicBool::new(true)));
    let clients: Vec<_> = (0..64)
        .map(|n| {
            let (counts, is_running, client_addr) = (counts.clone(), is_running.clone(), old.client_addr);
            thread::spawn(move || repeat_requests(client_addr, n + 1, &is_running, &counts))
        })
        .collect();
    let (mut memory_mb, mut descriptors) = (0.0_f64, 0);
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(300));
        let new = Gateway::start(listener, replica, list_service, folder)?;
        Command::new("kill").args(["-TERM", &old.child.id().to_string()]).status()?;
        while old.child.try_wait()?.is_none() {
            let ((m1, d1), (m2, d2)) = (resource_usage(&old.child), resource_usage(&new.child));
            (memory_mb, descriptors) = (memory_mb.max(m1 + m2), descriptors.max(d1 + d2));
            thread::sleep(Duration::from_millis(20));
        }
        old = new;
    }
    let count = |n: &AtomicU64| n.load(Ordering::SeqCst);
    println!(
        "20 upgrades under load of 64 clients: {} requests, {} refused, {} ended unread, {} broken; both processes together \
        at the most {memory_mb:.1} MB and {descriptors} descriptors",
        count(&counts.requests),
        count(&counts.refused),
        count(&counts.unread),
        count(&counts.broken)
    );
    let idle: Vec<TcpStream> = (0..50).map_while(|_| TcpStream::connect(old.client_addr).ok()).collect();
    thread::sleep(Duration::from_millis(100));
    let mut stream = TcpStream::connect(old.management_addr)?;
    stream.write_all(b"POST /drain HTTP/1.1\r\nHost: bench\r\n\r\n")?;
    let started_at = Instant::now();
    for mut stream in idle {
        let _ = stream.read(&mut [0]);
    }
    println!("drain: the last of 50 connections at rest closed after {:?}", started_at.elapsed());
    is_running.store(false, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    old.child.kill()?;
    old.child.wait()?;
    Ok(())
}
