//! The check of readiness, which the platform asks once a second.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use tulipridge_http1::{BufferedStream, Http1Limits, codec};

use crate::headers::{After, OwnAnswer};
use crate::proxy::Proxy;

/// Where the platform asks.
const READY_PATH: &str = "/ready";
/// Idle time of a connection, also the time for a question to come.
const IDLE: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers checks for ever.
pub async fn listen(proxy: Rc<Proxy>, executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let proxy = proxy.clone();
                executor.spawn(async move { answer(&proxy, BufferedStream::new(stream)).await }).detach();
            }
            Err(error) => {
                log::warn!(error:% = error; "a check of readiness can't be accepted");
                proxy.alarms.after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the checks that come on one connection; none once it has ended.
async fn answer(proxy: &Proxy, mut wire: BufferedStream) -> Option<()> {
    let limits = Http1Limits::default();
    loop {
        let head = loop {
            if let Some(head) = codec::request_head(&mut wire.buf, &limits).ok()? {
                break head;
            }
            let by = std::time::Instant::now() + IDLE;
            if !proxy.alarms.by(by, wire.more(&limits)).await? {
                return None;
            }
        };
        let status = match head.start[1].as_str() {
            READY_PATH if proxy.is_ready() => 200,
            READY_PATH => 503,
            _ => 404,
        };
        let keeps_open = head.keeps_alive(&head.start[2]);
        let after = if keeps_open { After::KeepOpen(IDLE) } else { After::Close };
        let mut bytes = Vec::new();
        OwnAnswer::plain(status).write(None, after, &mut bytes);
        wire.write(&bytes).await.ok()?;
        if !keeps_open {
            return wire.linger(IDLE, &limits).await.ok();
        }
    }
}
