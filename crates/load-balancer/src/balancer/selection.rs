//! Selection of a replica: a walk along the ring from the request's key, which skips replicas over the load
//! bound (consistent hashing with bounded loads).

use super::LoadBalancer;
use crate::random::{mix, unit_interval};
use crate::replica_table::ReplicaSlot;
use crate::ring_walk::{Candidate, ReplicaGroup, SelectionCriteria, Walk, WalkBounds};
use crate::slow_start::WarmingReplica;
use crate::types::{Nanos, Phase, ReplicaWork};

/// A replica is skipped if its load exceeds this multiple of the mean, plus one. For requests in flight,
/// the excess over the mean is scaled by the square root of the group size: in a large group each gateway
/// has few requests, and their counts are mostly noise.
const BOUND_FACTOR: f64 = 1.25;
/// A replica is skipped if the longest wait there exceeds this fraction of the latency target.
const MAX_LAG_FRACTION: f64 = 0.5;

impl LoadBalancer {
    /// Selects a replica. The owners of a key are the distinct replicas clockwise from it that make up
    /// `owner_fraction` of the fleet. Of the usable owners within the bounds, the one that the session
    /// prefers is selected; else the first such replica beyond the owners; else the replica over a bound
    /// with the least queued work.
    pub(super) fn select(
        &mut self,
        now: Nanos,
        criteria: &SelectionCriteria,
        attempted: &[ReplicaSlot],
    ) -> Option<ReplicaSlot> {
        self.update_longest_waits(now);
        let mut walk = Walk::new(criteria, attempted, self.walk_bounds(now));
        let start = self.fleet.ring.start(criteria.key);
        self.fleet.replicas.begin_pass();
        for steps in 0..self.fleet.ring.len() {
            let node = self.fleet.ring.clockwise(start, steps);
            let is_stale = node.number >= self.fleet.replicas[node.replica].virtual_nodes;
            if is_stale || self.fleet.replicas.is_visited(node.replica) {
                continue;
            }
            self.visit(now, node.replica, &mut walk);
            if self.is_complete(&walk) {
                break;
            }
        }
        // Without cache reuse, the less loaded of the two preferred ones is taken (power of two choices).
        if let (true, Some(best), Some(second)) = (criteria.has_low_reuse, walk.best, walk.second) {
            let is_less_loaded = self.relative_load(second.slot) < self.relative_load(best.slot);
            return Some(if is_less_loaded { second.slot } else { best.slot });
        }
        walk.best.map(|best| best.slot).or(walk.over_bound.map(|over| over.slot))
    }

    fn walk_bounds(&self, now: Nanos) -> WalkBounds {
        let total_size = self.fleet.zones.values().fold(0.0, |size, zone| size + zone.size);
        let in_flight: u32 = self.fleet.zones.values().map(|zone| zone.in_flight).sum();
        let factor = 1.0 + (BOUND_FACTOR - 1.0) * f64::from(self.settings.group_size).sqrt();
        let in_flight = factor * f64::from(in_flight) / f64::max(total_size, f64::MIN_POSITIVE);
        WalkBounds { total_size, in_flight, queued_work: self.queued_work_bound(now) }
    }

    fn visit(&mut self, now: Nanos, slot: ReplicaSlot, walk: &mut Walk<'_>) {
        let criteria = walk.criteria;
        let replica = &self.fleet.replicas[slot];
        let (size, hash) = (replica.size, replica.hash);
        let is_warming = self.fleet.slow_start.capacity_fraction(now, replica.started) < 1.0;
        self.fleet.replicas.mark_visited(slot);
        let is_owner = walk.count_visit(size);
        let has_turn = self.has_turn(now, slot);
        walk.no_owner_has_turn &= !is_owner || !has_turn;
        let is_excluded = criteria.slow_start_only && !is_warming;
        if is_excluded || !has_turn || !self.is_usable(now, slot, walk) {
            return;
        }
        // Weighted rendezvous hashing spreads sessions over the owners in proportion to their sizes, and a
        // session's preference is stable when other replicas come or go. A replica in slow start comes
        // first, since an unused turn lapses; so does one beyond the owners if no owner has a turn.
        let preference = if is_warming && (is_owner || walk.no_owner_has_turn) {
            f64::MAX
        } else if is_owner || walk.best.is_none() {
            size / -unit_interval(mix(criteria.session_hash ^ hash)).ln()
        } else {
            0.0
        };
        let replica = &self.fleet.replicas[slot];
        let is_lagging = self.admission.rate.is_healthy()
            && self.is_lagging(slot, MAX_LAG_FRACTION, criteria.latency_target);
        let has_bound = walk.bounds.queued_work.is_finite();
        let queued_work = if has_bound { replica.queued_work.queued() } else { 0.0 };
        let is_over_bound = f64::from(replica.in_flight) > walk.bounds.in_flight * size + 1.0;
        if is_lagging || queued_work > walk.bounds.queued_work || is_over_bound {
            walk.add_over_bound(slot, queued_work);
        } else {
            walk.add_candidate(Candidate { slot, preference });
        }
    }

