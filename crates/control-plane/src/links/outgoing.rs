//! An outgoing connection, on which a member sends messages to another one.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use socket2::SockRef;
use tulipridge_http1::within;
use tulipridge_protocol::frame;
use tulipridge_protocol::replication::Envelope;

/// Time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without progress on pending bytes after which a connection is abandoned.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff after the first failed attempt to connect. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Limit on the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Size from which on no further messages are added to a batch.
const MIN_FULL_BATCH_BYTES: usize = 64 * 1024;

/// Sends queued messages to a member until the queue is closed. Connects when the first message is queued.
pub(super) async fn run(address: SocketAddr, queue: Receiver<Envelope>) {
    let mut backoff = INITIAL_BACKOFF;
    while let Ok(first) = queue.recv().await {
        match connect(address).await {
            Ok(stream) => {
                backoff = INITIAL_BACKOFF;
                if let Err(error) = send_queued(stream, first, &queue).await {
                    log::debug!(member:% = address, error:% = error; "a connection to a member ended");
                }
            }
            Err(error) => {
                log::debug!(member:% = address, error:% = error; "failed to connect to a member");
                Timer::after(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        discard_queued(&queue);
    }
}

/// Drops the messages that are queued for a failed connection: they may be outdated, and the replication protocol
/// resends those that it still needs.
fn discard_queued(queue: &Receiver<Envelope>) {
    while queue.try_recv().is_ok() {}
}

async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let stream = within(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await??;
    stream.get_ref().set_nodelay(true)?;
    // A peer behind a network partition can't reset the connection, so unacknowledged bytes have to time out.
    SockRef::from(stream.get_ref()).set_tcp_user_timeout(Some(STALL_TIMEOUT))?;
    Ok(stream)
}

/// Sends the first message and then those of the queue, in batches, until the queue is closed.
async fn send_queued(
    stream: Async<TcpStream>,
    first: Envelope,
    queue: &Receiver<Envelope>,
) -> io::Result<()> {
    let mut next = first;
    loop {
        let mut batch = Vec::new();
        append(&next, &mut batch);
        while batch.len() < MIN_FULL_BATCH_BYTES {
            let Ok(envelope) = queue.try_recv() else { break };
            append(&envelope, &mut batch);
        }
        write_all(&stream, &batch).await?;
        let Some(envelope) = next_message(&stream, queue).await? else { return Ok(()) };
        next = envelope;
    }
}

fn append(envelope: &Envelope, batch: &mut Vec<u8>) {
    if let Err(error) = frame::append(envelope, batch) {
        log::error!(member:% = envelope.to, error:% = error; "failed to send a message");
    }
}

async fn write_all(mut stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let count = within(STALL_TIMEOUT, stream.write(bytes)).await??;
        bytes = &bytes[count..];
    }
    Ok(())
}

/// Waits for the next message; `None` if the queue is closed. Fails if the connection closes, which shows as the end of
/// the stream because the peer never sends on it.
async fn next_message(
    mut stream: &Async<TcpStream>,
    queue: &Receiver<Envelope>,
) -> io::Result<Option<Envelope>> {
    let message = async { Ok(queue.recv().await.ok()) };
    let end = async {
        stream.read(&mut [0]).await?;
        Err(io::ErrorKind::UnexpectedEof.into())
    };
    future::or(message, end).await
}
