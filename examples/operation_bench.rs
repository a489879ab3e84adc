//! What the second address and the handing over of streams cost, on loopback.
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

type Any<T> = Result<T, Box<dyn std::error::Error>>;

/// A discovery that answers each call with one list and keeps watches open.
fn discovery(list: String) -> Any<SocketAddr> {
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

/// A replica whose streams have an event each 50 ms for so long.
fn server(lasts: Duration) -> Any<SocketAddr> {
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
                    let from = Instant::now();
                    while from.elapsed() < lasts {
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
    front: SocketAddr,
    mgmt: SocketAddr,
}

impl Gateway {
    /// The program built beside this example, on that listener.
    fn start(
        listener: &TcpListener,
        server: SocketAddr,
        discovery: SocketAddr,
        folder: &str,
    ) -> Any<Gateway> {
        let second = 1_000_000_000u64;
        let list = json!({"version": 1, "full": true, "servers": [entry(server)]});
        let config = json!({"name": "bench", "listen": listener.local_addr()?.to_string(), "mgmt": "127.0.0.1:0",
            "discovery": discovery.to_string(), "seed": "1", "limits": {"sockets": 4096, "memory_mb": 192},
            "known": list, "settings": {"discovery": "ask", "weight-source": "rough", "shapes": ["k"],
            "lanes": [{"name": "docs", "effect": "retryable", "promise-ns": second, "deadline-ns": 5 * second, "stream": true}],
            "accounts": [{"name": "office", "share": 1.0}],
            "policy-limits": {"send-cap": 3, "cancel": true, "conn-idle-ns": 5 * second},
            "safety": {"cold-from": 1.0, "ramp-time-ns": 0, "overload-factor": 2.5, "fall-ns": second}}});
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
        let mut lines = BufReader::new(child.stderr.take().ok_or("no log")?).lines().map_while(Result::ok);
        let line = lines.find(|l| l.contains("port=\"Mgmt\"")).ok_or("it does not listen")?;
        let mgmt = line.split('"').find_map(|w| w.parse().ok()).ok_or("no address")?;
        thread::spawn(move || lines.filter(|l| l.contains(" handover")).for_each(|l| println!("  {l}")));
        let gateway = Gateway { child, front: listener.local_addr()?, mgmt };
        while gateway.ready()?.0 != 200 {
            thread::sleep(Duration::from_millis(5));
        }
        Ok(gateway)
    }

    /// The status of `/ready`, and how long it took from connecting to the answer's end.
    fn ready(&self) -> Any<(u16, Duration)> {
        let from = Instant::now();
        let mut stream = TcpStream::connect(self.mgmt)?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: bench\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok((answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0), from.elapsed()))
    }

    fn measure(&self, what: &str) -> Any<()> {
        let mut times = Histogram::<u64>::new_with_max(60_000_000, 3)?;
        let mut wrong = 0;
        for _ in 0..500 {
            let (status, time) = self.ready()?;
            wrong += u32::from(status != 200);
            times.saturating_record(time.as_micros() as u64);
            thread::sleep(Duration::from_millis(4));
        }
        let of = |q| times.value_at_quantile(q);
        println!(
            "ready, {what}: p50 {} us, p99 {} us, longest {} us, wrong {wrong} of 500",
            of(0.5),
            of(0.99),
            times.max()
        );
        Ok(())
    }
}

fn entry(server: SocketAddr) -> serde_json::Value {
    json!({"id": "s-0", "addr": server.to_string(), "zone": "a", "kind": "k", "cell": 0, "state": "ready",
        "weight": 1.0, "started_ms": 0})
}

/// Sends a request and reads its answer to its last chunk or as far as it comes; and the longest time between two
/// reads of it.
fn exchange(stream: &mut TcpStream, id: u64, key: u64) -> (Vec<u8>, Duration) {
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: {id:016x}\r\nX-Class: docs\r\n\
        X-Tenant: office\r\nX-Key: {key:x}\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let _ = stream.write_all(request.as_bytes());
    let (mut answer, mut scratch) = (Vec::new(), [0; 4096]);
    let (mut gap, mut last) = (Duration::ZERO, None::<Instant>);
    while !is_complete(&answer) {
        match stream.read(&mut scratch) {
            Ok(count) if count > 0 => answer.extend_from_slice(&scratch[..count]),
            _ => break,
        }
        gap = gap.max(last.map_or(Duration::ZERO, |last| last.elapsed()));
        last = Some(Instant::now());
    }
    (answer, gap)
}

fn is_complete(answer: &[u8]) -> bool {
    answer.starts_with(b"HTTP/1.1 200 ") && answer.ends_with(b"0\r\n\r\n")
}

/// Asks the clients' port for its health without a pause, on one connection, until told to stop.
fn hurry(front: SocketAddr, going: &AtomicBool) -> Any<u64> {
    let mut stream = TcpStream::connect(front)?;
    let (mut count, mut scratch) = (0, [0; 4096]);
    while going.load(Ordering::SeqCst) {
        stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")?;
        count += u64::from(stream.read(&mut scratch)? > 0);
    }
    Ok(count)
}

/// Callers that say nothing or half a call and stay, 200 new ones a second, each for 4 s.
fn flood_with_callers(mgmt: SocketAddr, holding: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut held = std::collections::VecDeque::new();
        while holding.load(Ordering::SeqCst) {
            if let Ok(mut stream) = TcpStream::connect(mgmt) {
                let _ = stream.write_all(if held.len() % 2 == 0 { b"" } else { b"GET /rea" });
                held.push_back(stream);
            }
            if held.len() > 800 {
                held.pop_front();
            }
            thread::sleep(Duration::from_millis(5));
        }
    })
}

