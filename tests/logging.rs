//! A log that nobody takes, or takes slowly: the program serves on at its pace and ends in time.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{ChildStderr, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use support::*;

/// Lines that the tests make the program write: at some 200 bytes a line far more than a pipe's 64 KiB and the
/// program's own queue hold together.
const LINES: usize = 2400;
/// The longest that one answer may take here. It is milliseconds on a machine with nothing else to do; a program
/// that waits for its log never answers at all.
const PACE: Duration = Duration::from_secs(5);

/// The program with its standard error in the test's hands, read up to where both fronts listen.
fn unread(server: &StandInReplica) -> (Gateway, BufReader<ChildStderr>) {
    let servers = vec![replica_entry(0, server, "ready", 0)];
    let (mut child, discovery) = Gateway::spawn("n0", "platform", servers, 1, (1024, 1024), json!({}));
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut lines = Vec::new();
    while lines.iter().filter(|l: &&String| l.contains(" listening ")).count() < 2 {
        let mut line = String::new();
        assert!(log.read_line(&mut line).expect("readable") > 0, "it ended: {lines:?}");
        lines.push(line);
    }
    (Gateway::attach_with_log(child, discovery, lines.into_iter()), log)
}

/// Has a line written at level info, by bytes that are no request.
fn noise(gateway: &Gateway, front: &str) {
    answers(gateway, front, "nonsense\r\n\r\n", 400);
}

/// These bytes get an answer of that status in time.
fn answers(gateway: &Gateway, front: &str, bytes: &str, status: u16) {
    let mut stream = gateway.connect(front);
    stream.set_read_timeout(Some(PACE)).expect("a time-out");
    stream.write_all(bytes.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer in time");
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
}

/// Both fronts and the health check answer in time.
fn serves(gateway: &Gateway) {
    for (session, front) in ["platform", "messages"].into_iter().enumerate() {
        let from = Instant::now();
        let stream = gateway.send(front, "plain", 9000, session);
        stream.set_read_timeout(Some(PACE)).expect("a time-out");
        assert_eq!(read_outcome(front, stream).0, ClientOutcome::Served("Hello".into()));
        answers(gateway, front, "GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 200);
        assert!(from.elapsed() < PACE, "{front}: {:?}", from.elapsed());
    }
}

/// Stops it, which must not wait for the log.
fn stops(mut gateway: Gateway) {
    let from = Instant::now();
    let (tell, ended) = channel();
    gateway.signal("-TERM");
    let stopping = thread::spawn(move || {
        let code = gateway.child.wait().expect("it ends").code();
        let _ = tell.send(());
        (gateway, code)
    });
    ended.recv_timeout(PACE).expect("it ends in time");
    assert_eq!(stopping.join().expect("whole").1, Some(0), "after {:?}", from.elapsed());
}

/// How many lines of the text say this.
fn said(log: &str, word: &str) -> usize {
    log.lines().filter(|l| l.contains(word)).count()
}

/// The lines that the program says it lost on that way, and how often it said so.
fn lost(log: &str, way: &str) -> (usize, usize) {
    let mut counts = Vec::new();
    for line in log.lines().filter(|l| l.contains(" log-lost ")) {
        assert!(line.contains(&format!("way=\"{way}\"")), "{line}");
        let count = line.split_once("lines=\"").expect("a count").1.split('"').next().expect("a count");
        counts.push(count.parse::<usize>().expect("a number"));
    }
    (counts.iter().sum(), counts.len())
}

#[test]
fn a_full_pipe_delays_no_answer_and_no_end_and_what_it_cost_is_said() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, mut log) = unread(&server);
    for n in 0..LINES {
        noise(&gateway, ["platform", "messages"][n % 2]);
    }
    serves(&gateway);
    // Somebody reads again: what fitted comes in its order, then how many did not.
    let (lines, read) = channel();
    let reader = thread::spawn(move || {
        let mut text = String::new();
        let mut line = String::new();
        while log.read_line(&mut line).expect("readable") > 0 {
            if line.contains(" log-lost ") {
                let _ = lines.send(());
            }
            text += &std::mem::take(&mut line);
        }
        text
    });
    read.recv_timeout(TEST_TIMEOUT).expect("the count is said when there is room");
    serves(&gateway);
    stops(gateway);
    let text = reader.join().expect("whole");
    let (lines, times) = lost(&text, "stderr");
    assert_eq!(said(&text, " bad-request ") + lines, LINES, "each line is there or counted");
    assert!(lines > 0 && times == 1, "{lines} lost in {times} lines");
    let times: Vec<&str> = text.lines().map(|l| l.split(' ').nth(1).expect("a time")).collect();
    assert!(times.is_sorted(), "in the order in which they were written");
    assert_eq!(said(&text, " stopped "), 1, "the last line is written");
}

