//! The state of each replica and each zone at one gateway.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

use crate::circuit_breaker::CircuitBreaker;
use crate::decaying_average::OutcomeAverage;
use crate::queued_work::QueuedWorkEstimate;
use crate::random::md5_prefix;
use crate::slow_start::SlowStartBudget;
use crate::types::{Member, Nanos, Phase, ReplicaId};

/// The size of a machine kind is raised only by more than this factor, so that virtual nodes don't change
/// with every list.
const SIZE_STEP: f64 = 1.05;

/// The index of a replica in the table. Free slots are reused for new replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReplicaSlot(usize);

/// The state of a replica at this gateway. The fields come from the list (`id` to `started`), from outcomes
/// (`in_flight` to `average`), from load reports and from the walk along the ring.
#[derive(Default)]
pub(crate) struct Replica {
    pub(crate) id: ReplicaId,
    /// Hash of the id: the same at all gateways.
    pub(crate) hash: u64,
    pub(crate) size: f64,
    /// Number of its virtual nodes on the ring.
    pub(crate) virtual_nodes: u32,
    pub(crate) zone: u16,
    pub(crate) kind: u16,
    pub(crate) cell: u64,
    pub(crate) phase: Phase,
    pub(crate) started: Option<Nanos>,
    /// Number of attempts of this gateway that have not ended.
    pub(crate) in_flight: u32,
    pub(crate) breaker: CircuitBreaker,
    pub(crate) average: OutcomeAverage,
    /// Load according to the list's live units; 0 if the units are not live.
    pub(crate) listed_load: f64,
    pub(crate) slow_start: SlowStartBudget,
    /// Longest wait for a first token among the requests in flight, as of the last walk.
    pub(crate) longest_wait: Nanos,
    pub(crate) queued_work: QueuedWorkEstimate,
    /// Number of the last pass in which the replica was visited.
    visited_in: u64,
}

/// The state of a zone: its total size, requests in flight, and reachability.
#[derive(Default)]
pub(crate) struct Zone {
    pub(crate) size: f64,
    pub(crate) in_flight: u32,
    pub(crate) breaker: CircuitBreaker,
}

/// All replicas. A replica that has left keeps its slot while a request refers to it, since outcomes may
/// arrive late.
#[derive(Default)]
pub(crate) struct ReplicaTable {
    entries: Vec<Replica>,
    free: Vec<ReplicaSlot>,
    slots: BTreeMap<ReplicaId, ReplicaSlot>,
    /// The size of each machine kind.
    kind_sizes: BTreeMap<u16, f64>,
    /// Number of ready replicas.
    pub(crate) ready: usize,
    /// Number of ready replicas with full capacity.
    pub(crate) warm: usize,
    /// The largest total size of ready replicas so far, which the quotas are assumed to be based on.
    pub(crate) peak_size: f64,
    pass: u64,
}

impl Index<ReplicaSlot> for ReplicaTable {
    type Output = Replica;

    fn index(&self, slot: ReplicaSlot) -> &Replica {
        &self.entries[slot.0]
    }
}

impl IndexMut<ReplicaSlot> for ReplicaTable {
    fn index_mut(&mut self, slot: ReplicaSlot) -> &mut Replica {
        &mut self.entries[slot.0]
    }
}

impl ReplicaTable {
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Replica> {
        self.entries.iter_mut()
    }

    pub(crate) fn slots(&self) -> impl Iterator<Item = ReplicaSlot> + use<> {
        (0..self.entries.len()).map(ReplicaSlot)
    }

    pub(crate) fn ready_replicas(&self) -> impl Iterator<Item = &Replica> {
        self.entries.iter().filter(|replica| replica.phase == Phase::Ready)
    }

    /// The number of slots, free ones included.
    pub(crate) fn slot_count(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn slot_of(&self, id: &ReplicaId) -> Option<ReplicaSlot> {
        self.slots.get(id).copied()
    }

    /// The slot of a replica; an unknown replica is assigned a free one.
    pub(crate) fn slot_or_insert(&mut self, id: &ReplicaId) -> ReplicaSlot {
        if let Some(slot) = self.slot_of(id) {
            return slot;
        }
        let slot = self.free.pop().unwrap_or(ReplicaSlot(self.entries.len()));
        if slot.0 == self.entries.len() {
            self.entries.push(Replica::default());
        }
        let hash = md5_prefix(&[id.0.as_bytes()]);
        self.entries[slot.0] = Replica { id: id.clone(), hash, size: 1.0, ..Replica::default() };
        self.slots.insert(id.clone(), slot);
        slot
    }

    /// Frees the slots of replicas that have left and that no request refers to, so that the table does not
    /// grow with every replica that ever existed.
    pub(crate) fn free_unused(&mut self, referenced: &BTreeSet<ReplicaSlot>) {
        for (index, replica) in self.entries.iter().enumerate() {
            let slot = ReplicaSlot(index);
            let is_unused =
                replica.phase == Phase::Gone && replica.virtual_nodes == 0 && !referenced.contains(&slot);
            if is_unused && self.slots.get(&replica.id) == Some(&slot) {
                self.slots.remove(&replica.id);
                self.free.push(slot);
            }
        }
    }

    /// Starts a pass, in which each replica is visited at most once.
    pub(crate) fn begin_pass(&mut self) {
        self.pass += 1;
    }

    pub(crate) fn mark_visited(&mut self, slot: ReplicaSlot) {
        self.entries[slot.0].visited_in = self.pass;
    }

    pub(crate) fn is_visited(&self, slot: ReplicaSlot) -> bool {
        self.entries[slot.0].visited_in == self.pass
    }

    /// Marks all replicas that were not visited in this pass as gone. Returns whether one of them was
    /// ready.
    pub(crate) fn retire_unvisited(&mut self) -> bool {
        let pass = self.pass;
        let mut has_changed = false;
        for replica in self.entries.iter_mut().filter(|replica| replica.visited_in != pass) {
            has_changed |= replica.phase == Phase::Ready;
            replica.phase = Phase::Gone;
        }
        has_changed
    }

    /// Updates the numbers of ready and warm replicas, and the peak size.
    pub(crate) fn update_totals(&mut self, is_warm: impl Fn(&Replica) -> bool) {
        self.ready = self.ready_replicas().count();
        self.peak_size = self.peak_size.max(self.ready_replicas().map(|replica| replica.size).sum());
        self.warm = self.ready_replicas().filter(|replica| is_warm(replica)).count();
    }

    /// Updates the size of a machine kind from an entry of the list. Returns whether it has grown. With
    /// live units, which load reduces, the size is the one at the lightest load seen.
    pub(crate) fn learn_kind_size(&mut self, member: &Member, units: f64) -> bool {
        let size = self.kind_sizes.entry(member.kind).or_insert(0.0);
        let has_grown = units > *size * SIZE_STEP;
        *size = if has_grown { units } else { *size };
        has_grown
    }

    /// The size of a machine kind, 1 if it is not known.
    pub(crate) fn kind_size(&self, kind: u16) -> f64 {
        self.kind_sizes.get(&kind).copied().unwrap_or(1.0)
    }

    /// The size of the largest machine kind, rounded up to a power of two, so that the number of virtual
    /// nodes of a replica doesn't change with each new kind.
    pub(crate) fn largest_size(&self) -> f64 {
        self.kind_sizes.values().fold(f64::MIN_POSITIVE, |a, b| a.max(*b)).log2().ceil().exp2()
    }
}
