//! The gateway program, and stand-ins of its list service, replicas and clients on loopback.

#![allow(dead_code, missing_docs)]

pub(crate) mod connect_faults;
pub(crate) mod departures;
pub(crate) mod fleet;
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

/// Timeout of waits in tests; no wait reaches it in a correct run, even on a slow machine.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for which a replica may continue to generate a stream that is no longer read. The target is 50 ms;
/// the rest is for tests that run at the same time, and is far less than an unread stream would take.
pub(crate) const MAX_ABANDONED_WORK: Duration = Duration::from_millis(500);
/// Dialects of the gateway's fronts, in the order of `Gateway::fronts`.
pub(crate) const DIALECTS: [&str; 2] = ["platform", "messages"];
/// Pairs of a front's dialect and a replica's dialect.
pub(crate) const DIALECT_PAIRS: [(&str, &str); 4] = [
    ("platform", "platform"),
    ("platform", "messages"),
    ("messages", "platform"),
    ("messages", "messages"),
];

/// Result of a request as its client received it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClientOutcome {
    /// Complete response with status 200 and this text.
    Served(String),
    /// Stream that ended after this text without its last chunk.
    Truncated(String),
    /// Status 429, 503 or 529, with `Retry-After`.
    Shed,
    /// Any other status.
    Failed,
}

/// Reaction of a stand-in replica to every request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReplicaBehavior {
    /// Sends a complete stream.
    Serve,
    /// Refuses with 529, or with 503 and `X-Not-Run` in the platform's dialect.
    Overloaded,
    /// Responds 500.
    InternalError,
    /// Sends a stream with only an error event.
    ErrorEvent,
    /// Sends an error event after the first text.
    ErrorEventAfterText,
    /// Closes the connection before any byte of the response.
    CloseWithoutResponse,
    /// Sends nothing, and expects the gateway to close the connection.
    NoResponse,
    /// Closes the connection after the first text.
    CloseMidStream,
    /// Sends a complete stream with an event of an unspecified type.
    UnknownEvent,
    /// Sends a complete stream and closes the connection 30 ms later.
    ServeAndClose,
    /// Responds 422.
    Unprocessable,
    /// Sends bytes that are not a head, on a connection that stays open.
    GarbageHead,
    /// Sends an incomplete head, on a connection that stays open.
    PartialHead,
    /// Sends nothing after the first text, on a connection that stays open.
    StallMidStream,
    /// Sends, after the first text, a chunk that is shorter than its stated size.
    PartialChunk,
    /// Sends, after the first text, a chunk of 3 GB without end.
    HugeChunk,
    /// Sends two interim responses, a valid response with an invalid load report, and the same response again.
    SurplusResponses,
}

/// A stand-in replica, and the requests that it received.
pub(crate) struct StandInReplica {
    pub addr: SocketAddr,
    /// Number of received requests.
    pub requests: Arc<AtomicUsize>,
    /// Bodies of the received requests.
    pub bodies: Arc<Mutex<Vec<Value>>>,
    /// One item for each connection that the gateway closed, and for each one closed by `ServeAndClose`; none from a
    /// scripted replica.
    pub connection_ends: Receiver<()>,
}

/// Encodes one event; its name is written only in the messages dialect.
pub(crate) fn encode_event(dialect: &str, name: &str, data: Value) -> String {
    if dialect == "messages" {
        format!("event: {name}\ndata: {data}\n\n")
    } else {
        format!("data: {data}\n\n")
    }
}

