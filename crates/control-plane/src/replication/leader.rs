//! The primary: its lease, replication, and the exchange of members.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::{Entry, ReplicationMessage, View};

use super::interface::{FailureReason, Output};
use super::machine::{Replication, jitter};
use super::peers::{Peer, is_recent};
use super::progress::Progress;
use super::quorum::{has_quorum, is_settled};
use super::settings::{
    BACKUP_DEAD_AFTER, CHANGE_INTERVAL, ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, LEASE_TERM,
    LEAVING_CAMPAIGN_DELAY, LONGEST_PROPOSAL_WAIT, NEW_PRIMARY_GRACE, RESEND_INTERVAL, STEP_DOWN_AFTER,
    VOTER_DEAD_AFTER,
};

/// Heartbeats whose answers still count.
const REMEMBERED_HEARTBEATS: usize = 16;
const _: () = assert!(
    REMEMBERED_HEARTBEATS as u128 * HEARTBEAT_INTERVAL.as_micros() > STEP_DOWN_AFTER.as_micros(),
    "answers count for as long as a primary waits for them"
);
/// Entries sent again at once to a backup that lags.
const RESENT_ENTRIES: usize = 256;
/// Bytes of them, if they are more than one.
const RESENT_BYTES: usize = 256 * 1024;

/// A proposal that waits for the end of a view change.
#[derive(Clone, Debug)]
struct WaitingProposal {
    ticket: u64,
    command: Arc<[u8]>,
    since: Duration,
}

/// What a member says of itself when it acknowledges a heartbeat.
#[derive(Debug)]
pub(super) struct PeerReport {
    pub(super) zone: String,
    pub(super) disk_healthy: bool,
    pub(super) leaving: bool,
}

/// What a member knows while it is primary.
#[derive(Clone, Debug)]
pub(super) struct Leadership {
    /// The view in force that it leads.
    pub(super) view: View,
    lease_until: Duration,
    /// Sending time of the newest heartbeat that a majority acknowledged.
    confirmed_at: Duration,
    sent: VecDeque<(u64, Duration)>,
    /// Sending time of the newest heartbeat that each voter acknowledged.
    acknowledged: BTreeMap<NodeId, Duration>,
    next_token: u64,
    heartbeat_at: Duration,
    progress: Progress,
    /// Proposals by the number of their entry.
    proposals: BTreeMap<u64, u64>,
    waiting: VecDeque<WaitingProposal>,
    /// A member has promised a higher epoch, so it takes part only in a new view.
    is_change_forced: bool,
    change_allowed_at: Duration,
}

impl Leadership {
    fn new(view: View, sequence: u64, first_token: u64, now: Duration) -> Self {
        let progress = Progress::new(&view.holders, sequence, now);
        Leadership {
            view,
            lease_until: Duration::ZERO,
            confirmed_at: now,
            sent: VecDeque::new(),
            acknowledged: BTreeMap::new(),
            next_token: first_token,
            heartbeat_at: now,
            progress,
            proposals: BTreeMap::new(),
            waiting: VecDeque::new(),
            is_change_forced: false,
            change_allowed_at: now,
        }
    }

    /// When something has to be done at the latest.
    pub(super) fn next_deadline(&self) -> Duration {
        let deadline = self.heartbeat_at.min(self.confirmed_at + STEP_DOWN_AFTER);
        self.progress.next_resend().map_or(deadline, |resend_at| deadline.min(resend_at))
    }

    /// Whether the lease runs.
    pub(super) fn lease_valid(&self, now: Duration) -> bool {
        now < self.lease_until
    }

    /// Whether a holder has stored nothing for long though there is something to store.
    pub(super) fn is_stalled(&self, holder: NodeId, now: Duration) -> bool {
        self.progress.is_stalled(holder, now)
    }

    /// The proposal behind an entry.
    pub(super) fn take_proposal(&mut self, sequence: u64) -> Option<u64> {
        self.proposals.remove(&sequence)
    }

