//! A stand-in for a replica. It runs a request for the milliseconds that end its path, and answers as PROTOCOL.md says.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Head};
use crate::record::Record;

/// The pieces of an answer without a length.
pub const PIECES: u64 = 10;

/// How a replica answers.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Without a length, in pieces that are spread over the time of the run: the answer ends with its connection.
    WithoutLength,
    /// Without a length, and begun before the body of the request is read.
    Early(Rest),
    /// Without a length, each piece in two halves with a pause between them. A stream goes on at `Last-Event-Id`.
    InHalves,
}

/// How an early answer goes on.
#[derive(Clone, Copy, Debug)]
pub enum Rest {
    /// The replica reads the body of the request halfway through its answer.
    ReadsSoon,
    /// The replica reads the body after the first piece of its answer, which takes [`LATE_MS`].
    ReadsFirst,
    /// The replica reads the body after its answer, which takes [`LATE_MS`].
    ReadsLate,
    /// The replica closes the connection halfway, which resets it, since the body is unread.
    BreaksOff,
}

/// How long an answer of [`Rest::ReadsFirst`] and [`Rest::ReadsLate`] takes.
const LATE_MS: u64 = 6_000;

/// The requests that a replica works on at once.
pub const CAPACITY: usize = 8;
/// The requests that wait at a replica; further ones are turned away.
const QUEUE: usize = 4;

/// The places of a replica: how many requests run, and how many are there in all.
#[derive(Default)]
struct Places {
    counts: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Places {
    /// Waits for one of the [`CAPACITY`] places. Returns false at once if the queue is full.
    fn enter(&self) -> bool {
        let Ok(mut counts) = self.counts.lock() else { return false };
        if counts.1 >= CAPACITY + QUEUE {
            return false;
        }
        counts.1 += 1;
        while counts.0 >= CAPACITY {
            counts = match self.freed.wait(counts) {
                Ok(counts) => counts,
                Err(_) => return false,
            };
        }
        counts.0 += 1;
        true
    }

    fn leave(&self) {
        if let Ok(mut counts) = self.counts.lock() {
            counts.0 -= 1;
            counts.1 -= 1;
            self.freed.notify_one();
        }
    }
}

/// An entry of the platform's list.
#[derive(Clone, Debug)]
pub struct Replica {
    pub ident: String,
    pub service: String,
    pub address: SocketAddr,
}

impl Replica {
    /// Starts a replica on a free port of this process.
    pub fn start(ident: &str, service: &str, answer: Answer, record: &Arc<Record>) -> io::Result<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let replica = Replica { ident: ident.to_owned(), service: service.to_owned(), address };
        let (served, record, places) = (replica.clone(), record.clone(), Arc::new(Places::default()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (replica, answer, record, places) =
                    (served.clone(), answer.clone(), record.clone(), places.clone());
                thread::spawn(move || {
                    let _ = serve(stream, &replica, &answer, &places, &record);
                });
            }
        });
        Ok(replica)
    }
}

/// A replica in a process of its own.
pub struct ReplicaProcess {
    pub replica: Replica,
    pub child: Child,
}