/// An event with this text.
pub(crate) fn text_event(dialect: &str, text: &str) -> String {
    match dialect {
        "messages" => encode_event(
            dialect,
            "content_block_delta",
            json!({"type": "content_block_delta", "index": 0, "delta": {"type": "text_delta", "text": text}}),
        ),
        _ => encode_event(
            dialect,
            "",
            json!({"choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}]}),
        ),
    }
}

/// Events that precede the text of a stream.
pub(crate) fn opening_events(dialect: &str) -> String {
    let usage = json!({"input_tokens": 7, "cache_read_input_tokens": 5, "output_tokens": 1});
    let start = json!({"type": "message_start", "message": {"id": "msg_1", "usage": usage}});
    let block =
        json!({"type": "content_block_start", "index": 0, "content_block": {"type": "text", "text": ""}});
    match dialect {
        "messages" => {
            encode_event(dialect, "message_start", start)
                + &encode_event(dialect, "content_block_start", block)
                + &encode_event(dialect, "ping", json!({"type": "ping"}))
        }
        _ => String::new(),
    }
}

/// Events that follow the text of a stream.
pub(crate) fn closing_events(dialect: &str) -> String {
    let stop = json!({"type": "message_delta", "delta": {"stop_reason": "end_turn"}, "usage": {"output_tokens": 2}});
    match dialect {
        "messages" => {
            encode_event(dialect, "content_block_stop", json!({"type": "content_block_stop", "index": 0}))
                + &encode_event(dialect, "message_delta", stop)
                + &encode_event(dialect, "message_stop", json!({"type": "message_stop"}))
        }
        _ => {
            let stop = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]});
            let usage = json!({"choices": [], "usage": {"prompt_tokens": 12, "completion_tokens": 2,
                "prompt_tokens_details": {"cached_tokens": 5}}});
            encode_event(dialect, "", stop)
                + &encode_event(dialect, "", usage)
                + "data: [DONE]\n\n: X-Load: TEXT util=0.5\n\n"
        }
    }
}

pub(crate) fn overloaded_event(dialect: &str) -> String {
    encode_event(
        dialect,
        "error",
        json!({"type": "error", "error": {"type": "overloaded_error", "message": "no"}}),
    )
}

/// An event of a type that no specification defines.
pub(crate) fn unknown_event(dialect: &str) -> String {
    encode_event(dialect, "glimmer", json!({"type": "glimmer", "shade": 3}))
}

/// Reads a message's head, and its body by `Content-Length`; `None` at the end of the connection.
pub(crate) fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
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

/// Value of the first header of this name.
pub(crate) fn header(lines: &[String], name: &str) -> Option<String> {
    let mut pairs = lines.iter().filter_map(|l| l.split_once(':'));
    pairs.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_owned())
}

/// Encodes one chunk of a chunked body.
pub(crate) fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Starts a replica of this dialect on a free port.
pub(crate) fn start_replica(dialect: &'static str, behavior: ReplicaBehavior) -> StandInReplica {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (requests, bodies) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::new())));
    let (end_sender, connection_ends) = channel();
    let shared = (requests.clone(), bodies.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (shared, end_sender) = (shared.clone(), end_sender.clone());
            thread::spawn(move || {
                serve_connection(stream, dialect, behavior, &shared.0, &shared.1, &end_sender)
            });
        }
    });
    StandInReplica { addr, requests, bodies, connection_ends }
}

