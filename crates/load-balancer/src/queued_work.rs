//! An estimate of the work that is queued at each replica, as far as a gateway can tell: what the gateways reported
//! together, and what this one has sent since.
//!
//! A report is some tens of milliseconds old. What this gateway has sent within that time is added to it; what others
//! have sent within it is not known.

use crate::types::Nanos;

/// A report that is older than this is ignored.
const REPORT_MAX_AGE: Nanos = 1_000_000_000;
/// How old a report may be when it arrives: work that was sent this long before may not be counted in it.
const REPORT_DELAY: Nanos = 100_000_000;

/// Work that this gateway has sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SentWork {
    sent_at: Nanos,
    work: f64,
}

/// What is known of the work that is queued at one replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueuedWorkEstimate {
    /// The work of all gateways, by the last report.
    reported: f64,
    /// What this gateway has sent lately.
    sent: Vec<SentWork>,
}

impl QueuedWorkEstimate {
    /// Takes over a report, and drops sent work that it must contain.
    pub fn record_report(&mut self, now: Nanos, work: f64) {
        self.reported = work;
        self.sent.retain(|sent| now.saturating_sub(sent.sent_at) < REPORT_DELAY);
    }

    /// Adds work that this gateway sends.
    pub fn record_sent(&mut self, now: Nanos, work: f64) {
        self.sent.push(SentWork { sent_at: now, work });
    }

    /// The work that a further request would wait for.
    #[must_use]
    pub fn queued(&self) -> f64 {
        self.reported + self.sent.iter().map(|sent| sent.work).sum::<f64>()
    }
}

/// Whether the last report is recent enough to be used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportFreshness(Option<Nanos>);

impl ReportFreshness {
    /// A report has come.
    pub fn record_report(&mut self, now: Nanos) {
        self.0 = Some(now);
    }

    /// Whether the last report is at most a second old; false if none has come.
    #[must_use]
    pub fn is_fresh(&self, now: Nanos) -> bool {
        self.0.is_some_and(|reported_at| now.saturating_sub(reported_at) <= REPORT_MAX_AGE)
    }
}
