//! The accept loop of all listeners.

use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};

/// The backoff after a connection can't be accepted, as while no descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections for ever and passes each to `serve`; `callers` names who opens them, for the log.
pub(crate) async fn accept_all(
    listener: Async<TcpListener>,
    callers: &str,
    mut serve: impl FnMut(Async<TcpStream>),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log::warn!(callers:% = callers, error:% = error; "a connection can't be accepted");
                Timer::after(ACCEPT_BACKOFF).await;
            }
        }
    }
}
