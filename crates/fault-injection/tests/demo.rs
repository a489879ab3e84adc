//! The demo as a user runs it: requests, a change, a kill of the primary, Ctrl-C, and a port that is in use.

use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process, test_kill_process};
use serde_json::{Value, json};
use tulipridge_fault_injection::address::PortBlock;
use tulipridge_fault_injection::client::{Message, Request, call};
use tulipridge_fault_injection::demo::{DemoPorts, PrefixCache, PromptSegment, parse_prompt};
use tulipridge_fault_injection::wait::wait_until;

/// Timeout for the demo's next line; the first ones come after the build of the programs.
const LINE_LIMIT: Duration = Duration::from_secs(120);
/// Timeout of a request.
const REQUEST_LIMIT: Duration = Duration::from_secs(10);
/// Timeout for a change to be in force, and for the end of all programs.
const CHANGE_LIMIT: Duration = Duration::from_secs(20);
/// The ports from the first of the demo to its last.
const PORT_SPAN: u16 = 13;

/// A demo that runs. It is asked to end when it is dropped.
struct Demo {
    child: Child,
    lines: Receiver<String>,
    ports: DemoPorts,
    _reservation: PortBlock,
}

fn command(first_port: u16) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tulipridge-fault-injection"));
    command.args(["demo", "--port", &first_port.to_string()]).stdin(Stdio::null());
    command
}

/// A first port from which on all that the demo needs are free.
fn free_ports() -> PortBlock {
    let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
    loop {
        let block = PortBlock::reserve().expect("free ports");
        let beyond = block.first + tulipridge_fault_injection::address::PORTS_PER_MACHINE;
        if (beyond..block.first + PORT_SPAN).all(is_free) {
            return block;
        }
    }
}

/// Free ports for a demo, and a listener at the one with this offset. A port that was just probed can be in use for a
/// moment longer: a process that another test starts keeps a copy of the probing socket until its `exec`.
fn occupied_port(offset: u16) -> (PortBlock, TcpListener) {
    loop {
        let reservation = free_ports();
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, reservation.first + offset)) {
            return (reservation, listener);
        }
    }
}

impl Demo {
    fn start() -> Demo {
        let reservation = free_ports();
        let ports = DemoPorts::from_first(reservation.first).expect("a port that leaves room");
        let mut child = command(reservation.first).stdout(Stdio::piped()).spawn().expect("it starts");
        let output = BufReader::new(child.stdout.take().expect("a pipe"));
        let (sender, lines) = channel();
        thread::spawn(move || output.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        Demo { child, lines, ports, _reservation: reservation }
    }

    /// The lines up to the first one that contains `text`, that one included.
    fn lines_until(&self, text: &str) -> Vec<String> {
        let deadline = Instant::now() + LINE_LIMIT;
        let mut lines = Vec::new();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) => lines.push(line),
                Err(error) => panic!("no line with {text:?}: {error}, after {lines:#?}"),
            }
            if lines.last().is_some_and(|line| line.contains(text)) {
                return lines;
            }
        }
    }

    fn request(&self, edge: usize, path: &str) -> Message {
        let headers = [
            ("Host", "demo.example"),
            ("Attempt-Id", "a-1"),
            ("Time-Left-Ms", "9000"),
            ("Llm", "toy"),
            ("Token-Count", "1200,3"),
            ("Prompt-Start", "5c1e07a2:800,91bd3f06:400"),
        ];
        let request = Request { method: "POST", target: path, headers: &headers, body: b"hello" };
        call(self.ports.proxy(edge), &request, REQUEST_LIMIT).expect("a response")
    }

    fn interrupt(&mut self) -> ExitStatus {
        kill_process(Pid::from_child(&self.child), Signal::INT).expect("it runs");
        let mut status = None;
        wait_until("the demo's end", CHANGE_LIMIT, || {
            status = self.child.try_wait().expect("a status");
            status.is_some()
        })
        .expect("it ends");
        status.expect("it has ended")
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        // SIGTERM, so that its programs end with it.
        if matches!(self.child.try_wait(), Ok(None)) {
            let _ = kill_process(Pid::from_child(&self.child), Signal::TERM);
            let _ = self.child.wait();
        }
    }
}

/// The first event of a stream.
fn first_event(response: &Message) -> Value {
    assert_eq!(response.status(), 200, "{}", response.text());
    let text = response.text();
    let data = text.lines().find_map(|line| line.strip_prefix("data: ")).expect("an event");
    serde_json::from_str(data).expect("JSON")
}

