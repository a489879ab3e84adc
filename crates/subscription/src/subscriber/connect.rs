//! Connection attempts and the backoff between them.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use snafu::ResultExt;

use super::end::{ConnectSnafu, ConnectTimeoutSnafu, EndReason};

/// Longest time for a connection to be made.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Backoff after the first failure; each further one doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Doublings after which the backoff is far above its maximum, so that the factor can't overflow.
const MAX_DOUBLINGS: u32 = 8;

/// Connects to a publisher.
///
/// # Errors
/// [`EndReason::Connect`] or [`EndReason::ConnectTimeout`].
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

/// The time before the next attempt after so many failures in a row.
pub(super) fn backoff(failures: u32) -> Duration {
    INITIAL_BACKOFF.saturating_mul(1 << failures.min(MAX_DOUBLINGS)).min(MAX_BACKOFF)
}