    /// Whether the walk can end, as no further replica can change the selection.
    fn is_complete(&self, walk: &Walk<'_>) -> bool {
        let seeks_turn = walk.no_owner_has_turn && self.fleet.replicas.warm < self.fleet.replicas.ready;
        let is_found = walk.best.is_some_and(|best| !seeks_turn || best.preference == f64::MAX);
        let has_choice = walk.second.is_some() || !walk.criteria.has_low_reuse;
        is_found && walk.has_all_owners() && has_choice || walk.visited == self.fleet.replicas.ready
    }

    fn relative_load(&self, slot: ReplicaSlot) -> f64 {
        let replica = &self.fleet.replicas[slot];
        replica.listed_load + f64::from(replica.in_flight) / replica.size
    }

    /// Whether the longest wait at a replica exceeds `fraction` of the latency target.
    pub(super) fn is_lagging(&self, slot: ReplicaSlot, fraction: f64, latency_target: Nanos) -> bool {
        self.fleet.replicas[slot].longest_wait as f64 > fraction * latency_target as f64
    }

    /// Records a report of the work queued at each replica.
    pub(super) fn record_loads(&mut self, now: Nanos, loads: &[ReplicaWork]) {
        self.fleet.load_reports.record_report(now);
        for load in loads {
            if let Some(slot) = self.fleet.replicas.slot_of(&load.replica) {
                self.fleet.replicas[slot].queued_work.record_report(now, load.work);
            }
        }
    }

    /// The queued work above which a replica is skipped: a multiple of the mean, plus one. Infinite without
    /// a fresh report.
    fn queued_work_bound(&self, now: Nanos) -> f64 {
        if !self.fleet.load_reports.is_fresh(now) {
            return f64::INFINITY;
        }
        let queued: f64 =
            self.fleet.replicas.ready_replicas().map(|replica| replica.queued_work.queued()).sum();
        BOUND_FACTOR * queued / self.fleet.replicas.ready.max(1) as f64 + 1.0
    }

    /// Updates the longest wait at each replica, a lower bound of the wait of a new request.
    fn update_longest_waits(&mut self, now: Nanos) {
        self.fleet.replicas.iter_mut().for_each(|replica| replica.longest_wait = 0);
        let attempts = self.requests.active.values().flat_map(|active| &active.attempts);
        for attempt in attempts.filter(|attempt| attempt.is_waiting()) {
            let longest_wait = &mut self.fleet.replicas[attempt.replica].longest_wait;
            *longest_wait = (*longest_wait).max(now.saturating_sub(attempt.sent_at));
        }
    }

    fn is_usable(&self, now: Nanos, slot: ReplicaSlot, walk: &Walk<'_>) -> bool {
        let replica = &self.fleet.replicas[slot];
        let is_healthy = replica.breaker.allows(now) || self.has_too_many_ejections();
        let is_in_group = match walk.criteria.group {
            ReplicaGroup::Any => true,
            ReplicaGroup::Zone(zone) => replica.zone == zone,
            ReplicaGroup::Cell(cell) => replica.cell == cell,
        };
        let zone = self.fleet.zones.get(&replica.zone);
        let is_reachable = zone.is_none_or(|zone| zone.breaker.allows(now) || !self.is_unreachable(zone));
        let is_not_attempted = !walk.attempted.contains(&slot);
        replica.phase == Phase::Ready && is_healthy && is_reachable && is_in_group && is_not_attempted
    }

    /// Whether slow start permits a request to the replica. A warm replica always has a turn.
    fn has_turn(&mut self, now: Nanos, slot: ReplicaSlot) -> bool {
        let started = self.fleet.replicas[slot].started;
        let Some(started) =
            started.filter(|at| self.fleet.slow_start.capacity_fraction(now, Some(*at)) < 1.0)
        else {
            return true;
        };
        // Served work is used where there are warm replicas, since offered work exceeds the fleet's
        // capacity in an overload. The replica's part is its size by kind over the peak size, since live
        // units would overstate an empty replica.
        let work = self.admission.demand.work_per_s(now, self.fleet.replicas.warm > 0)
            / self.admission.demand.mean_cost();
        let peak_size = self.fleet.replicas.peak_size;
        let replica = &mut self.fleet.replicas[slot];
        let size_fraction = replica.size / peak_size.max(f64::MIN_POSITIVE);
        let warming = WarmingReplica { hash: replica.hash, started, size_fraction };
        self.fleet.slow_start.has_turn(now, &mut replica.slow_start, warming, work)
    }
}
