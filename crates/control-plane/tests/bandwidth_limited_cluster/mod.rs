//! A simulated cluster whose links and disks have a limited bandwidth, with commands as long as a configuration.
//! The only faults are those that a test injects.

#![allow(dead_code, reason = "each test program uses only some of it")]

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

/// Bandwidth of a link of 10 Mbit/s, in bytes per second.
pub(crate) const SLOW_LINK: u64 = 10_000_000 / 8;
/// Bandwidth of a link of 1 Gbit/s, in bytes per second.
pub(crate) const FAST_LINK: u64 = 1_000_000_000 / 8;
/// Length of an operator's configuration.
pub(crate) const CONFIGURATION_BYTES: usize = 1_300_000;

/// Applied bytes after which a member takes a snapshot; the same as in a real member.
const COMPACT_AFTER_BYTES: usize = 1 << 20;
/// Syncs of a compaction: the new segment, its directory entry, the snapshot, and its directory entry.
const COMPACTION_SYNCS: u32 = 4;
/// Bytes of a message in addition to its commands and data.
const MESSAGE_OVERHEAD: u64 = 100;
/// Shortest time between two ticks of a member.
const MIN_TICK_INTERVAL: Duration = Duration::from_micros(100);

/// The speed of a disk.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DiskSpeed {
    /// Bytes per second.
    pub bytes: u64,
    /// Additional time of each sync.
    pub sync: Duration,
}

impl DiskSpeed {
    /// A typical disk.
    pub(crate) const USUAL: DiskSpeed = DiskSpeed { bytes: 300_000_000, sync: Duration::from_millis(3) };

    /// A disk that takes this many times as long.
    pub(crate) fn slower(self, times: u32) -> DiskSpeed {
        DiskSpeed { bytes: self.bytes / u64::from(times), sync: self.sync * times }
    }
}

/// Records that are not yet durable.
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
    /// The ids of the applied commands, in order.
    pub applied: Vec<u64>,
    newest_command_bytes: usize,
    applied_bytes: usize,
    wake_at: Duration,
}

/// A member.
pub(crate) struct Member {
    /// Address of the member, and generation of its current disk.
    pub node: NodeId,
    /// The durable state on the member's disk.
    pub disk: DurableState,
    /// The speed of the member's disk.
    pub speed: DiskSpeed,
    pending: VecDeque<PendingWrite>,
    disk_health: DiskHealthMonitor,
    /// How many of the pending writes the running sync covers.
    syncing: usize,
    /// Bytes written since the log was last compacted.
    log_bytes: u64,
    /// Until when the disk is busy with a compaction.
    compacting_until: Duration,
    /// The member's process; `None` while it is stopped.
    pub process: Option<Process>,
    incarnations: u64,
}

impl Member {
    /// Replaces the records by the complete state, as a real member's disk thread does.
    fn compact_log_if_due(&mut self, now: Duration) {
        if self.log_bytes <= COMPACT_AFTER_RECORD_BYTES as u64 {
            return;
        }
        let entries = self.disk.entries.iter().map(|entry| entry.command.len() as u64);
        let bytes = self.disk.snapshot.len() as u64 + entries.sum::<u64>();
        self.log_bytes = 0;
        self.compacting_until =
            now + COMPACTION_SYNCS * self.speed.sync + transfer_time(bytes, self.speed.bytes);
    }
}

#[derive(Debug)]
enum Event {
    Arrival { from: usize, to: usize, envelope: Envelope },
    Wake { member: usize, incarnation: u64 },
    Synced { member: usize, incarnation: u64 },
    Start { member: usize },
}

/// Messages of one kind and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Total bytes of the messages.
    pub bytes: u64,
}

/// The outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The proposal was acknowledged at this virtual time.
    Acknowledged(Duration),
    /// The proposal failed for this reason.
    Failed(FailureReason),
}

/// Replaces a message that is being sent by the returned ones.
pub(crate) type Interceptor = Box<dyn FnMut(&Envelope) -> Vec<Envelope>>;

/// A simulated cluster.
pub(crate) struct Cluster {
    /// Virtual time, which all clocks show.
    pub now: Duration,
    /// All members.
    pub members: Vec<Member>,
    /// Checks the invariants.
    pub checker: Checker,
    /// Bytes per second in each direction of each link.
    pub link_speed: u64,
    /// Additional time that each message takes.
    pub latency: Duration,
    /// Partitioned directions of links, as sender and receiver.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Injects faults into messages.
    pub interceptor: Option<Interceptor>,
    /// Messages that were sent, by kind.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// The outcomes of proposals, by ticket.
    pub ends: BTreeMap<u64, End>,
    /// Applied bytes after which a member takes a snapshot.
    pub compact_after: usize,
    tolerated_failures: u32,
    seeds: usize,
    first_boot: bool,
    /// When a direction of a link becomes free, separately for data (`true`) and for other messages.
    link_free_at: BTreeMap<(usize, usize, bool), Duration>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    next_command: u64,
}