    /// Notes a heartbeat's answer; whether it was one of this view's heartbeats.
    fn acknowledge(&mut self, from: NodeId, epoch: u64, token: u64) -> bool {
        let sent = self.sent.iter().find(|(sent_token, _)| *sent_token == token).map(|(_, at)| *at);
        let Some(sent) = sent.filter(|_| epoch == self.view.epoch) else { return false };
        let newest = self.acknowledged.entry(from).or_insert(sent);
        *newest = sent.max(*newest);
        self.renew_lease();
        true
    }

    /// The lease runs from the newest moment since which a majority has acknowledged.
    fn renew_lease(&mut self) {
        let mut moments: Vec<Duration> = self.acknowledged.values().copied().collect();
        moments.sort_unstable();
        let confirmed = moments.into_iter().rev().find(|moment| {
            let voters: BTreeSet<NodeId> = self
                .acknowledged
                .iter()
                .filter(|(_, acknowledged)| *acknowledged >= moment)
                .map(|(node, _)| *node)
                .collect();
            has_quorum(&self.view, &voters)
        });
        let Some(confirmed) = confirmed else { return };
        self.confirmed_at = self.confirmed_at.max(confirmed);
        self.lease_until = self.lease_until.max(confirmed + LEASE_TERM);
        self.view.previous_voters.clear();
    }
}

impl Replication {
    /// The view is in force: everything that this member holds is committed.
    pub(super) fn become_primary(&mut self, now: Duration, view: View) {
        let first_token = self.random.u64(..) >> 1;
        let sequence = self.state.data.sequence;
        let mut leadership = Leadership::new(view, sequence, first_token, now);
        if let Some(previous) = self.leadership.take() {
            leadership.lease_until = previous.lease_until;
            leadership.proposals = previous.proposals;
            leadership.waiting = previous.waiting;
            leadership.change_allowed_at = now + RESEND_INTERVAL;
        } else {
            self.presume_members_alive(now, &leadership.view);
        }
        self.heard = None;
        let waiting = std::mem::take(&mut leadership.waiting);
        self.leadership = Some(leadership);
        self.apply_up_to(sequence);
        for proposal in waiting {
            self.append(now, proposal.ticket, proposal.command);
        }
    }

    /// A new primary gives holders, which have just answered, the full time before it takes them for dead,
    /// and others a shorter one.
    fn presume_members_alive(&mut self, now: Duration, view: &View) {
        let others = view.voters.iter().filter(|member| **member != self.settings.node);
        for member in others {
            let is_holder = view.holders.contains(member);
            let earlier = (now + NEW_PRIMARY_GRACE).saturating_sub(VOTER_DEAD_AFTER);
            let presumed = if is_holder { now } else { earlier };
            let peer = self.peers.entry(*member);
            peer.acknowledged = Some(presumed);
            peer.healthy = Some(presumed);
        }
    }

    /// Gives up being primary; proposals fail.
    pub(super) fn step_down(&mut self, now: Duration) {
        let Some(leadership) = self.leadership.take() else { return };
        self.attempt = None;
        for proposal in leadership.proposals.into_values() {
            self.out.push(Output::ProposalFailed { proposal, reason: FailureReason::OutcomeUnknown });
        }
        for proposal in leadership.waiting {
            let reason = FailureReason::NotTaken;
            self.out.push(Output::ProposalFailed { proposal: proposal.ticket, reason });
        }
        if self.grant.as_ref().is_some_and(|grant| grant.primary == self.settings.node) {
            self.grant = None;
        }
        let patience = if self.leaving { LEAVING_CAMPAIGN_DELAY } else { ELECTION_TIMEOUT / 2 };
        self.campaign_at = now + patience + jitter(&mut self.random, 0..500);
    }

    /// Steps down if no majority has answered for too long.
    pub(super) fn check_lease(&mut self, now: Duration) {
        let is_lost = self.leadership.as_ref().is_some_and(|own| {
            now.saturating_sub(own.confirmed_at) >= STEP_DOWN_AFTER && !own.lease_valid(now)
        });
        if is_lost {
            self.step_down(now);
        }
    }

