//! The state machine's state, what its owner can read of it, and the steps that all handlers share.
//!
//! The handlers of messages and timers are `impl Replication` blocks in modules of their own. They import this
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
use super::vote::VoteState;

/// One member of the replication group.
#[derive(Clone, Debug)]
pub struct Replication {
    pub(super) settings: ReplicationSettings,
    /// Source of the jitter and of the first heartbeat token.
    pub(super) random: Rng,
    pub(super) lifecycle: Lifecycle,
    pub(super) storage: Storage,
    pub(super) outbox: Outbox,
    pub(super) votes: VoteState,
    pub(super) peers: Peers,
    pub(super) discovery: Discovery,
    pub(super) election: ElectionTimer,
    /// The view change that this member proposes.
    pub(super) view_change: Option<ViewChange>,
    /// What this member knows as primary.
    pub(super) leadership: Option<Leadership>,
    /// What a proposer has sent so far to bring this member up to date.
    pub(super) incoming: IncomingTransfer,
}

impl Replication {
    /// A member that starts from what is on its disk.
    #[must_use]
    pub fn new(settings: ReplicationSettings, durable: DurableState, now: Duration) -> Self {
        let votes = VoteState::new(durable.promised, now);
        let mut replication = Replication {
            random: Rng::with_seed(settings.seed),
            lifecycle: Lifecycle::new(),
            storage: Storage::new(durable),
            outbox: Outbox::new(settings.node),
            votes,
            peers: Peers::default(),
            discovery: Discovery::new(now),
            election: ElectionTimer::new(now),
            view_change: None,
            leadership: None,
            incoming: IncomingTransfer::default(),
            settings,
        };
        let campaign_at = replication.votes.no_promise_before() + replication.election_offset();
        replication.election.schedule(campaign_at);
        replication
    }

    /// When [`super::Input::Tick`] is due at the latest.
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

    /// Whether this member is primary and has a valid lease: no other member is primary then.
    #[must_use]
    pub fn is_primary(&self, now: Duration) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.lease.is_valid(now))
    }

    /// The epoch of the view that this member leads, or else of the newest one that it knows.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.view().map_or(Epoch(0), |view| view.epoch)
    }

    /// The view that this member leads, or else the newest one that it knows.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        match &self.leadership {
            Some(leadership) => Some(&leadership.view),
            None => self.storage.view(),
        }
    }

    /// The primary, if a heartbeat of it has come lately.
    #[must_use]
    pub fn known_primary(&self, now: Duration) -> Option<NodeId> {
        if self.is_primary(now) {
            return Some(self.settings.node);
        }
        self.peers.primary_heard_within(now, KNOWN_PRIMARY_MAX_AGE)
    }

    /// Another member that callers may be sent to, since it certainly was the primary a moment ago.
    #[must_use]
    pub fn redirect_target(&self, now: Duration) -> Option<NodeId> {
        self.peers.primary_heard_within(now, REDIRECT_MAX_AGE)
    }

    /// Members that answer this primary, itself included, in order; empty at others.
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

    /// The newest entry that was applied here.
    #[must_use]
    pub fn applied(&self) -> SequenceNumber {
        self.storage.applied()
    }

    /// Whether this member stores all data of its newest view, and can write.
    pub(super) fn may_campaign(&self) -> bool {
        let node = self.settings.node;
        let data_epoch = self.storage.position().epoch;
        let is_up_to_date = |view: &View| view.data_replicas.contains(&node) && data_epoch >= view.epoch;
        self.storage.has_durable_view()
            && self.storage.is_healthy()
            && self.storage.view().is_some_and(is_up_to_date)
    }

    /// Changes what is kept on disk.
    pub(super) fn record(&mut self, record: DurableRecord) {
        self.storage.apply_record(&record);
        self.outbox.write(record);
    }

    /// Raises the promised epoch.
    pub(super) fn promise(&mut self, epoch: Epoch) {
        self.votes.observe_epoch(epoch);
        if epoch > self.storage.promised() {
            self.votes.clear_promised_to();
            self.record(DurableRecord::Promised(epoch));
        }
    }

    /// Raises the promised epoch at the request of its proposer.
    pub(super) fn promise_to(&mut self, proposer: NodeId, epoch: Epoch) {
        self.promise(epoch);
        self.votes.set_promised_to(proposer);
    }

    /// Reports to the sender of a request that this member has promised a higher epoch.
    pub(super) fn refuse(&mut self, to: NodeId, epoch: Epoch) {
        let promised = self.storage.promised();
        self.outbox.send(to, ReplicationMessage::Refuse { epoch, promised });
    }

    /// Takes over a view that is newer than the known one, or known to be in force. A member that the view
    /// doesn't concern keeps it in memory only.
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
            self.votes.observe_epoch(view.epoch);
            self.storage.set_unrecorded_view(view.clone());
        }
        self.yield_to_view(now, view);
    }

    /// Ends a view change or leadership that a newer view has overtaken.
    fn yield_to_view(&mut self, now: Duration, view: &View) {
        if self.view_change.take_if(|view_change| view_change.is_outdated_by(view)).is_some() {
            let campaign_at = now + jitter(&mut self.random, 20..100);
            self.election.schedule(campaign_at);
        }
        let leads_older = self.leadership.as_ref().is_some_and(|own| own.view.epoch < view.epoch);
        if leads_older && view.data_replicas.first() != Some(&self.settings.node) {
            self.step_down(now);
        }
    }

    /// Writes a view to the disk.
    pub(super) fn record_view(&mut self, view: &View) {
        self.record(DurableRecord::View(view.clone()));
        self.outbox.defer_view_durable(view.epoch);
    }

    /// How long after the election timeout this member campaigns, by its rank among the data replicas.
    fn election_offset(&mut self) -> Duration {
        let node = self.settings.node;
        let replicas = self.storage.view().map_or(&[][..], |view| &view.data_replicas);
        let rank = replicas.iter().position(|replica| *replica == node).unwrap_or(0);
        let delay = if self.lifecycle.is_leaving() { LEAVING_CAMPAIGN_DELAY } else { Duration::ZERO };
        delay + ELECTION_STAGGER * rank as u32 + jitter(&mut self.random, 0..100)
    }

    /// Leaves others the time for a view change before this member proposes one.
    pub(super) fn postpone_campaign(&mut self, now: Duration) {
        let earliest = now + ELECTION_TIMEOUT + self.election_offset();
        self.election.postpone_until(earliest);
    }

    /// The owner's state starts anew from the snapshot.
    pub(super) fn restore(&mut self) {
        self.storage.reset_to_snapshot();
        let sequence = self.storage.applied();
        let snapshot = self.storage.snapshot().clone();
        self.outbox.push(Output::Restore { sequence, snapshot });
    }

    /// Applies entries up to `committed`, or to the end of the log.
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
