//! Measures the cost of relayed streams, on loopback: `cargo run --release --example stream_bench -- [WHAT] [PROGRAM]`.
//!
//! WHAT is `stop`, `unread`, `paused`, `pass`, `paced`, `pauses` or `all`. PROGRAM is the gateway's binary, by default
//! the release build; an older build can be given for a comparison. Each run is bounded in count and time.
//!
//! - `stop`: time from a broken stream until the other connection is closed; 1,000 breaks of each kind, with 10, 100
//!   and 500 other streams open.
//! - `unread`: time from a client's close after five events of a stalled stream, and from the end of a stream cut for a
//!   stall, until the replica's connection is closed; 200 streams of each, with 10 and 500 other streams open.
//! - `paused`: memory of the process and bytes read from the replicas, per client that stops reading a fast stream.
//! - `pass`: CPU time per MiB and per event, compared with a plain copy between two sockets in the same run.
//! - `paced`: CPU time per event if events arrive one at a time.
//! - `pauses`: healthy streams that fixed and adaptive stall timeouts cut, with replicas that pause.

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
/// Descriptors of the platform's largest machine, which has 192 MB.
const MACHINE_DESCRIPTORS: u64 = 1024;
/// Descriptors for 500 streams in addition to the measured ones; the system's socket buffers are smaller with it.
const LOAD_DESCRIPTORS: u64 = 4096;
/// Timeout of reads and of waits for a replica's thread.
const TIMEOUT: Duration = Duration::from_secs(20);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let measurement = args.first().map_or("all", String::as_str);
    let program = args.get(1).map_or("target/release/tulipridge", String::as_str);
    let is_selected = |name| measurement == name || measurement == "all";
    if is_selected("pass") {
        measure_throughput(program);
    }
    if is_selected("paced") {
        measure_single_events(program);
    }
    if is_selected("stop") {
        measure_breaks(program);
    }
    if is_selected("unread") {
        measure_unread_ends(program);
    }
    if is_selected("paused") {
        measure_paused_clients(program);
    }
    if is_selected("pauses") {
        measure_stall_timeouts();
    }
}

fn event_of_size(size_bytes: usize) -> String {
    let frame =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":null}]}\n\n";
    let padding = "x".repeat(size_bytes.saturating_sub(frame.len()));
    frame.replace("\"content\":\"\"", &format!("\"content\":\"{padding}\""))
}

fn chunk(event: &str) -> String {
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Reads a request and returns its query, which selects the behaviour of the replica.
fn read_command(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (head, _) = demo_replica::read_message(reader)?;
    Some(head.lines().next()?.split('?').nth(1)?.split(' ').next()?.to_owned())
}

/// Starts a replica whose behaviour the request's query selects. `closed` gets the time at which a connection was
/// closed, and `written` counts the bytes that the gateway has accepted.
fn start_replica(closed: Sender<Instant>, written: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (closed, written) = (closed.clone(), written.clone());
            thread::spawn(move || serve_connection(stream, &closed, &written));
        }
    });
    addr
}

/// Sends `count` events, one per millisecond, then the end of the stream.
fn send_paced(stream: &mut TcpStream, size_bytes: usize, count: usize) -> Option<()> {
    let event = chunk(&event_of_size(size_bytes));
    for _ in 0..count {
        stream.write_all(event.as_bytes()).ok()?;
        thread::sleep(Duration::from_millis(1));
    }
    let end = chunk("data: [DONE]\n\n") + "0\r\n\r\n";
    stream.write_all(end.as_bytes()).ok()
}

/// Sends `count` events in batches, then the end of the stream.
fn send_in_batches(stream: &mut TcpStream, size_bytes: usize, count: usize) -> Option<()> {
    let event = chunk(&event_of_size(size_bytes));
    // Writes 64 KiB at a time, as a replica does that has many events ready.
    let batch_len = (64 << 10) / event.len().max(1) + 1;
    let batch = event.repeat(batch_len);
    for _ in 0..count / batch_len {
        stream.write_all(batch.as_bytes()).ok()?;
    }
    let end = chunk("data: [DONE]\n\n") + "0\r\n\r\n";
    stream.write_all(end.as_bytes()).ok()
}

