//! Measures what passing streams costs, on loopback: `cargo run --release --example stream_bench -- [WHAT] [PROGRAM]`.
//!
//! WHAT is `stop`, `unread`, `paused`, `pass`, `paced`, `pauses` or `all`. PROGRAM is the gateway's binary, by default the release
//! build; an older build may be named to set the two side by side. Each run is bounded in count and time.
//!
//! - `stop`: from a break to the replica's connection being closed, 1,000 breaks of each kind, with 10, 100
//!   and 500 other streams open.
//! - `unread`: from a client's close after five events of a silent stream, and from the end of a stream cut for a
//!   stall, to the replica's connection being closed; 200 streams of each, with 10 and 500 other streams open.
//! - `paused`: memory of the process, and bytes taken from the servers, for each paused reader of a flood.
//! - `pass`: CPU for each MiB and each event, beside a plain copy between two sockets in the same run.
//! - `paced`: CPU for each event where events come one by one.
//! - `pauses`: good streams lost to flat and to pace-following limits on silence, under servers that pause.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use socket2::SockRef;

use tulipridge::demo_replica;
use tulipridge::limits::{Limits, PaceLimit};
use tulipridge::stream::{Arrival, End, Relay, RelayAction};

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The platform's largest machine: 192 MB and so many descriptors.
const MACHINE: u64 = 1024;
/// Descriptors for 500 streams beside what is measured; the system's buffers are smaller for it.
const CROWD: u64 = 4096;
const LONG: Duration = Duration::from_secs(20);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let what = args.first().map_or("all", String::as_str);
    let program = args.get(1).map_or("target/release/tulipridge", String::as_str);
    let is = |name| what == name || what == "all";
    if is("pass") {
        pass(program);
    }
    if is("paced") {
        paced(program);
    }
    if is("stop") {
        stop(program);
    }
    if is("unread") {
        unread(program);
    }
    if is("paused") {
        paused(program);
    }
    if is("pauses") {
        pauses();
    }
}

fn event(size: usize) -> String {
    let frame =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":null}]}\n\n";
    let fill = "x".repeat(size.saturating_sub(frame.len()));
    frame.replace("\"content\":\"\"", &format!("\"content\":\"{fill}\""))
}

fn chunk(event: &str) -> String {
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Reads a request; its path tells the server what to do.
fn request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (head, _) = demo_replica::read_message(reader)?;
    Some(head.lines().next()?.split('?').nth(1)?.split(' ').next()?.to_owned())
}

/// A replica: the request's query says what it plays. `closed` hears when a connection was closed, and
/// `written` counts what was taken from it.
fn server(closed: Sender<Instant>, written: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (closed, written) = (closed.clone(), written.clone());
            thread::spawn(move || play(stream, &closed, &written));
        }
    });
    addr
}

/// Sends so many events of that size, one each millisecond, then the end.
fn send_paced(stream: &mut TcpStream, size: usize, count: usize) -> Option<()> {
    let event = chunk(&event(size));
    for _ in 0..count {
        stream.write_all(event.as_bytes()).ok()?;
        thread::sleep(Duration::from_millis(1));
    }
    let end = chunk("data: [DONE]\n\n") + "0\r\n\r\n";
    stream.write_all(end.as_bytes()).ok()
}

/// Sends so many events of that size, then the end.
fn send_in_lots(stream: &mut TcpStream, size: usize, count: usize) -> Option<()> {
    let event = chunk(&event(size));
    // As a server that has much to say writes: 64 KiB at a time.
    let lot = (64 << 10) / event.len().max(1) + 1;
    let many = event.repeat(lot);
    for _ in 0..count / lot {
        stream.write_all(many.as_bytes()).ok()?;
    }
    let end = chunk("data: [DONE]\n\n") + "0\r\n\r\n";
    stream.write_all(end.as_bytes()).ok()
}

