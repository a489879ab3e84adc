//! Stand-in replicas of either dialect, and a discovery that lists them. They play the case that a request's model names,
//! with plain threads and blocking sockets, and share no code with the tested gateway.

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

/// The list that discovery serves.
struct ReplicaList {
    version: u64,
    entries: Vec<Value>,
}

/// A request that a stand-in received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Index of the stand-in.
    pub replica: usize,
    /// Its body.
    pub body: Value,
    /// Its head, name by name.
    pub head: String,
}

/// A fleet of stand-ins.
pub struct StandIns {
    shared: Arc<Shared>,
    /// Where discovery listens.
    pub discovery: SocketAddr,
}

/// The list's version at the start.
const INITIAL_VERSION: u64 = 2;

/// Locks a mutex, also after a panic of another thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn local(port: u16) -> io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port))
}

impl StandIns {
    /// Starts a fleet that plays these cases; discovery listens on `port`, where 0 is any free one.
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
            let listener = local(0)?;
            let addr = listener.local_addr()?;
            let cold = fleet == Fleet::Cold && n == 0;
            entries
                .push(json!({"id": format!("s-{n}"), "addr": addr.to_string(), "zone": "a", "kind": "k",
                "cell": 0, "state": "ready", "weight": 1.0, "started_ms": if cold { now } else { 0 }}));
            // A dead replica's listener is closed at once.
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
                    thread::spawn(move || converse(&shared, n, stream));
                }
            });
        }
        let listener = local(port)?;
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

    /// The list as discovery serves it.
    #[must_use]
    pub fn list(&self) -> Value {
        list(&self.shared, true)
    }

    /// The requests that were received for a model.
    #[must_use]
    pub fn received(&self, model: &str) -> Vec<ReceivedRequest> {
        lock(&self.shared.received).get(model).cloned().unwrap_or_default()
    }
}

fn list(shared: &Shared, full: bool) -> Value {
    let ReplicaList { version, entries } = &*lock(&shared.list);
    json!({"version": version, "full": full, "servers": entries})
}