/// Bytes that a stand-in replica writes for a request.
fn scripted_response(behavior: ReplicaBehavior, dialect: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let first_events = opening_events(dialect) + &text_event(dialect, "Hel");
    match (behavior, dialect) {
        (ReplicaBehavior::Overloaded, "messages") => {
            "HTTP/1.1 529 Overloaded\r\nContent-Length: 0\r\n\r\n".to_owned()
        }
        (ReplicaBehavior::Overloaded, _) => {
            "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
        }
        (ReplicaBehavior::InternalError, _) => "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        (ReplicaBehavior::ErrorEvent, _) => {
            head.to_owned() + &encode_chunk(&overloaded_event(dialect)) + "0\r\n\r\n"
        }
        (ReplicaBehavior::ErrorEventAfterText, _) => {
            head.to_owned() + &encode_chunk(&(first_events + &overloaded_event(dialect))) + "0\r\n\r\n"
        }
        (ReplicaBehavior::CloseMidStream | ReplicaBehavior::StallMidStream, _) => {
            head.to_owned() + &encode_chunk(&first_events)
        }
        (ReplicaBehavior::CloseWithoutResponse | ReplicaBehavior::NoResponse, _) => String::new(),
        (ReplicaBehavior::Unprocessable, _) => "HTTP/1.1 422 No\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        (ReplicaBehavior::GarbageHead, _) => "\u{1}noise".to_owned(),
        (ReplicaBehavior::PartialHead, _) => head.replace("\r\n\r\n", "\r\nX-Mo"),
        (ReplicaBehavior::PartialChunk, _) => {
            head.to_owned() + &encode_chunk(&first_events) + "ffff\r\ndata: a\n\n"
        }
        (ReplicaBehavior::HugeChunk, _) => head.to_owned() + &encode_chunk(&first_events) + "b2d05e00\r\n",
        (ReplicaBehavior::SurplusResponses, _) => {
            let body =
                encode_chunk(&(first_events + &text_event(dialect, "lo") + &closing_events(dialect)))
                    + "0\r\n\r\n";
            let head =
                head.replace("Type:", "Type:  ").replace("\r\n\r\n", "\r\nX-Load: \u{1} util=?\r\n\r\n");
            "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n".repeat(2) + &(head + &body).repeat(2)
        }
        (ReplicaBehavior::Serve | ReplicaBehavior::UnknownEvent | ReplicaBehavior::ServeAndClose, _) => {
            let unknown = if behavior == ReplicaBehavior::UnknownEvent {
                unknown_event(dialect)
            } else {
                String::new()
            };
            let rest = text_event(dialect, "lo") + &closing_events(dialect);
            head.to_owned()
                + &encode_chunk(&first_events)
                + &encode_chunk(&unknown[..unknown.len().min(9)]).repeat(usize::from(!unknown.is_empty()))
                + &encode_chunk(&(unknown.get(9..).unwrap_or_default().to_owned() + &rest))
                + "0\r\n\r\n"
        }
    }
}

/// Serves one connection of a stand-in replica.
pub(crate) fn serve_connection(
    mut stream: TcpStream,
    dialect: &str,
    behavior: ReplicaBehavior,
    requests: &AtomicUsize,
    bodies: &Mutex<Vec<Value>>,
    connection_ends: &Sender<()>,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some((head, body)) = read_message(&mut reader) {
        requests.fetch_add(1, Ordering::SeqCst);
        let path = if dialect == "messages" { "POST /v1/messages " } else { "POST /v1/chat/completions " };
        assert!(head[0].starts_with(path), "{} sent to a replica of the dialect {dialect}", head[0]);
        assert!(header(&head, "x-deadline-ms").is_some() && header(&head, "x-request-id").is_some());
        bodies.lock().expect("lock").push(serde_json::from_slice(&body).expect("JSON"));
        let response = scripted_response(behavior, dialect);
        stream.write_all(response.as_bytes()).ok()?;
        match behavior {
            ReplicaBehavior::HugeChunk => while stream.write_all(&[b'x'; 4096]).is_ok() {},
            ReplicaBehavior::CloseWithoutResponse | ReplicaBehavior::CloseMidStream => return None,
            ReplicaBehavior::ServeAndClose => {
                // After this wait the connection is in the gateway's pool again.
                thread::sleep(Duration::from_millis(30));
                drop((stream, reader));
                return connection_ends.send(()).ok();
            }
            ReplicaBehavior::NoResponse => {
                // The connection ends while its response is pending: the gateway abandoned the attempt.
                let has_ended = matches!(reader.read(&mut [0]), Ok(0) | Err(_));
                assert!(has_ended, "bytes received after the request");
                connection_ends.send(()).ok()?;
                return None;
            }
            _ => {}
        }
    }
    // The gateway closed an idle connection.
    connection_ends.send(()).ok()
}

/// Head of a response that is an event stream.
pub(crate) const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Starts a replica that runs `script` for each request with its number, and reports the time at which the gateway
/// closed the connection. A connection is dropped once its script returns false.
pub(crate) fn start_scripted_replica(
    script: impl Fn(&mut TcpStream, usize) -> bool + Send + Sync + 'static,
) -> (StandInReplica, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (script, requests) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
    let count = requests.clone();
    let (close_sender, close_times) = channel();
    let (_, connection_ends) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (script, count, close_sender) = (script.clone(), count.clone(), close_sender.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
                while read_message(&mut reader).is_some() {
                    let number = count.fetch_add(1, Ordering::SeqCst);
                    if !script(&mut stream, number) {
                        return;
                    }
                    // After a script with an incomplete response this waits for the gateway's close.
                    if reader.fill_buf().map_or(true, <[u8]>::is_empty) {
                        let _ = close_sender.send(Instant::now());
                        return;
                    }
                }
            });
        }
    });
    (StandInReplica { addr, requests, bodies: Arc::default(), connection_ends }, close_times)
}