fn play(mut stream: TcpStream, closed: &Sender<Instant>, written: &AtomicU64) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(order) = request(&mut reader) {
        let mut words = order.split('-');
        let kind = words.next()?;
        let mut number = || words.next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
        let first = chunk(&event(120));
        stream.write_all((HEAD.to_owned() + &first).as_bytes()).ok()?;
        let told = match kind {
            // So many events of that size, one each millisecond, then the end.
            "paced" => {
                send_paced(&mut stream, number(), number())?;
                continue;
            }
            // So many events of that size, then the end.
            "send" => {
                send_in_lots(&mut stream, number(), number())?;
                continue;
            }
            "flood" | "floodhidden" => {
                let event = chunk(&event(4096));
                // What lies in the server's own buffer has not been taken from it.
                SockRef::from(&stream).set_send_buffer_size(16 << 10).ok()?;
                while let Ok(n) = stream.write(event.as_bytes()) {
                    written.fetch_add(n as u64, Ordering::Relaxed);
                }
                kind == "flood"
            }
            // Breaks by its own doing after a moment.
            "break" => {
                let mut byte = [0];
                let _ = stream.set_read_timeout(Some(Duration::from_millis(2)));
                let _ = reader.get_mut().read(&mut byte);
                let _ = closed.send(Instant::now());
                let _ = stream.shutdown(Shutdown::Both);
                return None;
            }
            // Four more events, then silent.
            "five" => {
                stream.write_all(first.repeat(4).as_bytes()).ok()?;
                let _ = reader.read(&mut [0]);
                true
            }
            // A token now and then.
            "drip" => {
                while stream.write_all(first.as_bytes()).is_ok() {
                    thread::sleep(Duration::from_millis(100));
                }
                false
            }
            // Silent from here on.
            _ => {
                let _ = reader.read(&mut [0]);
                true
            }
        };
        if told {
            let _ = closed.send(Instant::now());
        }
        return None;
    }
    None
}

struct Gateway {
    child: Child,
    addr: SocketAddr,
}

impl Gateway {
    fn start(program: &str, servers: &[SocketAddr], sockets: u64) -> Gateway {
        Gateway::start_with(program, servers, sockets, None)
    }

