//! A cluster whose links and disks have a speed, with commands as long as a configuration. No faults but those that
//! a test makes.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use tulipridge_control_plane::replication::{
    DurableRecord, DurableState, FailureReason, Input, Output, ProposalTicket, Replication,
    ReplicationSettings, Role, WriteTicket,
};

use tulipridge_control_plane::member::disk_health::DiskHealthMonitor;
use tulipridge_control_plane::state_log::COMPACT_AFTER_RECORD_BYTES;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::SequenceNumber;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage};

use super::support::checker::Checker;

/// A link of 10 Mbit/s, in bytes a second.
pub(crate) const SLOW_LINK: u64 = 10_000_000 / 8;
/// A link of 1 Gbit/s.
pub(crate) const FAST_LINK: u64 = 1_000_000_000 / 8;
/// A configuration of an operator.
pub(crate) const CONFIGURATION_BYTES: usize = 1_300_000;

/// Applied bytes after which a member makes a snapshot, as a real one does.
const COMPACT_AFTER: usize = 1 << 20;
/// Syncs of a compaction: the new segment, its name, the snapshot, and its name.
const COMPACTION_SYNCS: u32 = 4;
/// Bytes of a message beside its commands and data.
const MESSAGE_OVERHEAD: u64 = 100;
/// Shortest time between two looks at a member's deadline.
const SHORTEST_PAUSE: Duration = Duration::from_micros(100);

/// How fast a disk is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DiskSpeed {
    /// Bytes a second.
    pub bytes: u64,
    /// What each sync takes beside.
    pub sync: Duration,
}

impl DiskSpeed {
    /// A usual disk.
    pub(crate) const USUAL: DiskSpeed = DiskSpeed { bytes: 300_000_000, sync: Duration::from_millis(3) };

    /// One that takes so many times as long.
    pub(crate) fn slower(self, times: u32) -> DiskSpeed {
        DiskSpeed { bytes: self.bytes / u64::from(times), sync: self.sync * times }
    }
}

/// Records that are not on disk.
#[derive(Debug)]
struct PendingWrite {
    ticket: u64,
    records: Vec<DurableRecord>,
}

/// A running process.
pub(crate) struct Process {
    incarnation: u64,
    /// The state machine.
    pub replication: Replication,
    /// Commands that were applied, in order.
    pub applied: Vec<u64>,
    newest_length: usize,
    applied_bytes: usize,
    wake_at: Duration,
}

/// A member.
pub(crate) struct Member {
    /// Its name.
    pub node: NodeId,
    /// What is on its disk.
    pub disk: DurableState,
    /// How fast that is.
    pub speed: DiskSpeed,
    pending: VecDeque<PendingWrite>,
    disk_health: DiskHealthMonitor,
    /// How many of the pending writes are being written under one sync.
    writing: usize,
    /// Bytes written since the log was last compacted.
    log_bytes: u64,
    /// Until when the disk is busy with that.
    compacts_until: Duration,
    /// Its process, while one runs.
    pub process: Option<Process>,
    incarnations: u64,
}

impl Member {
    /// As the thread of the disk does: the complete state takes the place of the records.
    fn compact_log_if_due(&mut self, now: Duration) {
        if self.log_bytes <= COMPACT_AFTER_RECORD_BYTES as u64 {
            return;
        }
        let entries = self.disk.entries.iter().map(|entry| entry.command.len() as u64);
        let bytes = self.disk.snapshot.len() as u64 + entries.sum::<u64>();
        self.log_bytes = 0;
        self.compacts_until = now + COMPACTION_SYNCS * self.speed.sync + span(bytes, self.speed.bytes);
    }
}

#[derive(Debug)]
enum Event {
    Arrival { from: usize, to: usize, envelope: Envelope },
    Wake { member: usize, incarnation: u64 },
    Synced { member: usize, incarnation: u64 },
    Start { member: usize },
}

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// How a proposal ended, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It was acknowledged.
    Acknowledged(Duration),
    /// It failed.
    Failed(FailureReason),
}

