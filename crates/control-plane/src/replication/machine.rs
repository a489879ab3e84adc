//! The state machine's state, its inputs, and the steps that all parts share.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use fastrand::Rng;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage, View};

use super::campaign::Attempt;
use super::durable::{DurableRecord, DurableState};
use super::interface::{Input, Output, Role};
use super::journal::{Held, Journal};
use super::leader::{Leadership, PeerReport};
use super::peers::{Peers, is_recent};
use super::quorum::electorate;
use super::settings::{
    ELECTION_STAGGER, ELECTION_TIMEOUT, GRANT_TERM, JOIN_INTERVAL, LEAVING_CAMPAIGN_DELAY,
    PRIMARY_KNOWN_FOR, REDIRECT_FOR, ReplicationSettings, VOTER_DEAD_AFTER,
};
use super::transfer::{IncomingTransfer, Part};

/// A primary for which this member votes as long as the grant runs.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) primary: NodeId,
    pub(super) epoch: u64,
    pub(super) until: Duration,
}

/// The primary whose heartbeat came last.
#[derive(Clone, Debug)]
pub(super) struct HeardPrimary {
    pub(super) node: NodeId,
    pub(super) at: Duration,
}

/// One member's part in the agreement.
#[derive(Clone, Debug)]
pub struct Replication {
    pub(super) settings: ReplicationSettings,
    pub(super) random: Rng,
    /// What is on disk or on its way there.
    pub(super) state: DurableState,
    pub(super) journal: Journal,
    loopback: VecDeque<Envelope>,
    pub(super) out: Vec<Output>,
    starting: bool,
    /// The proposer that has this process's newest promise.
    pub(super) promised_to: Option<NodeId>,
    pub(super) grant: Option<Grant>,
    /// Heartbeats up to this epoch are from primaries that have given up.
    pub(super) released_epoch: u64,
    /// No promise before: grants from before the start may run.
    pub(super) quiet_until: Duration,
    /// The newest view that is on disk or on its way there, by its epoch. A standby knows newer ones from
    /// heartbeats only.
    pub(super) view_recorded: Option<u64>,
    /// The newest view that is surely on disk, by its epoch.
    pub(super) view_on_disk: Option<u64>,
    pub(super) heard: Option<HeardPrimary>,
    pub(super) peers: Peers,
    pub(super) leadership: Option<Leadership>,
    pub(super) attempt: Option<Attempt>,
    /// What a proposer has sent so far to bring this member up to date.
    pub(super) incoming: IncomingTransfer,
    pub(super) campaign_at: Duration,
    pub(super) failed_attempts: u32,
    /// A primary that gave up and should not be chosen again at once.
    pub(super) avoided: Option<NodeId>,
    pub(super) highest_seen: u64,
    pub(super) applied: u64,
    pub(super) disk_healthy: bool,
    pub(super) leaving: bool,
    known: Vec<NodeId>,
    join_at: Duration,
    role: Role,
}

impl Replication {
    /// A member that starts from what is on its disk.
    #[must_use]
    pub fn new(settings: ReplicationSettings, durable: DurableState, now: Duration) -> Self {
        let may_have_granted = durable.promised > 0;
        let mut replication = Replication {
            random: Rng::with_seed(settings.seed),
            highest_seen: durable.promised,
            view_recorded: durable.view.as_ref().map(|view| view.epoch),
            view_on_disk: durable.view.as_ref().map(|view| view.epoch),
            applied: durable.snapshot_sequence,
            state: durable,
            journal: Journal::default(),
            loopback: VecDeque::new(),
            out: Vec::new(),
            starting: true,
            promised_to: None,
            grant: None,
            released_epoch: 0,
            quiet_until: if may_have_granted { now + GRANT_TERM } else { now },
            heard: None,
            peers: Peers::default(),
            leadership: None,
            attempt: None,
            incoming: IncomingTransfer::default(),
            campaign_at: now,
            failed_attempts: 0,
            avoided: None,
            disk_healthy: true,
            leaving: false,
            known: Vec::new(),
            join_at: now,
            role: Role::Standby,
            settings,
        };
        replication.campaign_at = replication.quiet_until + replication.election_offset();
        replication
    }

