//! Waiting for what can be observed.

use std::thread;
use std::time::{Duration, Instant};

use crate::error::{Result, TimedOutSnafu};

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Looks until there is something, and says what.
pub fn wait_for<T>(what: &str, limit: Duration, mut look: impl FnMut() -> Option<T>) -> Result<T> {
    let began = Instant::now();
    loop {
        if let Some(found) = look() {
            return Ok(found);
        }
        if began.elapsed() >= limit {
            return TimedOutSnafu { what, limit }.fail();
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Looks until a condition holds.
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) -> Result<()> {
    wait_for(what, limit, || condition().then_some(()))
}