/// Starts a replica that sends this many text events for each request, and nothing more.
pub(crate) fn start_stalling_replica(
    dialect: &'static str,
    events: usize,
) -> (StandInReplica, Receiver<Instant>) {
    start_scripted_replica(move |stream, _| {
        let response = STREAM_HEAD.to_owned() + &encode_chunk(&text_event(dialect, "Hel")).repeat(events);
        stream.write_all(response.as_bytes()).is_ok()
    })
}

/// Reads up to the end of the response's next event.
pub(crate) fn read_event(stream: &mut TcpStream) {
    let mut byte = [0];
    let mut received = Vec::new();
    while !received.ends_with(b"\n\n") {
        stream.read_exact(&mut byte).expect("a response");
        received.push(byte[0]);
    }
}

/// Starts a stand-in list service for one watch, which receives the first list and then each list that is sent.
pub(crate) fn start_discovery(first: Value) -> (SocketAddr, Sender<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (send, lines) = channel::<Value>();
    send.send(first.clone()).expect("queue the first list");
    thread::spawn(move || {
        let mut stream = listener.accept().expect("accept the watch").0;
        let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
        let (head, _) = read_message(&mut reader).expect("read the call");
        // A watch starts at the version that the gateway has; each first list is one version newer.
        let index = first["version"].as_u64().expect("a version") - 1;
        assert!(
            head[0].starts_with(&format!("GET /catalog/members?stream=1&index={index} ")),
            "{}",
            head[0]
        );
        let mut out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        loop {
            let line = lines.recv_timeout(Duration::from_secs(1)).map_or(String::new(), |l| l.to_string());
            out += &encode_chunk(&(line + "\n"));
            if stream.write_all(out.as_bytes()).is_err() {
                return;
            }
            out.clear();
        }
    });
    (addr, send)
}

pub(crate) fn replica_entry(n: usize, replica: &StandInReplica, state: &str, started_ms: u64) -> Value {
    replica_entry_at(n, replica.addr, state, started_ms)
}

pub(crate) fn replica_entry_at(n: usize, addr: SocketAddr, state: &str, started_ms: u64) -> Value {
    json!({"id": format!("s-{n}"), "addr": addr.to_string(), "zone": "a", "kind": "k", "cell": 0,
        "state": state, "weight": 1.0, "started_ms": started_ms})
}

/// A list in this version; `full` is false for a delta.
pub(crate) fn replica_list(version: u64, full: bool, replicas: Vec<Value>) -> Value {
    json!({"version": version, "full": full, "servers": replicas})
}

/// Stand-in of the platform in which the program runs.
pub(crate) struct Platform<'a> {
    /// Address of the list service, and the sender of its lists.
    pub discovery: (SocketAddr, Sender<Value>),
    /// Value of `EDGE_INHERITED_FD`, and the socket that the program inherits as descriptor 4.
    pub inherited: Option<(&'a str, Stdio)>,
}

impl Platform<'_> {
    pub(crate) fn with_discovery(discovery: (SocketAddr, Sender<Value>)) -> Platform<'static> {
        Platform { discovery, inherited: None }
    }
}

/// A running gateway process with both fronts; dropping it kills the process.
pub(crate) struct Gateway {
    pub child: Child,
    pub fronts: [SocketAddr; 2],
    /// Address of the management listener, if one is configured.
    pub mgmt: Option<SocketAddr>,
    pub discovery: Sender<Value>,
    pub log: Arc<Mutex<Vec<String>>>,
}

/// One second in the unit of the platform's configuration.
const SECOND_NS: u64 = 1_000_000_000;

/// A request class in the form of the platform's configuration.
fn class_lane(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "promise-ns": SECOND_NS, "deadline-ns": 10 * SECOND_NS,
        "stream": true, "points": 1.0})
}