fn serve_connection(mut stream: TcpStream, closed: &Sender<Instant>, written: &AtomicU64) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(command) = read_command(&mut reader) {
        let mut words = command.split('-');
        let kind = words.next()?;
        let mut number = || words.next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
        let first = chunk(&event_of_size(120));
        stream.write_all((HEAD.to_owned() + &first).as_bytes()).ok()?;
        let is_close_reported = match kind {
            // paced-SIZE-COUNT: events at intervals of 1 ms.
            "paced" => {
                send_paced(&mut stream, number(), number())?;
                continue;
            }
            // send-SIZE-COUNT: events without pauses.
            "send" => {
                send_in_batches(&mut stream, number(), number())?;
                continue;
            }
            "flood" | "floodhidden" => {
                let event = chunk(&event_of_size(4096));
                // A small buffer, because bytes in it are counted although the gateway has not accepted them.
                SockRef::from(&stream).set_send_buffer_size(16 << 10).ok()?;
                while let Ok(n) = stream.write(event.as_bytes()) {
                    written.fetch_add(n as u64, Ordering::Relaxed);
                }
                kind == "flood"
            }
            // Closes the connection after 2 ms.
            "break" => {
                let mut byte = [0];
                let _ = stream.set_read_timeout(Some(Duration::from_millis(2)));
                let _ = reader.get_mut().read(&mut byte);
                let _ = closed.send(Instant::now());
                let _ = stream.shutdown(Shutdown::Both);
                return None;
            }
            // Four more events, then a stall.
            "five" => {
                stream.write_all(first.repeat(4).as_bytes()).ok()?;
                let _ = reader.read(&mut [0]);
                true
            }
            // One event every 100 ms.
            "drip" => {
                while stream.write_all(first.as_bytes()).is_ok() {
                    thread::sleep(Duration::from_millis(100));
                }
                false
            }
            // A stall after the first event.
            _ => {
                let _ = reader.read(&mut [0]);
                true
            }
        };
        if is_close_reported {
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
    fn start(program: &str, replicas: &[SocketAddr], sockets: u64) -> Gateway {
        Gateway::start_with(program, replicas, sockets, None)
    }

    /// Starts the program with further settings in HCL and with a list service that lists `replicas`.
    fn start_with(program: &str, replicas: &[SocketAddr], sockets: u64, settings: Option<&str>) -> Gateway {
        let second_ns = 1_000_000_000u64;
        let entries: Vec<_> = replicas
            .iter()
            .enumerate()
            .map(|(n, a)| {
                json!({"id": format!("s-{n}"), "addr": a.to_string(), "zone": "a", "kind": "k", "cell": 0,
                    "state": "ready", "weight": 1.0, "started_ms": 0})
            })
            .collect();
        let list = json!({"version": 2, "full": true, "servers": entries});
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let list_service = listener.local_addr().expect("an address");
        let list_text = list.to_string();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let _ = stream.read(&mut [0; 1024]);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let line = format!("{head}{:x}\r\n{list_text}\n\r\n", list_text.len() + 1);
                let _ = stream.write_all(line.as_bytes());
                while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                    thread::sleep(Duration::from_secs(1));
                }
            }
        });
        let config = json!({"name": "b", "listen": "127.0.0.1:0", "discovery": list_service.to_string(),
            "seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "known": list,
            "settings": {"group-size": 1, "me": 0, "zone": "a", "localities": ["a"], "shapes": ["k"],
                "discovery": "ask", "weight-source": "rough", "report": {"fields": []},
                "lanes": [{"name": "plain", "effect": "retryable", "promise-ns": 9 * second_ns,
                    "deadline-ns": 30 * second_ns, "stream": true, "points": 1.0}], "accounts": [],
                "policy-limits": {"send-cap": 1, "cancel": true, "conn-idle-ns": 5 * second_ns},
                "safety": {"cold-from": 1.0, "overload-factor": 2.5, "ask-within-ns": 60 * second_ns}}});
        let dir = std::env::temp_dir();
        let path = dir.join(format!("stream-bench-{}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("the file is written");
        let mut command = Command::new(program);
        if let Some(settings) = settings {
            let settings_path = dir.join(format!("stream-bench-{}.hcl", std::process::id()));
            std::fs::write(&settings_path, settings).expect("the file is written");
            command.env("TULIPRIDGE_SETTINGS", settings_path);
        }
        let mut child = command
            .env("EDGE_CONFIG", path)
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway starts");
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines().map_while(Result::ok);
        let line = lines.find(|l| l.contains(" listening ")).expect("the gateway listens");
        let addr = line.split("addr=\"").nth(1).and_then(|a| a.split('"').next()).expect("an address");
        let addr = addr.parse().expect("an address");
        thread::spawn(move || lines.for_each(drop));
        thread::sleep(Duration::from_millis(1200));
        Gateway { child, addr }
    }

    fn send_command(&self, command: &str) -> TcpStream {
        static ID: AtomicU64 = AtomicU64::new(1);
        let id = ID.fetch_add(1, Ordering::Relaxed);
        let mut stream = TcpStream::connect(self.addr).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket option");
        let text = format!(
            "POST /v1/chat/completions?{command} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {id:016x}\r\nX-Key: {id:x}\r\n\
            X-Deadline-Ms: 30000\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        stream.write_all(text.as_bytes()).expect("the request is sent");
        stream
    }

    /// CPU time of the process since its start, user and system.
    fn cpu_time(&self) -> Duration {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("the process runs");
        let after = stat.rsplit(')').next().expect("fields");
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks = |n: usize| fields[n].parse::<u64>().expect("a number");
        // A clock tick is 10 ms, the value of USER_HZ on the usual Linux systems.
        Duration::from_millis((ticks(11) + ticks(12)) * 10)
    }

    fn resident_bytes(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("the process runs");
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

fn read_first_event(stream: &mut TcpStream) {
    let (mut bytes, mut received) = ([0; 256], Vec::new());
    while !received.windows(2).any(|w| w == b"}\n") {
        let n = stream.read(&mut bytes).expect("a response");
        assert!(n > 0, "the stream ended: {}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&bytes[..n]);
    }
}

fn measure_breaks(program: &str) {
    println!("stop: from the break to the other side's connection being closed, in ms");
    println!("| kind | streams open | p50 | p99 | max | breaks |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for open in [10, 100, 500] {
        let (sender, closed) = channel();
        let replica = start_replica(sender, Arc::default());
        let gateway = Gateway::start(program, &[replica], LOAD_DESCRIPTORS);
        let (others, readers) = open_slow_streams(&gateway, open);
        for kind in
            ["leaver, silent", "leaver, flood", "reset, flood", "half close, silent", "server breaks"]
        {
            measure_break_kind(&gateway, kind, open, &closed);
        }
        close_streams(others, readers);
    }
}

fn measure_break_kind(gateway: &Gateway, kind: &str, open: usize, closed: &Receiver<Instant>) {
    let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).expect("three digits");
    let command = match kind {
        "server breaks" => "break",
        k if k.contains("flood") => "flood",
        _ => "silent",
    };
    for _ in 0..1000 {
        let mut client = gateway.send_command(command);
        read_first_event(&mut client);
        let duration = if kind == "server breaks" {
            // Reads until the client's connection is closed.
            let mut bytes = [0; 4096];
            while client.read(&mut bytes).is_ok_and(|n| n > 0) {}
            let now = Instant::now();
            now.saturating_duration_since(
                closed.recv_timeout(TIMEOUT).expect("the replica broke the stream"),
            )
        } else {
            if kind.starts_with("reset") {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("a socket option");
            }
            let broken_at = Instant::now();
            let open_client = if kind.starts_with("half") {
                client.shutdown(Shutdown::Write).expect("a half close");
                Some(client)
            } else {
                drop(client);
                None
            };
            let at = closed.recv_timeout(TIMEOUT).expect("the gateway closes the replica's connection");
            drop(open_client);
            at.saturating_duration_since(broken_at)
        };
        times.saturating_record(duration.as_micros() as u64);
    }
    print_row(kind, open, &times, &times.len().to_string());
}

/// Prints a row of a table: median, 99th percentile and maximum in ms, and the last column.
fn print_row(name: &str, open: usize, times: &Histogram<u64>, last_column: &str) {
    let ms = |us: u64| us as f64 / 1e3;
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!(
        "| {name} | {open} | {:.2} | {:.2} | {:.2} | {last_column} |",
        ms(p50),
        ms(p99),
        ms(times.max())
    );
}

/// Opens `count` streams with an event every 100 ms, each read by a thread.
fn open_slow_streams(gateway: &Gateway, count: usize) -> (Vec<TcpStream>, Vec<thread::JoinHandle<()>>) {
    let others: Vec<TcpStream> = (0..count).map(|_| gateway.send_command("drip")).collect();
    let readers = others
        .iter()
        .map(|s| {
            let mut stream = s.try_clone().expect("a clone");
            thread::spawn(move || while stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {})
        })
        .collect();
    (others, readers)
}

fn close_streams(others: Vec<TcpStream>, readers: Vec<thread::JoinHandle<()>>) {
    for stream in others {
        let _ = stream.shutdown(Shutdown::Both);
    }
    readers.into_iter().for_each(|r| drop(r.join()));
}

fn measure_unread_ends(program: &str) {
    println!("unread: to the replica's connection being closed, in ms; 200 streams of each");
    println!("| from | streams open | p50 | p99 | max | closed before the client heard |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for open in [10, 500] {
        let (sender, closed) = channel();
        let replica = start_replica(sender, Arc::default());
        // Longer than the interval of 100 ms between events of the other streams.
        let settings = "streams {\n  silence = \"200ms\"\n}\n";
        let gateway = Gateway::start_with(program, &[replica], LOAD_DESCRIPTORS, Some(settings));
        let (others, readers) = open_slow_streams(&gateway, open);
        for (start, is_client_close) in [("the client's close", true), ("the stall's end", false)] {
            let mut times = Histogram::<u64>::new_with_max(60_000_000, 3).expect("three digits");
            let mut closed_before = 0;
            for _ in 0..200 {
                let mut client = gateway.send_command(if is_client_close { "five" } else { "silent" });
                let duration = if is_client_close {
                    // A read can return several events, which are counted in all received bytes.
                    let (mut received, mut bytes) = (Vec::new(), [0; 4096]);
                    while received.windows(2).filter(|w| *w == b"}\n").count() < 5 {
                        let n = client.read(&mut bytes).expect("a response");
                        assert!(n > 0, "the stream ended");
                        received.extend_from_slice(&bytes[..n]);
                    }
                    let closed_at = Instant::now();
                    drop(client);
                    closed
                        .recv_timeout(TIMEOUT)
                        .expect("the gateway closes the replica's connection")
                        .saturating_duration_since(closed_at)
                } else {
                    while client.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {}
                    let ended_at = Instant::now();
                    let at =
                        closed.recv_timeout(TIMEOUT).expect("the gateway closes the replica's connection");
                    closed_before += usize::from(at <= ended_at);
                    at.saturating_duration_since(ended_at)
                };
                times.saturating_record(duration.as_micros() as u64);
            }
            print_row(start, open, &times, &format!("{closed_before} of 200"));
        }
        close_streams(others, readers);
    }
}

/// Opens streams and reads the first event of each, one at a time: a stand-in replica does not accept all at once.
fn open_streams(gateway: &Gateway, command: &str, count: u64) -> Vec<TcpStream> {
    let open_stream = |_| {
        let mut stream = gateway.send_command(command);
        read_first_event(&mut stream);
        stream
    };
    (0..count).map(open_stream).collect()
}

fn measure_paused_clients(program: &str) {
    println!("paused: 3 s after readers of a flood stopped, for each of them, in KiB");
    println!("| readers | taken from the server | process grew | and with silent streams |");
    println!("| --- | --- | --- | --- |");
    for count in [16, 100, 400] {
        let (sender, _closed) = channel();
        let written = Arc::new(AtomicU64::new(0));
        let replica = start_replica(sender, written.clone());
        let gateway = Gateway::start(program, &[replica], LOAD_DESCRIPTORS);
        let initial_bytes = gateway.resident_bytes();
        let readers = open_streams(&gateway, "floodhidden", count);
        thread::sleep(Duration::from_secs(3));
        let read_kib = written.load(Ordering::Relaxed) / count / 1024;
        let growth_kib = gateway.resident_bytes().saturating_sub(initial_bytes) / count / 1024;
        drop((readers, gateway));
        // Memory of a stream without buffered data.
        let gateway = Gateway::start(program, &[replica], LOAD_DESCRIPTORS);
        let initial_bytes = gateway.resident_bytes();
        let readers = open_streams(&gateway, "silent", count);
        let idle_kib = gateway.resident_bytes().saturating_sub(initial_bytes) / count / 1024;
        drop(readers);
        println!("| {count} | {read_kib} | {growth_kib} | {idle_kib} |");
    }
}

/// Copies bytes in one direction until the end of the stream.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = vec![0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut bytes) {
        if to.write_all(&bytes[..n]).is_err() {
            return;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// CPU time of a thread that copies a replica's response to a client, without any other work.
fn copy_cpu_time(replica: SocketAddr, command: &str) -> Duration {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (sender, cpu_time) = channel();
    thread::spawn(move || {
        let client = listener.accept().expect("a client").0;
        let upstream = TcpStream::connect(replica).expect("a replica");
        upstream.set_nodelay(true).expect("a socket option");
        let (to_replica, from_client) =
            (upstream.try_clone().expect("a clone"), client.try_clone().expect("a clone"));
        thread::spawn(move || copy(from_client, to_replica));
        copy(upstream, client);
        let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat").expect("the process runs");
        let nanos: u64 = schedstat.split(' ').next().and_then(|n| n.parse().ok()).expect("a time");
        let _ = sender.send(Duration::from_nanos(nanos));
    });
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.write_all(format!("POST /?{command} HTTP/1.1\r\n\r\n").as_bytes()).expect("the request is sent");
    read_to_end(&mut stream);
    let _ = stream.shutdown(Shutdown::Both);
    drop(stream);
    cpu_time.recv_timeout(TIMEOUT).expect("the copy ends")
}

fn read_to_end(stream: &mut TcpStream) -> u64 {
    let (mut bytes, mut total, mut tail) = (vec![0; 256 << 10], 0, Vec::new());
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket option");
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
            Err(e) => panic!("read failed after {total} bytes: {e}"),
        }
    }
}

fn measure_throughput(program: &str) {
    println!(
        "pass: CPU of the gateway for a fast stream, and of a plain copy with 16 KiB reads in the same run"
    );
    println!(
        "| event | MiB | ms for each MiB | µs for each event | plain copy, ms for each MiB | ratio | MiB/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (size, mib) in [(120, 128), (4096, 512), (32 << 10, 512)] {
        let (sender, _closed) = channel();
        let replica = start_replica(sender, Arc::default());
        let gateway = Gateway::start(program, &[replica], MACHINE_DESCRIPTORS);
        let count = (mib << 20) / size;
        let command = format!("send-{size}-{count}");
        let (initial_cpu_time, started_at) = (gateway.cpu_time(), Instant::now());
        let mut stream = gateway.send_command(&command);
        let bytes = read_to_end(&mut stream);
        let (gateway_cpu_time, duration) = (gateway.cpu_time() - initial_cpu_time, started_at.elapsed());
        let copy_time = copy_cpu_time(replica, &command);
        let mib = bytes as f64 / f64::from(1 << 20);
        let ms_per_mib = |t: Duration| t.as_secs_f64() * 1e3 / mib;
        println!(
            "| {size} | {mib:.0} | {:.2} | {:.2} | {:.2} | {:.1} | {:.0} |",
            ms_per_mib(gateway_cpu_time),
            gateway_cpu_time.as_secs_f64() * 1e6 / count as f64,
            ms_per_mib(copy_time),
            ms_per_mib(gateway_cpu_time) / ms_per_mib(copy_time),
            mib / duration.as_secs_f64()
        );
    }
}

fn measure_single_events(program: &str) {
    println!(
        "paced: CPU of the gateway for events of 120 bytes that come one by one, on 16 streams at once"
    );
    println!("| events | µs for each event | plain copy, µs for each event |");
    println!("| --- | --- | --- |");
    let (sender, _closed) = channel();
    let replica = start_replica(sender, Arc::default());
    let gateway = Gateway::start(program, &[replica], MACHINE_DESCRIPTORS);
    let (streams, count) = (16, 3_000);
    let command = format!("paced-120-{count}");
    let initial_cpu_time = gateway.cpu_time();
    let opened: Vec<TcpStream> = (0..streams).map(|_| gateway.send_command(&command)).collect();
    let readers: Vec<_> =
        opened.into_iter().map(|mut s| thread::spawn(move || read_to_end(&mut s))).collect();
    for reader in readers {
        reader.join().expect("a reader");
    }
    let gateway_cpu_time = gateway.cpu_time() - initial_cpu_time;
    let copy_time = copy_cpu_time(replica, &command);
    let us_per_event = |t: Duration, n: u32| t.as_secs_f64() * 1e6 / f64::from(n);
    let event_count = streams * count;
    println!(
        "| {event_count} | {:.1} | {:.1} |",
        us_per_event(gateway_cpu_time, event_count),
        us_per_event(copy_time, count)
    );
}

/// Counts healthy streams that a stall timeout cuts, in simulated time. Events arrive every 15 to 30 ms, with
/// occasional pauses of 200 to 600 ms and rare ones of 600 ms to `longest`.
fn measure_stall_timeouts() {
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
        let mut random = |bound: u64| {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (seed >> 33) % bound
        };
        let mut cut_counts = [0; 3];
        let mut detection_ms = Histogram::<u64>::new_with_max(60_000_000, 3).expect("three digits");
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
                        cut_counts[n] += 1;
                        break;
                    }
                    relay.record_arrival(now, &Arrival { bytes: 120, events: 1, ..Arrival::default() });
                }
                if let (0, Some(due)) = (n, relay.due()) {
                    detection_ms.saturating_record((due - now) / 1_000_000);
                }
                relay.replica_ended(now, End::Complete);
            }
        }
        let [short, mid, long] = cut_counts;
        println!("| {name} | {short} | {mid} | {long} | {} |", detection_ms.value_at_quantile(0.5));
    }
}
