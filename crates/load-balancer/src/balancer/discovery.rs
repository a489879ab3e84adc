//! The list of replicas: when it is requested, and how it is applied to the replica table and the ring.

use std::collections::BTreeSet;

use super::{LoadBalancer, TimerPurpose};
use crate::circuit_breaker::CircuitBreaker;
use crate::decaying_average::OutcomeAverage;
use crate::hash_ring::VirtualNode;
use crate::replica_table::ReplicaSlot;
use crate::slow_start::SlowStartBudget;
use crate::types::{Action, ListKind, Member, Nanos, Phase, UnitsMeaning};

/// Virtual nodes of the largest replica. The literature uses 100; with 256, a replica of a quarter of the
/// size still has about fifty, since the largest size is rounded up to a power of two. Each replica's part
/// of the ring is within about a tenth of its size.
const MAX_VIRTUAL_NODES: f64 = 256.0;

impl LoadBalancer {
    pub(super) fn apply_list(
        &mut self,
        now: Nanos,
        kind: ListKind,
        members: &[Member],
        actions: &mut Vec<Action>,
    ) {
        self.schedule_call(now, kind, actions);
        if kind == ListKind::Failed {
            return;
        }
        self.fleet.slow_start.observe_list(now);
        self.fleet.replicas.begin_pass();
        let mut has_changed = false;
        for member in members {
            has_changed |= self.apply_member(now, member);
        }
        if matches!(kind, ListKind::Complete | ListKind::Persisted) {
            has_changed |= self.fleet.replicas.retire_unvisited();
        }
        if has_changed {
            self.rebuild_ring();
        }
        let attempts = self.requests.active.values().flat_map(|active| &active.attempts);
        let referenced: BTreeSet<ReplicaSlot> = attempts.map(|attempt| attempt.replica).collect();
        self.fleet.replicas.free_unused(&referenced);
        let slow_start = &self.fleet.slow_start;
        let is_warm = |started| slow_start.capacity_fraction(now, started) >= 1.0;
        self.fleet.replicas.update_totals(|replica| is_warm(replica.started));
        self.place_parked(now, actions);
    }

    /// Sets the timer of the next list call if one is needed. Draws a random number for every kind of list.
    fn schedule_call(&mut self, now: Nanos, kind: ListKind, actions: &mut Vec<Action>) {
        self.list_calls.generation += u64::from(!matches!(kind, ListKind::Persisted | ListKind::Local));
        let jitter = self.random.next_unit();
        let schedule = &mut self.list_calls.schedule;
        let wait = match kind {
            ListKind::Failed => schedule.record_failure(now, jitter),
            ListKind::Persisted if !self.settings.has_pushed_list => schedule.first_wait(now, jitter),
            ListKind::Persisted | ListKind::Local => return,
            ListKind::Complete | ListKind::Changes => return schedule.record_success(now),
        };
        self.timers.set(wait, TimerPurpose::ListCall(self.list_calls.generation), actions);
    }

    /// Requests the list unless an update or a failure has arrived since the timer was set.
    pub(super) fn call_list(&mut self, generation: u64, actions: &mut Vec<Action>) {
        if generation != self.list_calls.generation {
            return;
        }
        self.list_calls.generation += 1;
        actions.push(Action::Watch);
        let next = TimerPurpose::ListCall(self.list_calls.generation);
        self.timers.set(self.list_calls.schedule.max_age(), next, actions);
    }

    /// Applies an entry of the list. Returns whether the ring must be rebuilt.
    fn apply_member(&mut self, now: Nanos, member: &Member) -> bool {
        let units = self.speed_weighted_units(member);
        let slot = self.fleet.replicas.slot_or_insert(&member.id);
        self.fleet.replicas.mark_visited(slot);
        let has_grown = self.fleet.replicas.learn_kind_size(member, units);
        let replica = &mut self.fleet.replicas[slot];
        if member.started.is_some() && replica.started != member.started {
            // The process has restarted, so that statistics of the previous one don't apply.
            replica.started = member.started;
            (replica.breaker, replica.average) = (CircuitBreaker::default(), OutcomeAverage::default());
            replica.slow_start = SlowStartBudget::new(now);
        }
        let has_changed = (replica.phase == Phase::Ready) != (member.phase == Phase::Ready);
        if member.phase != Phase::Gone {
            (replica.zone, replica.kind, replica.cell) = (member.zone, member.kind, member.cell);
        }
        // Live units are the size divided by (1 + load per size), so this is 1 + load per size.
        let is_live = self.settings.units_meaning == UnitsMeaning::Live;
        replica.listed_load = if is_live { replica.size / units } else { 0.0 };
        replica.phase = member.phase;
        has_grown || has_changed
    }

    /// The units of a replica times the speed of its machine kind: the list states cores, not their speed.
    fn speed_weighted_units(&self, member: &Member) -> f64 {
        let speed = self.settings.speeds.get(usize::from(member.kind)).copied().unwrap_or(1.0);
        let has_units = self.settings.units_meaning != UnitsMeaning::None;
        speed * if has_units { member.units.max(f64::MIN_POSITIVE) } else { 1.0 }
    }

    /// The number of slots in the replica table, free ones included.
    #[must_use]
    pub fn replica_slots(&self) -> usize {
        self.fleet.replicas.slot_count()
    }

    /// Updates the ring after a change of the list: removes virtual nodes of replicas that left and inserts
    /// those of new ones. All other nodes keep their positions.
    fn rebuild_ring(&mut self) {
        let largest = self.fleet.replicas.largest_size();
        let mut added = Vec::new();
        for slot in self.fleet.replicas.slots() {
            let size = self.fleet.replicas.kind_size(self.fleet.replicas[slot].kind);
            let replica = &mut self.fleet.replicas[slot];
            replica.size = size;
            let nodes = (MAX_VIRTUAL_NODES * size / largest).ceil() as u32;
            let nodes = if replica.phase == Phase::Ready { nodes } else { 0 };
            let new_nodes = replica.virtual_nodes..nodes;
            added.extend(new_nodes.map(|number| VirtualNode::new(&replica.id, slot, number)));
            replica.virtual_nodes = nodes;
        }
        self.fleet.zones.values_mut().for_each(|zone| zone.size = 0.0);
        for replica in self.fleet.replicas.ready_replicas() {
            self.fleet.zones.entry(replica.zone).or_default().size += replica.size;
        }
        let replicas = &self.fleet.replicas;
        self.fleet.ring.retain(|node| node.number < replicas[node.replica].virtual_nodes);
        self.fleet.ring.insert(added, |a, b| replicas[a].id.cmp(&replicas[b].id));
    }
}
