//! Calls over HTTP/1.1 to the platform and to replicas, each within a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tulipridge_http1::codec::{self, Body, Head};
use tulipridge_http1::{BufferedStream, Http1Limits, within};

/// Interim answers that are skipped.
const MOST_INTERIM: u32 = 8;
/// Statuses below this one are those of interim answers.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why a call has no answer. The other side may have taken it all the same.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection came up: the other side has not seen the call.
    #[snafu(display("no connection to {address}: {source}"))]
    Connect {
        /// Who was called.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The connection failed, or the time ran out.
    #[snafu(display("the call to {address} has no answer: {source}"))]
    Broken {
        /// Who was called.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

/// An answer, read whole.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

/// What is called.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, with its query.
    pub target: &'a str,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body, sent as JSON; none where it is empty.
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

/// Calls one address, over a kept connection where the last call left one in order.
pub struct HttpClient {
    address: SocketAddr,
    limits: Http1Limits,
    kept: Option<BufferedStream>,
}

impl HttpClient {
    /// Nothing is connected before the first call.
    #[must_use]
    pub fn new(address: SocketAddr, limits: Http1Limits) -> HttpClient {
        HttpClient { address, limits, kept: None }
    }

    /// Makes a call and reads its answer within a time; a connection that must be made first has its own limit.
    pub async fn call(&mut self, call: Call<'_>, timeout: Duration) -> Result<Answer, CallError> {
        let address = self.address;
        let kept = self.kept.take().filter(BufferedStream::is_quiet);
        let mut wire = match kept {
            Some(wire) => wire,
            None => {
                BufferedStream::connect(address, &self.limits).await.context(ConnectSnafu { address })?
            }
        };
        // A call that is given up is withdrawn as far as that goes: the system must not deliver it later.
        wire.reset_on_drop = true;
        let request = call.encode(address);
        let exchange = exchange(&mut wire, &request, &self.limits);
        let done =
            within(timeout, exchange).await.and_then(|done| done).context(BrokenSnafu { address })?;
        wire.reset_on_drop = false;
        if done.keep {
            self.kept = Some(wire);
        }
        Ok(done.answer)
    }
}

struct Exchange {
    answer: Answer,
    keep: bool,
}

async fn exchange(wire: &mut BufferedStream, request: &[u8], limits: &Http1Limits) -> io::Result<Exchange> {
    wire.write(request).await?;
    let head = read_head(wire, limits).await?;
    let framing = head.response_body().map_err(|bad| io::Error::other(bad.what))?;
    let keep = framing != Body::UntilClose && head.keeps_alive(&head.start[0]);
    let body = read_body(wire, framing, limits).await?;
    Ok(Exchange { answer: Answer { status: head.status(), body }, keep: keep && wire.buf.is_empty() })
}

/// Reads the head of the final answer.
async fn read_head(wire: &mut BufferedStream, limits: &Http1Limits) -> io::Result<Head> {
    let mut interim = 0;
    loop {
        match codec::response_head(&mut wire.buf, limits).map_err(|bad| io::Error::other(bad.what))? {
            Some(head) if head.status() >= FIRST_FINAL_STATUS => return Ok(head),
            Some(_) if interim == MOST_INTERIM => {
                return Err(io::Error::other("interim answers without end"));
            }
            Some(_) => interim += 1,
            None if wire.fill(limits).await? == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            None => {}
        }
    }
}

async fn read_body(
    wire: &mut BufferedStream,
    mut framing: Body,
    limits: &Http1Limits,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let whole =
            framing.take(&mut wire.buf, &mut body, limits).map_err(|bad| io::Error::other(bad.what))?;
        if whole {
            return Ok(body);
        }
        if body.len() > limits.body_bytes {
            return Err(io::Error::other("the answer is too long"));
        }
        if wire.fill(limits).await? == 0 {
            return match framing {
                Body::UntilClose => Ok(body),
                _ => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
    }
}
