//! HTTP/1.1 over blocking sockets, for both sides of a connection.
//!
//! Clients and stand-ins use this module instead of an HTTP library, which would hide partial messages and resets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use snafu::{OptionExt, ResultExt, Snafu};
use tulipridge_http1::Http1Limits;
use tulipridge_http1::codec::{self, Body, Head, ParseError};

/// Size of a read buffer in bytes.
const READ_BYTES: usize = 64 * 1024;
/// Maximum size of a body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The lowest status of a final response; lower statuses are interim.
const FIRST_FINAL_STATUS: u16 = 200;

/// The reason why a request has no response, or a message could not be read or written.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection was not established.
    #[snafu(display("connection not established: {source}"))]
    Connect {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection failed, or the timeout has expired.
    #[snafu(display("the connection failed: {source}"))]
    Broken {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The received bytes are no valid HTTP message.
    #[snafu(display("invalid HTTP message: {reason}"))]
    Malformed {
        /// The parser's error.
        reason: &'static str,
    },
    /// The peer closed the connection before the message was complete.
    #[snafu(display("connection closed before the end of the message"))]
    Closed,
}

/// A request that can be encoded.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The method, such as `GET`.
    pub method: &'a str,
    /// The request target: path and query.
    pub target: &'a str,
    /// The headers; `Content-Length`, and `Host` if it is missing, are added.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body; empty for a request without a body.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// A GET request without headers or a body.
    #[must_use]
    pub fn get(target: &'a str) -> Request<'a> {
        Request { method: "GET", target, headers: &[], body: &[] }
    }

    fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        if !self.headers.iter().any(|(name, _)| *name == "Host") {
            text.push_str("Host: fault\r\n");
        }
        for (name, value) in self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

/// A complete request or response.
#[derive(Clone, Debug)]
pub struct Message {
    /// The start line and the headers.
    pub head: Head,
    /// The decoded body.
    pub body: Vec<u8>,
}

impl Message {
    /// The status code of a response; meaningless for a request.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    /// The body as text; invalid UTF-8 is replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection and reads the response. Connecting may take up to `timeout`; the response must
/// be complete within `timeout` from the start.
///
/// # Errors
///
/// See [`CallError`]; the peer may have received the request.
pub fn call(address: SocketAddr, request: &Request<'_>, timeout: Duration) -> Result<Message, CallError> {
    let deadline = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address, timeout).context(ConnectSnafu)?;
    let mut connection = Connection::new(stream);
    connection.write(&request.encode())?;
    connection.read_response(deadline)
}

/// Accepts connections in a new thread until the process ends, and serves each connection in another thread.
pub(crate) fn serve_connections(
    listener: TcpListener,
    serve: impl Fn(Connection) + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}

/// A connection with a buffer of bytes that were received but not parsed.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    limits: Http1Limits,
}

impl Connection {
    /// Wraps a stream from which nothing was read yet, and disables Nagle's algorithm.
    #[must_use]
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        let limits = Http1Limits { body_bytes: MAX_BODY_BYTES, ..Http1Limits::default() };
        Connection { stream, buffer: Vec::new(), limits }
    }

    /// The stream of the connection.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// [`CallError::Broken`] if the connection failed.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), CallError> {
        self.stream.write_all(bytes).context(BrokenSnafu)
    }

    /// Reads a complete request, without a timeout.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn read_request(&mut self) -> Result<Message, CallError> {
        let head = self.read_head(None, codec::request_head)?;
        let framing = head.request_body(&self.limits).map_err(malformed)?;
        self.read_body(head, framing, None)
    }

    /// Reads a complete response until `deadline`; interim responses (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub fn read_response(&mut self, deadline: Instant) -> Result<Message, CallError> {
        loop {
            let head = self.read_head(Some(deadline), codec::response_head)?;
            if head.status() >= FIRST_FINAL_STATUS {
                let framing = head.response_body().map_err(malformed)?;
                return self.read_body(head, framing, Some(deadline));
            }
        }
    }

    fn read_head(
        &mut self,
        deadline: Option<Instant>,
        parse: fn(&mut Vec<u8>, &Http1Limits) -> Result<Option<Head>, ParseError>,
    ) -> Result<Head, CallError> {
        loop {
            if let Some(head) = parse(&mut self.buffer, &self.limits).map_err(malformed)? {
                return Ok(head);
            }
            if self.read_more(deadline)? == 0 {
                return ClosedSnafu.fail();
            }
        }
    }

    fn read_body(
        &mut self,
        head: Head,
        mut framing: Body,
        deadline: Option<Instant>,
    ) -> Result<Message, CallError> {
        let mut body = Vec::new();
        while !framing.take(&mut self.buffer, &mut body, &self.limits).map_err(malformed)? {
            if self.read_more(deadline)? == 0 {
                let is_complete = framing == Body::UntilClose;
                return is_complete.then_some(Message { head, body }).context(ClosedSnafu);
            }
        }
        Ok(Message { head, body })
    }

    fn read_more(&mut self, deadline: Option<Instant>) -> Result<usize, CallError> {
        let remaining = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        if remaining.is_some_and(|remaining| remaining.is_zero()) {
            return Err(io::Error::from(io::ErrorKind::TimedOut)).context(BrokenSnafu);
        }
        self.stream.set_read_timeout(remaining).context(BrokenSnafu)?;
        let mut chunk = vec![0; READ_BYTES];
        let count = self.stream.read(&mut chunk).context(BrokenSnafu)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

fn malformed(error: ParseError) -> CallError {
    CallError::Malformed { reason: error.message() }
}
