//! The accept loop that all listeners share.

use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};

/// Backoff after a failed accept, for example while no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections forever and passes each one to `serve`. `callers` says in the log who opens them.
pub(crate) async fn accept_all(
    listener: Async<TcpListener>,
    callers: &str,
    mut serve: impl FnMut(Async<TcpStream>),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log::warn!(callers:% = callers, error:% = error; "failed to accept a connection");
                Timer::after(ACCEPT_BACKOFF).await;
            }
        }
    }
}
