//! What a member has promised to proposers, and granted to primaries, since its process started.
//!
//! The promised epoch itself is durable ([`super::storage`]). Lease grants are kept in memory only: a member that
//! starts promises nothing until each grant from before has run out.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;

use super::timing::GRANT_DURATION;

/// A vote that lets a primary's lease run: no other proposer gets a promise before it ends.
#[derive(Clone, Debug)]
struct LeaseGrant {
    primary: NodeId,
    epoch: Epoch,
    expires_at: Duration,
}

/// A member's votes.
#[derive(Clone, Debug)]
pub(super) struct VoteState {
    /// The proposer that has this process's newest promise.
    promised_to: Option<NodeId>,
    grant: Option<LeaseGrant>,
    /// Primaries of epochs up to this one have given up their leases.
    released_epoch: Epoch,
    /// Grants from before the start of this process may run until then.
    no_promise_before: Duration,
    /// The highest epoch of which this member has heard.
    highest_epoch_seen: Epoch,
}

impl VoteState {
    /// The votes of a member that starts at `now` with its durable promise.
    pub(super) fn new(promised: Epoch, now: Duration) -> VoteState {
        let may_have_granted = promised > Epoch(0);
        VoteState {
            promised_to: None,
            grant: None,
            released_epoch: Epoch(0),
            no_promise_before: if may_have_granted { now + GRANT_DURATION } else { now },
            highest_epoch_seen: promised,
        }
    }

    /// When the grants from before the start have surely run out.
    pub(super) fn no_promise_before(&self) -> Duration {
        self.no_promise_before
    }

    /// When the newest grant, and those from before the start, have run out.
    pub(super) fn grants_end(&self) -> Duration {
        let expires_at = self.grant.as_ref().map_or(self.no_promise_before, |grant| grant.expires_at);
        expires_at.max(self.no_promise_before)
    }

    /// Whether no lease of another member may rest on this member's vote.
    pub(super) fn may_promise_to(&self, now: Duration, proposer: NodeId) -> bool {
        let granted_to_other =
            self.grant.as_ref().is_some_and(|grant| grant.primary != proposer && now < grant.expires_at);
        now >= self.no_promise_before && !granted_to_other
    }

    /// Whether the newest promise was given to `proposer` by this process.
    pub(super) fn has_promised_to(&self, proposer: NodeId) -> bool {
        self.promised_to == Some(proposer)
    }

    /// Records who has the newest promise.
    pub(super) fn set_promised_to(&mut self, proposer: NodeId) {
        self.promised_to = Some(proposer);
    }

    /// The promise was raised without a request of its proposer.
    pub(super) fn clear_promised_to(&mut self) {
        self.promised_to = None;
    }

    /// Grants a lease to the primary of an epoch.
    pub(super) fn grant_lease(&mut self, now: Duration, primary: NodeId, epoch: Epoch) {
        self.grant = Some(LeaseGrant { primary, epoch, expires_at: now + GRANT_DURATION });
    }

    /// The primary of this epoch has given up its lease, so the grant to it may end early.
    pub(super) fn record_release(&mut self, primary: NodeId, epoch: Epoch) {
        self.released_epoch = self.released_epoch.max(epoch);
        self.grant.take_if(|grant| grant.primary == primary && grant.epoch <= epoch);
    }

    /// Ends the grant to a member that is known to act as primary no longer.
    pub(super) fn withdraw_grant_to(&mut self, primary: NodeId) {
        self.grant.take_if(|grant| grant.primary == primary);
    }

    /// Whether the primary of this epoch has given up its lease.
    pub(super) fn is_released(&self, epoch: Epoch) -> bool {
        epoch <= self.released_epoch && epoch > Epoch(0)
    }

    /// The highest epoch of which this member has heard.
    pub(super) fn highest_epoch_seen(&self) -> Epoch {
        self.highest_epoch_seen
    }

    /// Records that an epoch is in use.
    pub(super) fn observe_epoch(&mut self, epoch: Epoch) {
        self.highest_epoch_seen = self.highest_epoch_seen.max(epoch);
    }
}
