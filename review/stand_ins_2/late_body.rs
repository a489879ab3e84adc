//! SIGHUP of an edge machine, while a sound replica answers before it has read a long body and reads on later.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::*;

const REQUESTS: usize = 5;
const BODY_BYTES: usize = 2 << 20;
/// The answer: pieces of a chunked body, one every half second.
const PIECES: usize = 13;
const PAUSE: Duration = Duration::from_millis(500);
/// The piece before which the replica reads the rest of the request, with the disruption and without it.
const LATE: usize = 10;
const EARLY: usize = 1;

/// How each request ended at the replica, by its id.
type Ends = Arc<Mutex<Vec<(String, String)>>>;

pub fn run(record: &Record) -> Any<Option<String>> {
    let deployment = Deployment::start(record, 3, 1)?;
    let ends = Ends::default();
    let read_before = if has_trouble() { LATE } else { EARLY };
    let mut address = None;
    for index in 0..2u8 {
        let listener = TcpListener::bind(SocketAddr::from((deployment.ip(150 + index), 0)))?;
        address = Some(listener.local_addr()?);
        deployment.platform.add(&format!("i-{index}"), listener.local_addr()?);
        let (record, ends) = (record.clone(), ends.clone());
        serve(listener, move |stream| replica(stream, &record, &ends, index, read_before));
    }
    let route = route("r1", "/a/", "risky", false, true).replace("\"timeLimitMs\":8000", "\"timeLimitMs\":15000");
    if deployment.put(0, &configuration(5, &[route], None))? != 200 {
        return Err("the configuration was refused".into());
    }
    deployment.wait_ready()?;
    thread::sleep(Duration::from_secs(4)); // in touch, and planned work of the configuration is over

    // A caller without the proxy shows that the replica is sound.
    let direct = send(record, address.ok_or("no replica")?, 0);
    if !direct.as_ref().is_ok_and(|answer| answer.is_complete && answer.status() == 200) {
        return Err("a caller without the proxy got no whole answer".into());
    }

    deployment.edges[0].agent.signal("HUP");
    deployment.edges[0].proxy.signal("HUP");
    record.line("platform: SIGHUP to both processes of the edge machine");
    thread::sleep(Duration::from_millis(300));
    let front = deployment.edges[0].front;
    let threads: Vec<_> = (1..=REQUESTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || send(&record, front, number).is_ok_and(|answer| answer.is_complete))
        })
        .collect();
    let whole = threads.into_iter().filter_map(|thread| thread.join().ok()).filter(|whole| *whole).count();
    thread::sleep(Duration::from_secs(4)); // the replicas come to see how their connections ended
    for (id, end) in ends.lock().unwrap().iter() {
        record.line(format!("replica: {id} {end}"));
    }
    let lost = REQUESTS - whole;
    record.line(format!("{lost} of {REQUESTS} requests that were sent 0.3 s after SIGHUP had no complete answer"));
    Ok((lost > 0).then(|| format!("LOST: {lost} of {REQUESTS} requests after SIGHUP had no complete answer")))
}

fn send(record: &Record, to: SocketAddr, number: usize) -> std::io::Result<Message> {
    let id = format!("{:016x}", number + 1);
    let headers = [("Attempt-Id", id.as_str()), ("Time-Left-Ms", "15000")];
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(16)))?;
    let message = request("POST", "/a/x", &headers, &vec![b'x'; BODY_BYTES]);
    // The answer may begin before the body is written, so both go on at once.
    let mut writer = stream.try_clone()?;
    let sender = thread::spawn(move || writer.write_all(&message));
    let answer = read_message(&mut stream, &mut Vec::new(), true);
    let _ = sender.join();
    let text = match &answer {
        Ok(answer) => {
            let end = if answer.is_complete { "whole" } else { "cut off before its last chunk" };
            format!("{}, seal '{}', {} bytes, {end}", answer.status(), answer.get("server-seal"), answer.body.len())
        }
        Err(error) => format!("no answer: {error}"),
    };
    let by = if number == 0 { "caller without the proxy" } else { "client" };
    record.line(format!("{by}: {id} -> {text}, after {} ms", started.elapsed().as_millis()));
    answer
}

fn replica(mut stream: TcpStream, record: &Record, ends: &Ends, index: u8, read_before: usize) {
    let mut buffer = Vec::new();
    while let Some((start, id, length)) = read_head(&mut stream, &mut buffer) {
        if id.is_empty() {
            if write_json(&mut stream, "404 Not Found", "{}").is_err() {
                return;
            }
            continue;
        }
        record.line(format!("replica i-{index}: runs {id} {start}, with {length} bytes to come"));
        let end = match answer(&mut stream, &mut buffer, &id, index, length, read_before) {
            Ok(()) => "was answered whole".to_owned(),
            Err(error) => format!("was still at work when its connection failed: {error}"),
        };
        let is_over = !end.starts_with("was answered");
        ends.lock().unwrap().push((id, end));
        if is_over {
            return;
        }
    }
}

/// Answers in chunks, and reads the body of the request before the piece `read_before`.
fn answer(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    id: &str,
    index: u8,
    length: usize,
    read_before: usize,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: i-{index}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for piece in 0..PIECES {
        if piece == read_before {
            let mut bytes = [0; 65_536];
            while buffer.len() < length {
                match stream.read(&mut bytes)? {
                    0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                    count => buffer.extend_from_slice(&bytes[..count]),
                }
            }
            buffer.drain(..length);
        }
        stream.write_all(format!("6\r\np{piece:04}\n\r\n").as_bytes())?;
        thread::sleep(PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Reads the head of a request: its start line, its id, and the length of its body.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String, usize)> {
    let mut bytes = [0; 4096];
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&bytes[..count]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let value = |name: &str| {
        let found = head.lines().filter_map(|line| line.split_once(':')).find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim().to_owned()).unwrap_or_default()
    };
    Some((head.lines().next()?.to_owned(), value("attempt-id"), value("content-length").parse().unwrap_or(0)))
}
