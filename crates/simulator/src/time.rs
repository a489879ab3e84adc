//! Simulated time, in nanoseconds since the start of the simulation.

use std::time::Duration;

use tulipridge::types::Nanos;

/// Nanoseconds in a millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000 * MILLISECOND;

/// Converts a duration to nanoseconds. Durations above 584 years wrap around.
#[must_use]
pub fn nanos(duration: Duration) -> Nanos {
    duration.as_nanos() as Nanos
}
