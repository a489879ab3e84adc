//! Stand-ins of discovery, replicas and clients on loopback, and the program itself.

#![allow(dead_code, missing_docs)]

pub(crate) mod fleet;
pub(crate) mod late;
pub(crate) mod list_propagation;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Long enough never to be met, however slow the machine.
pub(crate) const FOREVER: Duration = Duration::from_secs(30);
/// The longest that a replica may go on working for a stream that nobody reads any more. The aim is 50 ms; a
/// test that shares its machine with others is given room, yet far less than what an unread stream would take.
pub(crate) const UNREAD: Duration = Duration::from_millis(500);
pub(crate) const FRONTS: [&str; 2] = ["platform", "messages"];
pub(crate) const PAIRINGS: [(&str, &str); 4] = [
    ("platform", "platform"),
    ("platform", "messages"),
    ("messages", "platform"),
    ("messages", "messages"),
];

/// What a client saw of its request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Seen {
    Served(String),
    /// A stream that ended without its last chunk, after this text.
    Broken(String),
    /// Status 429, 503 or 529, with `Retry-After`.
    Shed,
    /// Another status.
    Failed,
}

/// What a replica does with every request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Manner {
    Serve,
    Full,
    Error,
    ErrorEvent,
    LateErrorEvent,
    Reset,
    Silence,
    Break,
    Odd,
    ServeAndClose,
    /// Holds the request for wrong.
    Reject,
    /// Noise in place of a head, on a connection that stays open.
    Noise,
    /// A head that does not end.
    HalfHead,
    /// Nothing after the first event.
    Stop,
    /// After the first event a chunk that is longer than what comes.
    HalfChunk,
    /// After the first event a chunk of 3 GB that keeps coming.
    HugeChunk,
    /// A good answer with interim ones before it, a load report of garbage, and a second answer behind it.
    Wordy,
}

/// A stand-in replica, the requests that reached it, and what it noticed of clients that left.
pub(crate) struct Server {
    pub addr: SocketAddr,
    pub requests: Arc<AtomicUsize>,
    pub bodies: Arc<Mutex<Vec<Value>>>,
    pub left: Receiver<()>,
}

pub(crate) fn event(dialect: &str, name: &str, data: Value) -> String {
    if dialect == "messages" {
        format!("event: {name}\ndata: {data}\n\n")
    } else {
        format!("data: {data}\n\n")
    }
}

pub(crate) fn text(dialect: &str, text: &str) -> String {
    match dialect {
        "messages" => event(
            dialect,
            "content_block_delta",
            json!({"type": "content_block_delta", "index": 0, "delta": {"type": "text_delta", "text": text}}),
        ),
        _ => event(
            dialect,
            "",
            json!({"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}]}),
        ),
    }
}

pub(crate) fn opening(dialect: &str) -> String {
    let usage = json!({"input_tokens": 7, "cache_read_input_tokens": 5, "output_tokens": 1});
    let start = json!({"type": "message_start", "message": {"id": "msg_1", "usage": usage}});
    let block =
        json!({"type": "content_block_start", "index": 0, "content_block": {"type": "text", "text": ""}});
    match dialect {
        "messages" => {
            event(dialect, "message_start", start)
                + &event(dialect, "content_block_start", block)
                + &event(dialect, "ping", json!({"type": "ping"}))
        }
        _ => String::new(),
    }
}

pub(crate) fn closing(dialect: &str) -> String {
    let stop = json!({"type": "message_delta", "delta": {"stop_reason": "end_turn"}, "usage": {"output_tokens": 2}});
    match dialect {
        "messages" => {
            event(dialect, "content_block_stop", json!({"type": "content_block_stop", "index": 0}))
                + &event(dialect, "message_delta", stop)
                + &event(dialect, "message_stop", json!({"type": "message_stop"}))
        }
        _ => {
            let stop = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]});
            let usage = json!({"choices": [], "usage": {"prompt_tokens": 12, "completion_tokens": 2,
                "prompt_tokens_details": {"cached_tokens": 5}}});
            event(dialect, "", stop)
                + &event(dialect, "", usage)
                + "data: [DONE]\n\n: X-Load: TEXT util=0.5\n\n"
        }
    }
}

