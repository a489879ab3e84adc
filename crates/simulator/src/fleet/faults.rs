//! Begins the faults of an experiment and the recoveries from them.

use rand::RngExt;
use tulipridge::types::{Nanos, Phase};

use super::build::ReplicaSpec;
use super::events::FleetEvent;
use super::state::Fleet;
use crate::experiment::FaultKind;
use crate::time::{SECOND, nanos};

/// Minimum time from the start of a replica's drain to its stop, in nanoseconds.
const MIN_DRAIN_TIME: Nanos = SECOND;
/// Interval of checks whether a draining replica still has requests in flight, in nanoseconds.
const DRAIN_CHECK_INTERVAL: Nanos = SECOND / 10;

impl Fleet<'_> {
    /// Begins a fault: draws the affected gateways or replicas, and the start of the fault at each.
    pub(super) fn begin_fault(&mut self, index: usize) {
        let (_, fault) = self.fault(index);
        let (spread, duration) = (nanos(fault.spread), nanos(fault.duration));
        if fault.kind == FaultKind::ListOutage {
            let until = self.now() + duration;
            self.list_service.unavailable_until = self.list_service.unavailable_until.max(until);
            return;
        }
        let affects_gateways = fault.kind == FaultKind::RestartGateways;
        for target in self.draw_targets(affects_gateways, fault.fraction.unwrap_or(0.0)) {
            let delay = self.random_delay(spread);
            let (failure, recovery) = if affects_gateways {
                (FleetEvent::GatewayStop(target), FleetEvent::GatewayStart(target))
            } else {
                let (replica, fault) = (target, index);
                (
                    FleetEvent::ReplicaFault { replica, fault },
                    FleetEvent::ReplicaRecovery { replica, fault },
                )
            };
            self.schedule(delay, failure);
            self.schedule(delay + duration, recovery);
        }
    }

    /// Draws a fraction of the running gateways or replicas without repetition.
    fn draw_targets(&mut self, from_gateways: bool, fraction: f64) -> Vec<usize> {
        let mut running: Vec<usize> = if from_gateways {
            (0..self.gateways.len()).filter(|index| self.gateways[*index].policy.is_some()).collect()
        } else {
            (0..self.replicas.len()).filter(|index| self.replicas[*index].replica.is_running).collect()
        };
        let count = (running.len() as f64 * fraction).round() as usize;
        for index in 0..count {
            let other = self.random.faults_and_delays.random_range(index..running.len());
            running.swap(index, other);
        }
        running.truncate(count);
        running
    }

    /// Applies a fault to a replica.
    pub(super) fn apply_fault(&mut self, index: usize, fault: usize) {
        let (_, fault) = self.fault(fault);
        let removal_delay = nanos(self.experiment.list_service.removal_delay);
        let faults = &mut self.replicas[index].replica.faults;
        match fault.kind {
            FaultKind::CrashReplicas => {
                self.crash_replica(index);
                self.schedule_detection(removal_delay, index, Phase::Gone, None);
            }
            FaultKind::PartitionReplicas => {
                faults.is_unreachable = true;
                self.schedule_detection(removal_delay, index, Phase::Gone, None);
            }
            FaultKind::SlowReplicas => faults.slowdown = fault.slowdown.unwrap_or(1.0),
            FaultKind::ErrorReplicas => faults.error_fraction = fault.error_fraction.unwrap_or(0.0),
            // The list shows only whether the process runs, so it does not change.
            FaultKind::HangReplicas => faults.is_hanging = true,
            FaultKind::ReplaceReplicas => {
                self.schedule_detection(0, index, Phase::Draining, self.replicas[index].member.started);
                self.schedule(MIN_DRAIN_TIME, FleetEvent::ReplicaStop(index));
            }
            FaultKind::RestartGateways | FaultKind::ListOutage => {}
        }
    }

    /// Ends a fault of a replica.
    pub(super) fn recover(&mut self, index: usize, fault: usize) {
        let (name, fault) = self.fault(fault);
        let faults = &mut self.replicas[index].replica.faults;
        match fault.kind {
            FaultKind::CrashReplicas => self.restart_replica(index),
            FaultKind::PartitionReplicas => {
                self.crash_replica(index);
                self.restart_replica(index);
            }
            FaultKind::SlowReplicas => faults.slowdown = 1.0,
            FaultKind::ErrorReplicas => faults.error_fraction = 0.0,
            FaultKind::HangReplicas => {
                faults.is_hanging = false;
                self.begin_step(index);
            }
            FaultKind::ReplaceReplicas => self.start_replacement(index, format!("{name}-{index}")),
            FaultKind::RestartGateways | FaultKind::ListOutage => {}
        }
    }

    fn restart_replica(&mut self, index: usize) {
        let now = self.now();
        self.replicas[index].replica.start(now);
        self.record_replica(index);
        let delay = nanos(self.experiment.list_service.addition_delay);
        self.schedule_detection(delay, index, Phase::Ready, Some(now));
    }

    fn start_replacement(&mut self, replaced: usize, name: String) {
        let now = self.now();
        let replica = &self.replicas[replaced].replica;
        let (zone, kind) = (replica.zone, replica.kind);
        let spec = ReplicaSpec { name, zone, kind, speed_factor: 1.0, started: Some(now) };
        let replacement = self.add_replica(spec);
        // The replacement is listed once the service has detected it.
        self.replicas[replacement].member.phase = Phase::Gone;
        let delay = nanos(self.experiment.list_service.addition_delay);
        self.schedule_detection(delay, replacement, Phase::Ready, Some(now));
    }

    /// Stops a draining replica that has no requests in flight; otherwise checks again later.
    pub(super) fn stop_drained(&mut self, index: usize) {
        if self.replicas[index].replica.in_flight() > 0 {
            return self.schedule(DRAIN_CHECK_INTERVAL, FleetEvent::ReplicaStop(index));
        }
        self.crash_replica(index);
        let delay = nanos(self.experiment.list_service.removal_delay);
        self.schedule_detection(delay, index, Phase::Gone, None);
    }
}
