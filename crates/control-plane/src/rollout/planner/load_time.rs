//! Estimates how long a load takes.

use std::time::Duration;

/// Initial estimate, which includes the time to inform the gateways.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(1_750);
/// Weight of a measured time that is longer than the estimate.
const LONGER_TIME_WEIGHT: f64 = 0.05;

/// An estimate of how long a load takes when few others are in progress.
///
/// Concurrent loads slow each other down. If the estimate followed the times measured while many loads are in
/// progress, the planner would start even more of them, which would take longer still. A shorter time therefore
/// replaces the estimate, and a longer one enters it with a small weight.
#[derive(Debug, Default)]
pub(super) struct LoadTimeEstimate {
    /// None before the first measurement.
    estimate: Option<Duration>,
}

impl LoadTimeEstimate {
    /// Updates the estimate with the duration of a finished load.
    pub(super) fn record(&mut self, measured: Duration) {
        let known = self.estimate.unwrap_or(measured).min(measured);
        self.estimate = Some(known + (measured - known).mul_f64(LONGER_TIME_WEIGHT));
    }

    /// The current estimate. Before the first measurement, it is at least the longest of the durations `in_progress` of
    /// the loads that have not finished.
    pub(super) fn get(&self, in_progress: impl Iterator<Item = Duration>) -> Duration {
        self.estimate.unwrap_or_else(|| in_progress.fold(INITIAL_LOAD_TIME, Duration::max))
    }
}
