//! Binding a port that another process may still use.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;

/// Delay before another attempt, as where an earlier process of the agent is just ending.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Calls `bind` until it succeeds; only the first failure is logged.
pub(crate) async fn bind_with_retry<T>(address: SocketAddr, bind: impl Fn() -> io::Result<T>) -> T {
    let mut is_logged = false;
    loop {
        match bind() {
            Ok(bound) => return bound,
            Err(error) if !is_logged => {
                log::warn!(address:% = address, error:% = error; "a port is not free yet");
                is_logged = true;
            }
            Err(_) => {}
        }
        Timer::after(RETRY_DELAY).await;
    }
}
