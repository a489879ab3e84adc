//! The connection on which a member sends to another one.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::{Receiver, RecvError};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use socket2::SockRef;
use tulipridge_http1::within;
use tulipridge_protocol::frame;
use tulipridge_protocol::replication::Envelope;

/// Time for a connection to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection that moves no bytes for this time while some wait is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The first pause after a connection failed; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// The longest such pause.
const LONGEST_BACKOFF: Duration = Duration::from_millis(400);
/// Messages are written together up to this size.
const BATCH_BYTES: usize = 64 * 1024;

/// Sends what is queued for a member, for as long as the queue is open.
pub(super) async fn run(address: SocketAddr, queue: Receiver<Envelope>) {
    let mut backoff = FIRST_BACKOFF;
    while let Ok(first) = queue.recv().await {
        match connect(address).await {
            Ok(stream) => {
                backoff = FIRST_BACKOFF;
                if let Err(error) = pump(stream, first, &queue).await {
                    log::debug!(member:% = address, error:% = error; "a connection to a member ended");
                }
            }
            Err(error) => {
                log::debug!(member:% = address, error:% = error; "a member can't be reached");
                Timer::after(backoff).await;
                backoff = (backoff * 2).min(LONGEST_BACKOFF);
            }
        }
        discard_waiting(&queue);
    }
}

/// Drops what waited for a connection that failed: it may be out of date, and its sender will ask again.
fn discard_waiting(queue: &Receiver<Envelope>) {
    while queue.try_recv().is_ok() {}
}

async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let stream = within(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await??;
    stream.get_ref().set_nodelay(true)?;
    // Guards against a peer behind a silent cut: what it does not acknowledge ends the connection.
    SockRef::from(stream.get_ref()).set_tcp_user_timeout(Some(STALL_TIMEOUT))?;
    Ok(stream)
}

async fn pump(stream: Async<TcpStream>, first: Envelope, queue: &Receiver<Envelope>) -> io::Result<()> {
    let mut next = first;
    loop {
        let mut batch = Vec::new();
        append(&next, &mut batch);
        while batch.len() < BATCH_BYTES
            && let Ok(envelope) = queue.try_recv()
        {
            append(&envelope, &mut batch);
        }
        write_all(&stream, &batch).await?;
        next = match next_message(&stream, queue).await? {
            Ok(envelope) => envelope,
            Err(RecvError) => return Ok(()),
        };
    }
}

fn append(envelope: &Envelope, batch: &mut Vec<u8>) {
    if let Err(error) = frame::append(envelope, batch) {
        log::error!(member:% = envelope.to, error:% = error; "a message can't be sent");
    }
}

async fn write_all(mut stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let count = within(STALL_TIMEOUT, stream.write(bytes)).await??;
        bytes = &bytes[count..];
    }
    Ok(())
}

/// Waits for the next message, and for the end of the connection, which carries nothing the other way.
async fn next_message(
    mut stream: &Async<TcpStream>,
    queue: &Receiver<Envelope>,
) -> io::Result<Result<Envelope, RecvError>> {
    let message = async { Ok(queue.recv().await) };
    let end = async {
        stream.read(&mut [0]).await?;
        Err(io::ErrorKind::UnexpectedEof.into())
    };
    future::or(message, end).await
}
