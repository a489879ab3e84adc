//! The store's peers: exchanges with each, and the port on which peers and operators ask.
//!
//! Both speak lines of JSON. A peer sends `{"digest":{...}}`; the answer is `{"news":{...},"digest":{...}}`, and
//! the peer sends back its own news. An operator sends `{"get":"key"}`, `{"under":"prefix"}` or
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

/// A line from a peer or an operator.
#[derive(Deserialize)]
#[serde(untagged, deny_unknown_fields)]
enum Line {
    Answer { news: Entries, digest: Digest },
    Digest { digest: Digest },
    News { news: Entries },
    Get { get: String },
    Under { under: String },
    Set { set: String, value: Value },
}

/// Serves the store's port, for ever. At most `Limits::store_peers` connections are open at once.
pub async fn serve(
    ex: &'static LocalExecutor<'static>,
    listener: Async<TcpListener>,
    store: Rc<Store>,
    limits: Rc<Limits>,
) {
    let (places, free) = async_channel::bounded(limits.store_peers);
    loop {
        // A place is taken for each connection and given back at its end.
        if places.send(()).await.is_err() {
            return;
        }
        match listener.accept().await {
            Ok((stream, from)) => {
                let (store, limits, free) = (store.clone(), limits.clone(), free.clone());
                let conversation = async move {
                    if let Err(e) = answer(BufferedStream::new(stream), &store, &limits).await {
                        log::info!(peer:% = from; "store-connection-ended: {e}");
                    }
                    let _ = free.recv().await;
                };
                ex.spawn(conversation).detach();
            }
            Err(e) => {
                log::warn!("store-accept-failed: {e}");
                let _ = free.recv().await;
                Timer::after(limits.accept_pause).await;
            }
        }
    }
}

async fn answer(mut wire: BufferedStream, store: &Store, limits: &Limits) -> io::Result<()> {
    while let Some(line) = read(&mut wire, limits).await? {
        let reply = match line {
            Line::Digest { digest } => json!({"news": store.news_for(&digest), "digest": store.digest()}),
            Line::News { news } | Line::Answer { news, .. } => {
                take(store, news);
                continue;
            }
            Line::Get { get } => json!({"value": store.get(&get)}),
            Line::Under { under } => json!({"values": store.under(&under)}),
            Line::Set { set, value } => json!({"taken": store.set(&set, value)}),
        };
        write(&mut wire, &reply, limits).await?;
    }
    Ok(())
}

/// Exchanges with a peer, for ever. A peer that is lost is tried again at the same pace.
pub async fn exchange(peer: SocketAddr, store: Rc<Store>, limits: Rc<Limits>) {
    let mut reached = true;
    loop {
        let outcome = async {
            let mut wire = BufferedStream::connect(peer, &limits.wire).await?;
            loop {
                write(&mut wire, &json!({"digest": store.digest()}), &limits).await?;
                let line = within(limits.discovery_answer, read(&mut wire, &limits)).await??;
                let Some(Line::Answer { news, digest }) = line else {
                    return Err(io::Error::other("no answer to a digest"));
                };
                if !reached {
                    reached = true;
                    log::info!(peer:% = peer; "store-peer-back: exchanges go on");
                }
                take(&store, news);
                let ours = store.news_for(&digest);
                if !ours.is_empty() {
                    write(&mut wire, &json!({"news": ours}), &limits).await?;
                }
                Timer::after(limits.peer_every).await;
            }
        };
        let ended: io::Result<()> = outcome.await;
        if let (Err(e), true) = (ended, reached) {
            reached = false;
            log::warn!(peer:% = peer; "store-peer-lost: {e}");
        }
        Timer::after(limits.peer_every).await;
    }
}

fn take(store: &Store, news: Entries) {
    for (key, entry) in news {
        store.merge(&key, entry);
    }
}

async fn write(wire: &mut BufferedStream, value: &Value, limits: &Limits) -> io::Result<()> {
    within(limits.edge_write, wire.write(format!("{value}\n").as_bytes())).await?
}

/// The next line; `None` at the end. Guards against garbage: what is no line of ours, or is too long, ends the
/// connection, and nothing of it is taken.
async fn read(wire: &mut BufferedStream, limits: &Limits) -> io::Result<Option<Line>> {
    loop {
        if let Some(end) = wire.buf.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = wire.buf.drain(..=end).collect();
            return Ok(Some(serde_json::from_slice(&line).map_err(io::Error::other)?));
        }
        if wire.buf.len() > limits.store_line {
            return Err(io::Error::other("a line too long"));
        }
        if wire.fill(&limits.wire).await? == 0 {
            return Ok(None);
        }
    }
}
