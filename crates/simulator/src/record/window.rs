//! The windows over which load is averaged.

use tulipridge::types::Nanos;

use crate::time::{MILLISECOND, SECOND};

/// The length of a window.
pub const WINDOW: Nanos = 100 * MILLISECOND;
/// Arrivals at one replica within this time count as a herd.
pub const HERD: Nanos = 50 * MILLISECOND;
/// The number of windows in a second.
pub(super) const WINDOWS_PER_SECOND: usize = (SECOND / WINDOW) as usize;