/// Configuration that the platform supplies; `attempts` is the maximum number of attempts per request.
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

/// Moves the overrides of the platform's configuration from `more` to their place in `settings`.
fn override_platform_settings(settings: &mut Value, more: &mut serde_json::Map<String, Value>) {
    // Number of gateways, and the index of this one.
    for (key, of) in [("group-size", "group"), ("me", "me")] {
        if let Some(value) = more.remove(of) {
            settings[key] = value;
        }
    }
    // Quota of the tenant in requests per second.
    if let Some(quota) = more.remove("quota_per_s") {
        settings["accounts"][0]["quota-per-s"] = quota;
    }
    // Transport of the list, and the maximum time without a call for it.
    if let Some(way) = more.remove("way") {
        settings["discovery"] = way;
    }
    if let Some(span) = more.remove("ask_within_s") {
        settings["safety"]["ask-within-ns"] = (span.as_u64().expect("s") * SECOND_NS).into();
    }
    // Promised time to the first event, after which an attempt without one is examined.
    if let Some(time) = more.remove("promise_ms") {
        let time = time.as_u64().expect("ms") * (SECOND_NS / 1000);
        for lane in settings["lanes"].as_array_mut().expect("lanes") {
            lane["promise-ns"] = time.into();
        }
    }
    // Timeout of a connection attempt.
    if let Some(span) = more.remove("connect_timeout_ms") {
        settings["policy-limits"]["connect-timeout-ns"] =
            (span.as_u64().expect("ms") * SECOND_NS / 1000).into();
    }
    // A class whose repeated requests are discarded during this time.
    if let Some(span) = more.remove("key_ttl_ms") {
        let mut keyed = class_lane("keyed", "dedup");
        keyed["key-ttl-ns"] = (span.as_u64().expect("ms") * SECOND_NS / 1000).into();
        settings["lanes"].as_array_mut().expect("lanes").push(keyed);
    }
}

impl Gateway {
    pub(crate) fn start(dialect: &str, replicas: Vec<Value>, attempts: u32) -> Gateway {
        Gateway::attach(Gateway::spawn("n0", dialect, replicas, attempts, (1024, 1024), json!({})))
    }

    /// Starts the program with `more` in its settings file. `descriptors` are the process's limit on descriptors and
    /// the number of sockets in its configuration.
    pub(crate) fn spawn(
        name: &str,
        dialect: &str,
        replicas: Vec<Value>,
        attempts: u32,
        descriptors: (u32, u32),
        more: Value,
    ) -> (Child, Sender<Value>) {
        let platform = Platform::with_discovery(start_discovery(replica_list(2, true, replicas.clone())));
        Gateway::spawn_on(name, dialect, replicas, attempts, descriptors, more, platform)
    }

