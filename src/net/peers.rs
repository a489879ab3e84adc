//! Peers of the store: exchanges with each of them, and the port for peers and operators.
//!
//! Both use lines of JSON. A peer sends `{"digest":{...}}`; the response is `{"news":{...},"digest":{...}}`, and
//! the peer sends its own newer entries back. An operator sends `{"get":"key"}`, `{"under":"prefix"}` or
//! `{"set":"key","value":...}`.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{BufferedStream, within};
use crate::limits::Limits;
use crate::store::{Digest, Entries, Store};

/// A message from a peer or an operator.
#[derive(Deserialize)]
#[serde(untagged, deny_unknown_fields)]
enum Message {
    DigestResponse { news: Entries, digest: Digest },
    Digest { digest: Digest },
    News { news: Entries },
    Get { get: String },
    Under { under: String },
    Set { set: String, value: Value },
}

/// Serves the store's port. At most [`crate::limits::StoreLimits::peers`] connections are open at once.
pub async fn serve(
    ex: &'static LocalExecutor<'static>,
    listener: Async<TcpListener>,
    store: Rc<Store>,
    limits: Rc<Limits>,
) {
    let (slots, used_slots) = async_channel::bounded(limits.store.peers);
    loop {
        // A slot is taken for each connection and released at its end.
        if slots.send(()).await.is_err() {
            return;
        }
        match listener.accept().await {
            Ok((stream, from)) => {
                let (store, limits, used_slots) = (store.clone(), limits.clone(), used_slots.clone());
                let conversation = async move {
                    if let Err(e) = respond(BufferedStream::new(stream), &store, &limits).await {
                        log::info!(peer:% = from; "store-connection-ended: {e}");
                    }
                    let _ = used_slots.recv().await;
                };
                ex.spawn(conversation).detach();
            }
            Err(e) => {
                log::warn!("store-accept-failed: {e}");
                let _ = used_slots.recv().await;
                Timer::after(limits.edge.accept_pause).await;
            }
        }
    }
}

async fn respond(mut wire: BufferedStream, store: &Store, limits: &Limits) -> io::Result<()> {
    while let Some(line) = read(&mut wire, limits).await? {
        let response = match line {
            Message::Digest { digest } => {
                json!({"news": store.newer_than(&digest), "digest": store.digest()})
            }
            Message::News { news } | Message::DigestResponse { news, .. } => {
                merge_all(store, news);
                continue;
            }
            Message::Get { get } => json!({"value": store.get(&get)}),
            Message::Under { under } => json!({"values": store.values_with_prefix(&under)}),
            Message::Set { set, value } => json!({"taken": store.set(&set, value)}),
        };
        write(&mut wire, &response, limits).await?;
    }
    Ok(())
}

/// Exchanges entries with a peer at regular intervals. A lost peer is reconnected at the same interval.
pub async fn exchange(peer: SocketAddr, store: Rc<Store>, limits: Rc<Limits>) {
    let mut is_reachable = true;
    loop {
        let outcome = async {
            let mut wire = BufferedStream::connect(peer, &limits.wire).await?;
            loop {
                write(&mut wire, &json!({"digest": store.digest()}), &limits).await?;
                let line = within(limits.discovery.response_timeout, read(&mut wire, &limits)).await??;
                let Some(Message::DigestResponse { news, digest }) = line else {
                    return Err(io::Error::other("expected a response to the digest"));
                };
                if !is_reachable {
                    is_reachable = true;
                    log::info!(peer:% = peer; "store-peer-back: the exchanges with the peer continue");
                }
                merge_all(&store, news);
                let ours = store.newer_than(&digest);
                if !ours.is_empty() {
                    write(&mut wire, &json!({"news": ours}), &limits).await?;
                }
                Timer::after(limits.store.peer_interval).await;
            }
        };
        let ended: io::Result<()> = outcome.await;
        if let (Err(e), true) = (ended, is_reachable) {
            is_reachable = false;
            log::warn!(peer:% = peer; "store-peer-lost: {e}");
        }
        Timer::after(limits.store.peer_interval).await;
    }
}

fn merge_all(store: &Store, news: Entries) {
    for (key, entry) in news {
        store.merge(&key, entry);
    }
}

async fn write(wire: &mut BufferedStream, value: &Value, limits: &Limits) -> io::Result<()> {
    within(limits.edge.write_timeout, wire.write(format!("{value}\n").as_bytes())).await?
}

/// Reads the next message; `None` at the end of the connection. An invalid or too long line is an error.
async fn read(wire: &mut BufferedStream, limits: &Limits) -> io::Result<Option<Message>> {
    loop {
        if let Some(end) = wire.buf.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = wire.buf.drain(..=end).collect();
            return Ok(Some(serde_json::from_slice(&line).map_err(io::Error::other)?));
        }
        if wire.buf.len() > limits.store.line_bytes {
            return Err(io::Error::other("a line exceeds the size limit"));
        }
        if wire.fill(&limits.wire).await? == 0 {
            return Ok(None);
        }
    }
}
