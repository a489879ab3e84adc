//! Reading of requests from a client's connection.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tulipridge_http1::codec::{self, Body, Head, ParseError};
use tulipridge_http1::{BufferedStream, Http1Limits, RequestError};

use crate::bounds::BodyBytes;
use crate::proxy::Proxy;

/// Timeout for the body of a request without a `Time-Left-Ms` header, counted from the request's first byte.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interim response to `Expect: 100-continue`.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that was read completely.
pub struct DownstreamRequest {
    /// The head.
    pub head: Head,
    /// The body.
    pub body: Vec<u8>,
    /// When reading of the request began, with its first bytes available.
    pub started: Instant,
    /// Counts the bytes of the body against the limit of the process until the request is dropped.
    pub body_bytes: BodyBytes,
}

impl DownstreamRequest {
    /// The `Attempt-Id` header that the client sent.
    #[must_use]
    pub fn attempt_id(&self) -> Option<&str> {
        self.head.get("attempt-id")
    }

    /// The time that the client waits, counted from the first byte of the request. None without a valid `Time-Left-Ms`
    /// header.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        time_left(&self.head)
    }

    /// Whether the method is HEAD; its response has no body.
    #[must_use]
    pub fn is_head_request(&self) -> bool {
        self.head.start[0] == "HEAD"
    }
}

/// The value of the `Time-Left-Ms` header. None if it is missing or invalid.
fn time_left(head: &Head) -> Option<Duration> {
    let time_left_ms: f64 = head.get("time-left-ms")?.parse().ok()?;
    Duration::try_from_secs_f64(time_left_ms / 1000.0).ok()
}

/// Reads a request whose first bytes are available. Returns None if the connection ends before the end of the request.
///
/// # Errors
/// If the request is malformed, exceeds a limit, or is not read in time. The error determines the response's status.
pub async fn read_request(
    proxy: &Rc<Proxy>,
    stream: &mut BufferedStream,
    limits: &Http1Limits,
) -> Result<Option<DownstreamRequest>, RequestError> {
    let started = Instant::now();
    let head_deadline = started + Duration::from_millis(proxy.caps().head_wait_ms);
    let head = match proxy.timers.timeout_at(head_deadline, read_head(stream, limits)).await {
        Some(Ok(Some(head))) => head,
        Some(other) => return other.map(|_| None),
        None => return Err(RequestError::TooSlow),
    };
    let body_deadline = started + time_left(&head).unwrap_or(DEFAULT_BODY_TIMEOUT);
    let mut body_bytes = proxy.count_body_bytes();
    let reading = read_body(proxy, stream, limits, &head, &mut body_bytes);
    match proxy.timers.timeout_at(body_deadline.max(head_deadline), reading).await {
        Some(Ok(Some(body))) => Ok(Some(DownstreamRequest { head, body, started, body_bytes })),
        Some(other) => other.map(|_| None),
        None => Err(RequestError::TooSlow),
    }
}

async fn read_head(
    stream: &mut BufferedStream,
    limits: &Http1Limits,
) -> Result<Option<Head>, RequestError> {
    loop {
        if let Some(head) = codec::request_head(&mut stream.buf, limits)? {
            return Ok(Some(head));
        }
        if !stream.read_more(limits).await {
            return Ok(None);
        }
    }
}

async fn read_body(
    proxy: &Proxy,
    stream: &mut BufferedStream,
    limits: &Http1Limits,
    head: &Head,
    body_bytes: &mut BodyBytes,
) -> Result<Option<Vec<u8>>, RequestError> {
    let mut framing = head.request_body(limits)?;
    let mut body = Vec::new();
    if let Body::Length(length) = framing {
        body.reserve_exact(length);
    }
    if framing != Body::Length(0) && stream.buf.is_empty() && head.lists("expect", "100-continue") {
        let written: io::Result<()> = stream.write(CONTINUE_RESPONSE).await;
        if written.is_err() {
            return Ok(None);
        }
    }
    loop {
        let is_complete = framing.take(&mut stream.buf, &mut body, limits)?;
        if body.len() > limits.body_bytes {
            return Err(ParseError::BodyTooLarge.into());
        }
        body_bytes.set(body.len());
        if is_complete {
            return Ok(Some(body));
        }
        proxy.usage.body_capacity().await;
        if !stream.read_more(limits).await {
            return Ok(None);
        }
    }
}
