//! The messages API's front: `POST /v1/messages`, answered by a stream of named events.

use serde_json::{Value, json};

use super::{Call, Piece, Reply, Stop, platform};
use crate::names::Names;
use crate::net::http::{Bad, Head, SseBlock};

/// Where requests come in.
pub const PATH: &str = "/v1/messages";

/// Reads a request. Its body says what the platform's headers would; headers that are there come first.
pub fn call(head: &Head, body: &[u8], names: &Names) -> Call {
    let path = head.start[1].split('?').next().unwrap_or_default();
    let refused = |status, what| Call::Refused(Bad { status, what });
    match (head.start[0].as_str(), path) {
        ("GET", "/_health") => return Call::Health,
        ("POST", PATH) => {}
        (_, PATH | "/_health") => return refused(405, "another method is wanted here"),
        _ => return refused(404, "nothing is here"),
    }
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return refused(400, "the body is not JSON");
    };
    let Some(model) = value["model"].as_str() else { return refused(400, "model: a name is required") };
    let Some(max) = value["max_tokens"].as_u64().filter(|m| *m > 0) else {
        return refused(400, "max_tokens: a positive number is required");
    };
    let turns = value["messages"].as_array().filter(|m| !m.is_empty());
    let Some(turns) = turns else { return refused(400, "messages: at least one is required") };
    if turns
        .iter()
        .any(|t| !matches!(t["role"].as_str(), Some("user" | "assistant")) || t["content"].is_null())
    {
        return refused(400, "messages: each needs a role (user or assistant) and content");
    }
    if value["stream"] != Value::Bool(true) {
        return refused(400, "stream: only true is served here");
    }
    let mut ask = match platform::ask(head, names) {
        Ok(ask) => ask,
        Err(what) => return refused(400, what),
    };
    let said = |name| head.get(name).is_some();
    // An id of another form is known by its hash, so that its second use is noticed here too.
    ask.id = head.get("x-request-id").map(platform::key);
    if !said("x-class") {
        let class = names.models.get(model).copied().unwrap_or(names.usual_class);
        ask.class = class;
        if !said("x-deadline-ms") {
            ask.expires_in = names.deadlines[class];
        }
    }
    ask.tenant = ask.tenant.or(names.usual_tenant);
    // One token is four characters, on this front too.
    let length = |value: &Value| (text_of(value).chars().count() / 4) as u32;
    let system = length(&value["system"]);
    if !said("x-extras") {
        let prompt = system + turns.iter().map(|t| length(&t["content"])).sum::<u32>();
        ask.tokens = (prompt, system, max.min(u64::from(u32::MAX)) as u32);
        ask.prefix = (system > 0).then(|| platform::key(&format!("system:{}", text_of(&value["system"]))));
    }
    if !said("x-key") {
        // A conversation is known by its user, else by how it began.
        let user = value["metadata"]["user_id"].as_str().map(|u| format!("user:{u}"));
        let opening = || format!("turn:{}", text_of(&turns[0]["content"]));
        ask.session = Some(platform::key(&user.unwrap_or_else(opening)));
    }
    Call::Serve(ask, model.to_owned())
}

/// The text of a content that may be a string or a list of blocks.
fn text_of(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(blocks) => blocks.iter().filter_map(|b| b["text"].as_str()).collect(),
        _ => String::new(),
    }
}

/// A request's body for the platform's real servers; `None` if it holds what they have no words for.
pub fn body_to_platform(body: &[u8]) -> Option<Vec<u8>> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let mut turns = Vec::new();
    if !value["system"].is_null() {
        turns.push(json!({"role": "system", "content": text_of(&value["system"])}));
    }
    for turn in value["messages"].as_array()? {
        let plain = |b: &Value| b["type"].as_str().is_none_or(|t| t == "text");
        if !turn["content"].as_array().is_none_or(|blocks| blocks.iter().all(plain)) {
            return None;
        }
        turns.push(json!({"role": turn["role"], "content": text_of(&turn["content"])}));
    }
    let mut out = json!({"model": value["model"], "stream": true, "max_tokens": value["max_tokens"]});
    out["messages"] = turns.into();
    for (theirs, ours) in [("temperature", "temperature"), ("top_p", "top_p"), ("stop_sequences", "stop")] {
        if !value[theirs].is_null() {
            out[ours] = value[theirs].clone();
        }
    }
    Some(out.to_string().into_bytes())
}

/// A platform request's body for real servers that speak messages.
pub fn body_from_platform(body: &[u8]) -> Option<Vec<u8>> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let (mut system, mut turns) = (String::new(), Vec::new());
    for turn in value["messages"].as_array()? {
        match turn["role"].as_str()? {
            "system" => system.push_str(&text_of(&turn["content"])),
            _ => turns.push(json!({"role": turn["role"], "content": turn["content"]})),
        }
    }
    let most = value["max_tokens"].as_u64().unwrap_or(1024);
    let mut out = json!({"model": value["model"], "stream": true, "max_tokens": most, "messages": turns});
    if !system.is_empty() {
        out["system"] = system.into();
    }
    for (theirs, ours) in [("temperature", "temperature"), ("top_p", "top_p"), ("stop", "stop_sequences")] {
        if !value[theirs].is_null() {
            out[ours] = value[theirs].clone();
        }
    }
    Some(out.to_string().into_bytes())
}

