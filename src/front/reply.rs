//! Answers that are no streams.

use std::fmt::Display;
use std::time::Duration;

use tulipridge_http1::codec;

/// A whole answer without a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    kind: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    /// Only its head is sent, as for a body.
    bare: bool,
}

impl Reply {
    /// A line of text.
    #[must_use]
    pub fn text(status: u16, body: &str) -> Reply {
        let body = format!("{body}\n").into_bytes();
        Reply { status, kind: "text/plain", headers: Vec::new(), body, bare: false }
    }

    /// A JSON value.
    #[must_use]
    pub fn json(status: u16, body: Vec<u8>) -> Reply {
        Reply { status, kind: "application/json", headers: Vec::new(), body, bare: false }
    }

    /// With a header more.
    pub fn with(mut self, name: &'static str, value: impl Display) -> Reply {
        self.headers.push((name, value.to_string()));
        self
    }

    /// With headers more.
    #[must_use]
    pub fn with_all(mut self, headers: &[(&'static str, String)]) -> Reply {
        self.headers.extend_from_slice(headers);
        self
    }

    /// With the time that the client should stay away.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Reply {
        self.with("Retry-After", format_args!("{:.3}", wait.as_secs_f64()))
    }

    /// Only its head, as a HEAD wants it.
    #[must_use]
    pub fn bare(self) -> Reply {
        Reply { bare: true, ..self }
    }

    /// Its bytes, which say whether the connection stays.
    #[must_use]
    pub fn bytes(&self, keep: bool) -> Vec<u8> {
        let (status, length) = (self.status, self.body.len());
        let reason = codec::reason(status);
        let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
        if status != 204 {
            text.push_str(&format!("Content-Type: {}\r\nContent-Length: {length}\r\n", self.kind));
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(if keep { "\r\n" } else { "Connection: close\r\n\r\n" });
        let mut bytes = text.into_bytes();
        if !self.bare && status != 204 {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}
