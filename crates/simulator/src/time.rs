//! Time as the laboratory's clock counts it.

use std::time::Duration;

use tulipridge::types::Nanos;

/// A thousandth of a second.
pub const MILLI: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MILLI;

/// A span as the laboratory's clock counts it.
#[must_use]
pub fn nanos(span: Duration) -> Nanos {
    span.as_nanos() as Nanos
}
