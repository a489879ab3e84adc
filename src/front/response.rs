//! Responses that are not streams.

use std::fmt::Display;
use std::time::Duration;

use tulipridge_http1::codec;

/// A complete response that is not a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    content_type: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    /// Only the head is sent, as the response to HEAD.
    is_head_only: bool,
}

impl Response {
    /// A response with a line of text.
    #[must_use]
    pub fn text(status: u16, body: &str) -> Response {
        let body = format!("{body}\n").into_bytes();
        Response { status, content_type: "text/plain", headers: Vec::new(), body, is_head_only: false }
    }

    /// A response with a JSON value.
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

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl Display) -> Response {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Adds headers.
    #[must_use]
    pub fn with_all(mut self, headers: &[(&'static str, String)]) -> Response {
        self.headers.extend_from_slice(headers);
        self
    }

    /// Adds the time after which the client may retry.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Response {
        self.with("Retry-After", format_args!("{:.3}", wait.as_secs_f64()))
    }

    /// Leaves the body out, as the response to HEAD requires.
    #[must_use]
    pub fn head_only(self) -> Response {
        Response { is_head_only: true, ..self }
    }

    /// Encodes the response; `keep_alive` says whether the connection stays open.
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
