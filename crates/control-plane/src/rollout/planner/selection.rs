//! Selects the replicas of a model that load next.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{Replica, ReplicaPhase};

use super::fleet_view::FleetView;
use super::load::Load;
use super::target::{Deadline, Target};

/// Minimum number of replicas of a model that load concurrently, but no more than half of them.
const MIN_CONCURRENT_LOADS: usize = 3;

/// The inputs of the selection for one model.
pub(super) struct Selection<'a> {
    /// The name of the model.
    pub(super) model: &'a str,
    /// The target revision of the model.
    pub(super) target: &'a Target,
    pub(super) fleet: &'a FleetView,
    /// Loads in progress of all models, by replica id.
    pub(super) loads: &'a BTreeMap<String, Load>,
    /// Replicas that refused a command recently, by id; they are not selected.
    pub(super) backoffs: &'a BTreeMap<String, Duration>,
    /// The estimated duration of a load.
    pub(super) load_time: Duration,
    pub(super) now: Duration,
}

impl<'a> Selection<'a> {
    /// Returns the ids of the replicas that load next: all idle ones whose weights are withdrawn, and as many of the
    /// others as have to load concurrently to meet the deadlines.
    pub(super) fn select(&self) -> Vec<String> {
        let mut selected: Vec<String> = self.urgent().map(|replica| replica.id.clone()).collect();
        let loading = self.loads.values().filter(|load| load.weights.model == self.model).count();
        let capacity = self.max_concurrent_loads().saturating_sub(loading + selected.len());
        let ordered = self.in_load_order(self.usable().collect());
        selected.extend(ordered.into_iter().take(capacity).map(|replica| replica.id.clone()));
        selected
    }

    /// Idle replicas whose weights are withdrawn. A draining replica is included only after its weights have expired:
    /// the load command then empties its queue, whose requests must no longer start.
    fn urgent(&self) -> impl Iterator<Item = &'a Replica> {
        self.fleet.serving(self.model).filter(|replica| self.is_idle(replica)).filter(|replica| {
            let is_draining = replica.phase == ReplicaPhase::Draining;
            let minimum = if is_draining { self.target.expired_below } else { self.target.minimum };
            self.fleet.has_older_weights(&replica.id, self.model, minimum)
        })
    }

    /// Idle replicas that lack the target revision but whose weights are not withdrawn.
    fn usable(&self) -> impl Iterator<Item = &'a Replica> {
        let lacking = self.fleet.lacking_revision(self.model, self.target.revision);
        let idle = lacking.filter(|replica| self.is_idle(replica));
        idle.filter(|replica| !self.fleet.has_older_weights(&replica.id, self.model, self.target.minimum))
    }

    fn is_idle(&self, replica: &Replica) -> bool {
        !self.loads.contains_key(&replica.id) && !self.backoffs.contains_key(&replica.id)
    }

    /// The maximum number of concurrent loads: enough to meet each deadline, but at most half of the replicas
    /// (rounded up), so that the others continue to serve.
    fn max_concurrent_loads(&self) -> usize {
        let needed = self.target.deadlines().iter().map(|deadline| self.needed_loads(deadline)).max();
        let half = self.fleet.serving(self.model).count().div_ceil(2);
        needed.unwrap_or(0).max(MIN_CONCURRENT_LOADS).min(half)
    }

    /// The number of replicas that have to load concurrently for all of them to finish by a deadline.
    fn needed_loads(&self, deadline: &Deadline) -> usize {
        let time_left = deadline.load_by.saturating_sub(self.now).max(self.load_time);
        let lacking = self.fleet.lacking_revision(self.model, deadline.revision).count();
        (lacking as f64 * self.load_time.as_secs_f64() / time_left.as_secs_f64()).ceil() as usize
    }

    /// Sorts replicas by revision, oldest first. Within a revision the zones alternate, and within a zone the
    /// replicas with the least queued work come first: they drain the soonest, and the load command rejects the least
    /// work.
    fn in_load_order(&self, replicas: Vec<&'a Replica>) -> Vec<&'a Replica> {
        let mut by_revision: BTreeMap<Option<WeightsRevision>, Vec<&'a Replica>> = BTreeMap::new();
        for replica in replicas {
            by_revision.entry(self.fleet.revision(&replica.id, self.model)).or_default().push(replica);
        }
        by_revision.into_values().flat_map(|replicas| self.spread_over_zones(replicas)).collect()
    }

    /// Orders replicas by taking from each zone in turn the remaining one with the least queued work.
    fn spread_over_zones(&self, mut replicas: Vec<&'a Replica>) -> Vec<&'a Replica> {
        replicas.sort_by_key(|replica| (self.fleet.queued_work(&replica.id), &replica.id));
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

/// A replica, and its rank by queued work within its zone.
struct RankedReplica<'a> {
    rank_in_zone: usize,
    replica: &'a Replica,
}