/// Changes messages on their way out: the messages that leave in place of one.
pub(crate) type Interceptor = Box<dyn FnMut(&Envelope) -> Vec<Envelope>>;

/// The cluster.
pub(crate) struct Cluster {
    /// True time, which all clocks show.
    pub now: Duration,
    /// All members.
    pub members: Vec<Member>,
    /// What must hold.
    pub checker: Checker,
    /// Bytes a second of each direction of each link.
    pub link_speed: u64,
    /// The time that a message takes beside.
    pub latency: Duration,
    /// Directions that are cut.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Faults of messages.
    pub interceptor: Option<Interceptor>,
    /// Messages that were sent, by kind.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// Proposals that have ended.
    pub ends: BTreeMap<u64, End>,
    /// Applied bytes after which a member makes a snapshot.
    pub compact_after: usize,
    losses: u32,
    seeds: usize,
    first_boot: bool,
    /// When a direction of a link is free, for data or for other messages.
    link_free_at: BTreeMap<(usize, usize, bool), Duration>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    next_command: u64,
}

impl Cluster {
    /// A cluster that starts for the first time.
    pub(crate) fn new(losses: u32, seeds: usize, members: usize) -> Cluster {
        let mut cluster = Cluster {
            now: Duration::from_secs(100),
            members: Vec::new(),
            checker: Checker::default(),
            link_speed: FAST_LINK,
            latency: Duration::from_micros(500),
            cuts: BTreeSet::new(),
            interceptor: None,
            traffic: BTreeMap::new(),
            ends: BTreeMap::new(),
            compact_after: COMPACT_AFTER,
            losses,
            seeds,
            first_boot: true,
            link_free_at: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_command: 1,
        };
        for index in 0..members {
            let generation = if index < seeds { 0 } else { index as u64 };
            let node = NodeId::new(Ipv4Addr::new(10, 0, 0, 10 + index as u8), Generation(generation));
            let (disk, speed) = (DurableState::default(), DiskSpeed::USUAL);
            cluster.members.push(Member {
                node,
                disk,
                speed,
                pending: VecDeque::new(),
                disk_health: DiskHealthMonitor::default(),
                writing: 0,
                log_bytes: 0,
                compacts_until: Duration::ZERO,
                process: None,
                incarnations: 0,
            });
            cluster.schedule(cluster.now, Event::Start { member: index });
        }
        cluster.run_for(Duration::from_secs(3));
        cluster.first_boot = false;
        cluster
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at.max(self.now), self.next_event)));
    }

    /// Lets a span pass.
    pub(crate) fn run_for(&mut self, span: Duration) {
        self.run_while_not(span, |_| false);
    }

    /// Lets time pass until something holds; whether it did within the span.
    pub(crate) fn run_while_not(&mut self, span: Duration, holds: impl Fn(&Cluster) -> bool) -> bool {
        let until = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until || holds(self) {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&number).expect("each event is there once");
            self.take(event);
            self.check_leases();
        }
        let has_ended = holds(self);
        if !has_ended {
            self.now = until;
        }
        has_ended
    }

    fn check_leases(&mut self) {
        let leases = |member: &&Member| {
            member.process.as_ref().is_some_and(|process| process.replication.is_primary(self.now))
        };
        let lease_holders: Vec<NodeId> =
            self.members.iter().filter(leases).map(|member| member.node).collect();
        self.checker.leases(&lease_holders);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrival { from, to, envelope } => {
                if !self.cuts.contains(&(from, to)) {
                    self.input(to, Input::Message(envelope));
                }
            }
            Event::Wake { member, incarnation } if self.is_incarnation(member, incarnation) => {
                self.input(member, Input::Tick);
            }
            Event::Synced { member, incarnation } if self.is_incarnation(member, incarnation) => {
                self.sync(member);
            }
            Event::Wake { .. } | Event::Synced { .. } => {}
            Event::Start { member } => self.start(member),
        }
    }

    fn is_incarnation(&self, member: usize, incarnation: u64) -> bool {
        self.members[member].process.as_ref().is_some_and(|process| process.incarnation == incarnation)
    }

    fn start(&mut self, index: usize) {
        let seeds = (0..self.seeds).map(|seed| self.members[seed].node).collect();
        let member = &mut self.members[index];
        if member.process.is_some() {
            return;
        }
        member.incarnations += 1;
        let settings = ReplicationSettings {
            node: member.node,
            zone: format!("zone-{}", index % 3),
            seeds,
            tolerated_failures: self.losses,
            first_boot: self.first_boot,
            seed: index as u64 * 1000 + member.incarnations,
        };
        if member.incarnations == 1 {
            member.disk.view = settings.first_view();
        }
        member.process = Some(Process {
            incarnation: member.incarnations,
            replication: Replication::new(settings, member.disk.clone(), self.now),
            applied: Vec::new(),
            newest_length: 0,
            applied_bytes: 0,
            wake_at: Duration::ZERO,
        });
        self.input(index, Input::Tick);
    }

    /// Hands an input to a member.
    pub(crate) fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let member = &mut self.members[index];
        let Some(process) = &mut member.process else { return };
        let mut out = Vec::new();
        if let Some(healthy) = member.disk_health.health_change(now) {
            process.replication.handle(now, Input::DiskHealthy(healthy), &mut out);
        }
        process.replication.handle(now, input, &mut out);
        let due = process.replication.next_deadline().max(now + SHORTEST_PAUSE);
        let incarnation = process.incarnation;
        if process.wake_at <= now || due < process.wake_at {
            process.wake_at = due;
            self.schedule(due, Event::Wake { member: index, incarnation });
        }
        for output in out {
            self.carry_out(index, output);
        }
        self.compact_when_due(index);
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        match output {
            Output::Send(envelope) => self.send(index, envelope),
            Output::Persist { ticket, records } => self.write(index, ticket.0, records),
            Output::Apply { sequence, command, proposal } => {
                self.apply(index, sequence, &command, proposal);
            }
            Output::Restore { sequence, snapshot } => self.restore(index, sequence.0, &snapshot),
            Output::RoleChanged(Role::Primary { epoch }) => {
                let member = &self.members[index];
                let Some(process) = &member.process else { return };
                self.checker.became_primary(member.node, epoch.0, &process.applied);
            }
            Output::RoleChanged(_) => {}
            Output::ProposalFailed { proposal, reason } => {
                self.ends.insert(proposal.0, End::Failed(reason));
            }
        }
    }

    fn apply(
        &mut self,
        index: usize,
        sequence: SequenceNumber,
        command: &[u8],
        proposal: Option<ProposalTicket>,
    ) {
        let Some(process) = &mut self.members[index].process else { return };
        let name = command_name(command);
        process.applied.push(name);
        process.newest_length = command.len();
        process.applied_bytes += command.len();
        assert_eq!(process.applied.len() as u64, sequence.0, "entries are applied in order without gaps");
        self.checker.applied(sequence.0, name);
        if let Some(ticket) = proposal {
            self.checker.acknowledge(sequence.0, name, process.replication.epoch().0);
            self.ends.insert(ticket.0, End::Acknowledged(self.now));
        }
    }

    fn restore(&mut self, index: usize, sequence: u64, snapshot: &[u8]) {
        let Some(process) = &mut self.members[index].process else { return };
        process.applied_bytes = 0;
        (process.applied, process.newest_length) = read_snapshot(snapshot);
        assert_eq!(process.applied.len() as u64, sequence, "the snapshot holds what it says");
    }

    fn compact_when_due(&mut self, index: usize) {
        let Some(process) = &mut self.members[index].process else { return };
        if process.applied_bytes < self.compact_after {
            return;
        }
        process.applied_bytes = 0;
        let sequence = process.applied.len() as u64;
        let snapshot = write_snapshot(&process.applied, process.newest_length);
        self.input(index, Input::Compact { sequence: SequenceNumber(sequence), snapshot });
    }

    fn write(&mut self, index: usize, ticket: u64, records: Vec<DurableRecord>) {
        let bytes = records.iter().map(DurableRecord::payload_bytes).sum();
        let member = &mut self.members[index];
        member.disk_health.write_started(WriteTicket(ticket), bytes, self.now);
        member.pending.push_back(PendingWrite { ticket, records });
        self.write_what_waits(index);
    }

    /// An idle disk writes all that waits under one sync.
    fn write_what_waits(&mut self, index: usize) {
        let member = &mut self.members[index];
        if member.writing > 0 || member.pending.is_empty() {
            return;
        }
        member.writing = member.pending.len();
        let records = member.pending.iter().flat_map(|write| &write.records);
        let bytes: u64 = records.map(DurableRecord::payload_bytes).sum();
        let begin = self.now.max(member.compacts_until);
        let due = begin + member.speed.sync + span(bytes, member.speed.bytes);
        member.log_bytes += bytes;
        let incarnation = member.incarnations;
        self.schedule(due, Event::Synced { member: index, incarnation });
    }

    fn sync(&mut self, index: usize) {
        let member = &mut self.members[index];
        let written = std::mem::take(&mut member.writing);
        let mut newest = None;
        for write in member.pending.drain(..written) {
            write.records.iter().for_each(|record| member.disk.apply(record));
            newest = Some(write.ticket);
        }
        member.compact_log_if_due(self.now);
        self.write_what_waits(index);
        if let Some(ticket) = newest {
            self.members[index].disk_health.write_finished(WriteTicket(ticket));
            self.input(index, Input::Persisted { ticket: WriteTicket(ticket) });
        }
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        let envelopes = match &mut self.interceptor {
            Some(interceptor) => interceptor(&envelope),
            None => vec![envelope],
        };
        for envelope in envelopes {
            self.transmit(from, envelope);
        }
    }

    /// Each direction of a link takes one entry or part of the data after the other. Other messages have a
    /// connection of their own.
    fn transmit(&mut self, from: usize, envelope: Envelope) {
        let Some(to) = self.members.iter().position(|member| member.node.ip == envelope.to.ip) else {
            return;
        };
        let (kind, bytes) = message_size(&envelope.message);
        let traffic = self.traffic.entry(kind).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes;
        if self.cuts.contains(&(from, to)) {
            return;
        }
        let is_data = matches!(kind, "sync" | "append");
        let free_at = self.link_free_at.entry((from, to, is_data)).or_default();
        *free_at = self.now.max(*free_at) + span(bytes, self.link_speed);
        let at = *free_at + self.latency;
        self.schedule(at, Event::Arrival { from, to, envelope });
    }

    /// Proposes a command of a length at a member; its ticket.
    pub(crate) fn propose(&mut self, index: usize, length: usize) -> u64 {
        let ticket = self.next_command;
        self.next_command += 1;
        self.input(
            index,
            Input::Propose { ticket: ProposalTicket(ticket), command: command(ticket, length) },
        );
        ticket
    }

    /// Proposes again and again, at whoever is primary, until a command is acknowledged; how long that took.
    pub(crate) fn acknowledge(&mut self, length: usize, limit: Duration) -> Option<Duration> {
        let begin = self.now;
        while self.now < begin + limit {
            if let Some(primary) = self.primary() {
                let ticket = self.propose(primary, length);
                let left = (begin + limit).saturating_sub(self.now);
                self.run_while_not(left, |cluster| cluster.ends.contains_key(&ticket));
                if let Some(End::Acknowledged(at)) = self.ends.get(&ticket) {
                    return Some(*at - begin);
                }
            }
            self.run_for(Duration::from_millis(20));
        }
        None
    }

    /// How many views have come into force.
    pub(crate) fn views(&self) -> usize {
        self.checker.primary_count()
    }

    /// What was sent of a kind.
    pub(crate) fn sent(&self, kind: &str) -> Traffic {
        self.traffic.get(kind).copied().unwrap_or_default()
    }

    /// The member that holds a lease.
    pub(crate) fn primary(&self) -> Option<usize> {
        self.members.iter().position(|member| {
            member.process.as_ref().is_some_and(|process| process.replication.is_primary(self.now))
        })
    }

    /// The state machine of a running member.
    pub(crate) fn replication(&self, index: usize) -> &Replication {
        &self.members[index].process.as_ref().expect("it runs").replication
    }

    /// The data replicas of the primary's view, the primary first.
    pub(crate) fn data_replicas(&self) -> Vec<usize> {
        let primary = self.primary().expect("there is a primary");
        let view = self.replication(primary).view().expect("it has a view").clone();
        let index_of = |replica: &NodeId| {
            self.members.iter().position(|member| member.node == *replica).expect("a member")
        };
        view.data_replicas.iter().map(index_of).collect()
    }

    /// The power of a member is cut; it stays away.
    pub(crate) fn kill(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.process = None;
        member.pending.clear();
        member.disk_health = DiskHealthMonitor::default();
        member.writing = 0;
    }

    /// A member starts from its disk.
    pub(crate) fn restart(&mut self, index: usize) {
        self.schedule(self.now, Event::Start { member: index });
    }

    /// A member's disk is lost.
    pub(crate) fn wipe(&mut self, index: usize) {
        self.kill(index);
        let member = &mut self.members[index];
        member.disk = DurableState::default();
        member.node.generation.0 += 1000;
    }

    /// All connections begin anew: what waits on them does not hold up what is sent from now on.
    pub(crate) fn reconnect(&mut self) {
        self.link_free_at.clear();
    }

    /// Cuts a member off, or ends that.
    pub(crate) fn isolate(&mut self, index: usize, is_cut: bool) {
        for other in 0..self.members.len() {
            for direction in [(index, other), (other, index)] {
                if is_cut {
                    self.cuts.insert(direction);
                } else {
                    self.cuts.remove(&direction);
                }
            }
        }
    }
}