    /// The primary's timers.
    pub(super) fn lead(&mut self, now: Duration) {
        if self.leadership.is_none() {
            return;
        }
        if (self.leaving || !self.disk_healthy) && self.release(now) {
            return;
        }
        self.send_heartbeats_if_due(now);
        self.give_up_waiting_proposals(now);
        self.resend_entries_if_due(now);
        self.exchange_members_if_needed(now);
    }

    fn send_heartbeats_if_due(&mut self, now: Duration) {
        let node = self.settings.node;
        let committed = self.applied;
        let Some(leadership) = &mut self.leadership else { return };
        if now < leadership.heartbeat_at {
            return;
        }
        leadership.heartbeat_at = now + HEARTBEAT_INTERVAL;
        leadership.next_token += 1;
        let token = leadership.next_token;
        leadership.sent.push_back((token, now));
        if leadership.sent.len() > REMEMBERED_HEARTBEATS {
            leadership.sent.pop_front();
        }
        let view = leadership.view.clone();
        self.peers.prune(now, |peer| view.voters.contains(&peer));
        let mut targets: BTreeSet<NodeId> = self.peers.iter().map(|(peer, _)| peer).collect();
        targets.extend(&view.voters);
        targets.extend(&view.previous_voters);
        targets.insert(node);
        for target in targets {
            self.send(target, ReplicationMessage::Heartbeat { view: view.clone(), token, committed });
        }
    }

    /// A member has answered a heartbeat.
    pub(super) fn on_heartbeat_ack(
        &mut self,
        now: Duration,
        from: NodeId,
        (epoch, token): (u64, u64),
        report: PeerReport,
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        let was_settled = is_settled(&leadership.view);
        if !leadership.acknowledge(from, epoch, token) {
            return;
        }
        if !was_settled && is_settled(&leadership.view) {
            // Until the others know it, they can't elect anyone without the voters that were exchanged.
            leadership.heartbeat_at = now;
        }
        let view = leadership.view.clone();
        if self.state.view.as_ref().is_some_and(|recorded| recorded.epoch == view.epoch) {
            self.learn(now, &view);
        }
        if from == self.settings.node {
            return;
        }
        let peer = self.peers.entry(from);
        peer.zone = report.zone;
        peer.leaving = report.leaving;
        peer.acknowledged = Some(now);
        if report.disk_healthy {
            peer.healthy = Some(now);
        }
    }

    /// Takes a command from the operator.
    pub(super) fn propose(&mut self, now: Duration, ticket: u64, command: Arc<[u8]>) {
        let is_changing = self.attempt.is_some() || self.is_change_pending();
        match &mut self.leadership {
            Some(leadership) if is_changing => {
                leadership.waiting.push_back(WaitingProposal { ticket, command, since: now });
            }
            Some(_) => self.append(now, ticket, command),
            None => {
                self.out.push(Output::ProposalFailed { proposal: ticket, reason: FailureReason::NotTaken });
            }
        }
    }

    /// A view change takes too long for those who wait. Their commands were never replicated, so they get a certain
    /// answer before they would give up by themselves without one.
    fn give_up_waiting_proposals(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else { return };
        let is_late =
            |waiting: &mut WaitingProposal| now.saturating_sub(waiting.since) >= LONGEST_PROPOSAL_WAIT;
        while let Some(waiting) = leadership.waiting.pop_front_if(is_late) {
            let reason = FailureReason::NotTaken;
            self.out.push(Output::ProposalFailed { proposal: waiting.ticket, reason });
        }
    }

    /// The own promise is above the view that it leads: nothing is stored until the view is changed.
    fn is_change_pending(&self) -> bool {
        self.leadership.as_ref().is_some_and(|own| own.view.epoch < self.state.promised)
    }

    fn append(&mut self, now: Duration, ticket: u64, command: Arc<[u8]>) {
        let sequence = self.state.data.sequence + 1;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.proposals.insert(sequence, ticket);
        leadership.progress.appended(now, command.len());
        let epoch = leadership.view.epoch;
        let node = self.settings.node;
        let mut backups = leadership.view.holders.clone();
        backups.retain(|holder| *holder != node);
        let entry = Entry { sequence, command };
        for backup in backups {
            self.send(backup, ReplicationMessage::Append { epoch, entry: entry.clone() });
        }
        self.on_append(node, epoch, entry);
    }

