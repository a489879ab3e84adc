//! The client of a request, and writing of complete responses to it.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tulipridge_http1::{BufferedStream, Http1Limits};

use crate::downstream::request::DownstreamRequest;
use crate::headers::{LocalResponse, Persistence};
use crate::lifecycle::Stage;
use crate::proxy::Proxy;

/// Timeout for writing a complete response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Buffered bytes of pipelined requests beyond which no more are read while a request is in flight.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;

/// What happens to a client's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The connection may carry another request.
    KeepAlive,
    /// The last response was written. The connection is closed with a lingering close.
    Close,
    /// The client has disconnected, or its response is incomplete. Nothing more may be written.
    Abort,
}

impl From<Persistence> for Completion {
    fn from(persistence: Persistence) -> Completion {
        match persistence {
            Persistence::KeepAlive(_) => Completion::KeepAlive,
            Persistence::Close => Completion::Close,
        }
    }
}

/// The client of a request that is in flight.
pub struct Client<'a> {
    /// The connection.
    pub stream: &'a mut BufferedStream,
    /// The HTTP limits of the connection.
    pub limits: Rc<Http1Limits>,
    /// The idle timeout that the `Keep-Alive` header announces to the client.
    pub announced_idle_timeout: Duration,
    /// Whether the client requested a persistent connection.
    pub keeps_alive: bool,
}

impl Client<'_> {
    /// Ready once the client has disconnected. Bytes of pipelined requests that arrive meanwhile are buffered. Beyond
    /// `MAX_PIPELINED_BYTES`, nothing more is read, and a disconnect is not detected.
    pub fn poll_disconnected(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.stream.buf.len() > MAX_PIPELINED_BYTES {
                return Poll::Pending;
            }
            match self.stream.poll_fill(context, &self.limits) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(_)) => {}
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Whether the connection stays open after a response that begins now.
    pub fn persistence(&self, proxy: &Proxy) -> Persistence {
        if self.keeps_alive && proxy.stage() == Stage::Serving {
            Persistence::KeepAlive(self.announced_idle_timeout)
        } else {
            Persistence::Close
        }
    }
}

/// Writes a response that the proxy itself generates.
pub async fn write_local_response(
    proxy: &Proxy,
    client: Client<'_>,
    request: &DownstreamRequest,
    response: LocalResponse,
) -> Completion {
    let persistence = client.persistence(proxy);
    let mut bytes = Vec::new();
    response.write(request.attempt_id(), persistence, &mut bytes);
    write_response(proxy, client, &bytes, persistence).await
}

/// Writes a complete, encoded response.
pub async fn write_response(
    proxy: &Proxy,
    client: Client<'_>,
    bytes: &[u8],
    persistence: Persistence,
) -> Completion {
    let write_deadline = Instant::now() + WRITE_TIMEOUT;
    match proxy.timers.timeout_at(write_deadline, client.stream.write(bytes)).await {
        Some(Ok(())) => persistence.into(),
        _ => Completion::Abort,
    }
}
