//! The windows over which load is averaged.

use tulipridge::types::Nanos;

use crate::time::{MILLISECOND, SECOND};

/// The length of a window.
pub const WINDOW_DURATION: Nanos = 100 * MILLISECOND;
/// Arrivals at one replica within this time count as a herd.
pub const HERD_INTERVAL: Nanos = 50 * MILLISECOND;
/// The number of windows in a second.
pub(super) const WINDOWS_PER_SECOND: usize = (SECOND / WINDOW_DURATION) as usize;