    /// Like `spawn`, on a given platform.
    pub(crate) fn spawn_on(
        name: &str,
        dialect: &str,
        replicas: Vec<Value>,
        attempts: u32,
        (descriptors, sockets): (u32, u32),
        more: Value,
        Platform { discovery: (addr, discovery), inherited }: Platform<'_>,
    ) -> (Child, Sender<Value>) {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let mut config = json!({"name": name, "listen": "127.0.0.1:0", "discovery": addr.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "sockets": sockets},
            "known": replica_list(1, true, replicas), "settings": platform_settings(attempts)});
        let mut daemon = json!({"dialects": {"k": dialect}, "messages": {"listen": "127.0.0.1:0",
            "classes": {"once-model": "once"}, "class": "plain", "tenant": "office"}});
        let mut more = more.as_object().expect("an object").clone();
        // Part of the platform's configuration: memory available to the program.
        let memory = more.remove("memory_mb").unwrap_or(json!(192));
        // Part of the platform's configuration: hedging; with it, the first attempt is not cancelled.
        let copies = more.remove("copies").is_some();
        // Only for benchmarks: path of another build to compare with.
        let program = more.remove("program");
        let program = program.as_ref().and_then(Value::as_str).unwrap_or(env!("CARGO_BIN_EXE_tulipridge"));
        // Directory shared by the processes of one gateway, separate for each test run.
        let default_folder = || json!(format!("{}/{}", env!("CARGO_TARGET_TMPDIR"), std::process::id()));
        let shared = more.remove("shared").unwrap_or_else(default_folder);
        std::fs::create_dir_all(shared.as_str().expect("a path")).expect("create the folder");
        config["mgmt"] = more.remove("mgmt").unwrap_or(Value::Null);
        override_platform_settings(&mut config["settings"], &mut more);
        daemon.as_object_mut().expect("an object").extend(more);
        config["limits"]["memory_mb"] = memory;
        config["settings"]["policy-limits"]["second-copies"] = copies.into();
        config["settings"]["policy-limits"]["cancel"] = (!copies).into();
        let file = |name: &str, text: String| {
            let path = format!("{}/{}-{number}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
            std::fs::write(&path, text).expect("write a file");
            path
        };
        let inherit = if inherited.is_some() { "exec 4<&0 </dev/null; " } else { "" };
        let mut command = Command::new("sh");
        if let Some((stated, stdin)) = inherited {
            command.env("EDGE_INHERITED_FD", stated).stdin(stdin);
        }
        let child = command
            .arg("-c")
            .arg(format!("ulimit -n {descriptors}; {inherit}exec \"$0\""))
            .arg(program)
            .env("EDGE_CONFIG", file("config.json", config.to_string()))
            .env("TULIPRIDGE_SETTINGS", file("settings.hcl", hcl::to_string(&daemon).expect("HCL")))
            .env("TMPDIR", shared.as_str().expect("a path"))
            .env_remove("EDGE_LISTEN")
            .env_remove("EDGE_DISCOVERY")
            .env_remove("RUST_LOG")
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the program");
        (child, discovery)
    }

    /// Starts the program and waits until it has applied the complete list.
    pub(crate) fn start_with_list(
        replicas: Vec<Value>,
        attempts: u32,
        limits: (u32, u32),
        more: Value,
    ) -> Gateway {
        let gateway = Gateway::attach(Gateway::spawn("n0", "platform", replicas, attempts, limits, more));
        wait_until(|| gateway.count_log_lines("kind=\"Complete\"") > 0);
        gateway
    }

    /// Waits until a started program listens, and reads its log from then on.
    pub(crate) fn attach((mut child, discovery): (Child, Sender<Value>)) -> Gateway {
        let log = BufReader::new(child.stderr.take().expect("a piped stderr"));
        Gateway::attach_with_log(child, discovery, log.lines().map_while(Result::ok))
    }