pub(crate) fn error_event(dialect: &str) -> String {
    event(
        dialect,
        "error",
        json!({"type": "error", "error": {"type": "overloaded_error", "message": "no"}}),
    )
}

/// An event that no specification knows.
pub(crate) fn odd_event(dialect: &str) -> String {
    event(dialect, "glimmer", json!({"type": "glimmer", "shade": 3}))
}

/// Reads a message's head and its body of a stated length.
pub(crate) fn message(reader: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let mut body = vec![0; header(&lines, "content-length").map_or(0, |l| l.parse().expect("a length"))];
    reader.read_exact(&mut body).ok()?;
    Some((lines, body))
}

pub(crate) fn header(lines: &[String], name: &str) -> Option<String> {
    let mut pairs = lines.iter().filter_map(|l| l.split_once(':'));
    pairs.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_owned())
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(crate) fn server(dialect: &'static str, manner: Manner) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (requests, bodies) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::new())));
    let (tell, left) = channel();
    let shared = (requests.clone(), bodies.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (shared, tell) = (shared.clone(), tell.clone());
            thread::spawn(move || converse(stream, dialect, manner, &shared.0, &shared.1, &tell));
        }
    });
    Server { addr, requests, bodies, left }
}

/// What a stand-in replica writes in that manner.
fn scripted_answer(manner: Manner, dialect: &str) -> String {
    let begin = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let hello = opening(dialect) + &text(dialect, "Hel");
    match (manner, dialect) {
        (Manner::Full, "messages") => "HTTP/1.1 529 Overloaded\r\nContent-Length: 0\r\n\r\n".to_owned(),
        (Manner::Full, _) => "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
        (Manner::Error, _) => "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        (Manner::ErrorEvent, _) => begin.to_owned() + &chunk(&error_event(dialect)) + "0\r\n\r\n",
        (Manner::LateErrorEvent, _) => {
            begin.to_owned() + &chunk(&(hello + &error_event(dialect))) + "0\r\n\r\n"
        }
        (Manner::Break | Manner::Stop, _) => begin.to_owned() + &chunk(&hello),
        (Manner::Reset | Manner::Silence, _) => String::new(),
        (Manner::Reject, _) => "HTTP/1.1 422 No\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        (Manner::Noise, _) => "\u{1}noise".to_owned(),
        (Manner::HalfHead, _) => begin.replace("\r\n\r\n", "\r\nX-Mo"),
        (Manner::HalfChunk, _) => begin.to_owned() + &chunk(&hello) + "ffff\r\ndata: a\n\n",
        (Manner::HugeChunk, _) => begin.to_owned() + &chunk(&hello) + "b2d05e00\r\n",
        (Manner::Wordy, _) => {
            let whole = chunk(&(hello + &text(dialect, "lo") + &closing(dialect))) + "0\r\n\r\n";
            let begin =
                begin.replace("Type:", "Type:  ").replace("\r\n\r\n", "\r\nX-Load: \u{1} util=?\r\n\r\n");
            "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n".repeat(2) + &(begin + &whole).repeat(2)
        }
        (Manner::Serve | Manner::Odd | Manner::ServeAndClose, _) => {
            let odd = if manner == Manner::Odd { odd_event(dialect) } else { String::new() };
            let rest = text(dialect, "lo") + &closing(dialect);
            begin.to_owned()
                + &chunk(&hello)
                + &chunk(&odd[..odd.len().min(9)]).repeat(usize::from(!odd.is_empty()))
                + &chunk(&(odd.get(9..).unwrap_or_default().to_owned() + &rest))
                + "0\r\n\r\n"
        }
    }
}