/// The processes that lines name, with the beginning of each line.
fn processes(lines: &[String]) -> Vec<(String, Pid)> {
    let process = |line: &String| {
        let (name, pid) = line.split_once("process ")?;
        Some((name.trim().to_owned(), Pid::from_raw(pid.trim().parse().ok()?)?))
    };
    lines.iter().filter_map(process).collect()
}

fn is_running(process: Pid) -> bool {
    test_kill_process(process).is_ok()
}

#[test]
fn the_demo_serves_changes_takes_over_and_ends_with_all_its_programs() {
    let mut demo = Demo::start();
    let mut lines = demo.lines_until("Ctrl-C ends all");
    let started = processes(&lines);
    assert_eq!(started.len(), 5, "{lines:#?}");

    let event = first_event(&demo.request(0, "/chat/"));
    assert_eq!((&event["prompt_tokens"], &event["cached_tokens"]), (&json!(1200), &json!(0)));
    let again = first_event(&demo.request(1, "/chat/"));
    assert_eq!((&again["replica"], &again["cached_tokens"]), (&event["replica"], &json!(1200)));

    let patch =
        lines.iter().find_map(|line| line.split_once(" -d '")?.1.split_once("' http")).expect("a change");
    let request = Request {
        method: "PATCH",
        target: "/settings",
        headers: &[("If-Match", "1")],
        body: patch.0.as_bytes(),
    };
    let answered =
        (0..3).filter_map(|member| call(demo.ports.member(member), &request, REQUEST_LIMIT).ok());
    assert!(answered.map(|response| response.status()).any(|status| status == 200), "the change is taken");
    let is_in_force = || demo.request(1, "/docs/").status() == 200;
    wait_until("the added route", CHANGE_LIMIT, is_in_force).expect("it is in force");

    let primary = |lines: &[String]| {
        let line =
            lines.iter().rev().find(|line| line.contains("is the primary")).expect("a primary").clone();
        line.split_whitespace().find(|word| word.starts_with("middle-")).expect("a member").to_owned()
    };
    lines.extend(demo.lines_until("is the primary"));
    let first = primary(&lines);
    let (_, killed) = started.iter().find(|(name, _)| name.starts_with(&first)).expect("its process");
    kill_process(*killed, Signal::KILL).expect("it runs");
    lines = demo.lines_until("has ended");
    assert!(lines.last().is_some_and(|line| line.contains(&first)), "{lines:#?}");
    lines = demo.lines_until("is the primary");
    assert_ne!(primary(&lines), first);
    lines.extend(demo.lines_until("is started again"));

    assert!(demo.interrupt().success());
    let processes: Vec<Pid> =
        started.into_iter().chain(processes(&lines)).map(|(_, process)| process).collect();
    assert_eq!(processes.len(), 6);
    assert!(!processes.iter().any(|process| is_running(*process)), "a program is left");
}

#[rstest]
#[case::of_a_proxy(1)]
#[case::of_the_control_plane(12)]
fn a_port_that_is_in_use_is_named_before_anything_starts(#[case] offset: u16) {
    let (reservation, listener) = occupied_port(offset);
    let port = listener.local_addr().expect("an address").port();
    let mut child = command(reservation.first)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut printed = [String::new(), String::new()];
    child.stdout.take().expect("a pipe").read_to_string(&mut printed[0]).expect("text");
    child.stderr.take().expect("a pipe").read_to_string(&mut printed[1]).expect("text");
    assert_eq!(child.wait().expect("it ends").code(), Some(1));
    let expected = format!("port {port} at 127.0.0.1 is in use: choose another first port with --port\n");
    assert_eq!(printed, [String::new(), expected]);
}

#[test]
fn a_segment_counts_as_cached_only_after_all_before_it() {
    let segment = |id: &str, tokens| PromptSegment { id: id.to_owned(), tokens };
    let prompt = parse_prompt("a:10, b:20,,c:x,d:30");
    assert_eq!(prompt, [segment("a", 10), segment("b", 20), segment("d", 30)]);
    let mut cache = PrefixCache::default();
    assert_eq!(cache.insert("", "toy", &prompt[1..]), 0);
    assert_eq!(cache.insert("", "toy", &prompt), 0, "its first segment was not cached");
    assert_eq!(cache.insert("", "toy", &prompt), 60);
    assert_eq!(cache.insert("other", "toy", &prompt), 0, "another salt");
    assert_eq!(cache.cached_tokens(), 120);
}
