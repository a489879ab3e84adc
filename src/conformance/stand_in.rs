//! Stand-in replicas of either dialect, and a list service that lists them. They run the script of the case that the
//! model of a request names, use plain threads and blocking sockets, and share no code with the tested gateway.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use socket2::SockRef;

use super::case::{Case, Directive, Fleet};
use crate::demo_replica;
use crate::names::Dialect;

/// State that the stand-ins share.
struct Shared {
    dialect: Dialect,
    cases: BTreeMap<String, Case>,
    /// Received requests by model.
    received: Mutex<BTreeMap<String, Vec<ReceivedRequest>>>,
    list: Mutex<ReplicaList>,
}

/// The replica list that the list service returns.
struct ReplicaList {
    version: u64,
    entries: Vec<Value>,
}

/// A request that a stand-in received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The index of the stand-in.
    pub replica: usize,
    /// The body; null if it is not valid JSON.
    pub body: Value,
    /// The head without its last, empty line.
    pub head: String,
}

/// Running stand-in replicas with their list service; they run until the process ends.
pub struct StandIns {
    shared: Arc<Shared>,
    /// The address of the list service.
    pub discovery: SocketAddr,
}

/// The interval at which a watch checks for a new version of the list.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The number of polls without a new version after which a watch sends a keep-alive.
const KEEP_ALIVE_POLLS: u32 = 50;

/// The version of the list at the start.
const INITIAL_VERSION: u64 = 2;

/// Locks a mutex, also after a panic of another thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn bind_loopback(port: u16) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port))
}

impl StandIns {
    /// Starts stand-ins that run the scripts of these cases. The list service listens on `port`; 0 takes any free port.
    ///
    /// # Errors
    ///
    /// If a listener can't be bound.
    pub fn start(dialect: Dialect, fleet: Fleet, cases: &[Case], port: u16) -> io::Result<StandIns> {
        let count = match fleet {
            Fleet::Shared | Fleet::Own | Fleet::Cold => 3,
            Fleet::One => 1,
            Fleet::Dead => 2,
        };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let (mut listeners, mut entries) = (Vec::new(), Vec::new());
        for n in 0..count {
            let listener = bind_loopback(0)?;
            let addr = listener.local_addr()?;
            let is_cold = fleet == Fleet::Cold && n == 0;
            entries
                .push(json!({"id": format!("s-{n}"), "addr": addr.to_string(), "zone": "a", "kind": "k",
                "cell": 0, "state": "ready", "weight": 1.0, "started_ms": if is_cold { now } else { 0 }}));
            // The listener of a dead replica is closed, so that connections are refused.
            if !(fleet == Fleet::Dead && n == 0) {
                listeners.push((n, listener));
            }
        }
        let shared = Arc::new(Shared {
            dialect,
            cases: cases.iter().map(|c| (c.name.clone(), c.clone())).collect(),
            received: Mutex::default(),
            list: Mutex::new(ReplicaList { version: INITIAL_VERSION, entries }),
        });
        for (n, listener) in listeners {
            let shared = shared.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let shared = shared.clone();
                    thread::spawn(move || serve_connection(&shared, n, stream));
                }
            });
        }
        let listener = bind_loopback(port)?;
        let discovery = listener.local_addr()?;
        let watched = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let watched = watched.clone();
                thread::spawn(move || watch(&watched, stream));
            }
        });
        Ok(StandIns { shared, discovery })
    }

    /// The full list, as the list service returns it.
    #[must_use]
    pub fn list(&self) -> Value {
        list(&self.shared, true)
    }

    /// The requests that were received for a model, in their order.
    #[must_use]
    pub fn received(&self, model: &str) -> Vec<ReceivedRequest> {
        lock(&self.shared.received).get(model).cloned().unwrap_or_default()
    }
}

fn list(shared: &Shared, full: bool) -> Value {
    let ReplicaList { version, entries } = &*lock(&shared.list);
    json!({"version": version, "full": full, "servers": entries})
}

