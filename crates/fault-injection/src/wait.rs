//! Polling until an observable condition is met.

use std::thread;
use std::time::{Duration, Instant};

use crate::error::{Result, TimedOutSnafu};

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Polls until `poll` returns a value; `what` describes it in errors.
///
/// # Errors
///
/// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if there is none after `limit`.
pub fn wait_for<T>(what: &str, limit: Duration, mut poll: impl FnMut() -> Option<T>) -> Result<T> {
    let began = Instant::now();
    loop {
        if let Some(value) = poll() {
            return Ok(value);
        }
        if began.elapsed() >= limit {
            return TimedOutSnafu { what, limit }.fail();
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Polls until a condition holds.
///
/// # Errors
///
/// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if it does not after `limit`.
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) -> Result<()> {
    wait_for(what, limit, || condition().then_some(()))
}
