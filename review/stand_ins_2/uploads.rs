//! A burst of clients that send long bodies, each within the caps of the configuration.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::*;

/// `bodySizeBytes` of the configuration.
const CAP_BYTES: usize = 4_194_304;
/// Clients that send a long body at once, usually and in the burst: 1.68 times as many.
const USUAL: usize = 22;
const BURST: usize = 37;
/// Requests with a short body, which are sent meanwhile.
const SHORT: usize = 12;
const SHORT_BYTES: usize = 17_000;
/// `timeLimitMs` of both routes, and the time that the clients wait.
const LIMIT: Duration = Duration::from_millis(4000);
const TIME_LEFT: Duration = Duration::from_millis(8000);
/// Long bodies are sent in packets of 64 KiB with this pause, so within about 2.6 s: 37 of them take less than half of a
/// link of 1,000 Mbit/s.
const PAUSE: Duration = Duration::from_millis(40);
/// The rule allows half a second after the limit.
const SLACK: Duration = Duration::from_millis(500);

/// What became of a request.
struct Outcome {
    is_long: bool,
    /// The status, and the time from the first byte of the request to the answer or to the end of the connection.
    answer: Option<u16>,
    after: Duration,
}

pub fn run(record: &Record) -> Any<Option<String>> {
    let deployment = Deployment::start(record, 3, 1)?;
    let runs = Arc::new(Mutex::new(0_usize));
    for index in 0..3u8 {
        let listener = TcpListener::bind(SocketAddr::from((deployment.ip(150 + index), 0)))?;
        deployment.platform.add(&format!("i-{index}"), listener.local_addr()?);
        let (record, runs) = (record.clone(), runs.clone());
        serve(listener, move |stream| replica(stream, &record, &runs, index));
    }
    let limit = format!("\"timeLimitMs\":{}", LIMIT.as_millis());
    let routes = [
        route("long", "/long/", "harmless", false, true).replace("\"timeLimitMs\":8000", &limit),
        route("short", "/short/", "harmless", false, true).replace("\"timeLimitMs\":8000", &limit),
    ];
    if deployment.put(0, &configuration(5, &routes, None))? != 200 {
        return Err("the configuration was refused".into());
    }
    deployment.wait_ready()?;
    thread::sleep(Duration::from_secs(4)); // the machine is in touch after contactMs

    let front = deployment.edges[0].front;
    let count = if has_trouble() { BURST } else { USUAL };
    record.line(format!("{count} clients send a body of {} bytes each, over about 2.6 s", CAP_BYTES - 1024));
    let long = (0..count).map(|number| {
        let record = record.clone();
        thread::spawn(move || send(&record, front, number, true))
    });
    let mut threads: Vec<_> = long.collect();
    thread::sleep(Duration::from_millis(2800));
    record.line(format!("{SHORT} clients send a body of {SHORT_BYTES} bytes each, in two packets"));
    threads.extend((0..SHORT).map(|number| {
        let record = record.clone();
        thread::sleep(Duration::from_millis(20));
        thread::spawn(move || send(&record, front, 1000 + number, false))
    }));
    let outcomes: Vec<Outcome> = threads.into_iter().filter_map(|thread| thread.join().ok()?.ok()).collect();
    let mut broken = None;
    for (is_long, name) in [(true, "long"), (false, "short")] {
        let all: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.is_long == is_long).collect();
        let served = all.iter().filter(|outcome| outcome.answer == Some(200)).count();
        let open = all.iter().filter(|outcome| outcome.after > LIMIT).count();
        let late = all.iter().filter(|outcome| outcome.after > LIMIT + SLACK).count();
        let text = format!(
            "{name} bodies: {} requests, {served} served; {open} unanswered at the route's limit, {late} of these half \
             a second later",
            all.len()
        );
        record.line(&text);
        if late >= 8 && late * 2 > open {
            broken = Some(format!("{}CONFIG: {text}", broken.map(|text| format!("{text}; ")).unwrap_or_default()));
        }
    }
    let alive = call(deployment.edges[0].ready, "GET", "/ready", &[], b"", Duration::from_secs(1))?.status();
    record.line(format!("the replicas ran {} requests; /ready answers {alive} at the end", runs.lock().unwrap()));
    if outcomes.len() != count + SHORT {
        return Err(format!("{} of {} clients could not run", count + SHORT - outcomes.len(), count + SHORT).into());
    }
    Ok(broken)
}

fn send(record: &Record, front: SocketAddr, number: usize, is_long: bool) -> std::io::Result<Outcome> {
    let id = format!("{:016x}", number + 1);
    let time_left = TIME_LEFT.as_millis().to_string();
    let (path, bytes) = if is_long { ("/long/a", CAP_BYTES - 1024) } else { ("/short/a", SHORT_BYTES) };
    let headers = [("Attempt-Id", id.as_str()), ("Time-Left-Ms", time_left.as_str())];
    let message = request("POST", path, &headers, &vec![b'x'; bytes]);
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIME_LEFT + Duration::from_secs(2)))?;
    stream.set_write_timeout(Some(TIME_LEFT + Duration::from_secs(2)))?;
    let started = Instant::now();
    let packet = if is_long { 65_536 } else { 10_000 };
    for part in message.chunks(packet) {
        // An answer may come before the end of the body; then the rest can't be written.
        if stream.write_all(part).is_err() {
            break;
        }
        thread::sleep(PAUSE);
    }
    let answer = read_message(&mut stream, &mut Vec::new(), true);
    let after = started.elapsed();
    let text = answer.as_ref().map_or_else(|error| format!("no answer: {error}"), |answer| answer.status().to_string());
    record.line(format!("client: {id} {path} -> {text} after {} ms", after.as_millis()));
    Ok(Outcome { is_long, answer: answer.ok().map(|answer| answer.status()), after })
}

/// Reads each request whole and answers 200.
fn replica(mut stream: TcpStream, record: &Record, runs: &Mutex<usize>, index: u8) {
    let mut buffer = Vec::new();
    while let Ok(message) = read_message(&mut stream, &mut buffer, false) {
        let id = message.get("attempt-id").to_owned();
        if id.is_empty() {
            if write_json(&mut stream, "404 Not Found", "{}").is_err() {
                return;
            }
            continue;
        }
        if !message.is_complete {
            return;
        }
        *runs.lock().unwrap() += 1;
        record.line(format!("replica i-{index}: runs {id}, a body of {} bytes", message.body.len()));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: i-{index}.{id}\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