    /// Waits until the log contains the addresses of both fronts, and collects the log in the background.
    pub(crate) fn attach_with_log(
        child: Child,
        discovery: Sender<Value>,
        lines: impl Iterator<Item = String> + Send + 'static,
    ) -> Gateway {
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let collected = log.clone();
        let mut lines = lines.inspect(move |line| collected.lock().expect("lock").push(line.clone()));
        let mut mgmt = None;
        let mut front = || loop {
            let line = lines
                .find(|l| l.contains(" listening ") && !l.contains("Store"))
                .expect("a listener in the log");
            let addr =
                line.split_once("addr=\"").expect("an address").1.split('"').next().expect("an address");
            let addr = addr.parse().expect("an address");
            // The management listener is logged before the fronts.
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

    /// Sends a request without waiting for its response.
    pub(crate) fn send(&self, dialect: &str, class: &str, deadline_ms: u32, session: usize) -> TcpStream {
        send(self.front(dialect), dialect, class, deadline_ms, session)
    }

    /// Sends a request and reads its response.
    pub(crate) fn exchange(
        &self,
        dialect: &str,
        class: &str,
        deadline_ms: u32,
        session: usize,
    ) -> (ClientOutcome, String) {
        read_outcome(dialect, self.send(dialect, class, deadline_ms, session))
    }

    /// Number of lines of the log so far that contain `text`.
    pub(crate) fn count_log_lines(&self, text: &str) -> usize {
        self.log.lock().expect("lock").iter().filter(|l| l.contains(text)).count()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: &str) {
        send_signal(&self.child, signal);
    }

    /// Sends SIGTERM and waits for the exit; returns the exit code.
    pub(crate) fn stop(&mut self) -> Option<i32> {
        self.signal("-TERM");
        self.child.wait().expect("wait for the exit").code()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("connect");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the timeout");
    stream
}

/// Sends a request to a front without waiting for its response.
pub(crate) fn send(
    front: SocketAddr,
    dialect: &str,
    class: &str,
    deadline_ms: u32,
    session: usize,
) -> TcpStream {
    let mut stream = connect(front);
    let (head, body) = request(dialect, class, deadline_ms, session, "");
    // Two writes, as a network may split the request.
    stream.write_all(head.as_bytes()).expect("send");
    stream.write_all(body.as_bytes()).expect("send");
    stream
}

/// Head of a request with the header lines `more`, and its body.
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
    assert!(kill.expect("run kill").success());
}

/// Duration of this many milliseconds.
pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Status of the response to a bodiless request, given by method and path; 0 if there is no response.
pub(crate) fn call_status(addr: SocketAddr, call: &str) -> u16 {
    let response = TcpStream::connect(addr).and_then(|mut stream| {
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        let head = format!("{call} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        let mut response = String::new();
        stream.read_to_string(&mut response)?;
        Ok(response)
    });
    response.unwrap_or_default().split(' ').nth(1).map_or(0, |s| s.parse().expect("a status"))
}

/// Waits until the condition is met, at most `TEST_TIMEOUT`.
pub(crate) fn wait_until(mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TEST_TIMEOUT, "condition not met within {TEST_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Reads a response other than a stream, and checks its form.
fn read_error(dialect: &str, status: u16, head: &[String], reader: &mut impl Read) -> ClientOutcome {
    let mut body = vec![0; header(head, "content-length").expect("a length").parse().expect("a length")];
    reader.read_exact(&mut body).expect("a body");
    if dialect == "messages" {
        let error: Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(error["type"], "error");
        assert!(error["error"]["type"].is_string() && error["error"]["message"].is_string());
    }
    let wait = header(head, "retry-after").map(|w| w.parse::<f64>().expect("seconds"));
    assert!(status < 500 || wait.is_some_and(|w| (0.0..=2.0).contains(&w)), "{head:?}");
    if matches!(status, 429 | 503 | 529) { ClientOutcome::Shed } else { ClientOutcome::Failed }
}

/// Reads a chunked body; the flag is whether the last chunk was received.
fn read_chunks(reader: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut stream = Vec::new();
    let is_complete = loop {
        let mut size = String::new();
        match reader.read_line(&mut size) {
            Ok(0) => break false,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => break false,
            read => drop(read.expect("a chunk")),
        }
        let mut bytes = vec![0; usize::from_str_radix(size.trim_end(), 16).expect("a size") + 2];
        reader.read_exact(&mut bytes).expect("a complete chunk");
        bytes.truncate(bytes.len() - 2);
        if bytes.is_empty() {
            break true;
        }
        stream.extend(bytes);
    };
    (stream, is_complete)
}

/// Reads a response: its outcome, and the bytes of the stream.
pub(crate) fn read_outcome(dialect: &str, stream: TcpStream) -> (ClientOutcome, String) {
    let mut reader = BufReader::new(stream);
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        assert!(
            reader.read_line(&mut line).expect("read the head") > 0,
            "connection closed without a response"
        );
        match line.trim_end() {
            "" => break,
            line => head.push(line.to_owned()),
        }
    }
    let status: u16 = head[0].split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    if status != 200 {
        return (read_error(dialect, status, &head, &mut reader), String::new());
    }
    let (stream, is_complete) = read_chunks(&mut reader);
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
    if is_complete && dialect == "messages" {
        let names: Vec<&str> = stream.lines().filter_map(|l| l.strip_prefix("event: ")).collect();
        assert_eq!((names[0], names[names.len() - 1]), ("message_start", "message_stop"), "{names:?}");
        assert!(stream.contains("\"cache_read_input_tokens\":5"), "{stream}");
    } else if is_complete {
        assert!(stream.contains("[DONE]") && stream.contains("\"cached_tokens\":5"), "{stream}");
    }
    (if is_complete { ClientOutcome::Served(words) } else { ClientOutcome::Truncated(words) }, stream)
}