    /// Takes one input; what is to be done is added to `out`.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.starting) && !self.state.snapshot.is_empty() {
            self.restore();
        }
        self.check_lease(now);
        match input {
            Input::Tick => {}
            Input::Message(envelope) => self.receive(now, envelope),
            Input::Persisted { ticket } => self.journal.persisted(ticket),
            Input::Propose { ticket, command } => self.propose(now, ticket, command),
            Input::Compact { sequence, snapshot } => self.compact(sequence, snapshot),
            Input::DiskHealthy(healthy) => self.disk_healthy = healthy,
            Input::Known(nodes) => self.known = nodes,
            Input::Terminate => self.start_leaving(now),
        }
        self.settle(now);
        self.run_timers(now);
        self.settle(now);
        self.tell_role();
        if let Some((ticket, records)) = self.journal.take_batch() {
            self.out.push(Output::Persist { ticket, records });
        }
        out.append(&mut self.out);
    }

    /// When [`Input::Tick`] is due at the latest.
    #[must_use]
    pub fn next_deadline(&self) -> Duration {
        if self.starting {
            return Duration::ZERO;
        }
        let mut deadline = self.join_at;
        if let Some(leadership) = &self.leadership {
            deadline = leadership.next_deadline();
        }
        if let Some(attempt) = &self.attempt {
            deadline = deadline.min(attempt.next_deadline());
        } else if self.may_campaign() && self.leadership.is_none() {
            deadline = deadline.min(self.campaign_at);
        }
        deadline
    }

    /// Whether this member is primary and holds a running lease: no other member is primary then.
    #[must_use]
    pub fn is_primary(&self, now: Duration) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.lease_valid(now))
    }

    /// The epoch of the view that this member leads, or else of the newest one that it knows.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.view().map_or(0, |view| view.epoch)
    }

    /// The view that this member leads, or else the newest one that it knows.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        match &self.leadership {
            Some(leadership) => Some(&leadership.view),
            None => self.state.view.as_ref(),
        }
    }

    /// The primary, if it was heard of lately.
    #[must_use]
    pub fn known_primary(&self, now: Duration) -> Option<NodeId> {
        if self.is_primary(now) {
            return Some(self.settings.node);
        }
        self.primary_heard_within(now, PRIMARY_KNOWN_FOR)
    }

    /// Another member that callers may be sent to, since it certainly was the primary a moment ago.
    #[must_use]
    pub fn redirect_target(&self, now: Duration) -> Option<NodeId> {
        self.primary_heard_within(now, REDIRECT_FOR)
    }

    fn primary_heard_within(&self, now: Duration, span: Duration) -> Option<NodeId> {
        let heard = self.heard.as_ref()?;
        is_recent(Some(heard.at), now, span).then_some(heard.node)
    }

    /// Members that answer this primary, with their zones, itself included; empty at others.
    #[must_use]
    pub fn live_members(&self, now: Duration) -> Vec<(NodeId, String)> {
        if self.leadership.is_none() {
            return Vec::new();
        }
        let mut members = vec![(self.settings.node, self.settings.zone.clone())];
        let alive = self.peers.iter().filter(|(_, peer)| {
            !peer.zone.is_empty() && is_recent(peer.acknowledged, now, VOTER_DEAD_AFTER)
        });
        members.extend(alive.map(|(node, peer)| (node, peer.zone.clone())));
        members.sort();
        members
    }

    /// This member's part as last told by [`Output::RoleChanged`].
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// The newest entry that was applied here.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    fn run_timers(&mut self, now: Duration) {
        self.lead(now);
        self.run_attempt(now);
        self.settle(now);
        self.campaign_if_due(now);
        if self.leadership.is_none() && now >= self.join_at {
            self.join_at = now + JOIN_INTERVAL;
            self.ask_to_join(now);
        }
    }

    fn ask_to_join(&mut self, now: Duration) {
        let heard = self.heard.as_ref().map(|heard| heard.at);
        if self.leaving || is_recent(heard, now, JOIN_INTERVAL) {
            return;
        }
        let mut targets: Vec<NodeId> = self.known.clone();
        targets.extend(&self.settings.seeds);
        if let Some(view) = &self.state.view {
            targets.extend(&view.voters);
        }
        targets.sort_unstable();
        targets.dedup_by_key(|node| node.ip);
        for target in targets {
            if target.ip != self.settings.node.ip {
                self.send(target, ReplicationMessage::Join { zone: self.settings.zone.clone() });
            }
        }
    }

    /// Handles what was sent to itself and releases what waited for the disk, until nothing is left.
    fn settle(&mut self, now: Duration) {
        loop {
            if let Some(held) = self.journal.release() {
                match held {
                    Held::Send(envelope) => self.deliver(envelope),
                    Held::ViewRecorded(epoch) => self.view_on_disk = self.view_on_disk.max(Some(epoch)),
                }
            } else if let Some(envelope) = self.loopback.pop_front() {
                self.dispatch(now, envelope.from, envelope.message);
            } else {
                return;
            }
        }
    }

    fn receive(&mut self, now: Duration, envelope: Envelope) {
        let node = self.settings.node;
        let is_join = matches!(envelope.message, ReplicationMessage::Join { .. });
        let is_meant = envelope.to == node || (is_join && envelope.to.ip == node.ip);
        if is_meant && envelope.from != node {
            self.dispatch(now, envelope.from, envelope.message);
        }
    }

    fn dispatch(&mut self, now: Duration, from: NodeId, message: ReplicationMessage) {
        match message {
            ReplicationMessage::Prepare { epoch } => self.on_prepare(now, from, epoch),
            ReplicationMessage::Promise { epoch, view } => self.on_promise(now, from, epoch, view),
            ReplicationMessage::Refuse { epoch, promised } => self.on_refuse(now, from, epoch, promised),
            ReplicationMessage::Sync { epoch, data_epoch, transfer, offset, bytes } => {
                let part = Part { transfer, offset, bytes };
                self.on_sync(now, from, epoch, data_epoch, part);
            }
            ReplicationMessage::SyncProgress { epoch, transfer, received } => {
                self.on_sync_progress(now, from, epoch, transfer, received);
            }
            ReplicationMessage::Synced { epoch, sequence } => self.on_synced(now, from, epoch, sequence),
            ReplicationMessage::Install { view } => self.on_install(now, from, view),
            ReplicationMessage::Installed { epoch } => self.on_installed(now, from, epoch),
            ReplicationMessage::Append { epoch, entry } => self.on_append(from, epoch, entry),
            ReplicationMessage::Appended { epoch, sequence } => {
                self.on_appended(now, from, epoch, sequence);
            }
            ReplicationMessage::Heartbeat { view, token, committed } => {
                self.on_heartbeat(now, from, view, token, committed);
            }
            ReplicationMessage::HeartbeatAck { epoch, token, zone, disk_healthy, leaving } => {
                let peer = PeerReport { zone, disk_healthy, leaving };
                self.on_heartbeat_ack(now, from, (epoch, token), peer);
            }
            ReplicationMessage::Release { epoch, successor } => {
                self.on_release(now, from, epoch, successor);
            }
            ReplicationMessage::Join { zone } => self.on_join(now, from, zone),
        }
    }

    /// Sends now.
    pub(super) fn send(&mut self, to: NodeId, message: ReplicationMessage) {
        self.deliver(Envelope { from: self.settings.node, to, message });
    }

    /// Sends when all records so far are on disk.
    pub(super) fn send_when_durable(&mut self, to: NodeId, message: ReplicationMessage) {
        self.journal.hold(Held::Send(Envelope { from: self.settings.node, to, message }));
    }

    /// Sends in the name of any member.
    pub(super) fn deliver(&mut self, envelope: Envelope) {
        if envelope.to == self.settings.node {
            self.loopback.push_back(envelope);
        } else {
            self.out.push(Output::Send(envelope));
        }
    }

    /// Changes what is kept on disk.
    pub(super) fn record(&mut self, record: DurableRecord) {
        self.state.apply(&record);
        self.journal.push(record);
    }

    /// Raises the promised epoch.
    pub(super) fn promise(&mut self, epoch: u64) {
        self.highest_seen = self.highest_seen.max(epoch);
        if epoch > self.state.promised {
            self.promised_to = None;
            self.record(DurableRecord::Promised(epoch));
        }
    }

    /// Takes a view as known if it is newer than, or says more than the recorded one.
    pub(super) fn learn(&mut self, now: Duration, view: &View) {
        if !self.is_news(view) {
            return;
        }
        let node = self.settings.node;
        let is_concerned = self.view_recorded.is_some() || electorate(view).contains(&node);
        if is_concerned {
            self.promise(view.epoch);
            self.record_view(view);
        } else {
            self.highest_seen = self.highest_seen.max(view.epoch);
            self.state.view = Some(view.clone());
        }
        let is_outdated = |attempt: &Attempt| attempt.is_outdated_by(view);
        if self.attempt.as_ref().is_some_and(is_outdated) {
            self.attempt = None;
            self.campaign_at = now + jitter(&mut self.random, 20..100);
        }
        let leads_older = self.leadership.as_ref().is_some_and(|own| own.view.epoch < view.epoch);
        if leads_older && view.holders.first() != Some(&node) {
            self.step_down(now);
        }
    }

    /// Writes a view to the disk.
    pub(super) fn record_view(&mut self, view: &View) {
        self.record(DurableRecord::View(view.clone()));
        self.view_recorded = Some(view.epoch);
        self.journal.hold(Held::ViewRecorded(view.epoch));
    }

    fn is_news(&self, view: &View) -> bool {
        if view.voters.is_empty() {
            return false;
        }
        let Some(recorded) = &self.state.view else { return true };
        let settles = recorded.previous_voters != view.previous_voters && view.previous_voters.is_empty();
        view.epoch > recorded.epoch || (view.epoch == recorded.epoch && settles)
    }

    /// How long after the election timeout this member campaigns, by its place among the holders.
    pub(super) fn election_offset(&mut self) -> Duration {
        let node = self.settings.node;
        let holders = self.state.view.as_ref().map_or(&[][..], |view| &view.holders);
        let place = holders.iter().position(|holder| *holder == node).unwrap_or(0);
        let patience = if self.leaving { LEAVING_CAMPAIGN_DELAY } else { Duration::ZERO };
        patience + ELECTION_STAGGER * place as u32 + jitter(&mut self.random, 0..100)
    }

    /// Leaves others the time for a view change before it tries one itself.
    pub(super) fn postpone_campaign(&mut self, now: Duration) {
        let at = now + ELECTION_TIMEOUT + self.election_offset();
        self.campaign_at = self.campaign_at.max(at);
    }

    /// The state starts anew from the snapshot.
    pub(super) fn restore(&mut self) {
        self.applied = self.state.snapshot_sequence;
        self.out.push(Output::Restore { sequence: self.applied, snapshot: self.state.snapshot.clone() });
    }

    /// Applies entries up to a number.
    pub(super) fn apply_up_to(&mut self, sequence: u64) {
        while self.applied < sequence {
            let Some(entry) = self.state.entry(self.applied + 1) else { return };
            let command = entry.command.clone();
            self.applied += 1;
            let proposal =
                self.leadership.as_mut().and_then(|leadership| leadership.take_proposal(self.applied));
            self.out.push(Output::Apply { sequence: self.applied, command, proposal });
        }
    }

    fn compact(&mut self, sequence: u64, snapshot: std::sync::Arc<[u8]>) {
        if sequence <= self.applied && sequence > self.state.snapshot_sequence {
            self.record(DurableRecord::Snapshot { sequence, snapshot });
        }
    }

    fn tell_role(&mut self) {
        let role = self.current_role();
        if role != self.role {
            self.role = role;
            self.out.push(Output::RoleChanged(role));
        }
    }

    fn current_role(&self) -> Role {
        let node = self.settings.node;
        if let Some(leadership) = &self.leadership {
            return Role::Primary { epoch: leadership.view.epoch };
        }
        match &self.state.view {
            Some(view) if view.holders.contains(&node) => Role::Backup,
            Some(view) if view.voters.contains(&node) => Role::Voter,
            _ => Role::Standby,
        }
    }
}

/// A random time from a range of milliseconds.
pub(super) fn jitter(random: &mut Rng, milliseconds: Range<u64>) -> Duration {
    Duration::from_micros(random.u64(milliseconds.start * 1000..milliseconds.end * 1000))
}
