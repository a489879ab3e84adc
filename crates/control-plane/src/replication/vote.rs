//! The promises and lease grants that a member has made since its process started.
//!
//! The promised epoch itself is durable ([`super::storage`]). Lease grants are kept in memory only: a restarted
//! member makes no promise until all earlier grants have expired.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;

use super::timing::GRANT_DURATION;

/// A grant that a primary's lease relies on: no other proposer gets a promise before it expires.
#[derive(Clone, Debug)]
struct LeaseGrant {
    primary: NodeId,
    epoch: Epoch,
    /// The time at which the grant expires, on the member's monotonic clock.
    expires_at: Duration,
}

/// The promises and grants of a member.
#[derive(Clone, Debug)]
pub(super) struct PromiseState {
    /// The proposer that has the newest promise of this process.
    promised_to: Option<NodeId>,
    grant: Option<LeaseGrant>,
    /// The highest epoch whose primary has released its lease. Lower epochs count as released too.
    released_epoch: Epoch,
    /// Grants from before the start of this process may be valid until this time on the member's monotonic clock.
    no_promise_before: Duration,
    /// The highest epoch that this member has observed.
    highest_epoch_seen: Epoch,
}

impl PromiseState {
    /// Creates the state of a member that starts at `now` with its durable promise.
    pub(super) fn new(promised_epoch: Epoch, now: Duration) -> PromiseState {
        let may_have_granted = promised_epoch > Epoch(0);
        PromiseState {
            promised_to: None,
            grant: None,
            released_epoch: Epoch(0),
            no_promise_before: if may_have_granted { now + GRANT_DURATION } else { now },
            highest_epoch_seen: promised_epoch,
        }
    }

    /// The time by which all grants from before the start have expired.
    pub(super) fn no_promise_before(&self) -> Duration {
        self.no_promise_before
    }

    /// The time by which the newest grant and all grants from before the start have expired.
    pub(super) fn grants_end(&self) -> Duration {
        let expires_at = self.grant.as_ref().map_or(self.no_promise_before, |grant| grant.expires_at);
        expires_at.max(self.no_promise_before)
    }

    /// Whether a promise to `proposer` is allowed: all grants of this member to others have expired.
    pub(super) fn may_promise_to(&self, now: Duration, proposer: NodeId) -> bool {
        let granted_to_other =
            self.grant.as_ref().is_some_and(|grant| grant.primary != proposer && now < grant.expires_at);
        now >= self.no_promise_before && !granted_to_other
    }

    /// Whether the newest promise was given to `proposer` by this process.
    pub(super) fn has_promised_to(&self, proposer: NodeId) -> bool {
        self.promised_to == Some(proposer)
    }

    /// Records the proposer that has the newest promise.
    pub(super) fn set_promised_to(&mut self, proposer: NodeId) {
        self.promised_to = Some(proposer);
    }

    /// Records that the promised epoch was raised otherwise than by a request of a proposer, so that no proposer has the
    /// promise.
    pub(super) fn clear_promised_to(&mut self) {
        self.promised_to = None;
    }

    /// Grants a lease to the primary of an epoch. Replaces the previous grant.
    pub(super) fn grant_lease(&mut self, now: Duration, primary: NodeId, epoch: Epoch) {
        self.grant = Some(LeaseGrant { primary, epoch, expires_at: now + GRANT_DURATION });
    }

    /// Records that the primary of this epoch has released its lease, and ends the grant to it early.
    pub(super) fn record_release(&mut self, primary: NodeId, epoch: Epoch) {
        self.released_epoch = self.released_epoch.max(epoch);
        self.grant.take_if(|grant| grant.primary == primary && grant.epoch <= epoch);
    }

    /// Ends the grant to a member that is known to have ceased to act as primary.
    pub(super) fn withdraw_grant_to(&mut self, primary: NodeId) {
        self.grant.take_if(|grant| grant.primary == primary);
    }

    /// Whether the primary of this epoch has released its lease.
    pub(super) fn is_released(&self, epoch: Epoch) -> bool {
        epoch <= self.released_epoch && epoch > Epoch(0)
    }

    /// The highest epoch that this member has observed.
    pub(super) fn highest_epoch_seen(&self) -> Epoch {
        self.highest_epoch_seen
    }

    /// Records an epoch that this member has observed.
    pub(super) fn observe_epoch(&mut self, epoch: Epoch) {
        self.highest_epoch_seen = self.highest_epoch_seen.max(epoch);
    }
}
