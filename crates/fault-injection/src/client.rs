//! HTTP/1.1 over blocking sockets, for both sides of a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use snafu::{OptionExt, ResultExt, Snafu};
use tulipridge_http1::Http1Limits;
use tulipridge_http1::codec::{self, Body, Head, ParseError};

/// Bytes read from a socket at once.
const READ_BYTES: usize = 64 * 1024;
/// The longest body that is read.
const BODY_BYTES: usize = 16 << 20;

/// Why a message could not be read or a call has no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection came up.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// What the system says.
        source: io::Error,
    },
    /// The connection failed, or the time ran out.
    #[snafu(display("the connection failed: {source}"))]
    Broken {
        /// What the system says.
        source: io::Error,
    },
    /// What came is not HTTP.
    #[snafu(display("not HTTP: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The connection ended before the message was whole.
    #[snafu(display("the connection has ended"))]
    Ended,
}

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, with its query.
    pub target: &'a str,
    /// Headers beyond those of the framing; a host is added where none is named.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// A request without a body.
    #[must_use]
    pub fn get(target: &'a str) -> Request<'a> {
        Request { method: "GET", target, headers: &[], body: &[] }
    }

    fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        if !self.headers.iter().any(|(name, _)| *name == "Host") {
            text.push_str("Host: drill\r\n");
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

/// A message that has come whole.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// The status of an answer.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    /// The body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Makes one call on a connection of its own.
pub fn call(address: SocketAddr, request: &Request<'_>, timeout: Duration) -> Result<Message, CallError> {
    let until = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address, timeout).context(ConnectSnafu)?;
    let mut connection = Connection::new(stream);
    connection.write(&request.encode())?;
    connection.read_response(until)
}

/// A connection that carries messages.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    limits: Http1Limits,
}

impl Connection {
    /// A connection on which nothing was read yet.
    #[must_use]
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        let limits = Http1Limits { body_bytes: BODY_BYTES, ..Http1Limits::default() };
        Connection { stream, buffer: Vec::new(), limits }
    }

    /// The socket.
    #[must_use]
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), CallError> {
        self.stream.write_all(bytes).context(BrokenSnafu)
    }

    /// Reads a request, however long that takes.
    pub fn read_request(&mut self) -> Result<Message, CallError> {
        let head = self.read_head(None, codec::request_head)?;
        let framing = head.request_body(&self.limits).map_err(malformed)?;
        self.read_body(head, framing, None)
    }

    /// Reads an answer until a time; interim ones are passed over.
    pub fn read_response(&mut self, until: Instant) -> Result<Message, CallError> {
        loop {
            let head = self.read_head(Some(until), codec::response_head)?;
            if head.status() >= 200 {
                let framing = head.response_body().map_err(malformed)?;
                return self.read_body(head, framing, Some(until));
            }
        }
    }

    fn read_head(
        &mut self,
        until: Option<Instant>,
        parse: fn(&mut Vec<u8>, &Http1Limits) -> Result<Option<Head>, ParseError>,
    ) -> Result<Head, CallError> {
        loop {
            if let Some(head) = parse(&mut self.buffer, &self.limits).map_err(malformed)? {
                return Ok(head);
            }
            if self.read_more(until)? == 0 {
                return EndedSnafu.fail();
            }
        }
    }

    fn read_body(
        &mut self,
        head: Head,
        mut framing: Body,
        until: Option<Instant>,
    ) -> Result<Message, CallError> {
        let mut body = Vec::new();
        while !framing.take(&mut self.buffer, &mut body, &self.limits).map_err(malformed)? {
            if self.read_more(until)? == 0 {
                let is_whole = framing == Body::UntilClose;
                return is_whole.then_some(Message { head, body }).context(EndedSnafu);
            }
        }
        Ok(Message { head, body })
    }

    fn read_more(&mut self, until: Option<Instant>) -> Result<usize, CallError> {
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Err(io::Error::from(io::ErrorKind::TimedOut)).context(BrokenSnafu);
        }
        self.stream.set_read_timeout(left).context(BrokenSnafu)?;
        let mut chunk = vec![0; READ_BYTES];
        let count = self.stream.read(&mut chunk).context(BrokenSnafu)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

fn malformed(bad: ParseError) -> CallError {
    CallError::Malformed { reason: bad.what }
}
