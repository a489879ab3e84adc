//! The state of a running view change at its proposer.
//!
//! The protocol is Paxos over views, with the state transfer of Viewstamped Replication: a quorum promises to
//! take part in no lower epoch (prepare), the data replicas of the new view are brought up to date (sync), and the
//! view is recorded, first by them and then by the other voters (install).

use std::collections::BTreeSet;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::View;

use super::quorum::{electorate, has_quorum, is_view_complete};
use super::sync_phase::SyncPhase;
use super::timing::RESEND_INTERVAL;
use super::view_selection::ViewMembers;

/// The phase of a view change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Promises are collected.
    Preparing,
    /// The data replicas of the new view are brought up to date.
    Syncing,
    /// The data replicas record the view, so that each of them can start the next view change from it.
    InstallingAtReplicas,
    /// The other voters record it.
    InstallingAtVoters,
}

/// A running change of the view.
#[derive(Clone, Debug)]
pub(super) struct ViewChange {
    /// The epoch of the new view.
    pub(super) epoch: Epoch,
    /// The view that the new one follows.
    pub(super) base: View,
    /// The current phase.
    pub(super) phase: Phase,
    /// The new view; empty until a quorum has promised.
    pub(super) view: View,
    /// The transfers to the data replicas, during the sync phase.
    pub(super) sync: Option<SyncPhase>,
    /// When unacknowledged messages are resent.
    pub(super) resend_at: Duration,
    promises: BTreeSet<NodeId>,
    /// The members among `promises` that have recorded the base.
    base_recorded: BTreeSet<NodeId>,
    installed: BTreeSet<NodeId>,
    stalled_at: Duration,
}

impl ViewChange {
    /// Starts a view change from `base`, which is abandoned at `stalled_at` unless there is progress.
    pub(super) fn new(epoch: Epoch, base: View, now: Duration, stalled_at: Duration) -> ViewChange {
        ViewChange {
            epoch,
            base,
            phase: Phase::Preparing,
            view: View::default(),
            sync: None,
            resend_at: now + RESEND_INTERVAL,
            promises: BTreeSet::new(),
            base_recorded: BTreeSet::new(),
            installed: BTreeSet::new(),
            stalled_at,
        }
    }

    /// The earliest time at which a timer is due.
    pub(super) fn next_deadline(&self) -> Duration {
        self.resend_at.min(self.stalled_at)
    }

    /// Whether there was no progress for too long.
    pub(super) fn is_stalled(&self, now: Duration) -> bool {
        now >= self.stalled_at
    }

    /// Sets the stall timeout after progress.
    pub(super) fn restart_stall_timeout(&mut self, stalled_at: Duration) {
        self.stalled_at = stalled_at;
    }

    /// Extends the stall timeout after progress, at least to `stalled_at`.
    pub(super) fn extend_stall_timeout(&mut self, stalled_at: Duration) {
        self.stalled_at = self.stalled_at.max(stalled_at);
    }

    /// Shortens the stall timeout, at most to `stalled_at`, because the view change can no longer succeed.
    pub(super) fn shorten_stall_timeout(&mut self, stalled_at: Duration) {
        self.stalled_at = self.stalled_at.min(stalled_at);
    }

    /// Whether promises for this epoch are awaited.
    pub(super) fn awaits_promise(&self, epoch: Epoch) -> bool {
        self.epoch == epoch && self.phase == Phase::Preparing
    }

    /// Whether the data replicas are being brought up to date for this epoch.
    pub(super) fn is_syncing(&self, epoch: Epoch) -> bool {
        self.epoch == epoch && self.phase == Phase::Syncing
    }

    /// Whether members are recording the view of this epoch.
    pub(super) fn is_installing(&self, epoch: Epoch) -> bool {
        let is_installing = matches!(self.phase, Phase::InstallingAtReplicas | Phase::InstallingAtVoters);
        self.epoch == epoch && is_installing
    }

    /// Whether the current phase depends on all chosen data replicas.
    pub(super) fn needs_data_replicas(&self) -> bool {
        matches!(self.phase, Phase::Syncing | Phase::InstallingAtReplicas)
    }