/// Measures while 64 clients keep the gateway's one thread full.
fn measure_hurried(old: &Gateway) -> Any<()> {
    let going = Arc::new(AtomicBool::new(true));
    let hurried: Vec<_> = (0..64)
        .map(|_| {
            let (going, front) = (going.clone(), old.front);
            thread::spawn(move || hurry(front, &going).unwrap_or_default())
        })
        .collect();
    let from = Instant::now();
    old.measure("the one thread full with 64 clients that never pause")?;
    let took = from.elapsed();
    going.store(false, Ordering::SeqCst);
    let asked: u64 = hurried.into_iter().filter_map(|thread| thread.join().ok()).sum();
    println!("  they were answered {:.0} times a second", asked as f64 / took.as_secs_f64());
    Ok(())
}

/// Starts a gateway's successor and stops the gateway while so many streams of 6 s are open; returns the successor.
fn replace_under_streams(
    mut old: Gateway,
    count: u64,
    listener: &TcpListener,
    server: SocketAddr,
    discovery: SocketAddr,
    folder: &str,
) -> Any<Gateway> {
    let front = old.front;
    let ask = move |n| {
        thread::spawn(move || {
            let id = count * 1000 + n;
            TcpStream::connect(front).map_or_else(|_| Default::default(), |mut s| exchange(&mut s, id, id))
        })
    };
    let clients: Vec<_> = (0..count).map(ask).collect();
    thread::sleep(Duration::from_secs(1));
    let new = Gateway::start(listener, server, discovery, folder)?;
    Command::new("kill").args(["-TERM", &old.child.id().to_string()]).status()?;
    let from = Instant::now();
    old.child.wait()?;
    println!("{count} streams of 6 s, SIGTERM at 1 s: the old process ended after {:?}", from.elapsed());
    let (mut whole, mut gaps) = (0, Histogram::<u64>::new_with_max(60_000_000, 3)?);
    for client in clients {
        let (answer, gap) = client.join().map_err(|_| "a client failed")?;
        whole += usize::from(is_complete(&answer));
        gaps.saturating_record(gap.as_micros() as u64);
    }
    let of = |q| gaps.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "  whole: {whole} of {count}; the longest gap of each, where 50 ms were sent: p50 {:.1} ms, longest {:.1} ms",
        of(0.5),
        of(1.0)
    );
    Ok(new)
}

fn main() -> Any<()> {
    let folder = format!("{}/tulipridge-bench-{}", std::env::temp_dir().display(), std::process::id());
    let server = server(Duration::from_secs(6))?;
    let discovery = discovery(json!({"version": 2, "full": true, "servers": [entry(server)]}).to_string())?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut old = Gateway::start(&listener, server, discovery, &folder)?;
    old.measure("at rest")?;
    let crowd: Vec<TcpStream> = (0..1500).map_while(|_| TcpStream::connect(old.front).ok()).collect();
    old.measure("1,500 mute clients")?;
    drop(crowd);
    let holding = Arc::new(AtomicBool::new(true));
    let flood = flood_with_callers(old.mgmt, holding.clone());
    old.measure("200 mute or half callers a second")?;
    holding.store(false, Ordering::SeqCst);
    flood.join().map_err(|_| "the flood failed")?;
    measure_hurried(&old)?;
    for count in [10_u64, 100, 500] {
        old = replace_under_streams(old, count, &listener, server, discovery, &folder)?;
    }
    old.child.kill()?;
    old.child.wait()?;
    upgrades(&listener, &folder)?;
    std::fs::remove_dir_all(folder)?;
    Ok(())
}

