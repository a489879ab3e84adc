//! Demo replicas for `tulipridge demo` and the examples. They share no code with the gateway, and use blocking sockets.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// The time between two events of a response.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// The estimated length of a token in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// Reads the head of a message and a body of the length in `Content-Length`. `None` if the input ends, can't be read or
/// states an invalid length.
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

/// Serves a connection to a demo replica, in the dialect of each request's path. The text of the response is the
/// replica's name, `heard:` and the text of the last turn, with one event for each word. If the request has tools and
/// its last turn does not begin with a tool result, the response also calls the first tool.
///
/// Returns `Some` once the client has closed the connection or sent an invalid message, and `None` if the socket can't
/// be cloned or a write failed.
#[must_use]
pub fn serve_connection(replica_name: &str, mut stream: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some((head, body)) = read_message(&mut reader) {
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let is_messages = head.starts_with("POST /v1/messages ");
        let last_turn = body["messages"].as_array().and_then(|m| m.last()).cloned().unwrap_or_default();
        let prompt = text_of(&last_turn["content"]);
        let has_tool_result =
            last_turn["role"] == "tool" || last_turn["content"][0]["type"] == "tool_result";
        let tool = &body["tools"][0];
        let tool = tool["name"].as_str().or(tool["function"]["name"].as_str()).filter(|_| !has_tool_result);
        let head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).ok()?;
        let text = format!("{replica_name} heard: {prompt}");
        let events = if is_messages {
            messages_events(&text, tool, prompt.len() / BYTES_PER_TOKEN)
        } else {
            platform_events(&text, tool, prompt.len() / BYTES_PER_TOKEN)
        };
        for event in events {
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
            thread::sleep(EVENT_INTERVAL);
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
    Some(())
}

/// The text of a turn's content, which is a string or an array of blocks that may contain text or further content.
fn text_of(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(blocks) => {
            let block_text =
                |b: &Value| b["text"].as_str().map_or_else(|| text_of(&b["content"]), str::to_owned);
            blocks.iter().map(block_text).collect()
        }
        _ => String::new(),
    }
}

fn platform_events(text: &str, tool: Option<&str>, prompt_tokens: usize) -> Vec<String> {
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
    let usage = json!({"prompt_tokens": prompt_tokens, "completion_tokens": 8});
    events.push(format!("data: {}\n\n", json!({"choices": [], "usage": usage})));
    events.push("data: [DONE]\n\n".into());
    events
}

fn messages_events(text: &str, tool: Option<&str>, prompt_tokens: usize) -> Vec<String> {
    let event = |data: Value| {
        let name = data["type"].as_str().unwrap_or_default();
        format!("event: {name}\ndata: {data}\n\n")
    };
    let mut events = vec![
        event(
            json!({"type": "message_start", "message": {"id": "msg_toy", "type": "message", "role": "assistant",
            "content": [], "model": "toy", "stop_reason": null, "stop_sequence": null,
            "usage": {"input_tokens": prompt_tokens, "output_tokens": 1}}}),
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
