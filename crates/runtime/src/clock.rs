//! The monotonic clock of the process.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Time since the clock was first read, which [`crate::command_line::start`] does at the start of the
/// program.
///
/// The clock is monotonic and unrelated to the time of day.
pub fn now() -> Duration {
    START.elapsed()
}
