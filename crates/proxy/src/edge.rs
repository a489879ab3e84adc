//! Clients' connections: accepting them, reading requests, and keeping them open between requests.

use std::future::poll_fn;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use tulipridge_http1::codec::{self, Body, Head, ParseError};
use tulipridge_http1::{BufferedStream, Http1Limits};

use crate::bounds::{ClientPlace, HeldBytes};
use crate::client::{self, Client, Done, Incoming};
use crate::exchange::serve;
use crate::headers::{After, OwnAnswer};
use crate::lifecycle::Stage;
use crate::proxy::Proxy;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Time for what a client still sends, after its last answer, to be read and dropped.
const LINGER: Duration = Duration::from_secs(1);
/// Clients are told of an idle time shorter by so much than the one that is kept to.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time for a body to come where the client states none.
const BODY_WAIT: Duration = Duration::from_secs(30);
/// Buffers of a connection larger than this are given back between requests.
const KEPT_BUFFER: usize = 1024;

/// Takes clients' connections until the process no longer does.
pub async fn listen(proxy: Rc<Proxy>, executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>) {
    while proxy.stage() < Stage::Draining {
        let next = async {
            if !proxy.usage.has_room() {
                return proxy.usage.client_left.changed().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let place = proxy.client_place();
                    executor.spawn(connection(proxy.clone(), BufferedStream::new(stream), place)).detach();
                }
                Err(error) => {
                    log::warn!(error:% = error; "a connection can't be accepted");
                    proxy.alarms.after(ACCEPT_PAUSE).await;
                }
            }
        };
        future::or(next, proxy.stage_changed.changed()).await;
    }
    // What the system has accepted by now would be reset with the listener.
    while let Some(Ok((stream, _))) = future::poll_once(listener.accept()).await {
        let place = proxy.client_place();
        executor.spawn(connection(proxy.clone(), BufferedStream::new(stream), place)).detach();
    }
}

async fn connection(proxy: Rc<Proxy>, mut wire: BufferedStream, _place: ClientPlace) {
    loop {
        let limits = proxy.client_limits();
        let incoming = match read_request(&proxy, &mut wire, &limits).await {
            Ok(Some(incoming)) => incoming,
            Ok(None) => return,
            Err(fault) => return reject(&proxy, wire, fault, &limits).await,
        };
        let idle = Duration::from_millis(proxy.caps().idle_ms).saturating_sub(IDLE_MARGIN);
        let keeps_alive = incoming.head.keeps_alive(&incoming.head.start[2]);
        let client = Client { wire: &mut wire, limits: limits.clone(), idle, keeps_alive };
        match serve(&proxy, client, &incoming).await {
            Done::KeepOpen => {}
            Done::Close => return close(wire, &limits).await,
            Done::Abandon => return,
        }
        wire.buf.shrink_to(KEPT_BUFFER);
    }
}

/// Ends a connection that was answered. What still comes is read and dropped for a while, since a reset could
/// overtake the answer.
async fn close(mut wire: BufferedStream, limits: &Http1Limits) {
    let _ = wire.linger(LINGER, limits).await;
}

/// Answers what can't be read as a request.
async fn reject(proxy: &Proxy, mut wire: BufferedStream, fault: ParseError, limits: &Http1Limits) {
    log::debug!(status = fault.status; "a request can't be read: {}", fault.what);
    let mut bytes = Vec::new();
    OwnAnswer::plain(fault.status).write(None, After::Close, &mut bytes);
    if proxy.alarms.by(Instant::now() + LINGER, wire.write(&bytes)).await.is_some() {
        close(wire, limits).await;
    }
}

/// Reads the next request whole. None: the connection ended, was idle for too long, or shall be closed.
async fn read_request(
    proxy: &Rc<Proxy>,
    wire: &mut BufferedStream,
    limits: &Http1Limits,
) -> Result<Option<Incoming>, ParseError> {
    if wire.buf.is_empty() && !wait_for_bytes(proxy, wire, limits).await {
        return Ok(None);
    }
    let started = Instant::now();
    let head_by = started + Duration::from_millis(proxy.caps().head_wait_ms);
    let head = match proxy.alarms.by(head_by, read_head(wire, limits)).await {
        Some(Ok(Some(head))) => head,
        Some(other) => return other.map(|_| None),
        None => return Err(late()),
    };
    let body_by = started + client::time_left(&head).unwrap_or(BODY_WAIT);
    let mut held = proxy.held_bytes();
    let reading = read_body(proxy, wire, limits, &head, &mut held);
    match proxy.alarms.by(body_by.max(head_by), reading).await {
        Some(Ok(Some(body))) => Ok(Some(Incoming { head, body, started, held })),
        Some(other) => other.map(|_| None),
        None => Err(late()),
    }
}

fn late() -> ParseError {
    ParseError { status: 408, what: "the request took too long to arrive" }
}

/// Waits on an idle connection; false if it is to be closed.
async fn wait_for_bytes(proxy: &Proxy, wire: &mut BufferedStream, limits: &Http1Limits) -> bool {
    let mut idle = proxy.alarms.after(Duration::from_millis(proxy.caps().idle_ms));
    loop {
        if proxy.stage() >= Stage::Draining && wire.is_quiet() {
            return false;
        }
        let mut stage_changed = proxy.stage_changed.changed();
        let came = poll_fn(|context| {
            if let Poll::Ready(read) = wire.poll_fill(context, limits) {
                return Poll::Ready(Some(read.is_ok_and(|count| count > 0)));
            }
            if idle.poll_passed(context).is_ready() {
                return Poll::Ready(Some(false));
            }
            std::pin::Pin::new(&mut stage_changed).poll(context).map(|()| None)
        });
        if let Some(came) = came.await {
            return came;
        }
    }
}

async fn read_head(wire: &mut BufferedStream, limits: &Http1Limits) -> Result<Option<Head>, ParseError> {
    loop {
        if let Some(head) = codec::request_head(&mut wire.buf, limits)? {
            return Ok(Some(head));
        }
        if !wire.more(limits).await {
            return Ok(None);
        }
    }
}

async fn read_body(
    proxy: &Proxy,
    wire: &mut BufferedStream,
    limits: &Http1Limits,
    head: &Head,
    held: &mut HeldBytes,
) -> Result<Option<Vec<u8>>, ParseError> {
    let mut framing = head.request_body(limits)?;
    let mut body = Vec::new();
    if let Body::Length(length) = framing {
        body.reserve_exact(length);
    }
    if framing != Body::Length(0) && wire.buf.is_empty() && head.lists("expect", "100-continue") {
        let continued: io::Result<()> = wire.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        if continued.is_err() {
            return Ok(None);
        }
    }
    loop {
        let is_whole = framing.take(&mut wire.buf, &mut body, limits)?;
        if body.len() > limits.body_bytes {
            return Err(ParseError { status: 413, what: "the body is too large" });
        }
        held.set(body.len());
        if is_whole {
            return Ok(Some(body));
        }
        proxy.usage.room_for_bytes().await;
        if !wire.more(limits).await {
            return Ok(None);
        }
    }
}
