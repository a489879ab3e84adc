//! Demo replicas to try the gateway with, for `tulipridge demo` and the examples: plain blocking sockets, which
//! share nothing with what they show.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Reads a message's head, and its body of a stated length; `None` once there is none, or none that is one.
pub fn read_message(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim_end().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
        head.push_str(&line);
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// A demo replica's connection, in the dialect of each request's path: it says its name and the question's words,
/// a word an event; where there are tools and no result yet, it uses the first one. Returns once the other side has
/// closed it.
#[must_use]
pub fn serve_connection(id: &str, mut stream: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some((head, body)) = read_message(&mut reader) {
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let messages = head.starts_with("POST /v1/messages ");
        let last = body["messages"].as_array().and_then(|m| m.last()).cloned().unwrap_or_default();
        let words = words_of(&last["content"]);
        let answered = last["role"] == "tool" || last["content"][0]["type"] == "tool_result";
        let tool = &body["tools"][0];
        let tool = tool["name"].as_str().or(tool["function"]["name"].as_str()).filter(|_| !answered);
        let head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).ok()?;
        let text = format!("{id} heard: {words}");
        let events = if messages {
            messages_events(&text, tool, words.len() / 4)
        } else {
            platform_events(&text, tool, words.len() / 4)
        };
        for event in events {
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
            thread::sleep(Duration::from_millis(60));
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
    Some(())
}

/// The words of a content: a text, or blocks of which some are texts or hold some.
fn words_of(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(blocks) => {
            let of = |b: &Value| b["text"].as_str().map_or_else(|| words_of(&b["content"]), str::to_owned);
            blocks.iter().map(of).collect()
        }
        _ => String::new(),
    }
}

fn platform_events(text: &str, tool: Option<&str>, prompt: usize) -> Vec<String> {
    let choice = |delta: Value, finish: Value| {
        format!("data: {}\n\n", json!({"choices": [{"index": 0, "delta": delta, "finish_reason": finish}]}))
    };
    let words = text.split_inclusive(' ').map(|word| choice(json!({"content": word}), Value::Null));
    let mut events: Vec<String> = words.collect();
    let mut stop = "stop";
    if let Some(name) = tool {
        stop = "tool_calls";
        let call = json!({"index": 0, "id": "call_toy", "type": "function",
            "function": {"name": name, "arguments": "{}"}});
        events.push(choice(json!({"tool_calls": [call]}), Value::Null));
    }
    events.push(choice(json!({}), stop.into()));
    let usage = json!({"prompt_tokens": prompt, "completion_tokens": 8});
    events.push(format!("data: {}\n\n", json!({"choices": [], "usage": usage})));
    events.push("data: [DONE]\n\n".into());
    events
}

fn messages_events(text: &str, tool: Option<&str>, prompt: usize) -> Vec<String> {
    let event = |data: Value| {
        let name = data["type"].as_str().unwrap_or_default();
        format!("event: {name}\ndata: {data}\n\n")
    };
    let mut events = vec![
        event(
            json!({"type": "message_start", "message": {"id": "msg_toy", "type": "message", "role": "assistant",
            "content": [], "model": "toy", "stop_reason": null, "stop_sequence": null,
            "usage": {"input_tokens": prompt, "output_tokens": 1}}}),
        ),
        event(
            json!({"type": "content_block_start", "index": 0, "content_block": {"type": "text", "text": ""}}),
        ),
    ];
    events.extend(text.split_inclusive(' ').map(|word| {
        event(json!({"type": "content_block_delta", "index": 0, "delta": {"type": "text_delta", "text": word}}))
    }));
    events.push(event(json!({"type": "content_block_stop", "index": 0})));
    let mut stop = "end_turn";
    if let Some(name) = tool {
        stop = "tool_use";
        let block = json!({"type": "tool_use", "id": "toolu_toy", "name": name, "input": {}});
        events.push(event(json!({"type": "content_block_start", "index": 1, "content_block": block})));
        events.push(event(json!({"type": "content_block_stop", "index": 1})));
    }
    let delta = json!({"stop_reason": stop, "stop_sequence": null});
    events.push(event(json!({"type": "message_delta", "delta": delta, "usage": {"output_tokens": 8}})));
    events.push(event(json!({"type": "message_stop"})));
    events
}
