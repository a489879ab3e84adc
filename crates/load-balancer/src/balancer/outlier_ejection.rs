//! Outlier ejection of replicas, as in Envoy, and detection of unreachable zones.

use super::{LoadBalancer, SECOND};
use crate::circuit_breaker::{CircuitBreaker, EjectionPolicy};
use crate::replica_table::{ReplicaSlot, Zone};
use crate::types::{Nanos, Phase, Verdict};

/// Failure rate at which a replica is ejected. Below it, retrying quick errors at another replica costs
/// less than moving all sessions of the replica away from its prefix cache.
const EJECTION_FAILURE_RATE: f64 = 0.4;
/// The ejection time doubles up to its maximum, so that trials at a dead replica are rare.
const REPLICA_EJECTION: EjectionPolicy = EjectionPolicy {
    consecutive_failures: 1,
    base_ejection_time: 2 * SECOND,
    max_ejection_time: 16 * SECOND,
};
/// A zone is unreachable after this number of failed connections without a successful one. The times are
/// short, since a network partition heals at once and a trial costs no more than the wait of one request.
const ZONE_EJECTION: EjectionPolicy = EjectionPolicy {
    consecutive_failures: 3,
    base_ejection_time: SECOND / 2,
    max_ejection_time: 2 * SECOND,
};
/// Ejections are ignored if more than this fraction of the ready replicas is ejected (Envoy's panic
/// threshold): the cause is then this gateway or the load rather than the replicas.
const PANIC_THRESHOLD: f64 = 0.5;

impl LoadBalancer {
    pub(super) fn has_too_many_ejections(&self) -> bool {
        let ejected = self.fleet.replicas.ready_replicas().filter(|replica| replica.breaker.is_open());
        ejected.count() as f64 > PANIC_THRESHOLD * self.fleet.replicas.ready as f64
    }

    /// Whether a zone is unreachable. If no zone can be reached, the fault is not in the zones.
    pub(super) fn is_unreachable(&self, zone: &Zone) -> bool {
        zone.breaker.is_open() && self.fleet.zones.values().any(|zone| !zone.breaker.is_open())
    }

    pub(super) fn record_reachable(&mut self, now: Nanos, slot: ReplicaSlot) {
        let replica = &mut self.fleet.replicas[slot];
        replica.average.last_response_at = now;
        self.fleet.zones.entry(replica.zone).or_default().breaker = CircuitBreaker::default();
    }

    /// Records a failed connection for the replica's zone. Without this, an unreachable zone would appear
    /// as many dead replicas, each of which costs an attempt.
    pub(super) fn record_unreachable(&mut self, now: Nanos, slot: ReplicaSlot) {
        let jitter = self.random.next_unit();
        let zone = self.fleet.zones.entry(self.fleet.replicas[slot].zone).or_default();
        zone.breaker.record_failure(now, ZONE_EJECTION, jitter);
    }

    /// Records what an outcome shows about the reachability of the replica's zone.
    pub(super) fn record_link_outcome(&mut self, now: Nanos, slot: ReplicaSlot, verdict: Verdict) {
        match verdict {
            Verdict::NoConnection => self.record_unreachable(now, slot),
            Verdict::Ok | Verdict::Error | Verdict::Full => self.record_reachable(now, slot),
            // Inconclusive: the trial must end, or the zone's breaker would wait for it forever.
            Verdict::TimedOut | Verdict::Reset | Verdict::Cancelled | Verdict::NotSent => {
                self.fleet.zones.entry(self.fleet.replicas[slot].zone).or_default().breaker.abandon_trial();
            }
        }
    }

    /// Records what an outcome shows about the replica's health. Once the first token has arrived, a
    /// success has been recorded, and a later timeout is not a failure.
    pub(super) fn record_replica_outcome(
        &mut self,
        now: Nanos,
        slot: ReplicaSlot,
        verdict: Verdict,
        has_begun: bool,
    ) {
        match verdict {
            Verdict::Ok | Verdict::TimedOut if has_begun => {}
            Verdict::Ok => self.record_result(now, slot, 0.0),
            Verdict::Error | Verdict::TimedOut | Verdict::NoConnection | Verdict::Reset => {
                self.record_result(now, slot, 1.0);
            }
            // A full replica has not failed; attempts that were cancelled or not sent are inconclusive.
            Verdict::Full | Verdict::Cancelled | Verdict::NotSent => {
                self.fleet.replicas[slot].breaker.abandon_trial();
            }
        }
    }

    /// Records a success (`failures` is 0) or a failure with the weight `failures`. A successful trial
    /// doesn't readmit the replica by itself, since a replica that fails half of its requests passes half
    /// of its trials. It permits the next trial at once, until the failure rate is below the threshold.
    pub(super) fn record_result(&mut self, now: Nanos, slot: ReplicaSlot, failures: f64) {
        let jitter = self.random.next_unit();
        let zone = self.fleet.zones.get(&self.fleet.replicas[slot].zone);
        let is_unreachable = zone.is_some_and(|zone| self.is_unreachable(zone));
        let replica = &mut self.fleet.replicas[slot];
        if failures > 0.0 && (is_unreachable || replica.phase != Phase::Ready) {
            return;
        }
        let failure_rate = replica.average.record(now, failures);
        if failure_rate < EJECTION_FAILURE_RATE {
            replica.breaker = CircuitBreaker::default();
        } else if failures > 0.0 {
            replica.breaker.record_failure(now, REPLICA_EJECTION, jitter);
        } else {
            replica.breaker.allow_next_trial(now);
        }
    }
}
