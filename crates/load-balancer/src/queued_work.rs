//! An estimate of the work queued at each replica: the work of all gateways according to the last report,
//! plus the work that this gateway has sent since. Both are in the unit that the caller chooses.
//!
//! A report is some tens of milliseconds old when it arrives. Work that this gateway has sent in the meantime
//! is added; that of other gateways is not known.

use crate::types::Nanos;

/// A report is used for this long after its arrival.
const REPORT_MAX_AGE: Nanos = 1_000_000_000;
/// The longest time from the measurement of a report to its arrival. Work sent less than this before the
/// arrival may be missing in the report.
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

    /// Records work that this gateway sends to the replica.
    pub fn record_sent(&mut self, now: Nanos, work: f64) {
        self.sent.push(SentWork { sent_at: now, work });
    }

    /// The estimated work that is queued ahead of a new request.
    #[must_use]
    pub fn queued(&self) -> f64 {
        self.reported + self.sent.iter().map(|sent| sent.work).sum::<f64>()
    }
}

/// The arrival time of the last report, which determines whether reports are recent enough to be used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportFreshness(Option<Nanos>);

impl ReportFreshness {
    /// Records the arrival of a report.
    pub fn record_report(&mut self, now: Nanos) {
        self.0 = Some(now);
    }

    /// Whether the last report arrived at most one second ago; false if there is none.
    #[must_use]
    pub fn is_fresh(&self, now: Nanos) -> bool {
        self.0.is_some_and(|reported_at| now.saturating_sub(reported_at) <= REPORT_MAX_AGE)
    }
}