/// One connection of a stand-in replica.
pub(crate) fn converse(
    mut stream: TcpStream,
    dialect: &str,
    manner: Manner,
    requests: &AtomicUsize,
    bodies: &Mutex<Vec<Value>>,
    left: &Sender<()>,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some((head, body)) = message(&mut reader) {
        requests.fetch_add(1, Ordering::SeqCst);
        let path = if dialect == "messages" { "POST /v1/messages " } else { "POST /v1/chat/completions " };
        assert!(head[0].starts_with(path), "{} reached a server of {dialect}", head[0]);
        assert!(header(&head, "x-deadline-ms").is_some() && header(&head, "x-request-id").is_some());
        bodies.lock().expect("whole").push(serde_json::from_slice(&body).expect("JSON"));
        let answer = scripted_answer(manner, dialect);
        stream.write_all(answer.as_bytes()).ok()?;
        match manner {
            Manner::HugeChunk => while stream.write_all(&[b'x'; 4096]).is_ok() {},
            Manner::Reset | Manner::Break => return None,
            Manner::ServeAndClose => {
                // The connection is back in the gateway's pool by then.
                thread::sleep(Duration::from_millis(30));
                drop((stream, reader));
                return left.send(()).ok();
            }
            Manner::Silence => {
                // The end of a connection whose answer is still due: the attempt was given up.
                let over = matches!(reader.read(&mut [0]), Ok(0) | Err(_));
                assert!(over, "something was sent after the request");
                left.send(()).ok()?;
                return None;
            }
            _ => {}
        }
    }
    // The gateway has closed a connection that was idle.
    left.send(()).ok()
}

/// The head of an answer that is a stream.
pub(crate) const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A replica that plays `script` for each request, and says when the gateway has closed that connection.
pub(crate) fn scripted(
    script: impl Fn(&mut TcpStream, usize) -> bool + Send + Sync + 'static,
) -> (Server, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (script, requests) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
    let count = requests.clone();
    let (tell, closed) = channel();
    let (_, left) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (script, count, tell) = (script.clone(), count.clone(), tell.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                while message(&mut reader).is_some() {
                    let number = count.fetch_add(1, Ordering::SeqCst);
                    if !script(&mut stream, number) {
                        return;
                    }
                    // A script that leaves its answer open waits for the gateway's close.
                    if reader.fill_buf().map_or(true, <[u8]>::is_empty) {
                        let _ = tell.send(Instant::now());
                        return;
                    }
                }
            });
        }
    });
    (Server { addr, requests, bodies: Arc::default(), left }, closed)
}

/// A replica that sends so many events of the dialect of its kind, and then falls silent.
pub(crate) fn silent_after(dialect: &'static str, events: usize) -> (Server, Receiver<Instant>) {
    scripted(move |stream, _| {
        let answer = HEAD.to_owned() + &chunk(&text(dialect, "Hel")).repeat(events);
        stream.write_all(answer.as_bytes()).is_ok()
    })
}

/// Reads until the answer's next event is there.
pub(crate) fn begun(stream: &mut TcpStream) {
    let mut byte = [0];
    let mut had = Vec::new();
    while !had.ends_with(b"\n\n") {
        stream.read_exact(&mut byte).expect("an answer");
        had.push(byte[0]);
    }
}

/// A stand-in discovery: one watch, to which the first line and then whatever is sent is written.
pub(crate) fn discovery(first: Value) -> (SocketAddr, Sender<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (send, lines) = channel::<Value>();
    send.send(first.clone()).expect("open");
    thread::spawn(move || {
        let mut stream = listener.accept().expect("a watch").0;
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        let (head, _) = message(&mut reader).expect("a call");
        // It asks from the version that it holds, which each list here follows.
        let index = first["version"].as_u64().expect("a version") - 1;
        assert!(
            head[0].starts_with(&format!("GET /catalog/members?stream=1&index={index} ")),
            "{}",
            head[0]
        );
        let mut out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        loop {
            let line = lines.recv_timeout(Duration::from_secs(1)).map_or(String::new(), |l| l.to_string());
            out += &chunk(&(line + "\n"));
            if stream.write_all(out.as_bytes()).is_err() {
                return;
            }
            out.clear();
        }
    });
    (addr, send)
}

pub(crate) fn entry(n: usize, server: &Server, state: &str, started_ms: u64) -> Value {
    entry_at(n, server.addr, state, started_ms)
}

pub(crate) fn entry_at(n: usize, addr: SocketAddr, state: &str, started_ms: u64) -> Value {
    json!({"id": format!("s-{n}"), "addr": addr.to_string(), "zone": "a", "kind": "k", "cell": 0,
        "state": state, "weight": 1.0, "started_ms": started_ms})
}

