//! When queued work is reported to the publisher.

use std::time::Duration;

/// Least time from one report to the next.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// The schedule of reports on one connection.
#[derive(Debug)]
pub(super) struct QueuedWorkReport {
    /// Whether the publisher knows the message; it has sent a table of loads then.
    is_supported: bool,
    /// Whether the work differs from what was reported last.
    is_outdated: bool,
    /// The earliest time of the next report.
    next_at: Duration,
}

impl QueuedWorkReport {
    /// The connection was made at `now`; nothing is reported yet.
    pub(super) fn new(now: Duration) -> Self {
        QueuedWorkReport { is_supported: false, is_outdated: true, next_at: now }
    }

    /// The publisher has sent a table of loads.
    pub(super) fn set_supported(&mut self) {
        self.is_supported = true;
    }

    /// The work has changed.
    pub(super) fn set_outdated(&mut self) {
        self.is_outdated = true;
    }

    /// When the next report is due; never is [`Duration::MAX`].
    pub(super) fn due_at(&self) -> Duration {
        if self.is_supported && self.is_outdated { self.next_at } else { Duration::MAX }
    }

    /// Puts the next report off by the interval.
    pub(super) fn postpone(&mut self, now: Duration) {
        self.next_at = now + REPORT_INTERVAL;
    }

    /// The present work is reported.
    pub(super) fn set_reported(&mut self) {
        self.is_outdated = false;
    }
}
