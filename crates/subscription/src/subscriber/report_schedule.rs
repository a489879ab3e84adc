//! Schedule of the reports of queued work to the publisher.

use std::time::Duration;

/// Shortest time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Decides when the next report is due on one connection.
#[derive(Debug)]
pub(super) struct ReportSchedule {
    /// Whether the publisher supports the message, which it shows by sending a table of loads.
    is_supported: bool,
    /// Whether the queued work differs from the last report.
    is_outdated: bool,
    /// Earliest time of the next report.
    next_at: Duration,
}

impl ReportSchedule {
    /// Creates the schedule of a connection that was made at `now`, with the first report outstanding.
    pub(super) fn new(now: Duration) -> Self {
        ReportSchedule { is_supported: false, is_outdated: true, next_at: now }
    }

    /// Records that the publisher has sent a table of loads.
    pub(super) fn set_supported(&mut self) {
        self.is_supported = true;
    }

    /// Records that the queued work has changed since the last report.
    pub(super) fn set_outdated(&mut self) {
        self.is_outdated = true;
    }

    /// Returns the time of the next report; [`Duration::MAX`] if none is due.
    pub(super) fn due_at(&self) -> Duration {
        if self.is_supported && self.is_outdated { self.next_at } else { Duration::MAX }
    }

    /// Delays the next report until one interval after `now`.
    pub(super) fn postpone(&mut self, now: Duration) {
        self.next_at = now + REPORT_INTERVAL;
    }

    /// Records that the current queued work is reported.
    pub(super) fn set_reported(&mut self) {
        self.is_outdated = false;
    }
}
