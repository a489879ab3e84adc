//! Takes connections.

use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};

/// The pause after a connection can't be taken, as while no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Takes connections for ever and hands on each of them; `callers` names who makes them, for the log.
pub(crate) async fn accept_all(
    listener: Async<TcpListener>,
    callers: &str,
    mut take: impl FnMut(Async<TcpStream>),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(stream),
            Err(error) => {
                log::warn!(callers:% = callers, error:% = error; "a connection can't be taken");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}
