//! The state of one walk along the ring: what it looks for, the bounds, and the best replicas so far.

use crate::replica_table::ReplicaSlot;
use crate::types::Nanos;

/// The replicas that a request may go to.
#[derive(Clone, Copy)]
pub(crate) enum ReplicaGroup {
    Any,
    Zone(u16),
    Cell(u64),
}

/// What a walk looks for.
pub(crate) struct SelectionCriteria {
    pub(crate) key: u64,
    pub(crate) session_hash: u64,
    /// The part of the fleet's size that shares the key.
    pub(crate) owner_fraction: f64,
    /// Little of a session is found cached, so it gains nothing from staying put.
    pub(crate) has_low_reuse: bool,
    pub(crate) group: ReplicaGroup,
    pub(crate) latency_target: Nanos,
    pub(crate) slow_start_only: bool,
}

/// A replica that may take the request.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) slot: ReplicaSlot,
    pub(crate) preference: f64,
}

/// A replica that may take the request, but for a bound.
#[derive(Clone, Copy)]
pub(crate) struct OverBound {
    pub(crate) slot: ReplicaSlot,
    pub(crate) queued_work: f64,
}

/// Up to what a replica takes further requests (bounded loads).
#[derive(Clone, Copy)]
pub(crate) struct WalkBounds {
    /// The size of all replicas that are ready.
    pub(crate) total_size: f64,
    /// Requests in flight for a replica of size 1.
    pub(crate) in_flight: f64,
    /// Infinite without a fresh report.
    pub(crate) queued_work: f64,
}

/// The state of a walk.
pub(crate) struct Walk<'a> {
    pub(crate) criteria: &'a SelectionCriteria,
    /// Replicas of earlier attempts.
    pub(crate) attempted: &'a [ReplicaSlot],
    pub(crate) bounds: WalkBounds,
    pub(crate) visited: usize,
    visited_size: f64,
    pub(crate) best: Option<Candidate>,
    pub(crate) second: Option<Candidate>,
    pub(crate) over_bound: Option<OverBound>,
    /// All owners so far are in slow start, and this gateway has no turn there.
    pub(crate) no_owner_has_turn: bool,
}

impl<'a> Walk<'a> {
    pub(crate) fn new(
        criteria: &'a SelectionCriteria,
        attempted: &'a [ReplicaSlot],
        bounds: WalkBounds,
    ) -> Walk<'a> {
        Walk {
            criteria,
            attempted,
            bounds,
            visited: 0,
            visited_size: 0.0,
            best: None,
            second: None,
            over_bound: None,
            no_owner_has_turn: true,
        }
    }

    /// Whether the replicas visited so far include all that share the key.
    pub(crate) fn has_all_owners(&self) -> bool {
        self.visited_size >= self.criteria.owner_fraction * self.bounds.total_size
    }

    /// Counts a replica of this size; true if it is one of the owners.
    pub(crate) fn count_visit(&mut self, size: f64) -> bool {
        let is_owner = self.visited == 0 || !self.has_all_owners();
        self.visited += 1;
        self.visited_size += size;
        is_owner
    }

    pub(crate) fn add_candidate(&mut self, candidate: Candidate) {
        let is_better_than =
            |other: Option<Candidate>| other.is_none_or(|o| candidate.preference > o.preference);
        if is_better_than(self.best) {
            (self.second, self.best) = (self.best, Some(candidate));
        } else if is_better_than(self.second) {
            self.second = Some(candidate);
        }
    }

    /// Keeps the one with the least queued work.
    pub(crate) fn add_over_bound(&mut self, slot: ReplicaSlot, queued_work: f64) {
        let current = self.over_bound.filter(|least| least.queued_work <= queued_work);
        self.over_bound = current.or(Some(OverBound { slot, queued_work }));
    }
}