pub(crate) fn list(version: u64, full: bool, servers: Vec<Value>) -> Value {
    json!({"version": version, "full": full, "servers": servers})
}

/// What the platform has for the program.
pub(crate) struct Platform<'a> {
    /// Where discovery is, and the way to its lists.
    pub discovery: (SocketAddr, Sender<Value>),
    /// What is said of an inherited descriptor, and the one that is inherited as the fourth.
    pub inherited: Option<(&'a str, Stdio)>,
}

impl Platform<'_> {
    pub(crate) fn with(discovery: (SocketAddr, Sender<Value>)) -> Platform<'static> {
        Platform { discovery, inherited: None }
    }
}

/// The program itself, with both fronts.
pub(crate) struct Gateway {
    pub child: Child,
    pub fronts: [SocketAddr; 2],
    /// The second address, where it has one.
    pub mgmt: Option<SocketAddr>,
    pub discovery: Sender<Value>,
    pub log: Arc<Mutex<Vec<String>>>,
}

/// A second, in the platform's unit.
const SECOND_NS: u64 = 1_000_000_000;

/// A class of requests, as the platform's configuration has it.
fn class_lane(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "promise-ns": SECOND_NS, "deadline-ns": 10 * SECOND_NS,
        "stream": true, "points": 1.0})
}

/// What the platform's configuration says of attempt.
fn platform_settings(attempts: u32) -> Value {
    json!({"group-size": 1, "me": 0, "zone": "a", "localities": ["a"], "shapes": ["k"],
        "discovery": "ask", "weight-source": "rough", "report": {"fields": ["util"]},
        "lanes": [class_lane("plain", "retryable"), class_lane("once", "fragile")],
        "accounts": [{"name": "office", "share": 1.0}],
        "policy-limits": {"send-cap": attempts, "cancel": true, "retry-after": true,
            "max-retry-after-ns": 2 * SECOND_NS, "conn-idle-ns": 5 * SECOND_NS, "connect-timeout-ns": SECOND_NS},
        "safety": {"cold-from": 0.3, "ramp-time-ns": 60 * SECOND_NS, "fall-ns": 3 * SECOND_NS,
            "overload-factor": 2.5, "drain-grace-ns": SECOND_NS / 4, "ask-within-ns": 10 * SECOND_NS}})
}

/// Moves what a test sets of the platform's configuration, and not of the program's own settings, to its place.
fn override_platform_settings(settings: &mut Value, more: &mut serde_json::Map<String, Value>) {
    // How many gateways there are, and which of them this one is.
    for (key, of) in [("group-size", "group"), ("me", "me")] {
        if let Some(value) = more.remove(of) {
            settings[key] = value;
        }
    }
    // What the tenant may ask for in a second.
    if let Some(quota) = more.remove("quota_per_s") {
        settings["accounts"][0]["quota-per-s"] = quota;
    }
    // How lists come, and how long a gateway may go without asking.
    if let Some(way) = more.remove("way") {
        settings["discovery"] = way;
    }
    if let Some(span) = more.remove("ask_within_s") {
        settings["safety"]["ask-within-ns"] = (span.as_u64().expect("s") * SECOND_NS).into();
    }
    // How soon a first event is promised, which is when a silent attempt is looked at.
    if let Some(time) = more.remove("promise_ms") {
        let time = time.as_u64().expect("ms") * (SECOND_NS / 1000);
        for lane in settings["lanes"].as_array_mut().expect("lanes") {
            lane["promise-ns"] = time.into();
        }
    }
    // How long a connection may take to come up.
    if let Some(span) = more.remove("connect_timeout_ms") {
        settings["policy-limits"]["connect-timeout-ns"] =
            (span.as_u64().expect("ms") * SECOND_NS / 1000).into();
    }
    // A class whose repeats are discarded for a while.
    if let Some(span) = more.remove("key_ttl_ms") {
        let mut keyed = class_lane("keyed", "dedup");
        keyed["key-ttl-ns"] = (span.as_u64().expect("ms") * SECOND_NS / 1000).into();
        settings["lanes"].as_array_mut().expect("lanes").push(keyed);
    }
}

