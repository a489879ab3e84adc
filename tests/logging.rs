//! A log whose reader is slow, absent or gone: the program serves requests without delay and exits in time.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{ChildStderr, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use support::*;

/// Log lines that a test causes: at about 200 bytes a line far more than a pipe's 64 KiB and the program's queue can
/// buffer together.
const LINE_COUNT: usize = 2400;
/// Maximum time for a response or an exit. It takes milliseconds on an idle machine; a program that waits for its log
/// never responds.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Starts the program and reads its standard error until both fronts listen; the test reads the rest.
fn start_with_unread_log(replica: &StandInReplica) -> (Gateway, BufReader<ChildStderr>) {
    let replicas = vec![replica_entry(0, replica, "ready", 0)];
    let (mut child, discovery) = Gateway::spawn("n0", "platform", replicas, 1, (1024, 1024), json!({}));
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut lines = Vec::new();
    while lines.iter().filter(|l: &&String| l.contains(" listening ")).count() < 2 {
        let mut line = String::new();
        assert!(log.read_line(&mut line).expect("readable") > 0, "the log ended: {lines:?}");
        lines.push(line);
    }
    (Gateway::attach_with_log(child, discovery, lines.into_iter()), log)
}

/// Causes one log line at level info, by bytes that are not a request.
fn send_invalid_request(gateway: &Gateway, front: &str) {
    assert_status(gateway, front, "nonsense\r\n\r\n", 400);
}

/// Asserts that these bytes get a response with this status in time.
fn assert_status(gateway: &Gateway, front: &str, bytes: &str, status: u16) {
    let mut stream = gateway.connect(front);
    stream.set_read_timeout(Some(MAX_DELAY)).expect("set the timeout");
    stream.write_all(bytes.as_bytes()).expect("send");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response in time");
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
}

/// Asserts that both fronts and their health checks respond in time.
fn assert_serves(gateway: &Gateway) {
    for (session, front) in ["platform", "messages"].into_iter().enumerate() {
        let start = Instant::now();
        let stream = gateway.send(front, "plain", 9000, session);
        stream.set_read_timeout(Some(MAX_DELAY)).expect("set the timeout");
        assert_eq!(read_outcome(front, stream).0, ClientOutcome::Served("Hello".into()));
        assert_status(gateway, front, "GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 200);
        assert!(start.elapsed() < MAX_DELAY, "{front}: {:?}", start.elapsed());
    }
}

/// Stops the program, and asserts that it exits in time, without waiting for its log.
fn assert_stops(mut gateway: Gateway) {
    let start = Instant::now();
    let (exit_sender, exit) = channel();
    gateway.signal("-TERM");
    let stopping = thread::spawn(move || {
        let code = gateway.child.wait().expect("wait for the exit").code();
        let _ = exit_sender.send(());
        (gateway, code)
    });
    exit.recv_timeout(MAX_DELAY).expect("the program exits in time");
    assert_eq!(stopping.join().expect("the waiting thread").1, Some(0), "after {:?}", start.elapsed());
}

/// Number of log lines that contain `text`.
fn count_lines(log: &str, text: &str) -> usize {
    log.lines().filter(|l| l.contains(text)).count()
}

/// Number of lines that the log reports as lost on this output, and number of such reports.
fn lost_lines(log: &str, way: &str) -> (usize, usize) {
    let mut counts = Vec::new();
    for line in log.lines().filter(|l| l.contains(" log-lost ")) {
        assert!(line.contains(&format!("way=\"{way}\"")), "{line}");
        let count = line.split_once("lines=\"").expect("a count").1.split('"').next().expect("a count");
        counts.push(count.parse::<usize>().expect("a number"));
    }
    (counts.iter().sum(), counts.len())
}

#[test]
fn a_full_pipe_delays_no_response_or_exit_and_losses_are_logged() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, mut log) = start_with_unread_log(&replica);
    for n in 0..LINE_COUNT {
        send_invalid_request(&gateway, ["platform", "messages"][n % 2]);
    }
    assert_serves(&gateway);
    // The log is read again: the buffered lines in their order, then the number of lost ones.
    let (report_sender, reports) = channel();
    let reader = thread::spawn(move || {
        let mut text = String::new();
        let mut line = String::new();
        while log.read_line(&mut line).expect("readable") > 0 {
            if line.contains(" log-lost ") {
                let _ = report_sender.send(());
            }
            text += &std::mem::take(&mut line);
        }
        text
    });
    reports.recv_timeout(TEST_TIMEOUT).expect("a report of lost lines once there is room");
    assert_serves(&gateway);
    assert_stops(gateway);
    let text = reader.join().expect("the reading thread");
    let (lost, report_count) = lost_lines(&text, "stderr");
    assert_eq!(count_lines(&text, " bad-request ") + lost, LINE_COUNT, "each line is written or counted");
    assert!(lost > 0 && report_count == 1, "{lost} lost in {report_count} reports");
    let times: Vec<&str> = text.lines().map(|l| l.split(' ').nth(1).expect("a time")).collect();
    assert!(times.is_sorted(), "lines out of order");
    assert_eq!(count_lines(&text, " stopped "), 1, "the last line is missing");
}

