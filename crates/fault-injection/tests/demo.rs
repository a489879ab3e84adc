//! Runs the demo as a user does: requests, a change, a kill of the primary, Ctrl-C, and a port in use.

use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process, test_kill_process};
use serde_json::{Value, json};
use tulipridge_fault_injection::address::PortBlock;
use tulipridge_fault_injection::client::{Message, Request, call};
use tulipridge_fault_injection::demo::{DemoPorts, PrefixCache, PromptSegment, parse_prompt};
use tulipridge_fault_injection::wait::wait_until;

/// Timeout for an expected line of output; the demo builds the programs before its first lines.
const LINE_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for a change to be in force, and for the exit of all programs.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of consecutive ports that the demo uses.
const PORT_COUNT: u16 = 13;

/// A running demo, which is sent SIGTERM on drop.
struct Demo {
    child: Child,
    lines: Receiver<String>,
    ports: DemoPorts,
    _reservation: PortBlock,
}

fn demo_command(first_port: u16) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tulipridge-fault-injection"));
    command.args(["demo", "--port", &first_port.to_string()]).stdin(Stdio::null());
    command
}

/// Held from the choice of ports until the program that uses them has started. A process inherits all open sockets until
/// its `exec`, so that a process started by one test would keep a port in use that another test has just probed.
static PROGRAM_START: Mutex<()> = Mutex::new(());

fn lock_program_start() -> MutexGuard<'static, ()> {
    PROGRAM_START.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reserves a block of ports at the start of a range in which all ports of the demo are free.
fn reserve_demo_ports() -> PortBlock {
    let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
    loop {
        let block = PortBlock::reserve().expect("a free block of ports");
        let block_end = block.first + tulipridge_fault_injection::address::PORTS_PER_MACHINE;
        if (block_end..block.first + PORT_COUNT).all(is_free) {
            return block;
        }
    }
}

/// Reserves ports for a demo and listens at the one with this offset. Tries other ports if this one is in use.
fn reserve_with_occupied_port(offset: u16) -> (PortBlock, TcpListener) {
    loop {
        let reservation = reserve_demo_ports();
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, reservation.first + offset)) {
            return (reservation, listener);
        }
    }
}

