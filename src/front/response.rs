//! Complete HTTP responses, as opposed to event streams.

use std::fmt::Display;
use std::time::Duration;

use tulipridge_http1::codec;

/// A response with a complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    content_type: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    /// Whether only the head is sent, as in a response to HEAD.
    is_head_only: bool,
}

impl Response {
    /// Creates a response with a line of text.
    #[must_use]
    pub fn text(status: u16, body: &str) -> Response {
        let body = format!("{body}\n").into_bytes();
        Response { status, content_type: "text/plain", headers: Vec::new(), body, is_head_only: false }
    }

    /// Creates a response with a JSON body.
    #[must_use]
    pub fn json(status: u16, body: Vec<u8>) -> Response {
        Response {
            status,
            content_type: "application/json",
            headers: Vec::new(),
            body,
            is_head_only: false,
        }
    }

    /// Appends a header; an earlier one of the same name is kept.
    pub fn with_header(mut self, name: &'static str, value: impl Display) -> Response {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Adds headers.
    #[must_use]
    pub fn with_headers(mut self, headers: &[(&'static str, String)]) -> Response {
        self.headers.extend_from_slice(headers);
        self
    }

    /// Adds `Retry-After`: the time after which the client may retry, in seconds with millisecond precision.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Response {
        self.with_header("Retry-After", format_args!("{:.3}", wait.as_secs_f64()))
    }

    /// Omits the body, as required in a response to HEAD.
    #[must_use]
    pub fn head_only(self) -> Response {
        Response { is_head_only: true, ..self }
    }

    /// Encodes the response; `keep_alive` is whether the connection stays open.
    #[must_use]
    pub fn bytes(&self, keep_alive: bool) -> Vec<u8> {
        let (status, length) = (self.status, self.body.len());
        let reason = codec::reason(status);
        let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
        if status != 204 {
            text.push_str(&format!("Content-Type: {}\r\nContent-Length: {length}\r\n", self.content_type));
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" });
        let mut bytes = text.into_bytes();
        if !self.is_head_only && status != 204 {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}