impl Cluster {
    /// A cluster that starts for the first time.
    pub(crate) fn new(tolerated_failures: u32, seeds: usize, members: usize) -> Cluster {
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
            compact_after: COMPACT_AFTER_BYTES,
            tolerated_failures,
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
                syncing: 0,
                log_bytes: 0,
                compacting_until: Duration::ZERO,
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

    /// Runs the cluster for a time.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        self.run_while_not(duration, |_| false);
    }

    /// Runs the cluster until a condition holds, for a limited time. Returns whether it holds.
    pub(crate) fn run_while_not(&mut self, limit: Duration, holds: impl Fn(&Cluster) -> bool) -> bool {
        let until = self.now + limit;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until || holds(self) {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&number).expect("each queued number has an event");
            self.handle_event(event);
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

    fn handle_event(&mut self, event: Event) {
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
                self.finish_write(member);
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
            tolerated_failures: self.tolerated_failures,
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
            newest_command_bytes: 0,
            applied_bytes: 0,
            wake_at: Duration::ZERO,
        });
        self.input(index, Input::Tick);
    }

    /// Passes an input to a member's state machine and handles the outputs.
    pub(crate) fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let member = &mut self.members[index];
        let Some(process) = &mut member.process else { return };
        let mut out = Vec::new();
        if let Some(healthy) = member.disk_health.health_change(now) {
            process.replication.handle(now, Input::DiskHealthy(healthy), &mut out);
        }
        process.replication.handle(now, input, &mut out);
        let due = process.replication.next_deadline().max(now + MIN_TICK_INTERVAL);
        let incarnation = process.incarnation;
        if process.wake_at <= now || due < process.wake_at {
            process.wake_at = due;
            self.schedule(due, Event::Wake { member: index, incarnation });
        }
        for output in out {
            self.handle_output(index, output);
        }
        self.compact_if_due(index);
    }

    fn handle_output(&mut self, index: usize, output: Output) {
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
        let id = command_id(command);
        process.applied.push(id);
        process.newest_command_bytes = command.len();
        process.applied_bytes += command.len();
        assert_eq!(process.applied.len() as u64, sequence.0, "entries are applied in order without gaps");
        self.checker.applied(sequence.0, id);
        if let Some(ticket) = proposal {
            self.checker.acknowledge(sequence.0, id, process.replication.epoch().0);
            self.ends.insert(ticket.0, End::Acknowledged(self.now));
        }
    }

    fn restore(&mut self, index: usize, sequence: u64, snapshot: &[u8]) {
        let Some(process) = &mut self.members[index].process else { return };
        process.applied_bytes = 0;
        (process.applied, process.newest_command_bytes) = read_snapshot(snapshot);
        assert_eq!(
            process.applied.len() as u64,
            sequence,
            "a snapshot holds all commands up to its sequence number"
        );
    }

    fn compact_if_due(&mut self, index: usize) {
        let Some(process) = &mut self.members[index].process else { return };
        if process.applied_bytes < self.compact_after {
            return;
        }
        process.applied_bytes = 0;
        let sequence = process.applied.len() as u64;
        let snapshot = write_snapshot(&process.applied, process.newest_command_bytes);
        self.input(index, Input::Compact { sequence: SequenceNumber(sequence), snapshot });
    }

    fn write(&mut self, index: usize, ticket: u64, records: Vec<DurableRecord>) {
        let bytes = records.iter().map(DurableRecord::payload_bytes).sum();
        let member = &mut self.members[index];
        member.disk_health.write_started(WriteTicket(ticket), bytes, self.now);
        member.pending.push_back(PendingWrite { ticket, records });
        self.start_pending_write(index);
    }

    /// Writes all pending records under one sync if the disk is idle.
    fn start_pending_write(&mut self, index: usize) {
        let member = &mut self.members[index];
        if member.syncing > 0 || member.pending.is_empty() {
            return;
        }
        member.syncing = member.pending.len();
        let records = member.pending.iter().flat_map(|write| &write.records);
        let bytes: u64 = records.map(DurableRecord::payload_bytes).sum();
        let start_time = self.now.max(member.compacting_until);
        let due = start_time + member.speed.sync + transfer_time(bytes, member.speed.bytes);
        member.log_bytes += bytes;
        let incarnation = member.incarnations;
        self.schedule(due, Event::Synced { member: index, incarnation });
    }

    fn finish_write(&mut self, index: usize) {
        let member = &mut self.members[index];
        let written = std::mem::take(&mut member.syncing);
        let mut newest = None;
        for write in member.pending.drain(..written) {
            write.records.iter().for_each(|record| member.disk.apply(record));
            newest = Some(write.ticket);
        }
        member.compact_log_if_due(self.now);
        self.start_pending_write(index);
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

    /// Entries and parts of transferred data share one connection in each direction of a link and are sent one
    /// after the other. Other messages have a separate connection.
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
        *free_at = self.now.max(*free_at) + transfer_time(bytes, self.link_speed);
        let at = *free_at + self.latency;
        self.schedule(at, Event::Arrival { from, to, envelope });
    }

    /// Proposes a command of this length at a member and returns its ticket.
    pub(crate) fn propose(&mut self, index: usize, length: usize) -> u64 {
        let ticket = self.next_command;
        self.next_command += 1;
        self.input(
            index,
            Input::Propose { ticket: ProposalTicket(ticket), command: command(ticket, length) },
        );
        ticket
    }

    /// Proposes commands at the current primary until one is acknowledged. Returns how long that took.
    pub(crate) fn acknowledge(&mut self, length: usize, limit: Duration) -> Option<Duration> {
        let start_time = self.now;
        while self.now < start_time + limit {
            if let Some(primary) = self.primary() {
                let ticket = self.propose(primary, length);
                let left = (start_time + limit).saturating_sub(self.now);
                self.run_while_not(left, |cluster| cluster.ends.contains_key(&ticket));
                if let Some(End::Acknowledged(at)) = self.ends.get(&ticket) {
                    return Some(*at - start_time);
                }
            }
            self.run_for(Duration::from_millis(20));
        }
        None
    }

    /// The number of views that have had a primary.
    pub(crate) fn views(&self) -> usize {
        self.checker.primary_count()
    }

    /// The messages of a kind that were sent.
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
        &self.members[index].process.as_ref().expect("the member is running").replication
    }

    /// The data replicas of the primary's view, the primary first.
    pub(crate) fn data_replicas(&self) -> Vec<usize> {
        let primary = self.primary().expect("there is a primary");
        let view = self.replication(primary).view().expect("the primary has a view").clone();
        let index_of = |replica: &NodeId| {
            self.members.iter().position(|member| member.node == *replica).expect("a member")
        };
        view.data_replicas.iter().map(index_of).collect()
    }

    /// Cuts a member's power: it loses what is not durable, and stays down until it is restarted.
    pub(crate) fn kill(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.process = None;
        member.pending.clear();
        member.disk_health = DiskHealthMonitor::default();
        member.syncing = 0;
    }

    /// Starts a member from its disk.
    pub(crate) fn restart(&mut self, index: usize) {
        self.schedule(self.now, Event::Start { member: index });
    }

    /// Kills a member and replaces its disk by an empty one, which has another generation.
    pub(crate) fn wipe(&mut self, index: usize) {
        self.kill(index);
        let member = &mut self.members[index];
        member.disk = DurableState::default();
        member.node.generation.0 += 1000;
    }

    /// Replaces all connections, so that queued messages do not delay those that are sent from now on.
    pub(crate) fn reconnect(&mut self) {
        self.link_free_at.clear();
    }

    /// Partitions a member from all others, or ends the partition.
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