    /// The same with settings of the program's own, in HCL.
    fn start_with(program: &str, servers: &[SocketAddr], sockets: u64, settings: Option<&str>) -> Gateway {
        let second = 1_000_000_000u64;
        let entries: Vec<_> = servers
            .iter()
            .enumerate()
            .map(|(n, a)| {
                json!({"id": format!("s-{n}"), "addr": a.to_string(), "zone": "a", "kind": "k", "cell": 0,
                    "state": "ready", "weight": 1.0, "started_ms": 0})
            })
            .collect();
        let list = json!({"version": 2, "full": true, "servers": entries});
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let discovery = listener.local_addr().expect("an address");
        let said = list.to_string();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let _ = stream.read(&mut [0; 1024]);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let line = format!("{head}{:x}\r\n{said}\n\r\n", said.len() + 1);
                let _ = stream.write_all(line.as_bytes());
                while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                    thread::sleep(Duration::from_secs(1));
                }
            }
        });
        let config = json!({"name": "b", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": list,
            "settings": {"group-size": 1, "me": 0, "zone": "a", "localities": ["a"], "shapes": ["k"],
                "discovery": "ask", "weight-source": "rough", "report": {"fields": []},
                "lanes": [{"name": "plain", "effect": "retryable", "promise-ns": 9 * second,
                    "deadline-ns": 30 * second, "stream": true, "points": 1.0}], "accounts": [],
                "policy-limits": {"send-cap": 1, "cancel": true, "conn-idle-ns": 5 * second},
                "safety": {"cold-from": 1.0, "overload-factor": 2.5, "ask-within-ns": 60 * second}}});
        let dir = std::env::temp_dir();
        let path = dir.join(format!("stream-bench-{}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("written");
        let mut command = Command::new(program);
        if let Some(settings) = settings {
            let own = dir.join(format!("stream-bench-{}.hcl", std::process::id()));
            std::fs::write(&own, settings).expect("written");
            command.env("TULIPRIDGE_SETTINGS", own);
        }
        let mut child = command
            .env("EDGE_CONFIG", path)
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines().map_while(Result::ok);
        let line = lines.find(|l| l.contains(" listening ")).expect("it listens");
        let addr = line.split("addr=\"").nth(1).and_then(|a| a.split('"').next()).expect("an address");
        let addr = addr.parse().expect("an address");
        thread::spawn(move || lines.for_each(drop));
        thread::sleep(Duration::from_millis(1200));
        Gateway { child, addr }
    }

    fn send_command(&self, order: &str) -> TcpStream {
        static ID: AtomicU64 = AtomicU64::new(1);
        let id = ID.fetch_add(1, Ordering::Relaxed);
        let mut stream = TcpStream::connect(self.addr).expect("it accepts");
        stream.set_read_timeout(Some(LONG)).expect("set");
        let text = format!(
            "POST /v1/chat/completions?{order} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {id:016x}\r\nX-Key: {id:x}\r\n\
            X-Deadline-Ms: 30000\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        stream.write_all(text.as_bytes()).expect("sent");
        stream
    }

    /// CPU time of the process so far: user and system.
    fn cpu(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("it runs");
        let after = stat.rsplit(')').next().expect("fields");
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks = |n: usize| fields[n].parse::<u64>().expect("a number");
        // Clock ticks are hundredths of a second here, as on every common Linux.
        Duration::from_millis((ticks(11) + ticks(12)) * 10)
    }

    fn rss(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a size");
        line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") << 10
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn begun(stream: &mut TcpStream) {
    let (mut bytes, mut had) = ([0; 256], Vec::new());
    while !had.windows(2).any(|w| w == b"}\n") {
        let n = stream.read(&mut bytes).expect("an answer");
        assert!(n > 0, "it ended: {}", String::from_utf8_lossy(&had));
        had.extend_from_slice(&bytes[..n]);
    }
}

fn stop(program: &str) {
    println!("stop: from the break to the other side's connection being closed, in ms");
    println!("| kind | streams open | p50 | p99 | max | breaks |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for open in [10, 100, 500] {
        let (tell, closed) = channel();
        let addr = server(tell, Arc::default());
        let gateway = Gateway::start(program, &[addr], CROWD);
        let (others, readers) = drips(&gateway, open);
        for kind in
            ["leaver, silent", "leaver, flood", "reset, flood", "half close, silent", "server breaks"]
        {
            stops(&gateway, kind, open, &closed);
        }
        ended(others, readers);
    }
}

fn stops(gateway: &Gateway, kind: &str, open: usize, closed: &Receiver<Instant>) {
    let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).expect("three digits");
    let order = match kind {
        "server breaks" => "break",
        k if k.contains("flood") => "flood",
        _ => "silent",
    };
    for _ in 0..1000 {
        let mut client = gateway.send_command(order);
        begun(&mut client);
        let took = if kind == "server breaks" {
            // Until the client's connection ends.
            let mut bytes = [0; 4096];
            while client.read(&mut bytes).is_ok_and(|n| n > 0) {}
            let now = Instant::now();
            now.saturating_duration_since(closed.recv_timeout(LONG).expect("it broke"))
        } else {
            if kind.starts_with("reset") {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
            }
            let from = Instant::now();
            let kept = if kind.starts_with("half") {
                client.shutdown(Shutdown::Write).expect("half closed");
                Some(client)
            } else {
                drop(client);
                None
            };
            let at = closed.recv_timeout(LONG).expect("the work stops");
            drop(kept);
            at.saturating_duration_since(from)
        };
        times.saturating_record(took.as_micros() as u64);
    }
    row(kind, open, &times, &times.len().to_string());
}

/// A line of the table, in ms: median, 99th percentile, longest, and what the last column says.
fn row(what: &str, open: usize, times: &Histogram<u64>, last: &str) {
    let ms = |us: u64| us as f64 / 1e3;
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!("| {what} | {open} | {:.2} | {:.2} | {:.2} | {last} |", ms(p50), ms(p99), ms(times.max()));
}

/// So many other streams, each read as it comes, that drip a token each 100 ms.
fn drips(gateway: &Gateway, open: usize) -> (Vec<TcpStream>, Vec<thread::JoinHandle<()>>) {
    let others: Vec<TcpStream> = (0..open).map(|_| gateway.send_command("drip")).collect();
    let readers = others
        .iter()
        .map(|s| {
            let mut stream = s.try_clone().expect("a clone");
            thread::spawn(move || while stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {})
        })
        .collect();
    (others, readers)
}

fn ended(others: Vec<TcpStream>, readers: Vec<thread::JoinHandle<()>>) {
    for stream in others {
        let _ = stream.shutdown(Shutdown::Both);
    }
    readers.into_iter().for_each(|r| drop(r.join()));
}

fn unread(program: &str) {
    println!("unread: to the replica's connection being closed, in ms; 200 streams of each");
    println!("| from | streams open | p50 | p99 | max | closed before the client heard |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for open in [10, 500] {
        let (tell, closed) = channel();
        let addr = server(tell, Arc::default());
        // Others drip every 100 ms, within the silence.
        let settings = "streams {\n  silence = \"200ms\"\n}\n";
        let gateway = Gateway::start_with(program, &[addr], CROWD, Some(settings));
        let (others, readers) = drips(&gateway, open);
        for (from, leaves) in [("the client's close", true), ("the stall's end", false)] {
            let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).expect("three digits");
            let mut before = 0;
            for _ in 0..200 {
                let mut client = gateway.send_command(if leaves { "five" } else { "silent" });
                let took = if leaves {
                    // Reads may take several events at once: they are counted in all that came.
                    let (mut had, mut bytes) = (Vec::new(), [0; 4096]);
                    while had.windows(2).filter(|w| *w == b"}\n").count() < 5 {
                        let n = client.read(&mut bytes).expect("an answer");
                        assert!(n > 0, "it ended");
                        had.extend_from_slice(&bytes[..n]);
                    }
                    let left = Instant::now();
                    drop(client);
                    closed.recv_timeout(LONG).expect("the work stops").saturating_duration_since(left)
                } else {
                    while client.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {}
                    let heard = Instant::now();
                    let at = closed.recv_timeout(LONG).expect("the work stops");
                    before += usize::from(at <= heard);
                    at.saturating_duration_since(heard)
                };
                times.saturating_record(took.as_micros() as u64);
            }
            row(from, open, &times, &format!("{before} of 200"));
        }
        ended(others, readers);
    }
}

/// Streams that have begun, opened one after the other: together they would be more than a stand-in accepts.
fn open(gateway: &Gateway, order: &str, count: u64) -> Vec<TcpStream> {
    let one = |_| {
        let mut stream = gateway.send_command(order);
        begun(&mut stream);
        stream
    };
    (0..count).map(one).collect()
}

fn paused(program: &str) {
    println!("paused: 3 s after readers of a flood stopped, for each of them, in KiB");
    println!("| readers | taken from the server | process grew | and with silent streams |");
    println!("| --- | --- | --- | --- |");
    for count in [16, 100, 400] {
        let (tell, _closed) = channel();
        let written = Arc::new(AtomicU64::new(0));
        let addr = server(tell, written.clone());
        let gateway = Gateway::start(program, &[addr], CROWD);
        let before = gateway.rss();
        let readers = open(&gateway, "floodhidden", count);
        thread::sleep(Duration::from_secs(3));
        let taken = written.load(Ordering::Relaxed) / count / 1024;
        let grew = gateway.rss().saturating_sub(before) / count / 1024;
        drop((readers, gateway));
        // What a stream costs with nothing waiting.
        let gateway = Gateway::start(program, &[addr], CROWD);
        let before = gateway.rss();
        let readers = open(&gateway, "silent", count);
        let idle = gateway.rss().saturating_sub(before) / count / 1024;
        drop(readers);
        println!("| {count} | {taken} | {grew} | {idle} |");
    }
}

/// Copies one way until the end, as plainly as can be.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = vec![0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut bytes) {
        if to.write_all(&bytes[..n]).is_err() {
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// The plain copy as a process of its own kind: a thread whose CPU time is taken by itself.
fn copied(server: SocketAddr, order: &str) -> Duration {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (tell, cpu) = channel();
    thread::spawn(move || {
        let client = listener.accept().expect("a client").0;
        let up = TcpStream::connect(server).expect("a server");
        up.set_nodelay(true).expect("set");
        let (to_server, from_client) =
            (up.try_clone().expect("a clone"), client.try_clone().expect("a clone"));
        thread::spawn(move || copy(from_client, to_server));
        copy(up, client);
        let ran = std::fs::read_to_string("/proc/thread-self/schedstat").expect("it runs");
        let nanos: u64 = ran.split(' ').next().and_then(|n| n.parse().ok()).expect("a time");
        let _ = tell.send(Duration::from_nanos(nanos));
    });
    let mut stream = TcpStream::connect(addr).expect("it accepts");
    stream.write_all(format!("POST /?{order} HTTP/1.1\r\n\r\n").as_bytes()).expect("sent");
    drain(&mut stream);
    let _ = stream.shutdown(Shutdown::Both);
    drop(stream);
    cpu.recv_timeout(LONG).expect("it ends")
}

fn drain(stream: &mut TcpStream) -> u64 {
    let (mut bytes, mut total, mut tail) = (vec![0; 256 << 10], 0, Vec::new());
    stream.set_read_timeout(Some(LONG)).expect("set");
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return total,
            Ok(n) => {
                total += n as u64;
                tail.extend_from_slice(&bytes[n.saturating_sub(8)..n]);
                if tail.ends_with(b"0\r\n\r\n") {
                    return total;
                }
                tail.drain(..tail.len().saturating_sub(8));
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => panic!("after {total} bytes: {e}"),
        }
    }
}

fn pass(program: &str) {
    println!(
        "pass: CPU of the gateway for a fast stream, and of a plain copy with 16 KiB reads in the same run"
    );
    println!(
        "| event | MiB | ms for each MiB | µs for each event | plain copy, ms for each MiB | ratio | MiB/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (size, mib) in [(120, 128), (4096, 512), (32 << 10, 512)] {
        let (tell, _closed) = channel();
        let addr = server(tell, Arc::default());
        let gateway = Gateway::start(program, &[addr], MACHINE);
        let count = (mib << 20) / size;
        let order = format!("send-{size}-{count}");
        let (before, from) = (gateway.cpu(), Instant::now());
        let mut stream = gateway.send_command(&order);
        let bytes = drain(&mut stream);
        let (took, wall) = (gateway.cpu() - before, from.elapsed());
        let plain = copied(addr, &order);
        let mib = bytes as f64 / f64::from(1 << 20);
        let each = |t: Duration| t.as_secs_f64() * 1e3 / mib;
        println!(
            "| {size} | {mib:.0} | {:.2} | {:.2} | {:.2} | {:.1} | {:.0} |",
            each(took),
            took.as_secs_f64() * 1e6 / count as f64,
            each(plain),
            each(took) / each(plain),
            mib / wall.as_secs_f64()
        );
    }
}

fn paced(program: &str) {
    println!(
        "paced: CPU of the gateway for events of 120 bytes that come one by one, on 16 streams at once"
    );
    println!("| events | µs for each event | plain copy, µs for each event |");
    println!("| --- | --- | --- |");
    let (tell, _closed) = channel();
    let addr = server(tell, Arc::default());
    let gateway = Gateway::start(program, &[addr], MACHINE);
    let (streams, count) = (16, 3_000);
    let order = format!("paced-120-{count}");
    let before = gateway.cpu();
    let asked: Vec<TcpStream> = (0..streams).map(|_| gateway.send_command(&order)).collect();
    let readers: Vec<_> = asked.into_iter().map(|mut s| thread::spawn(move || drain(&mut s))).collect();
    for reader in readers {
        reader.join().expect("a reader");
    }
    let took = gateway.cpu() - before;
    let plain = copied(addr, &order);
    let each = |t: Duration, n: u32| t.as_secs_f64() * 1e6 / f64::from(n);
    let all = streams * count;
    println!("| {all} | {:.1} | {:.1} |", each(took, all), each(plain, count));
}

/// Good streams that a limit on silence would cut, in virtual time: tokens every 15 to 30 ms, and now and then
/// a pause of 200 to 600 ms, or rarely one of up to `longest`.
fn pauses() {
    println!("pauses: of 20,000 good streams, those lost; and how late a true stall is noticed, ms");
    println!("| limit | pauses to 600 ms | rarely to 1.5 s | rarely to 3 s | stall noticed, median |");
    println!("| --- | --- | --- | --- | --- |");
    let base = Limits::new(1024, 192, Duration::from_millis(150), Duration::from_secs(5)).stream;
    let ms = Duration::from_millis;
    let limits = [
        ("flat 4 s", None),
        ("2 x longest, 700 ms at least", Some((2.0, ms(700)))),
        ("3 x longest, 1 s at least", Some((3.0, ms(1000)))),
        ("4 x longest, 2 s at least", Some((4.0, ms(2000)))),
        ("8 x longest, 3 s at least", Some((8.0, ms(3000)))),
    ];
    for (name, pace) in limits {
        let mut rules = base.clone();
        rules.pace = pace.map(|(factor, min_timeout)| PaceLimit { factor, min_timeout });
        let mut seed = 7u64;
        let mut random = |most: u64| {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (seed >> 33) % most
        };
        let mut lost = [0; 3];
        let mut noticed = Histogram::<u64>::new_with_max(60_000_000, 3).expect("three digits");
        for (n, longest) in [600u64, 1_500, 3_000].into_iter().enumerate() {
            for _ in 0..20_000 {
                let mut now = 0u64;
                let mut relay = Relay::new(now, 0, &rules);
                let tokens = 20 + random(160);
                for _ in 0..tokens {
                    let gap = match random(1000) {
                        0 if longest > 600 => 600 + random(longest - 600),
                        0..40 => 200 + random(400),
                        _ => 15 + random(15),
                    };
                    now += gap * 1_000_000;
                    if relay.poll(now) == RelayAction::Abort {
                        lost[n] += 1;
                        break;
                    }
                    relay.record_arrival(now, &Arrival { bytes: 120, events: 1, ..Arrival::default() });
                }
                if let (0, Some(due)) = (n, relay.due()) {
                    noticed.saturating_record((due - now) / 1_000_000);
                }
                relay.replica_ended(now, End::Complete);
            }
        }
        let [short, mid, long] = lost;
        println!("| {name} | {short} | {mid} | {long} | {} |", noticed.value_at_quantile(0.5));
    }
}