fn span(bytes: u64, speed: u64) -> Duration {
    Duration::from_micros(bytes * 1_000_000 / speed)
}

fn message_size(message: &ReplicationMessage) -> (&'static str, u64) {
    let (kind, bytes) = match message {
        ReplicationMessage::Sync { bytes, .. } => ("sync", bytes.len()),
        ReplicationMessage::SyncProgress { .. } => ("sync progress", 0),
        ReplicationMessage::Synced { .. } => ("synced", 0),
        ReplicationMessage::Append { entry, .. } => ("append", entry.command.len()),
        _ => ("other", 0),
    };
    (kind, bytes as u64 + MESSAGE_OVERHEAD)
}

/// A command: its name, then filler.
fn command(name: u64, length: usize) -> Arc<[u8]> {
    let mut bytes = vec![0; length.max(8)];
    bytes[..8].copy_from_slice(&name.to_le_bytes());
    bytes.into()
}

fn command_name(command: &[u8]) -> u64 {
    word(command, 0)
}

fn word(bytes: &[u8], index: usize) -> u64 {
    u64::from_le_bytes(bytes[index * 8..index * 8 + 8].try_into().expect("eight bytes"))
}

/// The names of all commands, and the newest one's length, as the state holds the newest configuration.
fn write_snapshot(applied: &[u64], newest_length: usize) -> Arc<[u8]> {
    let mut bytes = (applied.len() as u64).to_le_bytes().to_vec();
    applied.iter().for_each(|name| bytes.extend(name.to_le_bytes()));
    bytes.resize(bytes.len() + newest_length, 0);
    bytes.into()
}

fn read_snapshot(bytes: &[u8]) -> (Vec<u64>, usize) {
    if bytes.is_empty() {
        return (Vec::new(), 0);
    }
    let count = word(bytes, 0) as usize;
    let names = (1..=count).map(|index| word(bytes, index)).collect();
    (names, bytes.len() - 8 * (count + 1))
}
