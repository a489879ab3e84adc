//! The state that a member keeps while it is primary.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::View;

use super::lease::Lease;
use super::progress::Progress;
use super::proposals::Proposals;
use super::timing::{HEARTBEAT_INTERVAL, MIN_VIEW_CHANGE_INTERVAL, RESEND_INTERVAL};

/// Identifies one heartbeat of a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeartbeatId {
    /// The epoch of the primary's view.
    pub(super) epoch: Epoch,
    /// Increases by one with each heartbeat.
    pub(super) token: u64,
}

/// The primary's lease, log replication and reconfiguration.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    /// The view that the primary leads.
    pub(super) view: View,
    /// The lease of the primary.
    pub(super) lease: Lease,
    /// How far the data replicas have stored the entries.
    pub(super) progress: Progress,
    /// Proposals of the owner without an outcome.
    pub(super) proposals: Proposals,
    heartbeat_at: Duration,
    /// Whether some member has promised a higher epoch, and so takes part only in a new view.
    is_view_change_forced: bool,
    view_change_allowed_at: Duration,
}

impl Leadership {
    /// Creates the state of a primary of `view` whose log ends at `sequence`.
    pub(super) fn new(view: View, sequence: SequenceNumber, first_token: u64, now: Duration) -> Self {
        let progress = Progress::new(&view.data_replicas, sequence, now);
        Leadership {
            view,
            lease: Lease::new(first_token, now),
            progress,
            proposals: Proposals::default(),
            heartbeat_at: now,
            is_view_change_forced: false,
            view_change_allowed_at: now,
        }
    }

    /// Takes over the lease and the proposals of the previous view, which the same member led.
    pub(super) fn continue_from(&mut self, previous: Leadership, now: Duration) {
        self.lease.continue_from(&previous.lease);
        self.proposals = previous.proposals;
        self.view_change_allowed_at = now + RESEND_INTERVAL;
    }

    /// The earliest time at which a timer is due.
    pub(super) fn next_deadline(&self) -> Duration {
        let deadline = self.heartbeat_at.min(self.lease.step_down_at());
        self.progress.next_resend().map_or(deadline, |resend_at| deadline.min(resend_at))
    }

    /// Whether heartbeats are due; if so, schedules the next ones.
    pub(super) fn take_due_heartbeat(&mut self, now: Duration) -> bool {
        let is_due = now >= self.heartbeat_at;
        if is_due {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        }
        is_due
    }

    /// Makes the next heartbeats due at once.
    pub(super) fn schedule_heartbeat_now(&mut self, now: Duration) {
        self.heartbeat_at = now;
    }

    /// Records an acknowledgement from `peer`; returns whether it is for a tracked heartbeat of this view.
    ///
    /// Once a quorum has acknowledged, the view is known to be in force and the previous voters are dropped.
    pub(super) fn acknowledge(&mut self, peer: NodeId, heartbeat: HeartbeatId) -> bool {
        if heartbeat.epoch != self.view.epoch || !self.lease.acknowledge(peer, heartbeat.token) {
            return false;
        }
        if self.lease.renew(&self.view) {
            self.view.previous_voters.clear();
        }
        true
    }

    /// The data replicas other than `primary`.
    pub(super) fn backups(&self, primary: NodeId) -> Vec<NodeId> {
        let mut backups = self.view.data_replicas.clone();
        backups.retain(|replica| *replica != primary);
        backups
    }

    /// Whether any data replica lags and has made no progress within its timeout.
    pub(super) fn has_stalled_replica(&self, now: Duration) -> bool {
        self.view.data_replicas.iter().any(|replica| self.progress.is_stalled(*replica, now))
    }

    /// Whether a reconfiguration may start: the lease is valid and the previous one is not too recent.
    pub(super) fn may_change_view(&self, now: Duration) -> bool {
        self.lease.is_valid(now) && now >= self.view_change_allowed_at
    }

    /// Whether a view change is needed because some member takes part only in a new view.
    pub(super) fn is_view_change_forced(&self) -> bool {
        self.is_view_change_forced
    }

    /// Requests a view change because some member takes part only in a new view.
    pub(super) fn force_view_change(&mut self) {
        self.is_view_change_forced = true;
    }

    /// Records that a reconfiguration starts.
    pub(super) fn record_view_change_start(&mut self, now: Duration) {
        self.view_change_allowed_at = now + MIN_VIEW_CHANGE_INTERVAL;
        self.is_view_change_forced = false;
    }
}