impl Gateway {
    pub(crate) fn start(dialect: &str, servers: Vec<Value>, attempts: u32) -> Gateway {
        Gateway::watched(Gateway::spawn("n0", dialect, servers, attempts, (1024, 1024), json!({})))
    }

    /// Starts the program with more in its own file than the fronts; of descriptors the first number is what it
    /// has, the second what it is told.
    pub(crate) fn spawn(
        name: &str,
        dialect: &str,
        servers: Vec<Value>,
        attempts: u32,
        descriptors: (u32, u32),
        more: Value,
    ) -> (Child, Sender<Value>) {
        let platform = Platform::with(discovery(list(2, true, servers.clone())));
        Gateway::spawn_by(name, dialect, servers, attempts, descriptors, more, platform)
    }

    /// Starts the program on a platform of the test's own.
    pub(crate) fn spawn_by(
        name: &str,
        dialect: &str,
        servers: Vec<Value>,
        attempts: u32,
        (descriptors, told): (u32, u32),
        more: Value,
        Platform { discovery: (addr, discovery), inherited }: Platform<'_>,
    ) -> (Child, Sender<Value>) {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let mut config = json!({"name": name, "listen": "127.0.0.1:0", "discovery": addr.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "sockets": told},
            "known": list(1, true, servers), "settings": platform_settings(attempts)});
        let mut daemon = json!({"dialects": {"k": dialect}, "messages": {"listen": "127.0.0.1:0",
            "classes": {"once-model": "once"}, "class": "plain", "tenant": "office"}});
        let mut more = more.as_object().expect("an object").clone();
        // Not a setting of the program's own: how much memory the platform says there is.
        let memory = more.remove("memory_mb").unwrap_or(json!(192));
        // Nor is this: whether a second copy may be sent beside the first, which then is not called off.
        let copies = more.remove("copies").is_some();
        // Nor is this: another program than the one that is built here, to be measured beside it.
        let program = more.remove("program");
        let program = program.as_ref().and_then(Value::as_str).unwrap_or(env!("CARGO_BIN_EXE_tulipridge"));
        // The folder that processes of one gateway share: another run's must not meet them there.
        let usual = || json!(format!("{}/{}", env!("CARGO_TARGET_TMPDIR"), std::process::id()));
        let shared = more.remove("shared").unwrap_or_else(usual);
        std::fs::create_dir_all(shared.as_str().expect("a path")).expect("a folder");
        config["mgmt"] = more.remove("mgmt").unwrap_or(Value::Null);
        override_platform_settings(&mut config["settings"], &mut more);
        daemon.as_object_mut().expect("an object").extend(more);
        config["limits"]["memory_mb"] = memory;
        config["settings"]["policy-limits"]["second-copies"] = copies.into();
        config["settings"]["policy-limits"]["cancel"] = (!copies).into();
        let file = |name: &str, text: String| {
            let path = format!("{}/{}-{number}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
            std::fs::write(&path, text).expect("written");
            path
        };
        let hand_on = if inherited.is_some() { "exec 4<&0 </dev/null; " } else { "" };
        let mut command = Command::new("sh");
        if let Some((told, stdin)) = inherited {
            command.env("EDGE_INHERITED_FD", told).stdin(stdin);
        }
        let child = command
            .arg("-c")
            .arg(format!("ulimit -n {descriptors}; {hand_on}exec \"$0\""))
            .arg(program)
            .env("EDGE_CONFIG", file("config.json", config.to_string()))
            .env("TULIPRIDGE_SETTINGS", file("settings.hcl", hcl::to_string(&daemon).expect("HCL")))
            .env("TMPDIR", shared.as_str().expect("a path"))
            .env_remove("EDGE_LISTEN")
            .env_remove("EDGE_DISCOVERY")
            .env_remove("RUST_LOG")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        (child, discovery)
    }

    /// The same with a log that is read here.
    /// One that has heard of its replicas.
    pub(crate) fn listed(servers: Vec<Value>, attempts: u32, limits: (u32, u32), more: Value) -> Gateway {
        let gateway = Gateway::watched(Gateway::spawn("n0", "platform", servers, attempts, limits, more));
        eventually(|| gateway.logged("kind=\"Complete\"") > 0);
        gateway
    }

