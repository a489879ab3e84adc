//! The state of the state machine, the queries of its owner, and the steps that all handlers share.
//!
//! The handlers of messages and timers are `impl Replication` blocks in separate modules. They import this
//! module and the state types; nothing imports them.

use std::time::Duration;

use fastrand::Rng;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{ReplicationMessage, View};

use super::discovery::Discovery;
use super::durable::{DurableRecord, DurableState};
use super::election::{ElectionTimer, jitter};
use super::interface::{LiveMember, Output, Role};
use super::leadership::Leadership;
use super::lifecycle::Lifecycle;
use super::outbox::Outbox;
use super::peers::{Peers, is_recent};
use super::quorum::electorate;
use super::settings::ReplicationSettings;
use super::storage::Storage;
use super::timing::{
    ELECTION_STAGGER, ELECTION_TIMEOUT, KNOWN_PRIMARY_MAX_AGE, LEAVING_CAMPAIGN_DELAY, REDIRECT_MAX_AGE,
    VOTER_TIMEOUT,
};
use super::transfer::IncomingTransfer;
use super::view_change::ViewChange;
use super::vote::PromiseState;

/// A member of the replication group.
#[derive(Clone, Debug)]
pub struct Replication {
    pub(super) settings: ReplicationSettings,
    /// Random source for jitter and for the first heartbeat token.
    pub(super) random: Rng,
    pub(super) lifecycle: Lifecycle,
    pub(super) storage: Storage,
    pub(super) outbox: Outbox,
    pub(super) promises: PromiseState,
    pub(super) peers: Peers,
    pub(super) discovery: Discovery,
    pub(super) election: ElectionTimer,
    /// The view change that this member proposes.
    pub(super) view_change: Option<ViewChange>,
    /// The state that this member keeps while it is primary.
    pub(super) leadership: Option<Leadership>,
    /// The state transfer from a proposer that brings this member up to date.
    pub(super) incoming: IncomingTransfer,
}

impl Replication {
    /// Creates a member from the state on its disk.
    #[must_use]
    pub fn new(settings: ReplicationSettings, durable: DurableState, now: Duration) -> Self {
        let promises = PromiseState::new(durable.promised, now);
        let mut replication = Replication {
            random: Rng::with_seed(settings.seed),
            lifecycle: Lifecycle::new(),
            storage: Storage::new(durable),
            outbox: Outbox::new(settings.node),
            promises,
            peers: Peers::default(),
            discovery: Discovery::new(now),
            election: ElectionTimer::new(now),
            view_change: None,
            leadership: None,
            incoming: IncomingTransfer::default(),
            settings,
        };
        let campaign_at = replication.promises.no_promise_before() + replication.election_offset();
        replication.election.schedule(campaign_at);
        replication
    }

