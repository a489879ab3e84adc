//! Which replicas and zones count as healthy: outlier ejection with trials, as in Envoy, and zones out of
//! reach.

use super::LoadBalancer;
use super::SECOND;
use crate::circuit_breaker::{CircuitBreaker, EjectionPolicy};
use crate::replica_table::{ReplicaSlot, Zone};
use crate::types::{Nanos, Phase, Verdict};

/// A replica is ejected from this failure rate on: below it, another attempt elsewhere after a quick error
/// costs less than moving all of its sessions away from what it has cached of them.
const EJECTION_FAILURE_RATE: f64 = 0.4;
/// The time is doubled up to a limit, so that a dead replica costs little.
const REPLICA_EJECTION: EjectionPolicy = EjectionPolicy {
    consecutive_failures: 1,
    base_ejection_time: 2 * SECOND,
    max_ejection_time: 16 * SECOND,
};
/// Connections that failed in a zone, with none made, after which it counts as cut off. Links heal at once
/// and a trial costs one request's wait, so the times are short.
const ZONE_EJECTION: EjectionPolicy = EjectionPolicy {
    consecutive_failures: 3,
    base_ejection_time: SECOND / 2,
    max_ejection_time: 2 * SECOND,
};
/// Beyond this part of the fleet, ejections are ignored (Envoy's panic threshold): then it is this gateway
/// or the load.
const PANIC_THRESHOLD: f64 = 0.5;

impl LoadBalancer {
    pub(super) fn has_too_many_ejections(&self) -> bool {
        let ejected = self.fleet.replicas.ready_replicas().filter(|replica| replica.breaker.is_open());
        ejected.count() as f64 > PANIC_THRESHOLD * self.fleet.replicas.ready as f64
    }

    /// A zone is out of reach while another is not; else the fault is elsewhere.
    pub(super) fn is_unreachable(&self, zone: &Zone) -> bool {
        zone.breaker.is_open() && self.fleet.zones.values().any(|zone| !zone.breaker.is_open())
    }

    pub(super) fn record_reachable(&mut self, now: Nanos, slot: ReplicaSlot) {
        let replica = &mut self.fleet.replicas[slot];
        replica.average.last_response_at = now;
        self.fleet.zones.entry(replica.zone).or_default().breaker = CircuitBreaker::default();
    }

    /// Guards against taking a zone out of reach for many dead replicas: each request would find another of
    /// them.
    pub(super) fn record_unreachable(&mut self, now: Nanos, slot: ReplicaSlot) {
        let jitter = self.random.next_unit();
        let zone = self.fleet.zones.entry(self.fleet.replicas[slot].zone).or_default();
        zone.breaker.record_failure(now, ZONE_EJECTION, jitter);
    }

    /// What an outcome says of the way to the replica's zone.
    pub(super) fn record_link_outcome(&mut self, now: Nanos, slot: ReplicaSlot, verdict: Verdict) {
        match verdict {
            Verdict::NoConnection => self.record_unreachable(now, slot),
            Verdict::Ok | Verdict::Error | Verdict::Full => self.record_reachable(now, slot),
            // Guards against waiting for ever for a trial that has no result.
            Verdict::TimedOut | Verdict::Reset | Verdict::Cancelled | Verdict::NotSent => {
                self.fleet.zones.entry(self.fleet.replicas[slot].zone).or_default().breaker.abandon_trial();
            }
        }
    }

    /// What an outcome says of the replica; a first token was recorded before.
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
            // Full is no failure, and what was never sent or was cancelled says nothing of the replica.
            Verdict::Full | Verdict::Cancelled | Verdict::NotSent => {
                self.fleet.replicas[slot].breaker.abandon_trial();
            }
        }
    }

    /// Records a success (0 `failures`) or a failure of some weight. A trial that went well is followed by
    /// the next at once, until failures are rare enough: one response of a replica that fails half of its
    /// requests says nothing.
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