/// What a named event says.
pub fn pieces(block: SseBlock) -> Vec<Piece> {
    if block.is_comment() {
        return Vec::new();
    }
    let value: Value = serde_json::from_str(&block.data()).unwrap_or_default();
    let name = block.name();
    let count = |v: &Value| v.as_u64().unwrap_or(0);
    let usage = |v: &Value| {
        let kept = count(&v["cache_read_input_tokens"]);
        let prompt = count(&v["input_tokens"]) + count(&v["cache_creation_input_tokens"]) + kept;
        Piece::Usage(prompt, kept, count(&v["output_tokens"]))
    };
    match name {
        "message_start" => vec![Piece::Start, usage(&value["message"]["usage"])],
        "content_block_start" if value["content_block"]["type"] == "text" => Vec::new(),
        "content_block_delta" if value["delta"]["type"] == "text_delta" => {
            vec![Piece::Text(value["delta"]["text"].as_str().unwrap_or_default().to_owned())]
        }
        "content_block_stop" => Vec::new(),
        "message_delta" => {
            let stop = match value["delta"]["stop_reason"].as_str() {
                Some("end_turn" | "stop_sequence") => Some(Stop::Done),
                Some("max_tokens") => Some(Stop::Length),
                Some(_) => Some(Stop::Other),
                None => None,
            };
            stop.map(Piece::Stop).into_iter().chain([usage(&value["usage"])]).collect()
        }
        "message_stop" => vec![Piece::End],
        "ping" => vec![Piece::Ping],
        "error" => {
            let word = |name: &str| value["error"][name].as_str().unwrap_or_default().to_owned();
            vec![Piece::Error(word("type"), word("message"))]
        }
        "" => vec![Piece::Unknown("an unnamed event".to_owned())],
        "content_block_start" | "content_block_delta" => {
            vec![Piece::Unknown(format!("{name} not of text"))]
        }
        other => vec![Piece::Unknown(other.to_owned())],
    }
}

/// An error in this dialect's form.
pub fn error(status: u16, kind: &str, words: &str) -> Reply {
    let kind = match status {
        404 => "not_found_error",
        413 => "request_too_large",
        _ => kind,
    };
    Reply::json(status, json!({"type": "error", "error": {"type": kind, "message": words}}).to_string())
}

/// Writes a stream of named events from pieces, adding those that only this dialect has.
#[derive(Default)]
pub struct Writer {
    id: String,
    model: String,
    begun: bool,
    block: bool,
    stop: Option<Stop>,
}

impl Writer {
    /// A writer of one message.
    pub fn new(id: &str, model: &str) -> Writer {
        Writer { id: format!("msg_{id}"), model: model.to_owned(), ..Writer::default() }
    }

    /// Adds what a piece needs to be said; `usage` is what is known of it so far.
    pub fn write(&mut self, piece: &Piece, usage: (u64, u64, u64), out: &mut Vec<u8>) {
        let mut say = |value: Value| {
            let name = value["type"].as_str().unwrap_or_default();
            out.extend_from_slice(format!("event: {name}\ndata: {value}\n\n").as_bytes());
        };
        let begins = matches!(piece, Piece::Start | Piece::Text(_) | Piece::Stop(_) | Piece::End);
        if begins && !self.begun {
            self.begun = true;
            let (prompt, kept, _) = usage;
            let usage = json!({"input_tokens": prompt - kept.min(prompt), "output_tokens": 0});
            say(json!({"type": "message_start", "message": {"id": self.id, "type": "message",
                "role": "assistant", "content": [], "model": self.model, "stop_reason": null,
                "stop_sequence": null, "usage": usage}}));
        }
        match piece {
            Piece::Text(text) => {
                if !self.block {
                    self.block = true;
                    let block = json!({"type": "text", "text": ""});
                    say(json!({"type": "content_block_start", "index": 0, "content_block": block}));
                }
                let delta = json!({"type": "text_delta", "text": text});
                say(json!({"type": "content_block_delta", "index": 0, "delta": delta}));
            }
            Piece::Stop(stop) => self.stop = Some(*stop),
            Piece::End => {
                if self.block {
                    say(json!({"type": "content_block_stop", "index": 0}));
                }
                let reason = if self.stop == Some(Stop::Length) { "max_tokens" } else { "end_turn" };
                let (prompt, kept, answer) = usage;
                say(json!({"type": "message_delta",
                    "delta": {"stop_reason": reason, "stop_sequence": null},
                    "usage": {"input_tokens": prompt - kept.min(prompt), "cache_read_input_tokens": kept,
                        "output_tokens": answer}}));
                say(json!({"type": "message_stop"}));
            }
            Piece::Ping => say(json!({"type": "ping"})),
            Piece::Error(kind, words) => {
                let kind = if kind.is_empty() { "api_error" } else { kind };
                say(json!({"type": "error", "error": {"type": kind, "message": words}}));
            }
            Piece::Start | Piece::Usage(..) | Piece::Unknown(_) => {}
        }
    }
}