    /// The latest time at which [`super::Input::Tick`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Duration {
        if !self.lifecycle.is_started() {
            return Duration::ZERO;
        }
        let mut deadline = self.discovery.join_at();
        if let Some(leadership) = &self.leadership {
            deadline = leadership.next_deadline();
        }
        if let Some(view_change) = &self.view_change {
            deadline = deadline.min(view_change.next_deadline());
        } else if self.may_campaign() && self.leadership.is_none() {
            deadline = deadline.min(self.election.campaign_at());
        }
        deadline
    }

    /// Whether this member is primary and holds a valid lease, which excludes any other primary.
    #[must_use]
    pub fn is_primary(&self, now: Duration) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.lease.is_valid(now))
    }

    /// The epoch of the view that this member leads, or else of the newest view that it knows.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.view().map_or(Epoch(0), |view| view.epoch)
    }

    /// The view that this member leads, or else the newest view that it knows.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        match &self.leadership {
            Some(leadership) => Some(&leadership.view),
            None => self.storage.view(),
        }
    }

    /// The primary, if a heartbeat from it has arrived recently.
    #[must_use]
    pub fn known_primary(&self, now: Duration) -> Option<NodeId> {
        if self.is_primary(now) {
            return Some(self.settings.node);
        }
        self.peers.primary_heard_within(now, KNOWN_PRIMARY_MAX_AGE)
    }

    /// Another member to redirect callers to: the sender of the last heartbeat from a primary, if that is recent.
    #[must_use]
    pub fn redirect_target(&self, now: Duration) -> Option<NodeId> {
        self.peers.primary_heard_within(now, REDIRECT_MAX_AGE)
    }

    /// Members that acknowledge heartbeats of this primary, itself included, in order. Empty at other members.
    #[must_use]
    pub fn live_members(&self, now: Duration) -> Vec<LiveMember> {
        if self.leadership.is_none() {
            return Vec::new();
        }
        let mut members = vec![LiveMember { node: self.settings.node, zone: self.settings.zone.clone() }];
        let alive = self.peers.iter().filter(|(_, peer)| {
            !peer.zone.is_empty() && is_recent(peer.acknowledged_at, now, VOTER_TIMEOUT)
        });
        members.extend(alive.map(|(node, peer)| LiveMember { node, zone: peer.zone.clone() }));
        members.sort();
        members
    }

    /// This member's role as last reported by [`Output::RoleChanged`].
    #[must_use]
    pub fn role(&self) -> Role {
        self.lifecycle.reported_role()
    }

    /// The newest entry that this member has applied.
    #[must_use]
    pub fn applied(&self) -> SequenceNumber {
        self.storage.applied()
    }

    /// Whether this member stores all data of its newest view and its disk is healthy.
    pub(super) fn may_campaign(&self) -> bool {
        let node = self.settings.node;
        let data_epoch = self.storage.position().epoch;
        let is_up_to_date = |view: &View| view.data_replicas.contains(&node) && data_epoch >= view.epoch;
        self.storage.has_durable_view()
            && self.storage.is_healthy()
            && self.storage.view().is_some_and(is_up_to_date)
    }

    /// Applies a record to the state and queues it for the disk.
    pub(super) fn record(&mut self, record: DurableRecord) {
        self.storage.apply_record(&record);
        self.outbox.write(record);
    }

    /// Raises the promised epoch.
    pub(super) fn promise(&mut self, epoch: Epoch) {
        self.promises.observe_epoch(epoch);
        if epoch > self.storage.promised() {
            self.promises.clear_promised_to();
            self.record(DurableRecord::Promised(epoch));
        }
    }

    /// Raises the promised epoch on a request of its proposer.
    pub(super) fn promise_to(&mut self, proposer: NodeId, epoch: Epoch) {
        self.promise(epoch);
        self.promises.set_promised_to(proposer);
    }

    /// Refuses a request. The refusal contains the promised epoch.
    pub(super) fn refuse(&mut self, to: NodeId, epoch: Epoch) {
        let promised = self.storage.promised();
        self.outbox.send(to, ReplicationMessage::Refuse { epoch, promised });
    }

    /// Adopts a view that is newer than the known one, or that is now known to be in force. A member outside the
    /// view's electorate that has recorded no view keeps it in memory only.
    pub(super) fn adopt_view(&mut self, now: Duration, view: &View) {
        if !self.storage.is_outdated_by(view) {
            return;
        }
        let node = self.settings.node;
        let must_record = self.storage.has_recorded_view() || electorate(view).contains(&node);
        if must_record {
            self.promise(view.epoch);
            self.record_view(view);
        } else {
            self.promises.observe_epoch(view.epoch);
            self.storage.set_unrecorded_view(view.clone());
        }
        self.yield_to_view(now, view);
    }

    /// Ends a view change or leadership that a newer view supersedes.
    fn yield_to_view(&mut self, now: Duration, view: &View) {
        if self.view_change.take_if(|view_change| view_change.is_outdated_by(view)).is_some() {
            let campaign_at = now + jitter(&mut self.random, 20..100);
            self.election.schedule(campaign_at);
        }
        let leads_older =
            self.leadership.as_ref().is_some_and(|leadership| leadership.view.epoch < view.epoch);
        if leads_older && view.data_replicas.first() != Some(&self.settings.node) {
            self.step_down(now);
        }
    }

    /// Records a view durably.
    pub(super) fn record_view(&mut self, view: &View) {
        self.record(DurableRecord::View(view.clone()));
        self.outbox.defer_view_durable(view.epoch);
    }

    /// How long after the election timeout this member campaigns: staggered by its rank among the data replicas, so
    /// that they do not all campaign at once.
    fn election_offset(&mut self) -> Duration {
        let node = self.settings.node;
        let replicas = self.storage.view().map_or(&[][..], |view| &view.data_replicas);
        let rank = replicas.iter().position(|replica| *replica == node).unwrap_or(0);
        let delay = if self.lifecycle.is_leaving() { LEAVING_CAMPAIGN_DELAY } else { Duration::ZERO };
        delay + ELECTION_STAGGER * rank as u32 + jitter(&mut self.random, 0..100)
    }

    /// Postpones this member's campaign by the election timeout, which leaves others time for a view change.
    pub(super) fn postpone_campaign(&mut self, now: Duration) {
        let earliest = now + ELECTION_TIMEOUT + self.election_offset();
        self.election.postpone_until(earliest);
    }

    /// Has the owner restore its state from the snapshot.
    pub(super) fn restore(&mut self) {
        self.storage.reset_to_snapshot();
        let sequence = self.storage.applied();
        let snapshot = self.storage.snapshot().clone();
        self.outbox.push(Output::Restore { sequence, snapshot });
    }

    /// Applies entries up to `committed` or the end of the log.
    pub(super) fn apply_up_to(&mut self, committed: SequenceNumber) {
        while self.storage.applied() < committed {
            let Some(entry) = self.storage.apply_next() else { return };
            let sequence = entry.sequence;
            let proposal =
                self.leadership.as_mut().and_then(|leadership| leadership.proposals.take(sequence));
            self.outbox.push(Output::Apply { sequence, command: entry.command, proposal });
        }
    }
}
