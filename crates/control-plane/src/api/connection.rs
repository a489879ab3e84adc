//! One caller's connection.

use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use snafu::{ResultExt, Snafu};
use tulipridge_http1::codec::{self, Body, Head, ParseError};
use tulipridge_http1::{BufferedStream, Http1Limits, within};

use super::{Api, ControlPlane, Request, Response};

/// What a caller may send and how long it may take.
#[derive(Clone, Debug)]
pub struct ApiLimits {
    /// Sizes.
    pub wire: Http1Limits,
    /// Time for which a connection may be idle between calls.
    pub idle: Duration,
    /// Time for a head to arrive whole, once it has begun.
    pub head: Duration,
    /// Time for a body to arrive whole.
    pub body: Duration,
    /// Time for an answer to be taken.
    pub answer: Duration,
    /// Time for a primary to be found while none is known: callers go elsewhere after a second of silence.
    pub primary: Duration,
}

impl Default for ApiLimits {
    fn default() -> ApiLimits {
        let wire = Http1Limits { body_bytes: 8 << 20, read_bytes: 64 << 10, ..Http1Limits::default() };
        ApiLimits {
            wire,
            idle: Duration::from_secs(15),
            head: Duration::from_secs(3),
            body: Duration::from_secs(20),
            answer: Duration::from_secs(10),
            primary: Duration::from_millis(700),
        }
    }
}

/// Why no request could be read.
#[derive(Debug, Snafu)]
enum ReadError {
    /// What came is no request.
    #[snafu(display("{bad}"))]
    Malformed {
        /// What is wrong with it.
        bad: ParseError,
    },
    /// The connection failed or the time ran out.
    #[snafu(display("{source}"))]
    Broken {
        /// What the system says.
        source: io::Error,
    },
}

/// Serves a connection up to its end.
pub(super) async fn run<C: ControlPlane>(api: Rc<Api<C>>, stream: Async<TcpStream>) {
    let mut wire = BufferedStream::new(stream);
    if let Err(error) = serve(&api, &mut wire).await {
        log::debug!(error:% = error; "a connection of the operator ended");
    }
}

async fn serve<C: ControlPlane>(api: &Api<C>, wire: &mut BufferedStream) -> io::Result<()> {
    loop {
        let request = match read_request(wire, &api.limits).await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(ReadError::Broken { source }) => return Err(source),
            Err(ReadError::Malformed { bad }) => {
                write(wire, &Response::error(bad.status, bad.what), false, &api.limits).await?;
                return wire.linger(api.limits.answer, &api.limits.wire).await;
            }
        };
        let keep = request.head.keeps_alive(&request.head.start[2]);
        let response = api.answer(request).await;
        write(wire, &response, keep, &api.limits).await?;
        if !keep {
            return wire.linger(api.limits.answer, &api.limits.wire).await;
        }
    }
}

async fn write(
    wire: &mut BufferedStream,
    response: &Response,
    keep: bool,
    limits: &ApiLimits,
) -> io::Result<()> {
    let head = response.encode_head(keep);
    within(limits.answer, wire.write_both(head.as_bytes(), &response.body)).await?
}

/// Reads the next request; none if the connection ends or stays idle before one begins.
async fn read_request(wire: &mut BufferedStream, limits: &ApiLimits) -> Result<Option<Request>, ReadError> {
    if wire.buf.is_empty() && !begins(wire, limits).await {
        return Ok(None);
    }
    let head = within(limits.head, read_head(wire, &limits.wire)).await.context(BrokenSnafu)??;
    if head.lists("expect", "100-continue") {
        wire.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.context(BrokenSnafu)?;
    }
    let body = within(limits.body, read_body(wire, &head, &limits.wire)).await.context(BrokenSnafu)??;
    let (method, target) = (head.start[0].clone(), head.start[1].clone());
    Ok(Some(Request { method, target, head, body }))
}

async fn begins(wire: &mut BufferedStream, limits: &ApiLimits) -> bool {
    let first = within(limits.idle, wire.fill(&limits.wire)).await;
    matches!(first, Ok(Ok(count)) if count > 0)
}

async fn read_head(wire: &mut BufferedStream, limits: &Http1Limits) -> Result<Head, ReadError> {
    loop {
        if let Some(head) = codec::request_head(&mut wire.buf, limits).map_err(malformed)? {
            return Ok(head);
        }
        fill(wire, limits).await?;
    }
}

async fn read_body(
    wire: &mut BufferedStream,
    head: &Head,
    limits: &Http1Limits,
) -> Result<Vec<u8>, ReadError> {
    let mut framing: Body = head.request_body(limits).map_err(malformed)?;
    let mut body = Vec::new();
    while !framing.take(&mut wire.buf, &mut body, limits).map_err(malformed)? {
        if body.len() > limits.body_bytes {
            return Err(malformed(ParseError { status: 413, what: "the body is too large" }));
        }
        fill(wire, limits).await?;
    }
    Ok(body)
}

async fn fill(wire: &mut BufferedStream, limits: &Http1Limits) -> Result<(), ReadError> {
    match wire.fill(limits).await.context(BrokenSnafu)? {
        0 => Err(ReadError::Broken { source: io::ErrorKind::UnexpectedEof.into() }),
        _ => Ok(()),
    }
}

fn malformed(bad: ParseError) -> ReadError {
    ReadError::Malformed { bad }
}
