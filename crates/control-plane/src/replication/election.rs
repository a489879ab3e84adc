//! When a member starts a view change, with the backoff after failed ones.

use std::ops::Range;
use std::time::Duration;

use fastrand::Rng;
use tulipridge_protocol::node::NodeId;

use super::timing::VIEW_CHANGE_STALL_TIMEOUT;

/// Consecutive failed view changes beyond this number do not increase the backoff.
const MAX_COUNTED_FAILURES: u32 = 4;

/// The election timer, with the backoff between a member's own view changes.
#[derive(Clone, Debug)]
pub(super) struct ElectionTimer {
    campaign_at: Duration,
    failures: u32,
    /// A primary that released its lease and should not become a data replica again at once.
    avoided: Option<NodeId>,
}

impl ElectionTimer {
    /// Creates a timer that is due at `campaign_at`.
    pub(super) fn new(campaign_at: Duration) -> ElectionTimer {
        ElectionTimer { campaign_at, failures: 0, avoided: None }
    }

    /// When a campaign is due.
    pub(super) fn campaign_at(&self) -> Duration {
        self.campaign_at
    }

    /// Whether a campaign is due.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        now >= self.campaign_at
    }

    /// Sets the time of the next campaign, which may be sooner or later than before.
    pub(super) fn schedule(&mut self, campaign_at: Duration) {
        self.campaign_at = campaign_at;
    }

    /// Delays the next campaign until `earliest`, if it is due sooner.
    pub(super) fn postpone_until(&mut self, earliest: Duration) {
        self.campaign_at = self.campaign_at.max(earliest);
    }

    /// How long a view change may go without progress. Grows with consecutive failures.
    pub(super) fn stall_timeout(&self) -> Duration {
        VIEW_CHANGE_STALL_TIMEOUT * (1 + self.failures)
    }

    /// Counts a failed view change; returns the number of consecutive failures.
    pub(super) fn record_failure(&mut self) -> u32 {
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
        self.failures
    }

    /// Resets the backoff after a successful view change of this member.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.avoided = None;
    }

    /// Prefers other members to `node` in the next view.
    pub(super) fn avoid(&mut self, node: NodeId) {
        self.avoided = Some(node);
    }

    /// Whether other members are preferred to `node`.
    pub(super) fn is_avoided(&self, node: NodeId) -> bool {
        self.avoided == Some(node)
    }
}

/// A random duration from a range of milliseconds.
pub(super) fn jitter(random: &mut Rng, range_ms: Range<u64>) -> Duration {
    Duration::from_micros(random.u64(range_ms.start * 1000..range_ms.end * 1000))
}
