//! The client's side of a request: its connection, and how responses are written to it.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tulipridge_http1::{BufferedStream, Http1Limits};

use crate::downstream::request::DownstreamRequest;
use crate::headers::{LocalResponse, Persistence};
use crate::lifecycle::Stage;
use crate::proxy::Proxy;

/// Timeout for writing a response that is complete.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that a client may pipeline behind a request that is in flight.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;

/// What becomes of a client's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It may carry another request.
    KeepAlive,
    /// The last response was written, so it is closed in order.
    Close,
    /// The client has disconnected, or its response is incomplete: nothing more may be written.
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
    /// The idle timeout that the client is told.
    pub announced_idle_timeout: Duration,
    /// Whether the client asked for a persistent connection.
    pub keeps_alive: bool,
}

impl Client<'_> {
    /// Ready once the client has disconnected. What it pipelines meanwhile is buffered.
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

    /// Whether the connection persists after a response that begins now.
    pub fn persistence(&self, proxy: &Proxy) -> Persistence {
        if self.keeps_alive && proxy.stage() == Stage::Serving {
            Persistence::KeepAlive(self.announced_idle_timeout)
        } else {
            Persistence::Close
        }
    }
}

/// Writes a response of the proxy itself.
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

/// Writes an encoded, complete response.
pub async fn write_response(
    proxy: &Proxy,
    client: Client<'_>,
    bytes: &[u8],
    persistence: Persistence,
) -> Completion {
    let write_deadline = Instant::now() + WRITE_TIMEOUT;
    match proxy.alarms.by(write_deadline, client.stream.write(bytes)).await {
        Some(Ok(())) => persistence.into(),
        _ => Completion::Abort,
    }
}