impl Demo {
    fn start() -> Demo {
        let start_guard = lock_program_start();
        let reservation = reserve_demo_ports();
        let ports = DemoPorts::from_first(reservation.first).expect("a valid first port");
        let mut child =
            demo_command(reservation.first).stdout(Stdio::piped()).spawn().expect("the demo starts");
        drop(start_guard);
        let output = BufReader::new(child.stdout.take().expect("a pipe"));
        let (sender, lines) = channel();
        thread::spawn(move || output.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        Demo { child, lines, ports, _reservation: reservation }
    }

    /// Reads lines up to and including the first one that contains `text`.
    fn lines_until(&self, text: &str) -> Vec<String> {
        let deadline = Instant::now() + LINE_TIMEOUT;
        let mut lines = Vec::new();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(remaining) {
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
        call(self.ports.proxy_address(edge), &request, REQUEST_TIMEOUT).expect("a response")
    }

    fn interrupt(&mut self) -> ExitStatus {
        kill_process(Pid::from_child(&self.child), Signal::INT).expect("the demo is running");
        let mut exit_status = None;
        wait_until("the demo exits", CHANGE_TIMEOUT, || {
            exit_status = self.child.try_wait().expect("a status");
            exit_status.is_some()
        })
        .expect("the demo exits");
        exit_status.expect("a status")
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        // On SIGTERM, the demo terminates its programs too.
        if matches!(self.child.try_wait(), Ok(None)) {
            let _ = kill_process(Pid::from_child(&self.child), Signal::TERM);
            let _ = self.child.wait();
        }
    }
}

/// Parses the first event of a response.
fn first_event(response: &Message) -> Value {
    assert_eq!(response.status(), 200, "{}", response.text());
    let text = response.text();
    let data = text.lines().find_map(|line| line.strip_prefix("data: ")).expect("an event");
    serde_json::from_str(data).expect("JSON")
}

/// Process IDs in the lines, each with the text before it.
fn parse_processes(lines: &[String]) -> Vec<(String, Pid)> {
    let parse = |line: &String| {
        let (name, pid) = line.split_once("process ")?;
        Some((name.trim().to_owned(), Pid::from_raw(pid.trim().parse().ok()?)?))
    };
    lines.iter().filter_map(parse).collect()
}

fn is_running(process: Pid) -> bool {
    test_kill_process(process).is_ok()
}

#[test]
fn the_demo_fails_over_and_exits_with_all_its_programs() {
    let mut demo = Demo::start();
    let mut lines = demo.lines_until("Ctrl-C ends all");
    let started = parse_processes(&lines);
    assert_eq!(started.len(), 5, "{lines:#?}");

    let event = first_event(&demo.request(0, "/chat/"));
    assert_eq!((&event["prompt_tokens"], &event["cached_tokens"]), (&json!(1200), &json!(0)));
    let second_event = first_event(&demo.request(1, "/chat/"));
    assert_eq!(
        (&second_event["replica"], &second_event["cached_tokens"]),
        (&event["replica"], &json!(1200))
    );

    let patch = lines
        .iter()
        .find_map(|line| line.split_once(" -d '")?.1.split_once("' http"))
        .expect("a command with a change");
    let request = Request {
        method: "PATCH",
        target: "/settings",
        headers: &[("If-Match", "1")],
        body: patch.0.as_bytes(),
    };
    let responses =
        (0..3).filter_map(|member| call(demo.ports.member_address(member), &request, REQUEST_TIMEOUT).ok());
    assert!(
        responses.map(|response| response.status()).any(|status| status == 200),
        "the change is applied"
    );
    let is_in_force = || demo.request(1, "/docs/").status() == 200;
    wait_until("the added route is served", CHANGE_TIMEOUT, is_in_force).expect("the change is in force");

    let primary = |lines: &[String]| {
        let line =
            lines.iter().rev().find(|line| line.contains("is the primary")).expect("a primary").clone();
        line.split_whitespace().find(|word| word.starts_with("middle-")).expect("a member").to_owned()
    };
    lines.extend(demo.lines_until("is the primary"));
    let killed = primary(&lines);
    let (_, killed_process) =
        started.iter().find(|(name, _)| name.starts_with(&killed)).expect("the primary's process");
    kill_process(*killed_process, Signal::KILL).expect("the primary is running");
    lines = demo.lines_until("has ended");
    assert!(lines.last().is_some_and(|line| line.contains(&killed)), "{lines:#?}");
    lines = demo.lines_until("is the primary");
    assert_ne!(primary(&lines), killed);
    lines.extend(demo.lines_until("is started again"));

    assert!(demo.interrupt().success());
    let processes: Vec<Pid> =
        started.into_iter().chain(parse_processes(&lines)).map(|(_, process)| process).collect();
    assert_eq!(processes.len(), 6);
    assert!(!processes.iter().any(|process| is_running(*process)), "a program is still running");
}

#[rstest]
#[case::port_of_a_proxy(1)]
#[case::port_of_the_control_plane(12)]
fn a_port_in_use_is_reported_before_any_program_starts(#[case] offset: u16) {
    let start_guard = lock_program_start();
    let (reservation, listener) = reserve_with_occupied_port(offset);
    let port = listener.local_addr().expect("an address").port();
    let mut child = demo_command(reservation.first)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the demo starts");
    drop(start_guard);
    let mut printed = [String::new(), String::new()];
    child.stdout.take().expect("a pipe").read_to_string(&mut printed[0]).expect("text");
    child.stderr.take().expect("a pipe").read_to_string(&mut printed[1]).expect("text");
    assert_eq!(child.wait().expect("the demo exits").code(), Some(1));
    let expected = format!("port {port} at 127.0.0.1 is in use: choose another first port with --port\n");
    assert_eq!(printed, [String::new(), expected]);
}

#[test]
fn a_segment_is_cached_only_if_all_earlier_ones_are() {
    let segment = |id: &str, tokens| PromptSegment { id: id.to_owned(), tokens };
    let prompt = parse_prompt("a:10, b:20,,c:x,d:30");
    assert_eq!(prompt, [segment("a", 10), segment("b", 20), segment("d", 30)]);
    let mut cache = PrefixCache::default();
    assert_eq!(cache.insert("", "toy", &prompt[1..]), 0);
    assert_eq!(cache.insert("", "toy", &prompt), 0, "the first segment was not cached");
    assert_eq!(cache.insert("", "toy", &prompt), 60);
    assert_eq!(cache.insert("other", "toy", &prompt), 0, "another salt");
    assert_eq!(cache.cached_tokens(), 120);
}
