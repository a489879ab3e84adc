//! Requests and responses of the API.

use std::sync::Arc;

use serde::Serialize;
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_http1::codec::Head;

/// A complete request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The request target: the path with its query.
    pub target: String,
    /// The headers.
    pub head: Head,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// The path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Additional headers as pairs of name and value. `Content-Type`, `Content-Length` and `Connection` are added when
    /// the head is encoded.
    pub headers: Vec<(&'static str, String)>,
    /// The JSON body.
    pub body: Arc<[u8]>,
}

/// The body for a committed change.
#[derive(Serialize)]
pub(super) struct ChangeAccepted<R> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<R>,
}

/// The body for a change that builds on a revision other than the current one.
#[derive(Serialize)]
pub(super) struct StaleBase {
    pub error: &'static str,
    pub current: Revision,
}

/// The body for a revision of weights that is older than the target revision.
#[derive(Serialize)]
pub(super) struct OldWeights {
    pub error: &'static str,
    pub newest: WeightsRevision,
}

/// The body for a request that failed for any other reason.
#[derive(Serialize)]
struct Failure<'a> {
    error: &'a str,
}

impl Response {
    /// Creates a response whose body is serialized to JSON.
    pub fn json(status: u16, body: &impl Serialize) -> Response {
        match serde_json::to_vec(body) {
            Ok(text) => Response::text(status, text.into()),
            Err(error) => Response::error(500, &format!("the answer can't be written: {error}")),
        }
    }

    /// Creates a response from a body that is already JSON.
    #[must_use]
    pub fn text(status: u16, body: Arc<[u8]>) -> Response {
        Response { status, headers: Vec::new(), body }
    }

    /// Creates an error response with the reason in its body.
    #[must_use]
    pub fn error(status: u16, reason: &str) -> Response {
        Response::json(status, &Failure { error: reason })
    }

    /// Appends a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Response {
        self.headers.push((name, value.into()));
        self
    }

    /// Encodes the status line and the headers.
    #[must_use]
    pub fn encode_head(&self, keeps_alive: bool) -> String {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Content-Type: application/json\r\n");
        head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        if !keeps_alive {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        head
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        307 => "Temporary Redirect",
        412 => "Precondition Failed",
        _ => tulipridge_http1::codec::reason(status),
    }
}