#[test]
fn a_pipe_that_is_never_read_holds_up_neither_service_nor_the_end() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, _log) = unread(&server);
    for n in 0..LINES {
        noise(&gateway, ["platform", "messages"][n % 2]);
    }
    serves(&gateway);
    stops(gateway);
}

#[test]
fn a_pipe_that_is_read_slowly_delays_no_answer() {
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, mut log) = unread(&server);
    let (enough, told) = channel::<()>();
    let reader = thread::spawn(move || {
        // Far less than is written.
        let mut bytes = [0; 512];
        while told.recv_timeout(Duration::from_millis(200)).is_err() {
            if log.read(&mut bytes).expect("readable") == 0 {
                break;
            }
        }
        log
    });
    let from = Instant::now();
    for n in 0..LINES {
        noise(&gateway, ["platform", "messages"][n % 2]);
        // At the reader's pace they would take minutes.
        assert!(from.elapsed() < TEST_TIMEOUT, "{n} lines took that long");
    }
    serves(&gateway);
    stops(gateway);
    enough.send(()).expect("it still reads");
    drop(reader.join().expect("whole"));
}

/// The next line that a collector is sent.
fn counted(reader: &mut BufReader<TcpStream>) -> String {
    let mut count = Vec::new();
    reader.read_until(b' ', &mut count).expect("a count");
    let count = String::from_utf8(count).expect("UTF-8").trim_end().parse().expect("a count");
    let mut line = vec![0; count];
    reader.read_exact(&mut line).expect("a line");
    String::from_utf8(line).expect("UTF-8")
}

#[test]
fn a_collector_that_comes_back_gets_the_count_of_lost_lines() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let server = start_replica("platform", ReplicaBehavior::Serve);
    let (child, discovery) = Gateway::spawn(
        "n0",
        "platform",
        vec![replica_entry(0, &server, "ready", 0)],
        1,
        (1024, 1024),
        json!({"syslog": {"tcp": addr.to_string()}}),
    );
    let mut first = BufReader::new(listener.accept().expect("a connection").0);
    let mut lines = Vec::new();
    while lines.iter().filter(|l: &&String| l.contains(" listening ")).count() < 2 {
        lines.push(counted(&mut first));
    }
    let gateway = Gateway::attach_with_log(child, discovery, lines.into_iter());
    drop((first, listener));
    for n in 0..LINES {
        noise(&gateway, ["platform", "messages"][n % 2]);
    }
    let listener = TcpListener::bind(addr).expect("the same port");
    let mut again = BufReader::new(listener.accept().expect("it comes back").0);
    let mut text = String::new();
    while !text.contains(" log-lost ") {
        text += &(counted(&mut again) + "\n");
    }
    let (lines, _) = lost(&text, "collector");
    // Some may have been on their way to the collector when it went.
    assert!(lines > 0 && said(&text, " bad-request ") + lines <= LINES, "{lines} lost");
    serves(&gateway);
    stops(gateway);
}

#[test]
fn a_panics_message_comes_out_behind_the_lines_before_it() {
    const ROLE: &str = "TULIPRIDGE_TEST_PANICS";
    if std::env::var_os(ROLE).is_some() {
        // The other side of this test, in a process of its own, whose log is not the test's.
        let limits = tulipridge::limits::Limits::new(1024, 192, PACE, PACE);
        let _log = tulipridge::syslog::start("n0", false, &limits).expect("a log");
        log::error!("before: it still runs");
        panic!("out of\ncheese");
    }
    let me = std::env::current_exe().expect("a path");
    let mut child = Command::new(me)
        .args(["--exact", "a_panics_message_comes_out_behind_the_lines_before_it", "--nocapture"])
        .env(ROLE, "1")
        .env("RUST_LOG", "info")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut text = String::new();
    child.stderr.take().expect("piped").read_to_string(&mut text).expect("UTF-8");
    assert!(!child.wait().expect("it ends").success());
    let at = |word: &str| text.find(word).unwrap_or_else(|| panic!("{word} is missing: {text}"));
    assert!(at(" panicked ") > at(" before "), "{text}");
    assert!(text.contains("out of\\ncheese") && text.contains("at=\"tests/logging.rs:"), "{text}");
}
