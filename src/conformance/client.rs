//! The client side of a case: writes its request in the dialect of the front, and reads the response.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};

use super::case::{Case, Directive, Outcome};
use crate::names::Dialect;

/// Timeout for the connection and for each read; longer than any case takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The token usage in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedUsage {
    /// The number of prompt tokens, including cached ones.
    pub prompt: u64,
    /// The number of cached prompt tokens.
    pub cached: u64,
    /// The number of output tokens.
    pub output: u64,
}

/// A tool call in a response.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedCall {
    /// The name of the tool.
    pub name: String,
    /// The parsed input; an empty object if the response has none.
    pub input: Value,
}

/// A content block of a stream, as far as it has been read.
struct StreamBlock {
    index: u64,
    start: Value,
    input: String,
}

/// A response as a client observed it.
#[derive(Clone, Debug, Default)]
pub struct ObservedResponse {
    /// The status; 0 if the response has no valid status line.
    pub status: u16,
    /// The headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The characters of the body.
    pub raw: String,
    /// Whether the response is complete.
    pub is_complete: bool,
    /// The text that the model generated.
    pub text: String,
    /// The tool calls in their order.
    pub calls: Vec<ObservedCall>,
    /// The stop reason, independent of the dialect.
    pub stop: String,
    /// The token usage; 0 for counts that the response lacks.
    pub usage: ObservedUsage,
    /// The type of the reported error; empty if there is none.
    pub error: String,
    /// The last violation of the stream's format; `None` if the format is valid.
    pub malformed: Option<String>,
}

/// Returns the bytes of a case's request.
#[must_use]
pub fn request(case: &Case, front: Dialect, model: &str, id: u64) -> Vec<u8> {
    let mut builder = RequestBuilder::new(front, model);
    for directive in &case.request_directives {
        builder.apply(directive);
    }
    builder.finish_body(case);
    builder.add_default_headers(id);
    builder.into_bytes(model)
}

/// Builds a request from the directives of a case.
struct RequestBuilder {
    /// Whether the dialect is that of the messages API and not the platform's.
    is_messages: bool,
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    class: String,
    body: Value,
    turns: Vec<Value>,
    /// The text of the body if the case states it; otherwise `body` is sent.
    raw: Option<String>,
}

impl RequestBuilder {
    fn new(front: Dialect, model: &str) -> RequestBuilder {
        let is_messages = front == Dialect::Messages;
        RequestBuilder {
            is_messages,
            method: "POST".to_owned(),
            path: if is_messages { "/v1/messages" } else { "/v1/chat/completions" }.to_owned(),
            headers: vec![("Host".into(), "app.svc".into())],
            class: "plain".to_owned(),
            body: json!({"model": model, "max_tokens": 50, "stream": true}),
            turns: Vec::new(),
            raw: None,
        }
    }

    /// Applies a directive; an unknown one has no effect.
    fn apply(&mut self, directive: &Directive) {
        match directive.keyword.as_str() {
            role @ ("user" | "assistant") => self.add_turn(role, directive),
            "system" if self.is_messages => self.body["system"] = directive.at(0).into(),
            "system" => self.add_turn("system", directive),
            "image" => self.add_image(directive),
            "tool" => self.add_tool(directive),
            "choose" => self.choose_tool(directive),
            "use" => self.add_tool_use(directive),
            "result" => self.add_tool_result(directive),
            "stop" if self.is_messages => self.body["stop_sequences"] = json!([directive.at(0)]),
            "stop" => self.body["stop"] = json!([directive.at(0)]),
            "turns" => {
                let turns = parse_json(&directive.json(0));
                self.turns.extend(turns.as_array().cloned().unwrap_or_default());
            }
            "field" => self.body[directive.at(0)] = parse_json(&directive.json(1)),
            "drop" => self.drop_key(directive),
            "body" => self.raw = Some(directive.at(0)),
            "whole" => self.body["stream"] = false.into(),
            "class" => self.class = directive.at(0),
            "header" => self.headers.push((directive.at(0), directive.at(1))),
            "path" => (self.method, self.path) = (directive.at(0), directive.at(1)),
            _ => {}
        }
    }

    fn add_turn(&mut self, role: &str, directive: &Directive) {
        self.turns.push(json!({"role": role, "content": directive.at(0)}));
    }

    fn add_image(&mut self, directive: &Directive) {
        let data = "aGVsbG8h";
        let image = if self.is_messages {
            json!({"type": "image", "source": {"type": "base64", "media_type": "image/png", "data": data}})
        } else {
            json!({"type": "image_url", "image_url": {"url": format!("data:image/png;base64,{data}")}})
        };
        let text = json!({"type": "text", "text": directive.at(0)});
        self.turns.push(json!({"role": "user", "content": [image, text]}));
    }

