//! The estimate of how long a load takes.

use std::time::Duration;

/// Assumed load time, notice included, before one was measured.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(1_750);
/// Weight of a measured time in the estimate, where it is the longer one.
const LONGER_TIME_WEIGHT: f64 = 0.05;

/// How long a load takes that others hardly slow down.
///
/// Loads slow each other down: an estimate that followed the times measured while many are in progress would let more
/// begin, which take longer still. So a shorter time counts at once, and a longer one hardly.
#[derive(Debug, Default)]
pub(super) struct LoadTimeEstimate {
    /// None before a load was measured.
    estimate: Option<Duration>,
}

impl LoadTimeEstimate {
    /// Adds the measured time of a load that has ended.
    pub(super) fn record(&mut self, measured: Duration) {
        let known = self.estimate.unwrap_or(measured).min(measured);
        self.estimate = Some(known + (measured - known).mul_f64(LONGER_TIME_WEIGHT));
    }

    /// The estimate; before any load was measured, not less than the loads `in_progress` have taken so far.
    pub(super) fn get(&self, in_progress: impl Iterator<Item = Duration>) -> Duration {
        self.estimate.unwrap_or_else(|| in_progress.fold(INITIAL_LOAD_TIME, Duration::max))
    }
}