/// A watch: the full list at first and after each change, and keep-alives in between.
fn watch(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    if demo_replica::read_message(&mut reader).is_none() {
        return Ok(());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let (mut sent_version, mut quiet) = (0, 0);
    loop {
        let list = list(shared, true);
        let version = list["version"].as_u64().unwrap_or(0);
        if version != sent_version || quiet >= 50 {
            let line = if version == sent_version { String::new() } else { list.to_string() };
            write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
            (sent_version, quiet) = (version, 0);
        }
        quiet += 1;
        thread::sleep(Duration::from_millis(20));
    }
}

/// One connection to a stand-in.
fn converse(shared: &Shared, replica: usize, mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some((head, body)) = demo_replica::read_message(&mut reader) {
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        let name = model.split('~').next().unwrap_or_default();
        let nth = {
            let mut received = lock(&shared.received);
            let received = received.entry(model.clone()).or_default();
            received.push(ReceivedRequest { replica, body, head });
            received.len() - 1
        };
        let Some(case) = shared.cases.get(name) else {
            stream.write_all(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        };
        let script = case.serve.get(nth).or(case.serve.last())?;
        let usual = [Directive { keyword: "hello".into(), arguments: Vec::new() }];
        let script = if script.is_empty() { &usual[..] } else { script };
        let mut attempt = ScriptedResponse {
            shared,
            replica,
            stream: &mut stream,
            begun: false,
            split: 0,
            writer: EventWriter::default(),
        };
        for directive in script {
            attempt.play(directive)?;
        }
    }
    Some(())
}

/// The head of a response that is a stream.
const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A case's script as it is played.
struct ScriptedResponse<'p> {
    shared: &'p Shared,
    replica: usize,
    stream: &'p mut TcpStream,
    begun: bool,
    /// Bytes of a piece, where the stream is sent in pieces.
    split: usize,
    writer: EventWriter,
}

impl ScriptedResponse<'_> {
    fn send_event(&mut self, event: &str) -> Option<()> {
        let mut out = Vec::new();
        if !std::mem::replace(&mut self.begun, true) {
            out.extend_from_slice(STREAM_HEAD);
        }
        let pieces = if self.split > 0 { self.split } else { event.len().max(1) };
        for piece in event.as_bytes().chunks(pieces) {
            out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            out.extend_from_slice(piece);
            out.extend_from_slice(b"\r\n");
            if self.split > 0 {
                self.stream.write_all(&out).ok()?;
                out.clear();
            }
        }
        self.stream.write_all(&out).ok()
    }

    /// Carries out a directive; `None` ends the connection.
    fn play(&mut self, directive: &Directive) -> Option<()> {
        match directive.keyword.as_str() {
            "hello" => self.hello(),
            "begin" | "text" | "call" | "args" | "stop" | "thinking" => {
                let event = self.written_event(directive);
                self.send_event(&event)
            }
            "ping" | "unknown" | "error" | "raw" => {
                let event = self.plain_event(directive);
                self.send_event(&event)
            }
            "usage" => {
                let [prompt, cached, output] = [0, 1, 2].map(|n| directive.number(n));
                self.writer.usage = Some(ScriptedUsage { prompt, cached, output });
                Some(())
            }
            "end" => self.end(&directive.at(0)),
            // The last chunk, without the dialect's last event before it.
            "last" => self.stream.write_all(b"0\r\n\r\n").ok(),
            "split" => {
                self.split = directive.number(0) as usize;
                Some(())
            }
            "pause" => {
                thread::sleep(Duration::from_millis(directive.number(0)));
                Some(())
            }
            "head" => self.head(),
            "full" => self.full(),
            "status" => self.status(directive),
            "reset" => {
                let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
                None
            }
            "close" => None,
            // Until the gateway closes the connection.
            "silence" => {
                let _ = self.stream.set_read_timeout(Some(Duration::from_secs(60)));
                let _ = io::Read::read(self.stream, &mut [0]);
                None
            }
            "drain" => {
                self.drain();
                Some(())
            }
            _ => None,
        }
    }

    /// A whole short response.
    fn hello(&mut self) -> Option<()> {
        let messages = self.shared.dialect == Dialect::Messages;
        for text in ["\"Hel\"", "\"lo\""] {
            let event = self.writer.text(messages, text);
            self.send_event(&event)?;
        }
        self.end("done")
    }

    /// An event that goes on from those before it.
    fn written_event(&mut self, directive: &Directive) -> String {
        let messages = self.shared.dialect == Dialect::Messages;
        match directive.keyword.as_str() {
            "begin" => self.writer.begin(messages),
            "text" => self.writer.text(messages, &directive.json(0)),
            "call" => self.writer.call(messages, directive.number(0), &directive.at(1), &directive.at(2)),
            "args" => self.writer.args(messages, directive.number(0), &directive.json(1)),
            "thinking" => self.writer.thinking(messages, &directive.json(0)),
            // "stop": its stop and its tokens are told, but not that it is over.
            _ => self.writer.stop(messages, &directive.at(0)),
        }
    }

    /// An event that stands by itself.
    fn plain_event(&self, directive: &Directive) -> String {
        let messages = self.shared.dialect == Dialect::Messages;
        match directive.keyword.as_str() {
            "ping" if messages => "event: ping\ndata: {\"type\":\"ping\"}\n\n".to_owned(),
            "ping" => ": ping\n\n".to_owned(),
            "unknown" if messages => {
                "event: glimmer\ndata: {\"type\":\"glimmer\",\"shade\":3}\n\n".to_owned()
            }
            "unknown" => "data: {\"type\":\"glimmer\",\"shade\":3}\n\n".to_owned(),
            "error" => {
                let error = json!({"type": "error", "error": {"type": directive.at(0), "message": directive.at(1)}});
                if messages {
                    format!("event: error\ndata: {error}\n\n")
                } else {
                    format!("data: {}\n\n", json!({"error": error["error"]}))
                }
            }
            // "raw": the characters as they are.
            _ => directive.at(0),
        }
    }

    /// The head, and no event.
    fn head(&mut self) -> Option<()> {
        self.begun = true;
        self.stream.write_all(STREAM_HEAD).ok()
    }

    /// Rejects the request without having run it.
    fn full(&mut self) -> Option<()> {
        let response = match self.shared.dialect {
            Dialect::Messages => "HTTP/1.1 529 Overloaded\r\nContent-Length: 0\r\n\r\n",
            Dialect::Platform => "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        };
        self.stream.write_all(response.as_bytes()).ok()
    }

    /// Responds with a status and an error.
    fn status(&mut self, directive: &Directive) -> Option<()> {
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

    /// From now on discovery lists this replica as draining.
    fn drain(&self) {
        let mut list = lock(&self.shared.list);
        list.version += 1;
        list.entries[self.replica]["state"] = "draining".into();
    }

    fn end(&mut self, stop: &str) -> Option<()> {
        let messages = self.shared.dialect == Dialect::Messages;
        let event = self.writer.stop(messages, stop)
            + if messages {
                "event: message_stop\ndata: {\"type\":\"message_stop\"}\n\n"
            } else {
                "data: [DONE]\n\n"
            };
        self.send_event(&event)?;
        self.stream.write_all(b"0\r\n\r\n").ok()
    }
}

/// An open block of a stream.
#[derive(Clone, Copy)]
struct OpenBlock {
    index: u64,
    /// The number of the tool call, if it is one.
    call: Option<u64>,
}

/// The token usage that a stand-in states.
#[derive(Clone, Copy)]
struct ScriptedUsage {
    prompt: u64,
    cached: u64,
    output: u64,
}

/// The usage that is stated if the case gives none.
const DEFAULT_USAGE: ScriptedUsage = ScriptedUsage { prompt: 12, cached: 5, output: 2 };

/// Writes a stream in either dialect.
#[derive(Default)]
struct EventWriter {
    begun: bool,
    open: Vec<OpenBlock>,
    next: u64,
    usage: Option<ScriptedUsage>,
}

impl EventWriter {
    fn usage(&self) -> ScriptedUsage {
        self.usage.unwrap_or(DEFAULT_USAGE)
    }

    fn begin(&mut self, messages: bool) -> String {
        if std::mem::replace(&mut self.begun, true) {
            return String::new();
        }
        let ScriptedUsage { prompt, cached, .. } = self.usage();
        if !messages {
            return chunk(r#"{"role":"assistant","content":""}"#, "null");
        }
        named(
            "message_start",
            &format!(
                r#""message":{{"id":"msg_1","type":"message","role":"assistant","content":[],"model":"m","stop_reason":null,"stop_sequence":null,"usage":{{"input_tokens":{},"cache_read_input_tokens":{cached},"output_tokens":1}}}}"#,
                prompt - cached
            ),
        )
    }

    fn block(&mut self, call: Option<u64>, block: &str) -> String {
        let mut out = String::new();
        // A text ends once anything else begins; calls may be open at the same time.
        if call.is_none() || self.open.last().is_some_and(|block| block.call.is_none()) {
            out += &self.close();
        }
        let index = self.next;
        self.next += 1;
        self.open.push(OpenBlock { index, call });
        out + &named("content_block_start", &format!(r#""index":{index},"content_block":{block}"#))
    }

    fn close(&mut self) -> String {
        let stop = |OpenBlock { index, .. }| named("content_block_stop", &format!(r#""index":{index}"#));
        std::mem::take(&mut self.open).into_iter().map(stop).collect()
    }

    fn delta(&self, index: u64, delta: &str) -> String {
        named("content_block_delta", &format!(r#""index":{index},"delta":{{{delta}}}"#))
    }

    fn text(&mut self, messages: bool, json: &str) -> String {
        let mut out = self.begin(messages);
        if !messages {
            return out + &chunk(&format!(r#"{{"content":{json}}}"#), "null");
        }
        if self.open.last().is_none_or(|block| block.call.is_some()) {
            out += &self.block(None, r#"{"type":"text","text":""}"#);
        }
        let index = self.open.last().map_or(0, |block| block.index);
        out + &self.delta(index, &format!(r#""type":"text_delta","text":{json}"#))
    }

    fn thinking(&mut self, messages: bool, json: &str) -> String {
        let mut out = self.begin(messages);
        if !messages {
            return out + &chunk(&format!(r#"{{"reasoning_content":{json}}}"#), "null");
        }
        out += &self.block(None, r#"{"type":"thinking","thinking":"","signature":""}"#);
        let index = self.next - 1;
        out += &self.delta(index, &format!(r#""type":"thinking_delta","thinking":{json}"#));
        out + &self.close()
    }

    fn call(&mut self, messages: bool, number: u64, id: &str, name: &str) -> String {
        let out = self.begin(messages);
        if !messages {
            return out
                + &chunk(
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

    fn args(&mut self, messages: bool, number: u64, json: &str) -> String {
        if !messages {
            return chunk(
                &format!(r#"{{"tool_calls":[{{"index":{number},"function":{{"arguments":{json}}}}}]}}"#),
                "null",
            );
        }
        let index =
            self.open.iter().find(|block| block.call == Some(number)).map_or(0, |block| block.index);
        self.delta(index, &format!(r#""type":"input_json_delta","partial_json":{json}"#))
    }

    fn stop(&mut self, messages: bool, stop: &str) -> String {
        let ScriptedUsage { prompt, cached, output } = self.usage();
        let begun = self.begin(messages);
        if messages {
            let reason = match stop {
                "length" => "max_tokens",
                "tools" => "tool_use",
                "refused" => "refusal",
                "sequence" => "stop_sequence",
                _ => "end_turn",
            };
            let sequence = if stop == "sequence" { "\"END\"" } else { "null" };
            return begun
                + &self.close()
                + &named(
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
        begun
            + &chunk("{}", &format!("\"{reason}\""))
            + &format!(
                "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{prompt},\"completion_tokens\":{output},\"prompt_tokens_details\":{{\"cached_tokens\":{cached}}}}}}}\n\n"
            )
    }
}

fn named(name: &str, rest: &str) -> String {
    format!("event: {name}\ndata: {{\"type\":\"{name}\",{rest}}}\n\n")
}

fn chunk(delta: &str, finish: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{delta},\"finish_reason\":{finish}}}]}}\n\n")
}