/// What clients met that keep their connections and ask again and again.
#[derive(Default)]
struct Met {
    requests: AtomicU64,
    refused: AtomicU64,
    /// Ended before anything of the answer came.
    unread: AtomicU64,
    broken: AtomicU64,
}

/// One client; it comes anew when it was told that its connection ends, or when that ended between two requests.
fn keep_asking(front: SocketAddr, number: u64, going: &AtomicBool, met: &Met) {
    let (mut kept, mut id) = (None::<TcpStream>, number << 32);
    while going.load(Ordering::SeqCst) {
        // A client that finds its connection closed does not write into it.
        let quiet = |s: &TcpStream| {
            let _ = s.set_nonblocking(true);
            let quiet = s.peek(&mut [0]).is_err();
            let _ = s.set_nonblocking(false);
            quiet
        };
        let stream = kept.take().filter(quiet).map_or_else(|| TcpStream::connect(front), Ok);
        id += 1;
        met.requests.fetch_add(1, Ordering::SeqCst);
        let Ok(mut stream) = stream else {
            met.refused.fetch_add(1, Ordering::SeqCst);
            continue;
        };
        let (answer, _) = exchange(&mut stream, id, number);
        if answer.is_empty() {
            met.unread.fetch_add(1, Ordering::SeqCst);
        } else if !is_complete(&answer) {
            met.broken.fetch_add(1, Ordering::SeqCst);
        } else if !String::from_utf8_lossy(&answer).contains("Connection: close") {
            kept = Some(stream);
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// Resident memory in MB and descriptors of a process.
fn holds(child: &Child) -> (f64, usize) {
    let pid = child.id();
    let pages = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: f64 = pages.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
    (pages * 4.0 / 1024.0, std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count))
}

/// Twenty upgrades under load, and then a drain.
fn upgrades(listener: &TcpListener, folder: &str) -> Any<()> {
    let server = server(Duration::from_millis(20))?;
    let discovery = discovery(json!({"version": 2, "full": true, "servers": [entry(server)]}).to_string())?;
    let mut old = Gateway::start(listener, server, discovery, folder)?;
    let (met, going) = (Arc::new(Met::default()), Arc::new(AtomicBool::new(true)));
    let clients: Vec<_> = (0..64)
        .map(|n| {
            let (met, going, front) = (met.clone(), going.clone(), old.front);
            thread::spawn(move || keep_asking(front, n + 1, &going, &met))
        })
        .collect();
    let (mut memory, mut descriptors) = (0.0_f64, 0);
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(300));
        let new = Gateway::start(listener, server, discovery, folder)?;
        Command::new("kill").args(["-TERM", &old.child.id().to_string()]).status()?;
        while old.child.try_wait()?.is_none() {
            let ((m1, d1), (m2, d2)) = (holds(&old.child), holds(&new.child));
            (memory, descriptors) = (memory.max(m1 + m2), descriptors.max(d1 + d2));
            thread::sleep(Duration::from_millis(20));
        }
        old = new;
    }
    let of = |n: &AtomicU64| n.load(Ordering::SeqCst);
    println!(
        "20 upgrades under load of 64 clients: {} requests, {} refused, {} ended unread, {} broken; both processes together \
        at the most {memory:.1} MB and {descriptors} descriptors",
        of(&met.requests),
        of(&met.refused),
        of(&met.unread),
        of(&met.broken)
    );
    let mute: Vec<TcpStream> = (0..50).map_while(|_| TcpStream::connect(old.front).ok()).collect();
    thread::sleep(Duration::from_millis(100));
    let mut stream = TcpStream::connect(old.mgmt)?;
    stream.write_all(b"POST /drain HTTP/1.1\r\nHost: bench\r\n\r\n")?;
    let from = Instant::now();
    for mut stream in mute {
        let _ = stream.read(&mut [0]);
    }
    println!("drain: the last of 50 connections at rest closed after {:?}", from.elapsed());
    going.store(false, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    old.child.kill()?;
    old.child.wait()?;
    Ok(())
}