#[test]
fn a_pipe_that_is_never_read_delays_no_response_and_no_exit() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, _log) = start_with_unread_log(&replica);
    for n in 0..LINE_COUNT {
        send_invalid_request(&gateway, ["platform", "messages"][n % 2]);
    }
    assert_serves(&gateway);
    assert_stops(gateway);
}

#[test]
fn a_pipe_that_is_read_slowly_delays_no_response() {
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let (gateway, mut log) = start_with_unread_log(&replica);
    let (stop_sender, stop) = channel::<()>();
    let reader = thread::spawn(move || {
        // Far slower than the lines are written.
        let mut bytes = [0; 512];
        while stop.recv_timeout(Duration::from_millis(200)).is_err() {
            if log.read(&mut bytes).expect("readable") == 0 {
                break;
            }
        }
        log
    });
    let start = Instant::now();
    for n in 0..LINE_COUNT {
        send_invalid_request(&gateway, ["platform", "messages"][n % 2]);
        // At the rate of the reader this would take minutes.
        assert!(start.elapsed() < TEST_TIMEOUT, "{n} lines took {TEST_TIMEOUT:?}");
    }
    assert_serves(&gateway);
    assert_stops(gateway);
    stop_sender.send(()).expect("the reading thread runs");
    drop(reader.join().expect("the reading thread"));
}

/// Reads the next line that a collector receives, framed by its length.
fn read_syslog_line(reader: &mut BufReader<TcpStream>) -> String {
    let mut count = Vec::new();
    reader.read_until(b' ', &mut count).expect("a count");
    let count = String::from_utf8(count).expect("UTF-8").trim_end().parse().expect("a count");
    let mut line = vec![0; count];
    reader.read_exact(&mut line).expect("a line");
    String::from_utf8(line).expect("UTF-8")
}

#[test]
fn a_collector_that_returns_gets_the_count_of_lost_lines() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let replica = start_replica("platform", ReplicaBehavior::Serve);
    let (child, discovery) = Gateway::spawn(
        "n0",
        "platform",
        vec![replica_entry(0, &replica, "ready", 0)],
        1,
        (1024, 1024),
        json!({"syslog": {"tcp": addr.to_string()}}),
    );
    let mut first = BufReader::new(listener.accept().expect("a connection").0);
    let mut lines = Vec::new();
    while lines.iter().filter(|l: &&String| l.contains(" listening ")).count() < 2 {
        lines.push(read_syslog_line(&mut first));
    }
    let gateway = Gateway::attach_with_log(child, discovery, lines.into_iter());
    drop((first, listener));
    for n in 0..LINE_COUNT {
        send_invalid_request(&gateway, ["platform", "messages"][n % 2]);
    }
    let listener = TcpListener::bind(addr).expect("the same port");
    let mut second = BufReader::new(listener.accept().expect("a second connection").0);
    let mut text = String::new();
    while !text.contains(" log-lost ") {
        text += &(read_syslog_line(&mut second) + "\n");
    }
    let (lost, _) = lost_lines(&text, "collector");
    // Lines in transit when the connection ended are neither received nor counted.
    assert!(lost > 0 && count_lines(&text, " bad-request ") + lost <= LINE_COUNT, "{lost} lost");
    assert_serves(&gateway);
    assert_stops(gateway);
}

#[test]
fn a_panic_message_is_written_after_all_earlier_lines() {
    const ROLE: &str = "TULIPRIDGE_TEST_PANICS";
    if std::env::var_os(ROLE).is_some() {
        // The process that the test below starts, with a separate log.
        let limits = tulipridge::limits::Limits::new(1024, 192, MAX_DELAY, MAX_DELAY);
        let _log = tulipridge::syslog::start("n0", false, &limits).expect("a log");
        log::error!("before: this line precedes the panic");
        panic!("out of\ncheese");
    }
    let this_program = std::env::current_exe().expect("a path");
    let mut child = Command::new(this_program)
        .args(["--exact", "a_panic_message_is_written_after_all_earlier_lines", "--nocapture"])
        .env(ROLE, "1")
        .env("RUST_LOG", "info")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the program");
    let mut text = String::new();
    child.stderr.take().expect("piped").read_to_string(&mut text).expect("UTF-8");
    assert!(!child.wait().expect("wait for the exit").success());
    let position = |event: &str| text.find(event).unwrap_or_else(|| panic!("{event} is missing: {text}"));
    assert!(position(" panicked ") > position(" before "), "{text}");
    assert!(text.contains("out of\\ncheese") && text.contains("at=\"tests/logging.rs:"), "{text}");
}
