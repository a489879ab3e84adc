//! Incoming connections, on which other members send messages.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::AsyncReadExt;
use socket2::{SockRef, TcpKeepalive};
use tulipridge_protocol::frame;
use tulipridge_protocol::replication::Envelope;

use crate::accept::accept_all;

/// Size of the read buffer.
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// Idle time after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// Interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Accepts connections forever and reads messages from each.
pub(super) async fn serve(
    executor: &LocalExecutor<'static>,
    listener: Async<TcpListener>,
    on_message: Rc<dyn Fn(Envelope)>,
) {
    let serve = |stream| executor.spawn(receive(stream, on_message.clone())).detach();
    accept_all(listener, "members", serve).await;
}

async fn receive(stream: Async<TcpStream>, on_message: Rc<dyn Fn(Envelope)>) {
    if let Err(error) = read_messages(stream, &*on_message).await {
        log::debug!(error:% = error; "a connection of a member ended");
    }
}

async fn read_messages(mut stream: Async<TcpStream>, on_message: &dyn Fn(Envelope)) -> io::Result<()> {
    enable_keepalive(&stream)?;
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    let mut buffer = Vec::new();
    loop {
        let count = stream.read(&mut chunk).await?;
        if count == 0 {
            return Ok(());
        }
        buffer.extend_from_slice(&chunk[..count]);
        while let Some(envelope) = frame::take::<Envelope>(&mut buffer).map_err(io::Error::other)? {
            on_message(envelope);
        }
    }
}

/// Enables TCP keepalive: a peer behind a network partition can't close the connection, so idle connections are probed.
fn enable_keepalive(stream: &Async<TcpStream>) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream.get_ref()).set_tcp_keepalive(&keepalive)
}