impl ReplicaProcess {
    /// Starts a replica that answers [`Answer::InHalves`]. The process is listed in `folder` to be ended at last.
    pub fn start(ident: &str, service: &str, folder: &Path, record: &Record) -> io::Result<ReplicaProcess> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["replica", ident, service])
            .arg(record.path())
            .arg(record.start_ms().to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut pids = File::options().create(true).append(true).open(folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            BufReader::new(output).read_line(&mut line)?;
        }
        let address = line.trim().parse().map_err(|_| io::Error::other("a replica did not start"))?;
        let replica = Replica { ident: ident.to_owned(), service: service.to_owned(), address };
        Ok(ReplicaProcess { replica, child })
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs as the process of a replica: serves until it is killed.
pub fn run_process(arguments: &[String]) -> io::Result<()> {
    let [ident, service, record, start_ms] = arguments else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let start = Record::time_of_ms(start_ms.parse().map_err(|_| io::ErrorKind::InvalidInput)?);
    let record = Arc::new(Record::open(Path::new(record), start)?);
    let replica = Replica::start(ident, service, Answer::InHalves, &record)?;
    println!("{}", replica.address);
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

/// The whole body of the answer to a request.
pub fn whole_body(attempt_id: &str) -> Vec<u8> {
    (0..PIECES).flat_map(|number| piece(attempt_id, number)).collect()
}

/// A piece of the answer, which is an event of a stream.
fn piece(attempt_id: &str, number: u64) -> Vec<u8> {
    format!("id: {}\ndata: {attempt_id} {:060}\n\n", number + 1, number + 1).into_bytes()
}

fn serve(
    stream: TcpStream,
    replica: &Replica,
    answer: &Answer,
    places: &Places,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut stream)? {
        if let (Answer::Early(rest), Some(attempt_id)) = (answer, head.get("attempt-id")) {
            return run_early(stream, replica, *rest, &head, attempt_id, record);
        }
        http::read_request_body(&mut stream, &head)?;
        let (method, target) = head.request();
        if method == "GET" && target == "/health" {
            let response =
                format!("HTTP/1.1 200 OK\r\nServer-Id: {}\r\nContent-Length: 0\r\n\r\n", replica.ident);
            stream.get_mut().write_all(response.as_bytes())?;
            continue;
        }
        let Some(attempt_id) = head.get("attempt-id") else {
            stream
                .get_mut()
                .write_all(b"HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        };
        if head.get("meant-server").is_some_and(|meant| meant != replica.ident) {
            let response = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt_id}\r\nServer-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                replica.ident
            );
            stream.get_mut().write_all(response.as_bytes())?;
            continue;
        }
        if !places.enter() {
            turn_away(stream.get_mut(), replica, attempt_id, record)?;
            continue;
        }
        let outcome = run(stream.get_mut(), replica, answer, &head, attempt_id, target, record);
        places.leave();
        if !outcome? {
            return Ok(());
        }
    }
    Ok(())
}

/// Answers that the replica is full: 503 with `Not-Run`.
fn turn_away(
    stream: &mut TcpStream,
    replica: &Replica,
    attempt_id: &str,
    record: &Record,
) -> io::Result<()> {
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {attempt_id}\r\nNot-Run: 1\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(response.as_bytes())?;
    record.line(&format!("{}: {attempt_id} is turned away with 503, Not-Run", replica.ident));
    Ok(())
}

/// Runs a request and answers it. Returns whether the connection is kept.
fn run(
    stream: &mut TcpStream,
    replica: &Replica,
    answer: &Answer,
    head: &Head,
    attempt_id: &str,
    target: &str,
    record: &Record,
) -> io::Result<bool> {
    let time = target.rsplit('/').next().and_then(|time| time.parse().ok()).unwrap_or(0);
    let content_type = if !target.starts_with("/work/") && !target.starts_with("/other/") {
        "text/event-stream"
    } else {
        "application/octet-stream"
    };
    let seal = format!("seal.{}.{attempt_id}", replica.ident);
    record.line(&format!(
        "{}: runs {attempt_id} {target} (Customer {}, Time-Left-Ms {})",
        replica.ident,
        head.get("customer").unwrap_or("-"),
        head.get("time-left-ms").unwrap_or("-")
    ));
    let start = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Seal: {seal}\r\nContent-Type: {content_type}\r\n"
    );
    match answer {
        // Answered by `run_early`.
        Answer::Early(_) => Ok(false),
        Answer::WithoutLength => {
            stream.write_all(format!("{start}Connection: close\r\n\r\n").as_bytes())?;
            for number in 0..PIECES {
                thread::sleep(Duration::from_millis(time / PIECES));
                if let Err(error) = stream.write_all(&piece(attempt_id, number)) {
                    record.line(&format!(
                        "{}: {attempt_id} was broken off by its caller: {error}",
                        replica.ident
                    ));
                    return Err(error);
                }
            }
            record.line(&format!("{}: {attempt_id} is answered whole", replica.ident));
            Ok(false)
        }
        Answer::InHalves => {
            let first = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
            stream.write_all(format!("{start}Connection: close\r\n\r\n").as_bytes())?;
            for number in first..PIECES {
                let piece = piece(attempt_id, number);
                let (half, rest) = piece.split_at(piece.len() / 2);
                stream.write_all(half)?;
                thread::sleep(Duration::from_millis(time / PIECES));
                stream.write_all(rest)?;
            }
            record.line(&format!(
                "{}: {attempt_id} is answered whole from event {}",
                replica.ident,
                first + 1
            ));
            Ok(false)
        }
    }
}

/// Runs a request whose body is not read yet, and answers it as `rest` says.
fn run_early(
    mut stream: BufReader<TcpStream>,
    replica: &Replica,
    rest: Rest,
    head: &Head,
    attempt_id: &str,
    record: &Record,
) -> io::Result<()> {
    let length = head.get("content-length").unwrap_or("0");
    let name = &replica.ident;
    record.line(&format!("{name}: runs {attempt_id}, with a body of {length} bytes that is not read yet"));
    let start = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Seal: seal.{name}.{attempt_id}\r\n\
         Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n"
    );
    stream.get_mut().write_all(start.as_bytes())?;
    let is_long = matches!(rest, Rest::ReadsFirst | Rest::ReadsLate);
    let pause_ms = if is_long { LATE_MS / PIECES } else { 50 };
    for number in 0..PIECES {
        match rest {
            Rest::ReadsSoon if number == PIECES / 2 => {
                http::read_request_body(&mut stream, head)?;
            }
            Rest::ReadsFirst if number == 1 => {
                http::read_request_body(&mut stream, head)?;
            }
            Rest::BreaksOff if number == PIECES / 2 => {
                record.line(&format!(
                    "{name}: breaks off the answer to {attempt_id} after {number} of {PIECES} pieces and closes \
                     the connection, with the body unread"
                ));
                return Ok(());
            }
            _ => {}
        }
        if let Err(error) = stream.get_mut().write_all(&piece(attempt_id, number)) {
            record.line(&format!(
                "{name}: {attempt_id} was broken off by its caller after {number} of {PIECES} pieces: {error}"
            ));
            return Err(error);
        }
        thread::sleep(Duration::from_millis(pause_ms));
    }
    if matches!(rest, Rest::ReadsLate) {
        if let Err(error) = http::read_request_body(&mut stream, head) {
            record.line(&format!("{name}: {attempt_id} was broken off by its caller: {error}"));
            return Err(error);
        }
    }
    record.line(&format!("{name}: {attempt_id} is answered whole, and the body of its request is read"));
    Ok(())
}
