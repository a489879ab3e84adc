//! Requests and responses as text.

use tulipridge_http1::Http1Limits;
use tulipridge_http1::codec::{Body, Chunk, Head};

use super::fixtures::{HOST, KEY, SEAL};
use super::replica::LONG_BODY;

/// A 200 response with this body.
pub(crate) fn ok(body: &str) -> String {
    response("200 OK", "", body)
}

/// A complete response with a `Content-Length`.
pub(crate) fn response(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nServer-Seal: {SEAL}\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The head of an event stream with chunked encoding.
pub(crate) fn stream_head() -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nServer-Seal: {SEAL}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// The head of an event stream that ends with its connection.
pub(crate) fn unframed_stream_head() -> String {
    stream_head().replace("Transfer-Encoding: chunked\r\n", "")
}

/// The head of an event stream with a `Content-Length`.
pub(crate) fn stream_head_with_length(length: usize) -> String {
    stream_head().replace("Transfer-Encoding: chunked", &format!("Content-Length: {length}"))
}

/// A server-sent event as one chunk.
pub(crate) fn event(id: u32) -> String {
    chunk(&event_text(id))
}

/// A server-sent event.
pub(crate) fn event_text(id: u32) -> String {
    format!("id: {id}\ndata: d{id}\n\n")
}

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub(crate) const LAST_CHUNK: &str = "0\r\n\r\n";

/// The decoded body of a chunked message, and whether its last chunk was received.
pub(crate) fn decoded_body(message: &str) -> (String, bool) {
    let (_, encoded) = message.split_once("\r\n\r\n").expect("a head");
    let (mut framing, mut body) = (Body::Chunked(Chunk::Size), Vec::new());
    let is_complete = framing.take(&mut encoded.into(), &mut body, &Http1Limits::default());
    (String::from_utf8_lossy(&body).into_owned(), is_complete.expect("valid chunks"))
}

/// The value of a header of a message.
pub(crate) fn header(message: &str, name: &str) -> Option<String> {
    let head = message.split("\r\n\r\n").next()?;
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(": ")?;
        found.eq_ignore_ascii_case(name).then(|| value.to_owned())
    })
}

/// The status code of a response.
pub(crate) fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or(response)
}

/// A POST request with an API key and a body of four bytes.
pub(crate) fn post(path: &str, id: &str) -> String {
    post_with(path, id, "")
}

/// A POST request as [`post`] makes it, with additional headers.
pub(crate) fn post_with(path: &str, id: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nTime-Left-Ms: 6000\r\n\
         Authorization: Token {KEY}\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}

/// A POST request with a body that exceeds the socket buffers of a connection.
pub(crate) fn post_with_long_body(path: &str, id: &str) -> String {
    let body = "x".repeat(LONG_BODY);
    post(path, id)
        .replace("Content-Length: 4\r\n\r\nbody", &format!("Content-Length: {LONG_BODY}\r\n\r\n{body}"))
}

/// A message for snapshots: values that vary between runs are replaced, and line ends are plain newlines.
pub(crate) fn normalized(message: &str) -> String {
    let lines = message.lines().map(|line| match line.split_once(": ") {
        Some((name @ ("Time-Left-Ms" | "Retry-After"), _)) => format!("{name}: (time)"),
        _ => line.trim_end().to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// A parsed message head.
pub(crate) fn head(start: [&str; 3], headers: &[(&str, &str)]) -> Head {
    let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    Head { start: start.map(str::to_owned), headers: headers.iter().map(owned).collect() }
}
