//! What one gateway knows of each replica and of each zone.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

use crate::circuit_breaker::CircuitBreaker;
use crate::decaying_average::OutcomeAverage;
use crate::queued_work::QueuedWorkEstimate;
use crate::random::md5_prefix;
use crate::slow_start::SlowStartBudget;
use crate::types::{Member, Nanos, Phase, ReplicaId};

/// A kind's size is raised from this multiple on, so that arcs don't move with every list.
const SIZE_STEP: f64 = 1.05;

/// The position of a replica in the table. A free position is given to the next new replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReplicaSlot(usize);

/// A replica as this gateway sees it. It has more than a dozen fields because each comes from another source: the list
/// (id to `started`), outcomes (`in_flight` to `average`), load reports and the walk.
#[derive(Default)]
pub(crate) struct Replica {
    pub(crate) id: ReplicaId,
    /// Hash of the id: the same at all gateways.
    pub(crate) hash: u64,
    pub(crate) size: f64,
    /// Virtual nodes that it has on the ring.
    pub(crate) virtual_nodes: u32,
    pub(crate) zone: u16,
    pub(crate) kind: u16,
    pub(crate) cell: u64,
    pub(crate) phase: Phase,
    pub(crate) started: Option<Nanos>,
    /// Attempts of this gateway that have not ended.
    pub(crate) in_flight: u32,
    pub(crate) breaker: CircuitBreaker,
    pub(crate) average: OutcomeAverage,
    /// Load by the list's live units; 0 where they are not live.
    pub(crate) listed_load: f64,
    pub(crate) slow_start: SlowStartBudget,
    /// How long the oldest request without a first token has waited, as of the last walk.
    pub(crate) oldest_wait: Nanos,
    pub(crate) queued_work: QueuedWorkEstimate,
    /// The pass over the table in which it was visited last.
    visited_in: u64,
}

/// The replicas of a zone, and whether they can be reached.
#[derive(Default)]
pub(crate) struct Zone {
    pub(crate) size: f64,
    pub(crate) in_flight: u32,
    pub(crate) breaker: CircuitBreaker,
}

/// All replicas. One that is gone stays while a request names it, since late outcomes may.
#[derive(Default)]
pub(crate) struct ReplicaTable {
    entries: Vec<Replica>,
    free: Vec<ReplicaSlot>,
    slots: BTreeMap<ReplicaId, ReplicaSlot>,
    /// The size of each kind of machine.
    kind_sizes: BTreeMap<u16, f64>,
    /// Replicas that are ready.
    pub(crate) ready: usize,
    /// Replicas that are ready and have all of their capacity.
    pub(crate) warm: usize,
    /// The largest total size that was ready at once: what the quotas were made for.
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

    /// Slots in the table, free ones included.
    pub(crate) fn slot_count(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn slot_of(&self, id: &ReplicaId) -> Option<ReplicaSlot> {
        self.slots.get(id).copied()
    }

    /// The slot of a replica; one that is not known yet gets a free slot.
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

    /// Frees the slots of replicas that are gone and that no request names any more, so that the table does not
    /// grow with every replica that was ever there.
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

    /// Starts a pass in which each replica is to be visited once.
    pub(crate) fn begin_pass(&mut self) {
        self.pass += 1;
    }

    pub(crate) fn mark_visited(&mut self, slot: ReplicaSlot) {
        self.entries[slot.0].visited_in = self.pass;
    }

    pub(crate) fn is_visited(&self, slot: ReplicaSlot) -> bool {
        self.entries[slot.0].visited_in == self.pass
    }

    /// Takes all that were not visited in this pass for gone; true if one of them was ready.
    pub(crate) fn retire_unvisited(&mut self) -> bool {
        let pass = self.pass;
        let mut has_changed = false;
        for replica in self.entries.iter_mut().filter(|replica| replica.visited_in != pass) {
            has_changed |= replica.phase == Phase::Ready;
            replica.phase = Phase::Gone;
        }
        has_changed
    }

    /// Counts what is ready and what `is_warm`.
    pub(crate) fn update_totals(&mut self, is_warm: impl Fn(&Replica) -> bool) {
        self.ready = self.ready_replicas().count();
        self.peak_size = self.peak_size.max(self.ready_replicas().map(|replica| replica.size).sum());
        self.warm = self.ready_replicas().filter(|replica| is_warm(replica)).count();
    }

    /// Learns the size of a kind of machine; true if it has grown. Units that load lowers tell the size at the
    /// lightest load seen.
    pub(crate) fn learn_kind_size(&mut self, member: &Member, units: f64) -> bool {
        let size = self.kind_sizes.entry(member.kind).or_insert(0.0);
        let has_grown = units > *size * SIZE_STEP;
        *size = if has_grown { units } else { *size };
        has_grown
    }

    /// The size of a kind of machine, 1 if it is not known.
    pub(crate) fn kind_size(&self, kind: u16) -> f64 {
        self.kind_sizes.get(&kind).copied().unwrap_or(1.0)
    }

    /// The size of the largest kind, rounded up to a power of two, so that the virtual nodes of a replica don't change
    /// with each kind that comes or goes.
    pub(crate) fn largest_size(&self) -> f64 {
        self.kind_sizes.values().fold(f64::MIN_POSITIVE, |a, b| a.max(*b)).log2().ceil().exp2()
    }
}
