//! A client's connection: serves its requests one after the other, and keeps it open between them.

use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use tulipridge_http1::{BufferedStream, Http1Limits, RequestError};

use crate::bounds::ClientPermit;
use crate::downstream::client::{Client, Completion};
use crate::downstream::request::read_request;
use crate::exchange::handle_request;
use crate::headers::{LocalResponse, Persistence};
use crate::lifecycle::Stage;
use crate::proxy::Proxy;

/// Maximum time for which bytes are read and discarded after the last response. Also the timeout for writing the
/// response to an invalid request.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The idle timeout announced to clients is this much shorter than the applied idle timeout, so that a client does not
/// send a request while the connection is being closed.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Between requests, a larger read buffer is shrunk to this capacity.
const MAX_IDLE_BUFFER_BYTES: usize = 1024;

/// Serves a connection until it is closed.
pub async fn serve_connection(proxy: Rc<Proxy>, mut stream: BufferedStream, _permit: ClientPermit) {
    loop {
        let limits = proxy.client_limits();
        if stream.buf.is_empty() && !wait_for_bytes(&proxy, &mut stream, &limits).await {
            return;
        }
        let request = match read_request(&proxy, &mut stream, &limits).await {
            Ok(Some(request)) => request,
            Ok(None) => return,
            Err(error) => return reject(&proxy, stream, error, &limits).await,
        };
        let idle_timeout = Duration::from_millis(proxy.caps().idle_ms);
        let client = Client {
            stream: &mut stream,
            limits: limits.clone(),
            announced_idle_timeout: idle_timeout.saturating_sub(IDLE_MARGIN),
            keeps_alive: request.head.keeps_alive(&request.head.start[2]),
        };
        match handle_request(&proxy, client, &request).await {
            Completion::KeepAlive => {}
            Completion::Close => return lingering_close(stream, &limits).await,
            Completion::Abort => return,
        }
        stream.buf.shrink_to(MAX_IDLE_BUFFER_BYTES);
    }
}

/// Closes a connection after its last response. Reads and discards further bytes for a limited time: if the connection
/// were closed with unread bytes, the resulting reset could overtake the response.
async fn lingering_close(mut stream: BufferedStream, limits: &Http1Limits) {
    let _ = stream.linger(LINGER_TIMEOUT, limits).await;
}

/// Responds to an invalid request with the status of its error, and closes the connection.
async fn reject(proxy: &Proxy, mut stream: BufferedStream, error: RequestError, limits: &Http1Limits) {
    log::debug!(status = error.status(); "a request can't be read: {error}");
    let mut bytes = Vec::new();
    LocalResponse::plain(error.status()).write(None, Persistence::Close, &mut bytes);
    if proxy.timers.timeout_at(Instant::now() + LINGER_TIMEOUT, stream.write(&bytes)).await.is_some() {
        lingering_close(stream, limits).await;
    }
}

/// Waits for the first bytes of a request on an idle connection. Returns false if the connection has ended, its idle
/// timeout has passed, or the process drains and nothing has been received.
async fn wait_for_bytes(proxy: &Proxy, stream: &mut BufferedStream, limits: &Http1Limits) -> bool {
    let mut idle_timeout = proxy.timers.sleep(Duration::from_millis(proxy.caps().idle_ms));
    loop {
        if proxy.stage() >= Stage::Draining && stream.is_idle() {
            return false;
        }
        let mut stage_changed = proxy.stage_changed().changed();
        let has_bytes = poll_fn(|context| {
            if let Poll::Ready(read) = stream.poll_fill(context, limits) {
                return Poll::Ready(Some(read.is_ok_and(|count| count > 0)));
            }
            if idle_timeout.poll_passed(context).is_ready() {
                return Poll::Ready(Some(false));
            }
            std::pin::Pin::new(&mut stage_changed).poll(context).map(|()| None)
        });
        if let Some(has_bytes) = has_bytes.await {
            return has_bytes;
        }
    }
}
