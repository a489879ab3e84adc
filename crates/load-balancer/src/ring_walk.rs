//! The state of a walk along the ring: the selection criteria, the load bounds and the best candidates so
//! far.

use crate::replica_table::ReplicaSlot;
use crate::types::Nanos;

/// The replicas that a request may go to.
#[derive(Clone, Copy)]
pub(crate) enum ReplicaGroup {
    Any,
    Zone(u16),
    Cell(u64),
}

/// The properties of a request that determine the selection of a replica.
pub(crate) struct SelectionCriteria {
    pub(crate) key: u64,
    pub(crate) session_hash: u64,
    /// The fraction of the fleet's size that owns the key.
    pub(crate) owner_fraction: f64,
    /// Whether little of a session is found cached, so that session affinity gains nothing.
    pub(crate) has_low_reuse: bool,
    pub(crate) group: ReplicaGroup,
    pub(crate) latency_target: Nanos,
    pub(crate) slow_start_only: bool,
}

/// A usable replica within the load bounds.
#[derive(Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) slot: ReplicaSlot,
    pub(crate) preference: f64,
}

/// A usable replica that exceeds a load bound or lags.
#[derive(Clone, Copy)]
pub(crate) struct OverBound {
    pub(crate) slot: ReplicaSlot,
    pub(crate) queued_work: f64,
}

/// The load bounds up to which a replica is selected (consistent hashing with bounded loads).
#[derive(Clone, Copy)]
pub(crate) struct WalkBounds {
    /// The total size of all ready replicas.
    pub(crate) total_size: f64,
    /// Bound of the requests in flight per unit of size.
    pub(crate) in_flight: f64,
    /// Bound of the queued work; infinite without a fresh report.
    pub(crate) queued_work: f64,
}

/// The state of a walk.
pub(crate) struct Walk<'a> {
    pub(crate) criteria: &'a SelectionCriteria,
    /// Replicas of the request's earlier attempts.
    pub(crate) attempted: &'a [ReplicaSlot],
    pub(crate) bounds: WalkBounds,
    pub(crate) visited: usize,
    visited_size: f64,
    pub(crate) best: Option<Candidate>,
    pub(crate) second: Option<Candidate>,
    pub(crate) over_bound: Option<OverBound>,
    /// Whether all owners so far are in slow start and without a turn for this gateway.
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

    /// Whether all owners of the key have been visited.
    pub(crate) fn has_all_owners(&self) -> bool {
        self.visited_size >= self.criteria.owner_fraction * self.bounds.total_size
    }

    /// Counts a visited replica of the given size. Returns whether it is an owner.
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

    /// Adds a replica over a bound; the one with the least queued work is kept.
    pub(crate) fn add_over_bound(&mut self, slot: ReplicaSlot, queued_work: f64) {
        let current = self.over_bound.filter(|least| least.queued_work <= queued_work);
        self.over_bound = current.or(Some(OverBound { slot, queued_work }));
    }
}
