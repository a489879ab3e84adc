//! An estimate of the work queued at each replica, from the last report for all gateways and the work that
//! this gateway has sent since.
//!
//! A report is some tens of milliseconds old. Work that this gateway has sent in the meantime is added;
//! that of other gateways is not known.

use crate::types::Nanos;

/// A report that is older than this is ignored.
const REPORT_MAX_AGE: Nanos = 1_000_000_000;
/// Maximum delay of a report. Work sent less than this before the report arrives may be missing in it.
const REPORT_DELAY: Nanos = 100_000_000;

/// Work that this gateway has sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SentWork {
    sent_at: Nanos,
    work: f64,
}

/// The estimated work that is queued at one replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueuedWorkEstimate {
    /// The work of all gateways according to the last report.
    reported: f64,
    /// Work sent by this gateway that may not be included in the report.
    sent: Vec<SentWork>,
}

impl QueuedWorkEstimate {
    /// Records a report, and drops sent work that it must include.
    pub fn record_report(&mut self, now: Nanos, work: f64) {
        self.reported = work;
        self.sent.retain(|sent| now.saturating_sub(sent.sent_at) < REPORT_DELAY);
    }

    /// Records work that this gateway sends.
    pub fn record_sent(&mut self, now: Nanos, work: f64) {
        self.sent.push(SentWork { sent_at: now, work });
    }

    /// The work that is ahead of a new request.
    #[must_use]
    pub fn queued(&self) -> f64 {
        self.reported + self.sent.iter().map(|sent| sent.work).sum::<f64>()
    }
}

/// Whether the last report is recent enough to be used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportFreshness(Option<Nanos>);

impl ReportFreshness {
    /// Records the arrival of a report.
    pub fn record_report(&mut self, now: Nanos) {
        self.0 = Some(now);
    }

    /// Whether the last report arrived at most a second ago; false if there is none.
    #[must_use]
    pub fn is_fresh(&self, now: Nanos) -> bool {
        self.0.is_some_and(|reported_at| now.saturating_sub(reported_at) <= REPORT_MAX_AGE)
    }
}
