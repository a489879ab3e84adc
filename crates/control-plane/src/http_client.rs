//! An HTTP/1.1 client for calls to the platform and to replicas, each with a timeout.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tulipridge_http1::codec::{self, Body, Head};
use tulipridge_http1::{BufferedStream, Http1Limits, within};

/// Interim responses (1xx) that are skipped before a final one.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Statuses below this one are those of interim responses.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why a call has no response. The server may have handled it all the same, but for [`CallError::Connect`].
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be established: the server has not seen the call, which is safe to retry.
    #[snafu(display("failed to connect to {address}: {source}"))]
    Connect {
        /// The server.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The connection failed, the response is malformed, or the timeout has passed.
    #[snafu(display("the call to {address} failed without a complete response: {source}"))]
    Broken {
        /// The server.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

/// A request to a server.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target: the path with its query.
    pub target: &'a str,
    /// Headers beyond those of the framing, as name and value.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body, which is JSON; empty for none.
    pub body: &'a [u8],
}

impl<'a> Call<'a> {
    /// A call without a body.
    #[must_use]
    pub fn get(target: &'a str) -> Call<'a> {
        Call { method: "GET", target, headers: &[], body: &[] }
    }

    fn encode(&self, address: SocketAddr) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\nHost: {address}\r\n", self.method, self.target);
        for (name, value) in self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str("Content-Type: application/json\r\n");
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

/// Calls one server, over the connection of the last call where that can be reused.
pub struct HttpClient {
    address: SocketAddr,
    limits: Http1Limits,
    idle_connection: Option<BufferedStream>,
}

impl HttpClient {
    /// A client that connects when its first call is made.
    #[must_use]
    pub fn new(address: SocketAddr, limits: Http1Limits) -> HttpClient {
        HttpClient { address, limits, idle_connection: None }
    }

    /// Makes a call and reads its response within `timeout`; establishing a connection has the timeout of the limits.
    ///
    /// # Errors
    ///
    /// If there is no complete response in time. Nothing is retried.
    pub async fn call(&mut self, call: Call<'_>, timeout: Duration) -> Result<Response, CallError> {
        let address = self.address;
        let mut stream = self.connection().await.context(ConnectSnafu { address })?;
        // A connection that is dropped in an exchange is reset: the system must not deliver the call later.
        stream.reset_on_drop = true;
        let request = call.encode(address);
        let exchange = exchange(&mut stream, &request, &self.limits);
        let done =
            within(timeout, exchange).await.and_then(|done| done).context(BrokenSnafu { address })?;
        stream.reset_on_drop = false;
        if done.is_reusable {
            self.idle_connection = Some(stream);
        }
        Ok(done.response)
    }

    /// The idle connection if it is still in order, else a new one.
    async fn connection(&mut self) -> io::Result<BufferedStream> {
        match self.idle_connection.take().filter(BufferedStream::is_quiet) {
            Some(stream) => Ok(stream),
            None => BufferedStream::connect(self.address, &self.limits).await,
        }
    }
}

/// A complete exchange of a request and its response.
struct Exchange {
    response: Response,
    /// Whether another call may use the connection.
    is_reusable: bool,
}

async fn exchange(
    stream: &mut BufferedStream,
    request: &[u8],
    limits: &Http1Limits,
) -> io::Result<Exchange> {
    stream.write(request).await?;
    let head = read_head(stream, limits).await?;
    let framing = head.response_body().map_err(|bad| io::Error::other(bad.message()))?;
    let keeps_alive = framing != Body::UntilClose && head.keeps_alive(&head.start[0]);
    let body = read_body(stream, framing, limits).await?;
    let is_reusable = keeps_alive && stream.buf.is_empty();
    Ok(Exchange { response: Response { status: head.status(), body }, is_reusable })
}

/// Reads the head of the final response.
async fn read_head(stream: &mut BufferedStream, limits: &Http1Limits) -> io::Result<Head> {
    let mut interim_responses = 0;
    loop {
        match codec::response_head(&mut stream.buf, limits)
            .map_err(|bad| io::Error::other(bad.message()))?
        {
            Some(head) if head.status() >= FIRST_FINAL_STATUS => return Ok(head),
            Some(_) if interim_responses == MAX_INTERIM_RESPONSES => {
                return Err(io::Error::other("too many interim responses"));
            }
            Some(_) => interim_responses += 1,
            None if stream.fill(limits).await? == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            None => {}
        }
    }
}

async fn read_body(
    stream: &mut BufferedStream,
    mut framing: Body,
    limits: &Http1Limits,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let is_complete = framing
            .take(&mut stream.buf, &mut body, limits)
            .map_err(|bad| io::Error::other(bad.message()))?;
        if is_complete {
            return Ok(body);
        }
        if body.len() > limits.body_bytes {
            return Err(io::Error::other("the response body exceeds the size limit"));
        }
        if stream.fill(limits).await? == 0 {
            return match framing {
                Body::UntilClose => Ok(body),
                _ => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    }
}
