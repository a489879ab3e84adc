//! The platform's front: headers say what a request is; the body is not looked at.

use serde_json::{Value, json};

use super::{Call, Piece, Stop};
use crate::engine::Ask;
use crate::names::Names;
use crate::net::http::{Bad, Head, SseBlock};
use crate::types::Nanos;

/// Where requests come in.
pub const PATH: &str = "/v1/chat/completions";

/// Reads a request's head.
pub fn call(head: &Head, names: &Names) -> Call {
    let path = head.start[1].split('?').next().unwrap_or_default();
    match (head.start[0].as_str(), path) {
        ("GET", "/_health") => Call::Health,
        ("POST", PATH) => match ask(head, names) {
            // Real servers take no request without the id of its client, so none can be made up here.
            Ok(ask) if ask.id.is_none() => {
                Call::Refused(Bad { status: 400, what: "no id of 16 hex digits" })
            }
            Ok(ask) => Call::Serve(ask, String::new()),
            Err(what) => Call::Refused(Bad { status: 400, what }),
        },
        (_, PATH | "/_health") => Call::Refused(Bad { status: 405, what: "another method is wanted here" }),
        _ => Call::Refused(Bad { status: 404, what: "nothing is here" }),
    }
}

/// What the platform's headers say of a request; the messages front reads the same ones where they are there.
pub fn ask(head: &Head, names: &Names) -> Result<Ask, &'static str> {
    // Guards against a request that this gateway and a real server would know by different ids.
    if head.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("x-request-id")).count() > 1 {
        return Err("more than one id");
    }
    let class = match head.get("x-class") {
        Some(name) => names.class(name).ok_or("an unknown class")?,
        None => 0,
    };
    let tenant = match head.get("x-tenant") {
        Some(name) => Some(names.tenant(name).ok_or("an unknown tenant")?),
        None => None,
    };
    let expires_in = match head.get("x-deadline-ms") {
        Some(ms) => ms.parse::<u32>().map_err(|_| "a deadline that is no number")?.into(),
        None => names.deadlines[class] / 1_000_000,
    };
    let extras = head.get("x-extras").unwrap_or_default();
    let extra = |name: &str| {
        extras.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
    };
    let tokens = |name: &str| match extra(name) {
        Some(count) => count.parse::<u32>().map_err(|_| "a length that is no number"),
        None => Ok(0),
    };
    Ok(Ask {
        id: head.get("x-request-id").and_then(hex),
        expires_in: expires_in * 1_000_000 as Nanos,
        class,
        tenant,
        prefix: extra("prefix").map(key).filter(|p| *p != 0),
        session: head.get("x-key").map(key),
        tokens: (tokens("prompt_len")?, tokens("prefix_len")?, tokens("max_out")?),
        repeat: head.get("x-retry") == Some("1"),
    })
}

fn hex(text: &str) -> Option<u64> {
    (text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
}

/// A key's number: its hex digits, or for other words a hash that is the same everywhere.
pub fn key(text: &str) -> u64 {
    let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01B3);
    u64::from_str_radix(text, 16).unwrap_or_else(|_| text.bytes().fold(0xCBF2_9CE4_8422_2325, hash))
}

/// What an event of the platform says.
pub fn pieces(block: SseBlock) -> Vec<Piece> {
    let data = block.data();
    if block.is_comment() {
        return Vec::new();
    }
    if data == "[DONE]" {
        return vec![Piece::End];
    }
    let Ok(value) = serde_json::from_str::<Value>(&data) else {
        return vec![Piece::Unknown(block.name().to_owned())];
    };
    let mut pieces = Vec::new();
    if let Some(error) = value.get("error") {
        let word = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        return vec![Piece::Error(word("type"), word("message"))];
    }
    let choice = &value["choices"][0];
    if let Some(text) = choice["delta"]["content"].as_str() {
        pieces.push(if text.is_empty() { Piece::Start } else { Piece::Text(text.to_owned()) });
    }
    match choice["finish_reason"].as_str() {
        Some("stop") => pieces.push(Piece::Stop(Stop::Done)),
        Some("length") => pieces.push(Piece::Stop(Stop::Length)),
        Some(_) => pieces.push(Piece::Stop(Stop::Other)),
        None => {}
    }
    if let Some(usage) = value.get("usage").filter(|u| u.is_object()) {
        let kept = &usage["prompt_tokens_details"]["cached_tokens"];
        let count = |v: &Value| v.as_u64().unwrap_or(0);
        pieces.push(Piece::Usage(
            count(&usage["prompt_tokens"]),
            count(kept),
            count(&usage["completion_tokens"]),
        ));
    }
    if pieces.is_empty() {
        let name = if block.name().is_empty() { "an unnamed event" } else { block.name() };
        pieces.push(Piece::Unknown(name.to_owned()));
    }
    pieces
}

/// Writes what an event says in the platform's form.
pub fn write(piece: &Piece, usage: (u64, u64, u64), out: &mut Vec<u8>) {
    let choice = |delta: Value, finish: Value| {
        json!({"choices": [{"index": 0, "delta": delta, "finish_reason": finish}]}).to_string()
    };
    let mut say = |data: &str| out.extend_from_slice(format!("data: {data}\n\n").as_bytes());
    match piece {
        Piece::Start => say(&choice(json!({"role": "assistant", "content": ""}), Value::Null)),
        Piece::Text(text) => say(&choice(json!({"content": text}), Value::Null)),
        Piece::Stop(stop) => {
            let word = if *stop == Stop::Length { "length" } else { "stop" };
            say(&choice(json!({}), json!(word)));
        }
        Piece::Error(kind, words) => say(&json!({"error": {"type": kind, "message": words}}).to_string()),
        Piece::End => {
            let (prompt, kept, answer) = usage;
            let usage = json!({"prompt_tokens": prompt, "completion_tokens": answer,
                "total_tokens": prompt + answer, "prompt_tokens_details": {"cached_tokens": kept}});
            say(&json!({"choices": [], "usage": usage}).to_string());
            say("[DONE]");
        }
        Piece::Ping => out.extend_from_slice(b": ping\n\n"),
        Piece::Usage(..) | Piece::Unknown(_) => {}
    }
}
