//! Selects the replicas of a model that are to load next.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{Replica, ReplicaPhase};

use super::fleet_view::FleetView;
use super::load::Load;
use super::target::{Deadline, Target};

/// Replicas of a model that load concurrently, if there are enough.
const MIN_CONCURRENT_LOADS: usize = 3;

/// What the selection of one model's replicas depends on.
pub(super) struct Selection<'a> {
    /// The model.
    pub(super) model: &'a str,
    /// Its target.
    pub(super) target: &'a Target,
    pub(super) fleet: &'a FleetView,
    /// Loads in progress, of all models.
    pub(super) loads: &'a BTreeMap<String, Load>,
    /// Replicas that get no command now.
    pub(super) backoffs: &'a BTreeMap<String, Duration>,
    /// How long a load is expected to take.
    pub(super) load_time: Duration,
    pub(super) now: Duration,
}

impl<'a> Selection<'a> {
    /// Ids of the replicas that are to load next: those whose weights are withdrawn at once, the others as many at a time
    /// as the deadlines need.
    pub(super) fn select(&self) -> Vec<String> {
        let mut selected: Vec<String> = self.urgent().map(|replica| replica.id.clone()).collect();
        let loading = self.loads.values().filter(|load| load.weights.model == self.model).count();
        let capacity = self.max_concurrent_loads().saturating_sub(loading + selected.len());
        let ordered = self.in_load_order(self.usable().collect());
        selected.extend(ordered.into_iter().take(capacity).map(|replica| replica.id.clone()));
        selected
    }

    /// Idle replicas whose weights must not be used any more. A load command empties a replica's queue, so a draining one
    /// is included too, once its queued requests must not begin.
    fn urgent(&self) -> impl Iterator<Item = &'a Replica> {
        self.fleet.serving(self.model).filter(|replica| self.is_idle(replica)).filter(|replica| {
            let is_draining = replica.phase == ReplicaPhase::Draining;
            let minimum = if is_draining { self.target.expired } else { self.target.minimum };
            self.fleet.has_older_weights(&replica.id, self.model, minimum)
        })
    }

    /// Idle replicas that lack the target, but whose weights may still be used.
    fn usable(&self) -> impl Iterator<Item = &'a Replica> {
        let lacking = self.fleet.lacking_revision(self.model, self.target.desired);
        let idle = lacking.filter(|replica| self.is_idle(replica));
        idle.filter(|replica| !self.fleet.has_older_weights(&replica.id, self.model, self.target.minimum))
    }

    fn is_idle(&self, replica: &Replica) -> bool {
        !self.loads.contains_key(&replica.id) && !self.backoffs.contains_key(&replica.id)
    }

    /// How many replicas load concurrently, so that all have loaded by each deadline. Half of them continue to serve.
    fn max_concurrent_loads(&self) -> usize {
        let needed = self.target.deadlines().iter().map(|deadline| self.needed_loads(deadline)).max();
        let half = self.fleet.serving(self.model).count().div_ceil(2);
        needed.unwrap_or(0).max(MIN_CONCURRENT_LOADS).min(half)
    }

    /// How many replicas have to load concurrently for all to have loaded by a deadline.
    fn needed_loads(&self, deadline: &Deadline) -> usize {
        let time_left = deadline.load_by.saturating_sub(self.now).max(self.load_time);
        let lacking = self.fleet.lacking_revision(self.model, deadline.revision).count();
        (lacking as f64 * self.load_time.as_secs_f64() / time_left.as_secs_f64()).ceil() as usize
    }

    /// Sorts replicas: older weights first; neighbours in the order are of different zones; and of each zone the replicas
    /// with the fewest queued requests first, which lose the least and are the soonest drained.
    fn in_load_order(&self, replicas: Vec<&'a Replica>) -> Vec<&'a Replica> {
        let mut by_revision: BTreeMap<Option<WeightsRevision>, Vec<&'a Replica>> = BTreeMap::new();
        for replica in replicas {
            by_revision.entry(self.fleet.revision(&replica.id, self.model)).or_default().push(replica);
        }
        by_revision.into_values().flat_map(|replicas| self.spread_over_zones(replicas)).collect()
    }

    /// Takes from each zone in turn its replica with the fewest queued requests.
    fn spread_over_zones(&self, mut replicas: Vec<&'a Replica>) -> Vec<&'a Replica> {
        replicas.sort_by_key(|replica| (self.fleet.queued_requests(&replica.id), &replica.id));
        let mut zone_counts: BTreeMap<&str, usize> = BTreeMap::new();
        let mut ranked: Vec<RankedReplica<'a>> = Vec::new();
        for replica in replicas {
            let count = zone_counts.entry(replica.zone.as_str()).or_default();
            ranked.push(RankedReplica { rank_in_zone: *count, replica });
            *count += 1;
        }
        ranked.sort_by_key(|ranked| (ranked.rank_in_zone, &ranked.replica.zone, &ranked.replica.id));
        ranked.into_iter().map(|ranked| ranked.replica).collect()
    }
}

/// A replica and its rank among those of its zone.
struct RankedReplica<'a> {
    rank_in_zone: usize,
    replica: &'a Replica,
}
