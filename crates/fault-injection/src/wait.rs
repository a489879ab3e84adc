//! Polling until an observable condition is met.

use std::thread;
use std::time::{Duration, Instant};

use crate::error::{Result, TimedOutSnafu};

/// Time from one poll to the next.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Polls until `poll` returns a value; `condition` describes the value in errors.
///
/// # Errors
///
/// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if `poll` has returned no value after `timeout`.
pub fn wait_for<T>(condition: &str, timeout: Duration, mut poll: impl FnMut() -> Option<T>) -> Result<T> {
    let started_at = Instant::now();
    loop {
        if let Some(value) = poll() {
            return Ok(value);
        }
        if started_at.elapsed() >= timeout {
            return TimedOutSnafu { condition, timeout }.fail();
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Polls until `is_met` returns true; `condition` describes this in errors.
///
/// # Errors
///
/// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if `is_met` has not returned true after `timeout`.
pub fn wait_until(condition: &str, timeout: Duration, mut is_met: impl FnMut() -> bool) -> Result<()> {
    wait_for(condition, timeout, || is_met().then_some(()))
}