fn transfer_time(bytes: u64, speed: u64) -> Duration {
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

/// Encodes a command: its id, then padding.
fn command(id: u64, length: usize) -> Arc<[u8]> {
    let mut bytes = vec![0; length.max(8)];
    bytes[..8].copy_from_slice(&id.to_le_bytes());
    bytes.into()
}

fn command_id(command: &[u8]) -> u64 {
    read_u64(command, 0)
}

fn read_u64(bytes: &[u8], index: usize) -> u64 {
    u64::from_le_bytes(bytes[index * 8..index * 8 + 8].try_into().expect("a slice of eight bytes"))
}

/// Encodes the ids of all commands, then padding as long as the newest command, since a real snapshot holds the
/// newest configuration.
fn write_snapshot(applied: &[u64], newest_command_bytes: usize) -> Arc<[u8]> {
    let mut bytes = (applied.len() as u64).to_le_bytes().to_vec();
    applied.iter().for_each(|id| bytes.extend(id.to_le_bytes()));
    bytes.resize(bytes.len() + newest_command_bytes, 0);
    bytes.into()
}

fn read_snapshot(bytes: &[u8]) -> (Vec<u64>, usize) {
    if bytes.is_empty() {
        return (Vec::new(), 0);
    }
    let count = read_u64(bytes, 0) as usize;
    let ids = (1..=count).map(|index| read_u64(bytes, index)).collect();
    (ids, bytes.len() - 8 * (count + 1))
}