    fn add_tool(&mut self, directive: &Directive) {
        let (name, schema) = (directive.at(0), parse_json(&directive.json(1)));
        let tool = if self.is_messages {
            json!({"name": name, "description": "d", "input_schema": schema})
        } else {
            json!({"type": "function", "function": {"name": name, "description": "d", "parameters": schema}})
        };
        if let Some(tools) = self.body["tools"].as_array_mut() {
            tools.push(tool);
        } else {
            self.body["tools"] = json!([tool]);
        }
    }

    fn choose_tool(&mut self, directive: &Directive) {
        let choice = directive.at(0);
        self.body["tool_choice"] = match (choice.as_str(), self.is_messages) {
            ("auto" | "none" | "any", true) => json!({"type": choice}),
            ("any", false) => json!("required"),
            ("auto" | "none", false) => json!(choice),
            (name, true) => json!({"type": "tool", "name": name}),
            (name, false) => json!({"type": "function", "function": {"name": name}}),
        };
    }

    fn add_tool_use(&mut self, directive: &Directive) {
        let (id, name, input) = (directive.at(0), directive.at(1), parse_json(&directive.json(2)));
        self.turns.push(if self.is_messages {
            json!({"role": "assistant", "content": [
                {"type": "tool_use", "id": id, "name": name, "input": input}]})
        } else {
            json!({"role": "assistant", "content": null, "tool_calls": [{"id": id,
                "type": "function", "function": {"name": name, "arguments": input.to_string()}}]})
        });
    }

    fn add_tool_result(&mut self, directive: &Directive) {
        let (id, content) = (directive.at(0), directive.at(1));
        self.turns.push(if self.is_messages {
            json!({"role": "user", "content": [
                {"type": "tool_result", "tool_use_id": id, "content": content}]})
        } else {
            json!({"role": "tool", "tool_call_id": id, "content": content})
        });
    }

    fn drop_key(&mut self, directive: &Directive) {
        if let Some(body) = self.body.as_object_mut() {
            body.remove(&directive.at(0));
        }
    }

    /// Adds the turns to the body, unless the case states them as a field. If all turns are those of the system, a turn of
    /// the user is added.
    fn finish_body(&mut self, case: &Case) {
        if self.body.get("messages").is_none() {
            if self.turns.iter().all(|t| t["role"] == "system") {
                self.turns.push(json!({"role": "user", "content": "Which gate?"}));
            }
            self.body["messages"] = std::mem::take(&mut self.turns).into();
        }
        // Dropped keys must also be absent if they were added after the directive.
        for directive in case.request_directives.iter().filter(|d| d.keyword == "drop") {
            self.drop_key(directive);
        }
    }

    /// Adds the default headers, except those that the case states.
    fn add_default_headers(&mut self, id: u64) {
        let class = std::mem::take(&mut self.class);
        for (name, value) in
            [("X-Request-Id", format!("{id:016x}")), ("X-Class", class), ("X-Key", format!("{id:x}"))]
        {
            if !self.headers.iter().any(|(stated, _)| stated.eq_ignore_ascii_case(name)) {
                self.headers.push((name.into(), value));
            }
        }
    }

