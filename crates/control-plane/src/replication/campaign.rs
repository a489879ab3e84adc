//! The proposer's side of a view change up to the selection of the new members.
//!
//! A data replica campaigns when its primary is silent; a primary proposes a view to replace members.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::{ReplicationMessage, View};

use super::election::jitter;
use super::machine::Replication;
use super::peers::is_recent;
use super::quorum::next_epoch;
use super::timing::{BACKUP_TIMEOUT, RESEND_INTERVAL};
use super::view_change::{Phase, ViewChange};

/// Maximum backoff after a failed view change that other members have acknowledged.
const ACKNOWLEDGED_BACKOFF_MS: u64 = 350;
/// Base of the maximum backoff after a failed view change that no other member has acknowledged.
const UNACKNOWLEDGED_BACKOFF_MS: u64 = 100;
/// Increment of that backoff for each consecutive failure.
const UNACKNOWLEDGED_BACKOFF_STEP_MS: u64 = 250;

impl Replication {
    /// Starts a campaign if it is due and this member neither leads nor runs a view change.
    pub(super) fn campaign_if_due(&mut self, now: Duration) {
        let is_idle = self.leadership.is_none() && self.view_change.is_none();
        if is_idle && self.may_campaign() && self.election.is_due(now) {
            self.start_view_change(now);
        }
    }

    /// Starts a view change, unless a lease of another member may still rely on a grant of this member.
    pub(super) fn start_view_change(&mut self, now: Duration) {
        let node = self.settings.node;
        let Some(base) = self.storage.view().cloned() else { return };
        if !self.promises.may_promise_to(now, node) {
            let campaign_at = self.promises.grants_end().max(now + RESEND_INTERVAL / 4);
            self.election.schedule(campaign_at);
            return;
        }
        let epoch = next_epoch(self.promises.highest_epoch_seen().max(self.storage.promised()), node);
        let stalled_at = now + self.election.stall_timeout();
        self.view_change = Some(ViewChange::new(epoch, base, now, stalled_at));
        self.on_prepare(now, node, epoch);
        self.send_prepares();
    }

    /// Resends messages of the running view change, or abandons it.
    pub(super) fn run_view_change_timers(&mut self, now: Duration) {
        let Some(view_change) = &self.view_change else { return };
        let should_abandon = view_change.is_stalled(now) || self.has_unresponsive_replica(now, view_change);
        let Some(view_change) = &mut self.view_change else { return };
        if should_abandon {
            self.abandon_view_change(now);
        } else if now >= view_change.resend_at {
            view_change.resend_at = now + RESEND_INTERVAL;
            match view_change.phase {
                Phase::Preparing => self.send_prepares(),
                Phase::Syncing => self.resend_chunks(now),
                Phase::InstallingAtReplicas | Phase::InstallingAtVoters => self.send_installs(),
            }
            self.choose_members_if_promised(now);
        }
    }

    fn abandon_view_change(&mut self, now: Duration) {
        let Some(view_change) = self.view_change.take() else { return };
        let failures = u64::from(self.election.record_failure());
        let backoff_ms = if view_change.is_unacknowledged() {
            UNACKNOWLEDGED_BACKOFF_MS + UNACKNOWLEDGED_BACKOFF_STEP_MS * failures
        } else {
            ACKNOWLEDGED_BACKOFF_MS
        };
        let campaign_at = now + jitter(&mut self.random, backoff_ms / 2..backoff_ms);
        self.election.schedule(campaign_at);
    }

    /// Whether this member is primary and a chosen data replica of the new view no longer acknowledges heartbeats.
    fn has_unresponsive_replica(&self, now: Duration, view_change: &ViewChange) -> bool {
        let node = self.settings.node;
        let is_silent = |replica: &NodeId| {
            let peer = self.peers.get(*replica);
            *replica != node && !peer.is_some_and(|peer| is_recent(peer.healthy_at, now, BACKUP_TIMEOUT))
        };
        self.leadership.is_some()
            && view_change.needs_data_replicas()
            && view_change.view.data_replicas.iter().any(is_silent)
    }

    /// Requests the missing promises once this member's own promise is durable.
    fn send_prepares(&mut self) {
        let Some(view_change) = &self.view_change else { return };
        let epoch = view_change.epoch;
        for voter in view_change.missing_promises() {
            if voter != self.settings.node {
                self.outbox.send_when_durable(voter, ReplicationMessage::Prepare { epoch });
            }
        }
    }

    /// Handles the promise of a voter to take part in no lower epoch.
    pub(super) fn on_promise(&mut self, now: Duration, from: NodeId, epoch: Epoch, view: &View) {
        let is_awaited = |view_change: &ViewChange| view_change.awaits_promise(epoch);
        if !self.view_change.as_ref().is_some_and(is_awaited) {
            return;
        }
        self.adopt_view(now, view);
        let stalled_at = now + self.election.stall_timeout();
        let Some(view_change) = &mut self.view_change else { return };
        if view_change.record_promise(from, view) {
            view_change.restart_stall_timeout(stalled_at);
        }
        self.choose_members_if_promised(now);
    }

    /// Handles a refusal: its sender has promised this epoch or a higher one, or may not promise yet.
    pub(super) fn on_refuse(&mut self, now: Duration, from: NodeId, epoch: Epoch, promised: Epoch) {
        self.promises.observe_epoch(promised);
        let is_preempted = promised >= epoch;
        let preempted =
            self.view_change.as_mut().filter(|view_change| is_preempted && view_change.epoch == epoch);
        if let Some(view_change) = preempted {
            view_change.shorten_stall_timeout(now + jitter(&mut self.random, 50..250));
        }
        if is_preempted && from != self.settings.node {
            self.force_view_change_if_preempted(epoch, promised);
        }
    }

    /// Forces a view change if another member has promised an epoch above that of the view that this member leads: the
    /// other member takes part only in a newer view.
    fn force_view_change_if_preempted(&mut self, epoch: Epoch, promised: Epoch) {
        let own_promise = self.storage.promised();
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.view.epoch == epoch && promised > own_promise {
            leadership.force_view_change();
        }
    }

    /// Selects the members of the new view once a quorum has promised.
    fn choose_members_if_promised(&mut self, now: Duration) {
        let Some(view_change) = &self.view_change else { return };
        let has_promises = view_change.has_enough_promises(self.settings.node);
        if view_change.phase != Phase::Preparing || !has_promises {
            return;
        }
        let members = if self.leadership.is_some() {
            self.choose_as_primary(now, &view_change.base)
        } else {
            self.choose_as_candidate(now, view_change)
        };
        let Some(members) = members else { return };
        let stalled_at = now + self.election.stall_timeout();
        let Some(view_change) = &mut self.view_change else { return };
        view_change.start_syncing(members);
        view_change.restart_stall_timeout(stalled_at);
        self.start_sync(now);
    }
}