/// Serves a watch: sends the full list at first and after each change, and keep-alives in between.
fn watch(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    if demo_replica::read_message(&mut reader).is_none() {
        return Ok(());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let (mut sent_version, mut idle_count) = (0, 0);
    loop {
        let list = list(shared, true);
        let version = list["version"].as_u64().unwrap_or(0);
        if version != sent_version || idle_count >= KEEP_ALIVE_POLLS {
            let line = if version == sent_version { String::new() } else { list.to_string() };
            write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
            (sent_version, idle_count) = (version, 0);
        }
        idle_count += 1;
        thread::sleep(LIST_POLL_INTERVAL);
    }
}

/// Serves a connection to a stand-in; `None` if it has failed or the script has closed it.
fn serve_connection(shared: &Shared, replica: usize, mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some((head, body)) = demo_replica::read_message(&mut reader) {
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let name = model.split('~').next().unwrap_or_default();
        let attempt = {
            let mut received = lock(&shared.received);
            let received = received.entry(model.clone()).or_default();
            received.push(ReceivedRequest { replica, body, head });
            received.len() - 1
        };
        let Some(case) = shared.cases.get(name) else {
            stream.write_all(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        };
        let script = case.serve.get(attempt).or(case.serve.last())?;
        let default_script = [Directive { keyword: "hello".into(), arguments: Vec::new() }];
        let script = if script.is_empty() { &default_script[..] } else { script };
        let mut response = ScriptedResponse {
            shared,
            replica,
            stream: &mut stream,
            has_begun: false,
            piece_bytes: 0,
            writer: EventWriter::default(),
        };
        for directive in script {
            response.execute(directive)?;
        }
    }
    Some(())
}

/// The head of a response that is a stream.
const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A response that is sent according to the script of a case.
struct ScriptedResponse<'p> {
    shared: &'p Shared,
    replica: usize,
    stream: &'p mut TcpStream,
    has_begun: bool,
    /// The size in bytes of the pieces in which events are sent; 0 sends each event in one piece.
    piece_bytes: usize,
    writer: EventWriter,
}

impl ScriptedResponse<'_> {
    fn send_event(&mut self, event: &str) -> Option<()> {
        let mut out = Vec::new();
        if !std::mem::replace(&mut self.has_begun, true) {
            out.extend_from_slice(STREAM_HEAD);
        }
        let piece_bytes = if self.piece_bytes > 0 { self.piece_bytes } else { event.len().max(1) };
        for piece in event.as_bytes().chunks(piece_bytes) {
            out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            out.extend_from_slice(piece);
            out.extend_from_slice(b"\r\n");
            if self.piece_bytes > 0 {
                self.stream.write_all(&out).ok()?;
                out.clear();
            }
        }
        self.stream.write_all(&out).ok()
    }

    /// Executes a directive; `None` closes the connection.
    fn execute(&mut self, directive: &Directive) -> Option<()> {
        match directive.keyword.as_str() {
            "hello" => self.send_default_response(),
            "begin" | "text" | "call" | "args" | "stop" | "thinking" => {
                let event = self.content_event(directive);
                self.send_event(&event)
            }
            "ping" | "unknown" | "error" | "raw" => {
                let event = self.other_event(directive);
                self.send_event(&event)
            }
            "usage" => {
                let [prompt, cached, output] = [0, 1, 2].map(|n| directive.number(n));
                self.writer.usage = Some(ScriptedUsage { prompt, cached, output });
                Some(())
            }
            "end" => self.end_stream(&directive.at(0)),
            // Sends the last chunk without the dialect's last event.
            "last" => self.stream.write_all(b"0\r\n\r\n").ok(),
            "split" => {
                self.piece_bytes = directive.number(0) as usize;
                Some(())
            }
            "pause" => {
                thread::sleep(Duration::from_millis(directive.number(0)));
                Some(())
            }
            "head" => self.send_head(),
            "full" => self.send_rejection(),
            "status" => self.send_error(directive),
            "reset" => {
                let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
                None
            }
            "close" => None,
            // Sends nothing until the gateway closes the connection, at most for 60 s.
            "silence" => {
                let _ = self.stream.set_read_timeout(Some(Duration::from_secs(60)));
                let _ = io::Read::read(self.stream, &mut [0]);
                None
            }
            "drain" => {
                self.start_drain();
                Some(())
            }
            _ => None,
        }
    }

    /// Sends a short, complete response.
    fn send_default_response(&mut self) -> Option<()> {
        let is_messages = self.shared.dialect == Dialect::Messages;
        for text in ["\"Hel\"", "\"lo\""] {
            let event = self.writer.text(is_messages, text);
            self.send_event(&event)?;
        }
        self.end_stream("done")
    }

    /// An event whose content depends on the events before it.
    fn content_event(&mut self, directive: &Directive) -> String {
        let is_messages = self.shared.dialect == Dialect::Messages;
        match directive.keyword.as_str() {
            "begin" => self.writer.begin(is_messages),
            "text" => self.writer.text(is_messages, &directive.json(0)),
            "call" => {
                self.writer.call(is_messages, directive.number(0), &directive.at(1), &directive.at(2))
            }
            "args" => self.writer.args(is_messages, directive.number(0), &directive.json(1)),
            "thinking" => self.writer.thinking(is_messages, &directive.json(0)),
            // "stop": states the stop reason and the usage, without the event that ends the stream.
            _ => self.writer.stop(is_messages, &directive.at(0)),
        }
    }

    /// An event that does not depend on the events before it.
    fn other_event(&self, directive: &Directive) -> String {
        let is_messages = self.shared.dialect == Dialect::Messages;
        match directive.keyword.as_str() {
            "ping" if is_messages => "event: ping\ndata: {\"type\":\"ping\"}\n\n".to_owned(),
            "ping" => ": ping\n\n".to_owned(),
            "unknown" if is_messages => {
                "event: glimmer\ndata: {\"type\":\"glimmer\",\"shade\":3}\n\n".to_owned()
            }
            "unknown" => "data: {\"type\":\"glimmer\",\"shade\":3}\n\n".to_owned(),
            "error" => {
                let error = json!({"type": "error", "error": {"type": directive.at(0), "message": directive.at(1)}});
                if is_messages {
                    format!("event: error\ndata: {error}\n\n")
                } else {
                    format!("data: {}\n\n", json!({"error": error["error"]}))
                }
            }
            // "raw": the given characters.
            _ => directive.at(0),
        }
    }

    /// Sends the head of a stream without an event.
    fn send_head(&mut self) -> Option<()> {
        self.has_begun = true;
        self.stream.write_all(STREAM_HEAD).ok()
    }

    /// Rejects the request because the replica is full, which states that it has not run.
    fn send_rejection(&mut self) -> Option<()> {
        let response = match self.shared.dialect {
            Dialect::Messages => "HTTP/1.1 529 Overloaded\r\nContent-Length: 0\r\n\r\n",
            Dialect::Platform => "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        };
        self.stream.write_all(response.as_bytes()).ok()
    }

    /// Sends a response with an error status and an error object.
    fn send_error(&mut self, directive: &Directive) -> Option<()> {
        let error = json!({"type": "error", "error": {"type": "invalid_request_error",
            "message": directive.at(1)}});
        let body = error.to_string();
        let response = format!(
            "HTTP/1.1 {} No\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            directive.at(0),
            body.len()
        );
        self.stream.write_all(response.as_bytes()).ok()
    }

    /// Marks this replica as draining in the list.
    fn start_drain(&self) {
        let mut list = lock(&self.shared.list);
        list.version += 1;
        list.entries[self.replica]["state"] = "draining".into();
    }

    fn end_stream(&mut self, stop: &str) -> Option<()> {
        let is_messages = self.shared.dialect == Dialect::Messages;
        let event = self.writer.stop(is_messages, stop)
            + if is_messages {
                "event: message_stop\ndata: {\"type\":\"message_stop\"}\n\n"
            } else {
                "data: [DONE]\n\n"
            };
        self.send_event(&event)?;
        self.stream.write_all(b"0\r\n\r\n").ok()
    }
}

/// A content block of a stream that has not ended.
#[derive(Clone, Copy)]
struct OpenBlock {
    index: u64,
    /// The number of the tool call; `None` for text and thinking.
    call: Option<u64>,
}

/// The token usage in the response of a stand-in; `prompt` includes `cached`.
#[derive(Clone, Copy)]
struct ScriptedUsage {
    prompt: u64,
    cached: u64,
    output: u64,
}

/// The token usage if the case states none.
const DEFAULT_USAGE: ScriptedUsage = ScriptedUsage { prompt: 12, cached: 5, output: 2 };

/// Writes the events of a stream in either dialect.
#[derive(Default)]
struct EventWriter {
    has_begun: bool,
    open: Vec<OpenBlock>,
    next_index: u64,
    usage: Option<ScriptedUsage>,
}

impl EventWriter {
    fn usage(&self) -> ScriptedUsage {
        self.usage.unwrap_or(DEFAULT_USAGE)
    }

    fn begin(&mut self, is_messages: bool) -> String {
        if std::mem::replace(&mut self.has_begun, true) {
            return String::new();
        }
        let ScriptedUsage { prompt, cached, .. } = self.usage();
        if !is_messages {
            return completion_chunk(r#"{"role":"assistant","content":""}"#, "null");
        }
        named_event(
            "message_start",
            &format!(
                r#""message":{{"id":"msg_1","type":"message","role":"assistant","content":[],"model":"m","stop_reason":null,"stop_sequence":null,"usage":{{"input_tokens":{},"cache_read_input_tokens":{cached},"output_tokens":1}}}}"#,
                prompt - cached
            ),
        )
    }

    fn block(&mut self, call: Option<u64>, block: &str) -> String {
        let mut out = String::new();
        // Any new block ends an open text; tool calls may be open at the same time.
        if call.is_none() || self.open.last().is_some_and(|block| block.call.is_none()) {
            out += &self.close();
        }
        let index = self.next_index;
        self.next_index += 1;
        self.open.push(OpenBlock { index, call });
        out + &named_event("content_block_start", &format!(r#""index":{index},"content_block":{block}"#))
    }

    fn close(&mut self) -> String {
        let stop =
            |OpenBlock { index, .. }| named_event("content_block_stop", &format!(r#""index":{index}"#));
        std::mem::take(&mut self.open).into_iter().map(stop).collect()
    }

    fn delta(&self, index: u64, delta: &str) -> String {
        named_event("content_block_delta", &format!(r#""index":{index},"delta":{{{delta}}}"#))
    }

    fn text(&mut self, is_messages: bool, json: &str) -> String {
        let mut out = self.begin(is_messages);
        if !is_messages {
            return out + &completion_chunk(&format!(r#"{{"content":{json}}}"#), "null");
        }
        if self.open.last().is_none_or(|block| block.call.is_some()) {
            out += &self.block(None, r#"{"type":"text","text":""}"#);
        }
        let index = self.open.last().map_or(0, |block| block.index);
        out + &self.delta(index, &format!(r#""type":"text_delta","text":{json}"#))
    }

    fn thinking(&mut self, is_messages: bool, json: &str) -> String {
        let mut out = self.begin(is_messages);
        if !is_messages {
            return out + &completion_chunk(&format!(r#"{{"reasoning_content":{json}}}"#), "null");
        }
        out += &self.block(None, r#"{"type":"thinking","thinking":"","signature":""}"#);
        let index = self.next_index - 1;
        out += &self.delta(index, &format!(r#""type":"thinking_delta","thinking":{json}"#));
        out + &self.close()
    }

    fn call(&mut self, is_messages: bool, number: u64, id: &str, name: &str) -> String {
        let out = self.begin(is_messages);
        if !is_messages {
            return out
                + &completion_chunk(
                    &format!(
                        r#"{{"tool_calls":[{{"index":{number},"id":"{id}","type":"function","function":{{"name":"{name}","arguments":""}}}}]}}"#
                    ),
                    "null",
                );
        }
        out + &self.block(
            Some(number),
            &format!(r#"{{"type":"tool_use","id":"{id}","name":"{name}","input":{{}}}}"#),
        )
    }

    fn args(&mut self, is_messages: bool, number: u64, json: &str) -> String {
        if !is_messages {
            return completion_chunk(
                &format!(r#"{{"tool_calls":[{{"index":{number},"function":{{"arguments":{json}}}}}]}}"#),
                "null",
            );
        }
        let index =
            self.open.iter().find(|block| block.call == Some(number)).map_or(0, |block| block.index);
        self.delta(index, &format!(r#""type":"input_json_delta","partial_json":{json}"#))
    }

    fn stop(&mut self, is_messages: bool, stop: &str) -> String {
        let ScriptedUsage { prompt, cached, output } = self.usage();
        let first_event = self.begin(is_messages);
        if is_messages {
            let reason = match stop {
                "length" => "max_tokens",
                "tools" => "tool_use",
                "refused" => "refusal",
                "sequence" => "stop_sequence",
                _ => "end_turn",
            };
            let sequence = if stop == "sequence" { "\"END\"" } else { "null" };
            return first_event
                + &self.close()
                + &named_event(
                    "message_delta",
                    &format!(
                        r#""delta":{{"stop_reason":"{reason}","stop_sequence":{sequence}}},"usage":{{"output_tokens":{output}}}"#
                    ),
                );
        }
        let reason = match stop {
            "length" => "length",
            "tools" => "tool_calls",
            "refused" => "content_filter",
            _ => "stop",
        };
        first_event
            + &completion_chunk("{}", &format!("\"{reason}\""))
            + &format!(
                "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{output},\"prompt_tokens_details\":{{\"cached_tokens\":{cached}}}}}}}\n\n"
            )
    }
}

/// An event of the messages API.
fn named_event(name: &str, rest: &str) -> String {
    format!("event: {name}\ndata: {{\"type\":\"{name}\",{rest}}}\n\n")
}

/// A chunk of chat completions.
fn completion_chunk(delta: &str, finish: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{delta},\"finish_reason\":{finish}}}]}}\n\n")
}
