//! Virtual time, in nanoseconds since the start of the simulation.

use std::time::Duration;

use tulipridge::types::Nanos;

/// Nanoseconds of a millisecond.
pub const MILLISECOND: Nanos = 1_000_000;
/// Nanoseconds of a second.
pub const SECOND: Nanos = 1_000 * MILLISECOND;

/// A duration in nanoseconds.
#[must_use]
pub fn nanos(duration: Duration) -> Nanos {
    duration.as_nanos() as Nanos
}
