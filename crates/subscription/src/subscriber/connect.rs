//! Connection attempts and the backoff between them.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use snafu::ResultExt;

use super::end::{ConnectSnafu, ConnectTimeoutSnafu, EndReason};

/// Connection attempts that take longer fail.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Backoff after the first failure; each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Upper limit of the backoff.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// The exponent stays at this value after more failures, so that the factor can't overflow. The backoff is far above
/// its limit then.
const MAX_DOUBLINGS: u32 = 8;

/// Opens a connection to a publisher, without Nagle's algorithm.
///
/// # Errors
/// [`EndReason::Connect`] if the connection can't be made, [`EndReason::ConnectTimeout`] if it takes too long.
pub(super) async fn connect(address: SocketAddr) -> Result<Async<TcpStream>, EndReason> {
    let connecting = async { Async::<TcpStream>::connect(address).await.context(ConnectSnafu) };
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        ConnectTimeoutSnafu { limit: CONNECT_TIMEOUT }.fail()
    };
    let stream = connecting.or(timeout).await?;
    stream.get_ref().set_nodelay(true).context(ConnectSnafu)?;
    Ok(stream)
}

/// Returns the delay before the next attempt after `failure_count` consecutive failures.
pub(super) fn backoff(failure_count: u32) -> Duration {
    INITIAL_BACKOFF.saturating_mul(1 << failure_count.min(MAX_DOUBLINGS)).min(MAX_BACKOFF)
}
