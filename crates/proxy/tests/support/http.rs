//! Requests and responses as text.

use tulipridge_http1::codec::Head;

use super::fixtures::{HOST, KEY, SEAL};
use super::replica::LONG_BODY;

/// A response of 200 with this body.
pub(crate) fn ok(body: &str) -> String {
    answer("200 OK", "", body)
}

/// A complete response with a length.
pub(crate) fn answer(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nServer-Seal: {SEAL}\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of a stream in chunks.
pub(crate) fn stream_head() -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nServer-Seal: {SEAL}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// An event as a chunk.
pub(crate) fn event(id: u32) -> String {
    chunk(&format!("id: {id}\ndata: d{id}\n\n"))
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(crate) const LAST: &str = "0\r\n\r\n";

/// The value of a header in a message.
pub(crate) fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(": ")?;
        found.eq_ignore_ascii_case(name).then(|| value.to_owned())
    })
}

/// The status of a response.
pub(crate) fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or(answer)
}

/// A request for a path, with a key and a body.
pub(crate) fn post(path: &str, id: &str) -> String {
    post_with(path, id, "")
}

/// The same with further headers.
pub(crate) fn post_with(path: &str, id: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nTime-Left-Ms: 6000\r\n\
         Authorization: Token {KEY}\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}

/// The same with a body that is longer than what the system holds of a connection.
pub(crate) fn post_long(path: &str, id: &str) -> String {
    let body = "x".repeat(LONG_BODY);
    post(path, id)
        .replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {LONG_BODY}\r\n\r\n{body}"))
}

/// A message with what differs from run to run replaced, and line ends as in a text file.
pub(crate) fn transcript(message: &str) -> String {
    let lines = message.lines().map(|line| match line.split_once(": ") {
        Some((name @ ("Time-Left-Ms" | "Retry-After"), _)) => format!("{name}: (time)"),
        _ => line.trim_end().to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// The head of a message.
pub(crate) fn head(start: [&str; 3], headers: &[(&str, &str)]) -> Head {
    let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    Head { start: start.map(str::to_owned), headers: headers.iter().map(owned).collect() }
}