    /// Whether `view` supersedes this view change.
    pub(super) fn is_outdated_by(&self, view: &View) -> bool {
        view.epoch > self.base.epoch && view.epoch != self.epoch
    }

    /// Records a promise from `voter`, whose newest view is `recorded`. Returns whether it is the first promise of this
    /// voter.
    pub(super) fn record_promise(&mut self, voter: NodeId, recorded: &View) -> bool {
        if recorded.epoch == self.base.epoch && !recorded.voters.is_empty() {
            self.record_base_recorded(voter, recorded);
        }
        self.promises.insert(voter)
    }

    /// Records that a member that has promised has recorded the base.
    ///
    /// Once majorities of the base's voters and of its previous voters have done so, no other view derived from the
    /// previous voters can come into force: these members refuse lower epochs, and return the base to proposers of
    /// higher ones. The previous voters are then no longer needed.
    fn record_base_recorded(&mut self, member: NodeId, recorded: &View) {
        self.base_recorded.insert(member);
        if is_view_complete(recorded) || has_quorum(&self.base, &self.base_recorded) {
            self.base.previous_voters.clear();
        }
    }

    /// Whether `voter` has promised.
    pub(super) fn has_promise_of(&self, voter: NodeId) -> bool {
        self.promises.contains(&voter)
    }

    /// Whether the proposer itself and a quorum of the base view have promised.
    pub(super) fn has_enough_promises(&self, proposer: NodeId) -> bool {
        self.has_promise_of(proposer) && has_quorum(&self.base, &self.promises)
    }

    /// Whether no member other than the proposer has promised.
    pub(super) fn is_unacknowledged(&self) -> bool {
        self.promises.len() <= 1
    }

    /// The voters that have not yet promised.
    pub(super) fn missing_promises(&self) -> Vec<NodeId> {
        electorate(&self.base).difference(&self.promises).copied().collect()
    }

    /// Starts the sync phase with the chosen members of the new view.
    pub(super) fn start_syncing(&mut self, members: ViewMembers) {
        self.view = next_view(&self.base, self.epoch, members);
        self.phase = Phase::Syncing;
    }

    /// Starts to install the view at the data replicas, which are all up to date.
    pub(super) fn start_installing(&mut self, now: Duration) {
        self.sync = None;
        self.phase = Phase::InstallingAtReplicas;
        self.resend_at = now + RESEND_INTERVAL;
    }

    /// Starts to install the view at the other voters, once all data replicas have recorded it.
    pub(super) fn start_installing_at_voters(&mut self, now: Duration) {
        self.phase = Phase::InstallingAtVoters;
        self.resend_at = now + RESEND_INTERVAL;
    }

    /// Records that `member` has recorded the view; returns whether this is its first report.
    pub(super) fn record_installed(&mut self, member: NodeId) -> bool {
        self.installed.insert(member)
    }

    /// Whether all data replicas have recorded the view.
    pub(super) fn is_installed_at_replicas(&self) -> bool {
        self.view.data_replicas.iter().all(|replica| self.installed.contains(replica))
    }

    /// Whether a quorum of the new view has recorded it.
    pub(super) fn is_in_force(&self) -> bool {
        has_quorum(&self.view, &self.installed)
    }

    /// The members of this phase that have not recorded the view.
    pub(super) fn missing_installs(&self) -> Vec<NodeId> {
        let targets: BTreeSet<NodeId> = match self.phase {
            Phase::InstallingAtVoters => electorate(&self.view),
            _ => self.view.data_replicas.iter().copied().collect(),
        };
        targets.difference(&self.installed).copied().collect()
    }
}

/// The view of the chosen members that follows the base.
fn next_view(base: &View, epoch: Epoch, members: ViewMembers) -> View {
    let has_same_voters = members.voters == base.voters;
    let previous_voters = if has_same_voters { base.previous_voters.clone() } else { base.voters.clone() };
    View { epoch, voters: members.voters, previous_voters, data_replicas: members.data_replicas }
}
