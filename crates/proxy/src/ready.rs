//! The readiness check, which the platform makes once a second.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use tulipridge_http1::{BufferedStream, Http1Limits, codec};

use crate::headers::{LocalResponse, Persistence};
use crate::proxy::Proxy;

/// The path of the readiness check.
const READY_PATH: &str = "/ready";
/// Idle timeout of a connection, and the timeout for a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Serves readiness checks; never returns.
pub async fn listen(proxy: Rc<Proxy>, executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let proxy = proxy.clone();
                executor
                    .spawn(async move { serve_checks(&proxy, BufferedStream::new(stream)).await })
                    .detach();
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection of the readiness check");
                proxy.timers.sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves the checks on one connection. Returns None if the connection ends, fails or is idle for too long.
async fn serve_checks(proxy: &Proxy, mut stream: BufferedStream) -> Option<()> {
    let limits = Http1Limits::default();
    loop {
        let head = loop {
            if let Some(head) = codec::request_head(&mut stream.buf, &limits).ok()? {
                break head;
            }
            let read_deadline = std::time::Instant::now() + IDLE_TIMEOUT;
            if !proxy.timers.timeout_at(read_deadline, stream.read_more(&limits)).await? {
                return None;
            }
        };
        let status = match head.start[1].as_str() {
            READY_PATH if proxy.is_ready() => 200,
            READY_PATH => 503,
            _ => 404,
        };
        let keeps_open = head.keeps_alive(&head.start[2]);
        let persistence =
            if keeps_open { Persistence::KeepAlive(IDLE_TIMEOUT) } else { Persistence::Close };
        let mut bytes = Vec::new();
        LocalResponse::plain(status).write(None, persistence, &mut bytes);
        stream.write(&bytes).await.ok()?;
        if !keeps_open {
            return stream.linger(IDLE_TIMEOUT, &limits).await.ok();
        }
    }
}
