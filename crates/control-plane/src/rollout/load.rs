//! The load of one replica, under way.

use std::time::Duration;

use tulipridge_protocol::feed::ModelRevision;

/// The load of a replica.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// What it loads.
    pub(super) weights: ModelRevision,
    /// Since when it gets no requests.
    pub(super) begun: Duration,
    /// When it took the order.
    pub(super) ordered_at: Option<Duration>,
    /// What comes next.
    pub(super) step: Step,
}

/// What comes next of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The order is due at this time.
    OrderAt(Duration),
    /// The order has no answer yet.
    Ordering,
    /// A look at the report is due at this time.
    ReportAt(Duration),
    /// The report has not come yet.
    Reporting,
}

impl Load {
    /// When something is due next; none while an answer is awaited.
    pub(super) fn due_at(&self) -> Option<Duration> {
        match self.step {
            Step::OrderAt(at) | Step::ReportAt(at) => Some(at),
            Step::Ordering | Step::Reporting => None,
        }
    }

    /// Whether something is due now.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.due_at().is_some_and(|at| at <= now)
    }
}