    pub(crate) fn watched((mut child, discovery): (Child, Sender<Value>)) -> Gateway {
        let log = BufReader::new(child.stderr.take().expect("piped"));
        Gateway::with(child, discovery, log.lines().map_while(Result::ok))
    }

    /// Reads the log up to where it says where it listens.
    pub(crate) fn with(
        child: Child,
        discovery: Sender<Value>,
        lines: impl Iterator<Item = String> + Send + 'static,
    ) -> Gateway {
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = log.clone();
        let mut lines = lines.inspect(move |line| kept.lock().expect("whole").push(line.clone()));
        let mut mgmt = None;
        let mut front = || loop {
            let line =
                lines.find(|l| l.contains(" listening ") && !l.contains("Store")).expect("it listens");
            let addr =
                line.split_once("addr=\"").expect("an address").1.split('"').next().expect("an address");
            let addr = addr.parse().expect("an address");
            // It comes before the fronts.
            if !line.contains("Mgmt") {
                break addr;
            }
            mgmt = Some(addr);
        };
        let fronts = [front(), front()];
        thread::spawn(move || lines.for_each(drop));
        Gateway { child, fronts, mgmt, discovery, log }
    }

    pub(crate) fn connect(&self, dialect: &str) -> TcpStream {
        connect(self.front(dialect))
    }

    pub(crate) fn front(&self, dialect: &str) -> SocketAddr {
        self.fronts[usize::from(dialect == "messages")]
    }

    /// Sends a request and does not wait for its answer.
    pub(crate) fn send(&self, dialect: &str, class: &str, deadline_ms: u32, session: usize) -> TcpStream {
        send(self.front(dialect), dialect, class, deadline_ms, session)
    }

    /// Sends a request and waits for its answer.
    pub(crate) fn exchange(
        &self,
        dialect: &str,
        class: &str,
        deadline_ms: u32,
        session: usize,
    ) -> (Seen, String) {
        seen(dialect, self.send(dialect, class, deadline_ms, session))
    }

    pub(crate) fn logged(&self, word: &str) -> usize {
        self.log.lock().expect("whole").iter().filter(|l| l.contains(word)).count()
    }

    /// Sends it a signal.
    pub(crate) fn signal(&self, signal: &str) {
        send_signal(&self.child, signal);
    }

