//! HTTP/1.1 client for calls to the platform and to replicas. Each call has a timeout.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tulipridge_http1::codec::{self, Body, Head};
use tulipridge_http1::{BufferedStream, Http1Limits, within};

/// Limit on the interim responses (1xx) that are skipped before the final one.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// The lowest status code of a final response; lower ones are interim.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why a call has no response. Except after [`CallError::Connect`], the server may have handled the call.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be established. The server has not seen the call, so it is safe to retry.
    #[snafu(display("failed to connect to {address}: {source}"))]
    Connect {
        /// The server.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The connection failed, the response is malformed, or the call timed out.
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
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// A request to a server.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The request target: the path with its query.
    pub target: &'a str,
    /// Additional headers as pairs of name and value. The client sets `Host`, `Content-Type` and `Content-Length`.
    pub headers: &'a [(&'a str, &'a str)],
    /// The JSON body; empty for a request without one.
    pub body: &'a [u8],
}

impl<'a> Call<'a> {
    /// A `GET` request.
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

/// A client of one server. It reuses the connection of the previous call where possible.
pub struct HttpClient {
    address: SocketAddr,
    limits: Http1Limits,
    idle_connection: Option<BufferedStream>,
}

impl HttpClient {
    /// Creates a client, which connects on its first call.
    #[must_use]
    pub fn new(address: SocketAddr, limits: Http1Limits) -> HttpClient {
        HttpClient { address, limits, idle_connection: None }
    }

    /// Sends a request and reads its response within `timeout`. Establishing a connection is bounded separately, by the
    /// connect timeout in the client's limits.
    ///
    /// # Errors
    ///
    /// If no complete response arrives in time. Nothing is retried.
    pub async fn call(&mut self, call: Call<'_>, timeout: Duration) -> Result<Response, CallError> {
        let address = self.address;
        let mut stream = self.connection().await.context(ConnectSnafu { address })?;
        // Reset the connection if it is dropped during the exchange, so that the kernel doesn't deliver an abandoned
        // call later.
        stream.reset_on_drop = true;
        let request = call.encode(address);
        let exchange = exchange(&mut stream, &request, &self.limits);
        let completed =
            within(timeout, exchange).await.and_then(|result| result).context(BrokenSnafu { address })?;
        stream.reset_on_drop = false;
        if completed.is_reusable {
            self.idle_connection = Some(stream);
        }
        Ok(completed.response)
    }

    /// Returns the idle connection if it is still usable, else opens a new one.
    async fn connection(&mut self) -> io::Result<BufferedStream> {
        match self.idle_connection.take().filter(BufferedStream::is_idle) {
            Some(stream) => Ok(stream),
            None => BufferedStream::connect(self.address, &self.limits).await,
        }
    }
}

/// The result of a completed request-response exchange.
struct Exchange {
    response: Response,
    /// Whether the connection can be used for another call.
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

/// Reads the head of the final response and skips interim ones.
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
