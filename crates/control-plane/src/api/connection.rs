//! A client connection of the API. Requests are handled one at a time.

use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use snafu::{ResultExt, Snafu};
use tulipridge_http1::codec::{self, Body, Head, ParseError};
use tulipridge_http1::{BufferedStream, Http1Limits, within};

use super::{Api, ApiLimits, ControlPlane, Request, Response};

/// Why a request could not be read.
#[derive(Debug, Snafu)]
enum ReadError {
    /// The request is malformed.
    #[snafu(display("{source}"))]
    Malformed {
        /// What is wrong with the request.
        source: ParseError,
    },
    /// The connection failed or timed out.
    #[snafu(display("{source}"))]
    Io {
        /// The error of the connection.
        source: io::Error,
    },
}

/// Serves a connection until it closes.
pub(super) async fn run<C: ControlPlane>(api: Rc<Api<C>>, stream: Async<TcpStream>) {
    let mut stream = BufferedStream::new(stream);
    if let Err(error) = serve(&api, &mut stream).await {
        log::debug!(error:% = error; "a connection of the operator ended");
    }
}

async fn serve<C: ControlPlane>(api: &Api<C>, stream: &mut BufferedStream) -> io::Result<()> {
    loop {
        let request = match read_request(stream, &api.limits).await {
            Ok(Some(request)) => request,
            Ok(None) => return Ok(()),
            Err(ReadError::Io { source }) => return Err(source),
            Err(ReadError::Malformed { source: error }) => {
                write_response(
                    stream,
                    &Response::error(error.status(), error.message()),
                    false,
                    &api.limits,
                )
                .await?;
                return stream.linger(api.limits.response_timeout, &api.limits.http1).await;
            }
        };
        let keeps_alive = request.head.keeps_alive(&request.head.start[2]);
        let response = api.handle(request).await;
        write_response(stream, &response, keeps_alive, &api.limits).await?;
        if !keeps_alive {
            return stream.linger(api.limits.response_timeout, &api.limits.http1).await;
        }
    }
}

async fn write_response(
    stream: &mut BufferedStream,
    response: &Response,
    keeps_alive: bool,
    limits: &ApiLimits,
) -> io::Result<()> {
    let head = response.encode_head(keeps_alive);
    within(limits.response_timeout, stream.write_both(head.as_bytes(), &response.body)).await?
}

/// Reads the next request. Returns `None` if the connection closes or the idle timeout passes before one begins.
async fn read_request(
    stream: &mut BufferedStream,
    limits: &ApiLimits,
) -> Result<Option<Request>, ReadError> {
    if stream.buf.is_empty() && !wait_for_request(stream, limits).await {
        return Ok(None);
    }
    let head = within(limits.head_timeout, read_head(stream, &limits.http1)).await.context(IoSnafu)??;
    if head.lists("expect", "100-continue") {
        stream.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.context(IoSnafu)?;
    }
    let body =
        within(limits.body_timeout, read_body(stream, &head, &limits.http1)).await.context(IoSnafu)??;
    let (method, target) = (head.start[0].clone(), head.start[1].clone());
    Ok(Some(Request { method, target, head, body }))
}

/// Waits for the first bytes of a request. Returns false if the connection closes or the idle timeout passes.
async fn wait_for_request(stream: &mut BufferedStream, limits: &ApiLimits) -> bool {
    let first = within(limits.idle_timeout, stream.fill(&limits.http1)).await;
    matches!(first, Ok(Ok(count)) if count > 0)
}

async fn read_head(stream: &mut BufferedStream, limits: &Http1Limits) -> Result<Head, ReadError> {
    loop {
        if let Some(head) = codec::request_head(&mut stream.buf, limits).map_err(malformed)? {
            return Ok(head);
        }
        fill(stream, limits).await?;
    }
}

async fn read_body(
    stream: &mut BufferedStream,
    head: &Head,
    limits: &Http1Limits,
) -> Result<Vec<u8>, ReadError> {
    let mut framing: Body = head.request_body(limits).map_err(malformed)?;
    let mut body = Vec::new();
    while !framing.take(&mut stream.buf, &mut body, limits).map_err(malformed)? {
        if body.len() > limits.body_bytes {
            return Err(malformed(ParseError::BodyTooLarge));
        }
        fill(stream, limits).await?;
    }
    Ok(body)
}

async fn fill(stream: &mut BufferedStream, limits: &Http1Limits) -> Result<(), ReadError> {
    match stream.fill(limits).await.context(IoSnafu)? {
        0 => Err(ReadError::Io { source: io::ErrorKind::UnexpectedEof.into() }),
        _ => Ok(()),
    }
}

fn malformed(error: ParseError) -> ReadError {
    ReadError::Malformed { source: error }
}
