//! Durations over which load is averaged and arrivals are counted.

use tulipridge::types::Nanos;

use crate::time::{MILLISECOND, SECOND};

/// Length of a window over which load is averaged, in nanoseconds.
pub const WINDOW_DURATION: Nanos = 100 * MILLISECOND;
/// Interval over which arrivals at one replica are counted to detect a thundering herd, in nanoseconds.
pub const HERD_INTERVAL: Nanos = 50 * MILLISECOND;
/// Number of windows in a second.
pub(super) const WINDOWS_PER_SECOND: usize = (SECOND / WINDOW_DURATION) as usize;
