//! Binds a port that another process may still hold.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;

/// Delay between attempts to bind a port. The previous agent process may hold the port until it exits.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Calls `bind` until it succeeds, and logs only the first failure.
pub(crate) async fn bind_with_retry<T>(address: SocketAddr, bind: impl Fn() -> io::Result<T>) -> T {
    let mut is_failure_logged = false;
    loop {
        match bind() {
            Ok(bound) => return bound,
            Err(error) if !is_failure_logged => {
                log::warn!(address:% = address, error:% = error; "a port is not free yet");
                is_failure_logged = true;
            }
            Err(_) => {}
        }
        Timer::after(RETRY_DELAY).await;
    }
}
