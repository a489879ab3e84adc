//! The primary role: taking it over, its timers, stepping down, and releasing the lease.

use std::collections::BTreeSet;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::{ReplicationMessage, View};

use super::election::jitter;
use super::leadership::Leadership;
use super::machine::Replication;
use super::peers::{Peer, is_recent};
use super::timing::{
    BACKUP_TIMEOUT, ELECTION_TIMEOUT, LEAVING_CAMPAIGN_DELAY, NEW_PRIMARY_GRACE, VOTER_TIMEOUT,
};

impl Replication {
    /// Becomes primary of a view in force: everything that this member stores is committed.
    pub(super) fn become_primary(&mut self, now: Duration, view: View) {
        let first_token = self.random.u64(..) >> 1;
        let sequence = self.storage.last_sequence();
        let mut leadership = Leadership::new(view, sequence, first_token, now);
        if let Some(previous) = self.leadership.take() {
            leadership.continue_from(previous, now);
        } else {
            self.presume_members_alive(now, &leadership.view);
        }
        self.peers.forget_primary();
        let queued = leadership.proposals.take_queued();
        self.leadership = Some(leadership);
        self.apply_up_to(sequence);
        for proposal in queued {
            self.append(now, proposal.ticket, proposal.command);
        }
    }

    /// Gives the data replicas, which have just responded, the full timeout before a new primary considers them failed,
    /// and the other voters [`NEW_PRIMARY_GRACE`].
    fn presume_members_alive(&mut self, now: Duration, view: &View) {
        let others = view.voters.iter().filter(|member| **member != self.settings.node);
        for member in others {
            let is_replica = view.data_replicas.contains(member);
            let earlier = (now + NEW_PRIMARY_GRACE).saturating_sub(VOTER_TIMEOUT);
            self.peers.presume_alive(*member, if is_replica { now } else { earlier });
        }
    }

    /// Ceases to be primary and fails all proposals.
    pub(super) fn step_down(&mut self, now: Duration) {
        let Some(leadership) = self.leadership.take() else { return };
        self.view_change = None;
        for failure in leadership.proposals.into_failures() {
            self.outbox.push(failure);
        }
        self.promises.withdraw_grant_to(self.settings.node);
        let delay = if self.lifecycle.is_leaving() { LEAVING_CAMPAIGN_DELAY } else { ELECTION_TIMEOUT / 2 };
        let campaign_at = now + delay + jitter(&mut self.random, 0..500);
        self.election.schedule(campaign_at);
    }

    /// Steps down if the lease has expired and no quorum has acknowledged in time.
    pub(super) fn step_down_if_lease_lost(&mut self, now: Duration) {
        if self.leadership.as_ref().is_some_and(|leadership| leadership.lease.is_lost(now)) {
            self.step_down(now);
        }
    }

    /// Runs the timers of the primary.
    pub(super) fn run_primary_timers(&mut self, now: Duration) {
        if self.leadership.is_none() {
            return;
        }
        let should_release = self.lifecycle.is_leaving() || !self.storage.is_healthy();
        if should_release && self.release_lease(now) {
            return;
        }
        self.send_heartbeats_if_due(now);
        self.expire_queued_proposals(now);
        self.resend_entries_if_due(now);
        self.reconfigure_if_needed(now);
    }

    /// Releases the lease in favour of a responsive backup that is not leaving; returns whether there is one. A leaving
    /// primary without such a backup keeps the lease until it has brought another member up to date.
    fn release_lease(&mut self, now: Duration) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        if self.lifecycle.is_leaving() && self.view_change.is_some() {
            return false;
        }
        let Some(successor) = self.choose_successor(now, leadership) else { return false };
        let epoch = leadership.view.epoch;
        let mut voters: BTreeSet<NodeId> = leadership.view.voters.iter().copied().collect();
        voters.remove(&self.settings.node);
        self.step_down(now);
        for voter in voters {
            self.outbox.send(voter, ReplicationMessage::Release { epoch, successor });
        }
        true
    }

    /// Chooses a backup that has acknowledged a heartbeat of this view, and so has reported whether it is leaving:
    /// otherwise two leaving members could release the lease to each other forever.
    fn choose_successor(&self, now: Duration, leadership: &Leadership) -> Option<NodeId> {
        let can_succeed = |peer: &Peer| is_recent(peer.healthy_at, now, BACKUP_TIMEOUT) && !peer.is_leaving;
        let is_eligible = |backup: &&NodeId| {
            let has_acknowledged = leadership.lease.is_acknowledged_by(**backup);
            has_acknowledged && self.peers.get(**backup).is_some_and(can_succeed)
        };
        leadership.view.data_replicas.iter().skip(1).find(is_eligible).copied()
    }

    /// Handles the release of a lease by its primary.
    pub(super) fn on_release(&mut self, now: Duration, from: NodeId, epoch: Epoch, successor: NodeId) {
        self.promises.record_release(from, epoch);
        self.peers.forget_primary_if(from);
        let is_newest = self.storage.view().is_some_and(|view| view.epoch == epoch);
        if successor == self.settings.node && is_newest {
            self.election.avoid(from);
            self.election.schedule(now);
        } else {
            self.election.postpone_until(now + ELECTION_TIMEOUT / 2);
        }
    }
}