    fn into_bytes(self, model: &str) -> Vec<u8> {
        let body = match self.raw {
            Some(raw) => raw.replace("$MODEL", model),
            None if self.method == "POST" => self.body.to_string(),
            None => String::new(),
        };
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path.replace("$MODEL", model));
        for (name, value) in self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        format!("{text}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

/// Parses JSON; null if it is invalid.
fn parse_json(json: &str) -> Value {
    serde_json::from_str(json).unwrap_or_default()
}

/// Sends a request and reads its response.
///
/// # Errors
///
/// If the connection can't be opened, or the request written or the head read within the timeout. A body that ends
/// early is not an error, but leaves `is_complete` false.
pub fn send_request(addr: SocketAddr, front: Dialect, request: &[u8]) -> io::Result<ObservedResponse> {
    let mut stream = TcpStream::connect_timeout(&addr, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(request)?;
    let is_head = request.starts_with(b"HEAD ");
    let mut reader = BufReader::new(stream);
    let mut response = ObservedResponse::default();
    let mut line = String::new();
    reader.read_line(&mut line)?;
    response.status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim_end().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            response.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut bytes = Vec::new();
    let length = response.headers.get("content-length").and_then(|l| l.parse::<usize>().ok());
    match length {
        _ if is_head || response.status == 204 => response.is_complete = true,
        Some(length) => {
            bytes.resize(length, 0);
            response.is_complete = reader.read_exact(&mut bytes).is_ok();
        }
        None => response.is_complete = read_chunks(&mut reader, &mut bytes),
    }
    response.raw = String::from_utf8_lossy(&bytes).into_owned();
    let is_stream =
        response.headers.get("content-type").is_some_and(|t| t.starts_with("text/event-stream"));
    match (is_stream, front) {
        (true, Dialect::Messages) => response.read_messages_stream(),
        (true, Dialect::Platform) => response.read_platform_stream(),
        (false, _) => response.read_json(),
    }
    Ok(response)
}

/// Reads the chunks of a body into `bytes`, and returns whether the last one was received.
fn read_chunks(reader: &mut impl BufRead, bytes: &mut Vec<u8>) -> bool {
    loop {
        let mut size = String::new();
        if !reader.read_line(&mut size).is_ok_and(|n| n > 0) {
            return false;
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return false };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        bytes.extend_from_slice(&chunk[..size]);
    }
}

/// Parses the input of a tool call; an empty text is an empty object.
fn parse_input(json: &str) -> Value {
    if json.is_empty() { json!({}) } else { parse_json(json) }
}

/// The stop reason, independent of the dialect.
fn neutral_stop_reason(reason: &str) -> &str {
    match reason {
        "end_turn" | "stop" => "done",
        "stop_sequence" => "sequence",
        "max_tokens" | "length" => "length",
        "tool_use" | "tool_calls" => "tools",
        "refusal" | "content_filter" => "refused",
        other => other,
    }
}

impl ObservedResponse {
    /// The outcome of the request, by the status and whether the response is complete.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self.status {
            200 | 204 if self.is_complete => Outcome::Served,
            200 | 204 => Outcome::Broken,
            429 | 503 | 529 => Outcome::Shed,
            400..=499 => Outcome::Refused,
            _ => Outcome::Failed,
        }
    }

    /// Updates the token usage; of repeated counts the greatest applies.
    fn update_usage(&mut self, usage: &Value) {
        let count = |name: &str| usage[name].as_u64();
        if let Some(input) = count("input_tokens") {
            let cached = count("cache_read_input_tokens").unwrap_or(0);
            self.usage.prompt = self.usage.prompt.max(input + cached);
        }
        self.usage.cached = self.usage.cached.max(count("cache_read_input_tokens").unwrap_or(0));
        self.usage.output = self.usage.output.max(count("output_tokens").unwrap_or(0));
    }

    fn read_json(&mut self) {
        let Ok(value) = serde_json::from_str::<Value>(&self.raw) else { return };
        self.error = value["error"]["type"].as_str().unwrap_or_default().to_owned();
        if value["type"] == "message" {
            for block in value["content"].as_array().into_iter().flatten() {
                match block["type"].as_str() {
                    Some("text") => self.text += block["text"].as_str().unwrap_or_default(),
                    Some("tool_use") => {
                        let name = block["name"].as_str().unwrap_or_default().to_owned();
                        self.calls.push(ObservedCall { name, input: block["input"].clone() });
                    }
                    _ => {}
                }
            }
            self.stop = neutral_stop_reason(value["stop_reason"].as_str().unwrap_or_default()).to_owned();
            self.update_usage(&value["usage"].clone());
        }
    }

    fn read_messages_stream(&mut self) {
        let raw = std::mem::take(&mut self.raw);
        let mut blocks: Vec<StreamBlock> = Vec::new();
        let mut names = Vec::new();
        for event in raw.split("\n\n").filter(|e| !e.is_empty() && !e.starts_with(':')) {
            let Some((head, data)) = event.split_once("\ndata: ") else {
                self.malformed = Some(format!("event without data: {event}"));
                continue;
            };
            let name = head.strip_prefix("event: ").unwrap_or_default();
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            if value["type"] != name {
                self.malformed = Some(format!("event {name} has the type {}", value["type"]));
            }
            names.push(name.to_owned());
            let index = value["index"].as_u64().unwrap_or(u64::MAX);
            match name {
                "message_start" => self.update_usage(&value["message"]["usage"]),
                "content_block_start" => {
                    let start = value["content_block"].clone();
                    blocks.push(StreamBlock { index, start, input: String::new() });
                }
                "content_block_delta" => {
                    let delta = &value["delta"];
                    match blocks.iter_mut().find(|block| block.index == index) {
                        Some(block) => {
                            block.input.push_str(delta["partial_json"].as_str().unwrap_or_default());
                        }
                        None => {
                            self.malformed =
                                Some(format!("delta for block {index}, which was not started"));
                        }
                    }
                    self.text += delta["text"].as_str().unwrap_or_default();
                }
                "message_delta" => {
                    let reason = value["delta"]["stop_reason"].as_str().unwrap_or_default();
                    self.stop = neutral_stop_reason(reason).to_owned();
                    self.update_usage(&value["usage"]);
                }
                "error" => self.error = value["error"]["type"].as_str().unwrap_or_default().to_owned(),
                _ => {}
            }
        }
        for StreamBlock { start, input, .. } in
            blocks.iter().filter(|block| block.start["type"] == "tool_use")
        {
            let name = start["name"].as_str().unwrap_or_default().to_owned();
            self.calls.push(ObservedCall { name, input: parse_input(input) });
        }
        // Pings and unknown events may occur at any position.
        let is_known = |name: &&String| name.starts_with("message_") || name.starts_with("content_");
        let first = names.iter().find(is_known).map(String::as_str);
        let ends = (first, names.last().map(String::as_str));
        if self.is_complete && ends != (Some("message_start"), Some("message_stop")) {
            self.malformed = Some(format!("complete stream whose first and last events are {ends:?}"));
        }
        self.raw = raw;
    }

    fn read_platform_stream(&mut self) {
        let raw = std::mem::take(&mut self.raw);
        let mut calls: BTreeMap<u64, (String, String)> = BTreeMap::new();
        let mut is_done = false;
        for event in raw.split("\n\n").filter(|e| !e.is_empty() && !e.starts_with(':')) {
            let Some(data) = event.strip_prefix("data: ") else {
                self.malformed = Some(format!("event without data: {event}"));
                continue;
            };
            if data == "[DONE]" {
                is_done = true;
                continue;
            }
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(kind) = value["error"]["type"].as_str() {
                self.error = kind.to_owned();
            }
            let choice = &value["choices"][0];
            self.text += choice["delta"]["content"].as_str().unwrap_or_default();
            for call in choice["delta"]["tool_calls"].as_array().into_iter().flatten() {
                let (name, arguments) = calls.entry(call["index"].as_u64().unwrap_or(0)).or_default();
                *name += call["function"]["name"].as_str().unwrap_or_default();
                *arguments += call["function"]["arguments"].as_str().unwrap_or_default();
            }
            if let Some(reason) = choice["finish_reason"].as_str() {
                self.stop = neutral_stop_reason(reason).to_owned();
            }
            if value["usage"].is_object() {
                let count = |v: &Value| v.as_u64().unwrap_or(0);
                let usage = &value["usage"];
                let cached = count(&usage["prompt_tokens_details"]["cached_tokens"]);
                self.usage = ObservedUsage {
                    prompt: count(&usage["prompt_tokens"]),
                    cached,
                    output: count(&usage["completion_tokens"]),
                };
            }
        }
        for (name, arguments) in calls.into_values() {
            self.calls.push(ObservedCall { name, input: parse_input(&arguments) });
        }
        if self.is_complete && !is_done {
            self.malformed = Some("complete stream without [DONE]".into());
        }
        self.raw = raw;
    }

    /// The difference between an expectation and the response; `None` if it is met. `call_count` is the number of tool calls
    /// that were compared before.
    pub fn mismatch(&self, expected: &Directive, call_count: &mut usize, model: &str) -> Option<String> {
        let compare = |name: &str, expected: String, actual: String| {
            (expected != actual).then(|| format!("{name}: expected {expected:?}, got {actual:?}"))
        };
        let value = expected.at(0);
        match expected.keyword.as_str() {
            "status" => compare("status", value, self.status.to_string()),
            "text" => compare("text", value, self.text.clone()),
            "stop" => compare("stop", value, self.stop.clone()),
            "error" => compare("error", value, self.error.clone()),
            "usage" => compare(
                "usage",
                format!("{} {} {}", expected.number(0), expected.number(1), expected.number(2)),
                format!("{} {} {}", self.usage.prompt, self.usage.cached, self.usage.output),
            ),
            "call" => {
                *call_count += 1;
                let input: Value = serde_json::from_str(&expected.json(1)).unwrap_or_default();
                match self.calls.get(*call_count - 1) {
                    Some(call) if call.name == value && call.input == input => None,
                    other => Some(format!("call: expected {value} {input}, got {other:?}")),
                }
            }
            "calls" => compare("calls", value, self.calls.len().to_string()),
            "words" => {
                let value = value.replace("$MODEL", model);
                (!self.raw.contains(&value)).then(|| format!("words: {value:?} is not in {:?}", self.raw))
            }
            "nowords" => {
                self.raw.contains(&value).then(|| format!("nowords: {value:?} is in {:?}", self.raw))
            }
            "header" => match (self.headers.get(&value), expected.arguments.len()) {
                (None, _) => Some(format!("header: {value} is missing")),
                (Some(_), 1) => None,
                (Some(actual), _) => compare(&value, expected.at(1), actual.clone()),
            },
            "noheader" => {
                self.headers.get(&value).map(|actual| format!("noheader: {value} is present: {actual}"))
            }
            other => Some(format!("unknown observation '{other}'")),
        }
    }
}