    /// Asks it to stop, and waits until it has.
    pub(crate) fn stop(&mut self) -> Option<i32> {
        self.signal("-TERM");
        self.child.wait().expect("it ends").code()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("it accepts");
    stream.set_read_timeout(Some(FOREVER)).expect("a time-out");
    stream
}

/// Sends a request to a front and does not wait for its answer.
pub(crate) fn send(
    front: SocketAddr,
    dialect: &str,
    class: &str,
    deadline_ms: u32,
    session: usize,
) -> TcpStream {
    let mut stream = connect(front);
    let (head, body) = request(dialect, class, deadline_ms, session, "");
    // In two pieces, as a network may deliver it.
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(body.as_bytes()).expect("sent");
    stream
}

/// A request's head, with `more` in it, and its body.
pub(crate) fn request(
    dialect: &str,
    class: &str,
    deadline_ms: u32,
    session: usize,
    more: &str,
) -> (String, String) {
    let deadline = format!("X-Deadline-Ms: {deadline_ms}\r\n");
    let (path, headers, body) = match dialect {
        "messages" => (
            "/v1/messages",
            deadline,
            json!({"model": format!("{class}-model"), "max_tokens": 20, "stream": true, "system": "Be brief.",
                "metadata": {"user_id": format!("u{session}")},
                "messages": [{"role": "user", "content": [{"type": "text", "text": "Which gate?"}]}]}),
        ),
        _ => (
            "/v1/chat/completions",
            format!(
                "{deadline}X-Request-Id: {session:016x}\r\nX-Class: {class}\r\nX-Tenant: office\r\nX-Key: {session:x}\r\n"
            ),
            json!({"model": "chat", "max_tokens": 20, "stream": true, "messages": [
                {"role": "system", "content": "Be brief."}, {"role": "user", "content": "Which gate?"}]}),
        ),
    };
    let body = body.to_string();
    let length = body.len();
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: app.svc\r\n{headers}{more}Content-Length: {length}\r\n\r\n");
    (head, body)
}

pub(crate) fn send_signal(child: &Child, signal: &str) {
    let kill = Command::new("kill").args([signal, &child.id().to_string()]).status();
    assert!(kill.expect("kill runs").success());
}

/// Waits until it is so, far longer than it takes.
pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The status that a call, its method and path, gets at this address; 0 is no answer.
pub(crate) fn call(addr: SocketAddr, call: &str) -> u16 {
    let answer = TcpStream::connect(addr).and_then(|mut stream| {
        stream.set_read_timeout(Some(FOREVER))?;
        let head = format!("{call} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    });
    answer.unwrap_or_default().split(' ').nth(1).map_or(0, |s| s.parse().expect("a status"))
}

pub(crate) fn eventually(mut so: impl FnMut() -> bool) {
    let from = Instant::now();
    while !so() {
        assert!(from.elapsed() < FOREVER, "it never came to be");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Reads an answer that is no stream, and checks its form.
fn read_error(dialect: &str, status: u16, head: &[String], reader: &mut impl Read) -> Seen {
    let mut body = vec![0; header(head, "content-length").expect("a length").parse().expect("a length")];
    reader.read_exact(&mut body).expect("a body");
    if dialect == "messages" {
        let error: Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(error["type"], "error");
        assert!(error["error"]["type"].is_string() && error["error"]["message"].is_string());
    }
    let wait = header(head, "retry-after").map(|w| w.parse::<f64>().expect("seconds"));
    assert!(status < 500 || wait.is_some_and(|w| (0.0..=2.0).contains(&w)), "{head:?}");
    if matches!(status, 429 | 503 | 529) { Seen::Shed } else { Seen::Failed }
}

/// Reads chunks: their bytes, and whether the last one came.
fn read_chunks(reader: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut stream = Vec::new();
    let whole = loop {
        let mut size = String::new();
        match reader.read_line(&mut size) {
            Ok(0) => break false,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => break false,
            read => drop(read.expect("a chunk")),
        }
        let mut bytes = vec![0; usize::from_str_radix(size.trim_end(), 16).expect("a size") + 2];
        reader.read_exact(&mut bytes).expect("a whole chunk");
        bytes.truncate(bytes.len() - 2);
        if bytes.is_empty() {
            break true;
        }
        stream.extend(bytes);
    };
    (stream, whole)
}

/// Reads an answer: what became of the request, and the stream's bytes.
pub(crate) fn seen(dialect: &str, stream: TcpStream) -> (Seen, String) {
    let mut reader = BufReader::new(stream);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        assert!(reader.read_line(&mut line).expect("an answer") > 0, "no answer at all");
        match line.trim_end() {
            "" => break,
            line => head.push(line.to_owned()),
        }
    }
    let status: u16 = head[0].split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    if status != 200 {
        return (read_error(dialect, status, &head, &mut reader), String::new());
    }
    let (stream, whole) = read_chunks(&mut reader);
    let stream = String::from_utf8(stream).expect("UTF-8");
    let events = stream.split("\n\n").filter_map(|e| e.split_once("data: "));
    let mut words = String::new();
    for (name, data) in events {
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        let word = match dialect {
            "messages" => {
                assert_eq!(name.trim_end(), format!("event: {}", value["type"].as_str().expect("a type")));
                &value["delta"]["text"]
            }
            _ => &value["choices"][0]["delta"]["content"],
        };
        words.push_str(word.as_str().unwrap_or_default());
    }
    if whole && dialect == "messages" {
        let names: Vec<&str> = stream.lines().filter_map(|l| l.strip_prefix("event: ")).collect();
        assert_eq!((names[0], names[names.len() - 1]), ("message_start", "message_stop"), "{names:?}");
        assert!(stream.contains("\"cache_read_input_tokens\":5"), "{stream}");
    } else if whole {
        assert!(stream.contains("[DONE]") && stream.contains("\"cached_tokens\":5"), "{stream}");
    }
    (if whole { Seen::Served(words) } else { Seen::Broken(words) }, stream)
}