    /// A holder has stored an entry and all before it.
    pub(super) fn on_appended(&mut self, now: Duration, from: NodeId, epoch: u64, sequence: u64) {
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.view.epoch != epoch {
            return;
        }
        leadership.progress.stored(now, from, sequence);
        let committed = leadership.progress.committed();
        self.apply_up_to(committed);
    }

    fn resend_entries_if_due(&mut self, now: Duration) {
        let is_changing = self.attempt.is_some() || self.is_change_pending();
        let node = self.settings.node;
        let Some(leadership) = &mut self.leadership else { return };
        let epoch = leadership.view.epoch;
        let mut lagging = leadership.progress.take_due(now);
        if is_changing {
            return;
        }
        lagging.retain(|(holder, _)| *holder != node);
        for (holder, stored) in lagging {
            for entry in self.entries_to_resend(stored) {
                self.send(holder, ReplicationMessage::Append { epoch, entry });
            }
        }
    }

    /// The entries after a number, as many as are sent again at once.
    fn entries_to_resend(&self, stored: u64) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let missing = (stored + 1..=self.state.data.sequence).take(RESENT_ENTRIES);
        for entry in missing.filter_map(|sequence| self.state.entry(sequence)) {
            bytes += entry.command.len();
            if bytes > RESENT_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Starts a view change if the members in force are not those that are wanted.
    fn exchange_members_if_needed(&mut self, now: Duration) {
        let is_pending = self.is_change_pending();
        let Some(leadership) = &self.leadership else { return };
        let is_idle = self.attempt.is_none() && self.disk_healthy;
        if !is_idle || !leadership.lease_valid(now) || now < leadership.change_allowed_at {
            return;
        }
        if is_pending && now < self.campaign_at {
            return;
        }
        let is_stalled = leadership.view.holders.iter().any(|holder| leadership.is_stalled(*holder, now));
        let Some(members) = self.choose_as_primary(now, &leadership.view) else { return };
        let is_other =
            members.voters != leadership.view.voters || members.holders != leadership.view.holders;
        if is_pending || is_other || is_stalled || leadership.is_change_forced {
            if let Some(leadership) = &mut self.leadership {
                leadership.change_allowed_at = now + CHANGE_INTERVAL;
                leadership.is_change_forced = false;
            }
            self.start_attempt(now);
        }
    }

    /// A member has promised a higher epoch than the one led here: only a new view takes it in again.
    pub(super) fn note_higher_promise(&mut self, epoch: u64, promised: u64) {
        let own = self.state.promised;
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.view.epoch == epoch && promised > own {
            leadership.is_change_forced = true;
        }
    }

    /// Gives up the lease in favour of a backup that answers and stays; false if there is none. A primary that
    /// leaves goes on without one until it has brought another member up to date. Whether a backup stays is known
    /// from its answer to a heartbeat of this view: two that leave would hand the lease to each other for ever.
    fn release(&mut self, now: Duration) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        if self.leaving && self.attempt.is_some() {
            return false;
        }
        let is_live = |holder: &&NodeId| {
            let peer = self.peers.get(**holder);
            let has_answered = leadership.acknowledged.contains_key(*holder);
            let stays = |peer: &Peer| is_recent(peer.healthy, now, BACKUP_DEAD_AFTER) && !peer.leaving;
            has_answered && peer.is_some_and(stays)
        };
        let successor = leadership.view.holders.iter().skip(1).find(is_live).copied();
        let Some(successor) = successor else { return false };
        let epoch = leadership.view.epoch;
        let mut voters: BTreeSet<NodeId> = leadership.view.voters.iter().copied().collect();
        voters.remove(&self.settings.node);
        self.step_down(now);
        for voter in voters {
            self.send(voter, ReplicationMessage::Release { epoch, successor });
        }
        true
    }
}
