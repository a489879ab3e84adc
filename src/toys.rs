//! Toy real servers to try the gateway with, for `tulipridge demo` and the examples: plain blocking sockets, which
//! share nothing with what they show.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Reads a message's head, and its body of a stated length; `None` once there is none, or none that is one.
pub fn request(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
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

/// A toy real server's connection: it says its name and the question's words, a word an event. Returns once the
/// other side has closed it.
pub fn converse(id: &str, mut stream: TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some((_, body)) = request(&mut reader) {
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let turn = body["messages"].as_array().and_then(|m| m.last()).map(|t| t["content"].clone());
        let words = turn.and_then(|c| c.as_str().map(str::to_owned)).unwrap_or_default();
        let head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).ok()?;
        let mut say = |data: &str| {
            let event = format!("data: {data}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
        };
        for word in format!("{id} heard: {words}").split_inclusive(' ') {
            let choice = json!({"index": 0, "delta": {"content": word}, "finish_reason": null});
            say(&json!({"choices": [choice]}).to_string()).ok()?;
            thread::sleep(Duration::from_millis(60));
        }
        let stop = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
        say(&json!({"choices": [stop]}).to_string()).ok()?;
        let usage = json!({"prompt_tokens": words.len() / 4, "completion_tokens": 8});
        say(&json!({"choices": [], "usage": usage}).to_string()).ok()?;
        say("[DONE]").ok()?;
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
    Some(())
}
