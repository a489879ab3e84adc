//! Replicas: steps, load reports, crashes, and the work sent to them in slow start.

use rand_distr::{Distribution, Normal};
use tulipridge::types::Verdict;

use super::events::{AttemptEnd, FleetEvent};
use super::processes::ReplicaProcess;
use super::state::{Fleet, LoadReport, RESPONSE_COST_TOKENS, WorkSample};
use crate::experiment::Class;
use crate::replica::{AttemptId, StepEvent};
use crate::time::{SECOND, nanos};

/// Mean cost of a request of a class, in prompt tokens.
fn mean_cost_tokens(class: &Class) -> f64 {
    let [min_prefix, max_prefix] = class.prefix_tokens;
    let [min_turn, max_turn] = class.turn_tokens;
    f64::from(min_prefix + max_prefix + min_turn + max_turn) / 2.0 + RESPONSE_COST_TOKENS
}

impl Fleet<'_> {
    /// Measures the load of all replicas for their load reports, and schedules the next measurement.
    pub(super) fn measure_load_reports(&mut self) {
        let Some(reports) = &self.experiment.replicas.load_reports else { return };
        let (period, now) = (nanos(reports.period), self.now());
        self.schedule(period, FleetEvent::LoadReports);
        let noise = Normal::new(1.0, reports.noise).ok();
        for entry in &mut self.replicas {
            let busy = entry.replica.take_busy_time(now) as f64 / period as f64;
            // Steps are weighted by the utilization of the batch: a half-empty one counts half.
            let utilization = busy * entry.replica.batch_utilization();
            let factor = noise.map_or(1.0, |noise| noise.sample(&mut self.random.faults_and_delays));
            entry.reports.push_back(LoadReport {
                visible_from: now + nanos(reports.delay),
                utilization: (utilization * factor).clamp(0.0, 1.0),
            });
            while entry.reports.get(1).is_some_and(|report| report.visible_from <= now) {
                entry.reports.pop_front();
            }
        }
    }

    /// Newest visible load report of a replica: utilization and errors. Empty before the first one.
    pub(super) fn load_report(&self, index: usize) -> Vec<f64> {
        let now = self.now();
        let visible = self.replicas[index].reports.iter().rev().find(|report| report.visible_from <= now);
        visible.map_or(Vec::new(), |report| vec![report.utilization, 0.0])
    }

    /// Crashes a replica: resets its requests and closes its connections.
    pub(super) fn crash_replica(&mut self, index: usize) {
        for id in self.replicas[index].replica.crash() {
            let Some(request) = &self.gateway_requests[id.request as usize] else { continue };
            let latency = self.latency(request.process.gateway, index);
            self.schedule_end(latency, id, Verdict::Reset);
        }
        self.idle_connections.retain(|link, _| link.replica != index);
        self.record_replica(index);
    }

    /// Records work sent to a replica in slow start, relative to the work that overloads it. No effect on a replica with
    /// its full capacity.
    pub(super) fn record_slow_start_work(&mut self, index: usize, cost_tokens: f64) {
        let now = self.now();
        let settings = &self.experiment.replicas;
        let entry = &mut self.replicas[index];
        let capacity = entry.replica.available_capacity(now, settings);
        if capacity >= 1.0 || !entry.replica.is_running {
            return;
        }
        let window = nanos(settings.overload_window);
        let work = &mut entry.slow_start_work;
        work.push_back(WorkSample { sent: now, cost_tokens });
        while work.front().is_some_and(|sample| sample.sent + window <= now) {
            work.pop_front();
        }
        let sum: f64 = work.iter().map(|sample| sample.cost_tokens).sum();
        let sustainable = self.sustainable_tokens_per_s(index, capacity);
        if sustainable > 0.0 && now >= nanos(self.experiment.warmup) {
            let max = settings.overload_factor * sustainable * (window as f64 / SECOND as f64);
            let counters = &mut self.recorder.counters;
            counters.max_slow_start_overload = counters.max_slow_start_overload.max(sum / max);
        }
    }

    /// Work per second that a replica can sustain, in prompt tokens: its fraction, by size, of the work that tenants
    /// may send within their quotas, times the available capacity.
    fn sustainable_tokens_per_s(&self, index: usize, capacity: f64) -> f64 {
        let quota: f64 = self.experiment.tenants.values().map(|tenant| tenant.quota_per_s).sum();
        let running = self.replicas.iter().filter(|entry| entry.replica.is_running);
        let fleet_size: f64 = running.map(|entry| entry.replica.size).sum();
        let classes = self.experiment.classes.values();
        let mean_cost: f64 = classes.map(|class| class.session_fraction * mean_cost_tokens(class)).sum();
        let size = self.replicas[index].replica.size;
        quota * mean_cost * size / fleet_size.max(f64::MIN_POSITIVE) * capacity
    }

    /// Begins a step of a replica, if there is work and no step in progress.
    pub(super) fn begin_step(&mut self, index: usize) {
        let now = self.now();
        let replica = &mut self.replicas[index].replica;
        if let Some(duration) = replica.begin_step(now, &self.experiment.replicas) {
            let process = ReplicaProcess { replica: index, incarnation: replica.incarnation };
            self.schedule(duration, FleetEvent::StepEnded(process));
            self.record_replica(index);
        }
    }

    /// Whether the replica has not crashed since `process`.
    fn is_current_replica(&self, process: ReplicaProcess) -> bool {
        self.replicas[process.replica].replica.incarnation == process.incarnation
    }

    /// Ends a step of a replica: sends the resulting events to the gateways, and begins the next step.
    pub(super) fn end_step(&mut self, process: ReplicaProcess) {
        if !self.is_current_replica(process) {
            return;
        }
        let now = self.now();
        let mut events = std::mem::take(&mut self.buffers.step_events);
        self.replicas[process.replica].replica.end_step(now, &mut events);
        for event in events.drain(..) {
            let Some(request) = &self.gateway_requests[event.id().request as usize] else { continue };
            let latency = self.latency(request.process.gateway, process.replica);
            let event = match event {
                StepEvent::FirstToken(id) => FleetEvent::FirstToken(id),
                StepEvent::Completed { id, cached_tokens } => {
                    let cached_tokens = Some(cached_tokens);
                    FleetEvent::AttemptEnded(AttemptEnd { id, verdict: Verdict::Ok, cached_tokens })
                }
            };
            self.schedule(latency, event);
        }
        self.buffers.step_events = events;
        self.record_replica(process.replica);
        self.begin_step(process.replica);
    }

    /// Cancels an attempt at a replica. No effect if the replica has crashed since or has completed the attempt.
    pub(super) fn cancel_at_replica(&mut self, process: ReplicaProcess, id: AttemptId) {
        if self.is_current_replica(process) && self.replicas[process.replica].replica.cancel(id) {
            self.record_replica(process.replica);
        }
    }
}
