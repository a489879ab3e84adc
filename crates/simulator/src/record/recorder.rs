//! The recorder of a run: counts events and averages load over windows.

use tulipridge::types::Nanos;

use super::interval::{Interval, RequestCounts};
use super::outcome::RequestOutcome;
use super::replica_history::{ReplicaHistory, ReplicaState};
use super::statistics::{round, variation};
use super::summary::{RunSummary, Window};
use crate::experiment::Experiment;
use crate::time::{MILLISECOND, SECOND, nanos};

/// Value of a response of a class.
#[derive(Clone, Copy)]
struct ClassValue {
    in_time: f64,
    /// Factor of the value if the response is late.
    late_factor: f64,
}

/// Measures the time during which some replicas are idle while others have a queue.
#[derive(Default)]
struct ImbalanceTimer {
    since: Nanos,
    idle_replicas: usize,
    queueing_replicas: usize,
    /// Measured time in the current window, in nanoseconds.
    elapsed: Nanos,
}

impl ImbalanceTimer {
    /// Accounts for the time since the last update, and replaces the state of a replica.
    fn update(&mut self, now: Nanos, before: ReplicaState, after: ReplicaState) {
        if self.idle_replicas > 0 && self.queueing_replicas > 0 {
            self.elapsed += now - self.since;
        }
        self.since = now;
        let (was_idle, is_idle) = (usize::from(before.is_idle()), usize::from(after.is_idle()));
        self.idle_replicas = self.idle_replicas + is_idle - was_idle;
        let (had_queue, has_queue) = (usize::from(before.has_queue()), usize::from(after.has_queue()));
        self.queueing_replicas = self.queueing_replicas + has_queue - had_queue;
    }
}

/// Start and counters of the current window.
#[derive(Default)]
struct CurrentWindow {
    started: Nanos,
    herd: usize,
    list_calls: usize,
}

/// Counters of the complete run, updated directly by the fleet.
#[derive(Clone, Debug, Default)]
pub struct RunCounters {
    /// Events passed to the gateways' policies.
    pub events: u64,
    /// Calls to the list service that timed out or were rejected.
    pub list_calls_failed: u64,
    /// Times from a gateway's start to its first complete list.
    pub list_waits: Vec<Nanos>,
    /// Gateways that are running at the end and have not received a complete list.
    pub gateways_without_list: usize,
    /// Maximum work sent to a replica in slow start, relative to the work that overloads it.
    pub max_slow_start_overload: f64,
}

/// Records the events of a run.
pub struct Recorder {
    /// Counters that the fleet updates directly.
    pub counters: RunCounters,
    warmup: Nanos,
    replicas: Vec<ReplicaHistory>,
    imbalance: ImbalanceTimer,
    current: CurrentWindow,
    windows: Vec<Window>,
    intervals: Vec<Interval>,
    class_values: Vec<ClassValue>,
    /// Attempts of clients rejected after the warm-up.
    rejected: u64,
}

impl Recorder {
    /// Creates a recorder for a run of an experiment.
    #[must_use]
    pub fn new(experiment: &Experiment) -> Recorder {
        let classes = experiment.classes.values();
        Recorder {
            counters: RunCounters::default(),
            warmup: nanos(experiment.warmup),
            replicas: Vec::new(),
            imbalance: ImbalanceTimer::default(),
            current: CurrentWindow::default(),
            windows: Vec::new(),
            intervals: Interval::of_experiment(experiment),
            class_values: classes
                .map(|class| ClassValue { in_time: class.value, late_factor: class.late_value_factor })
                .collect(),
            rejected: 0,
        }
    }

    /// Adds a replica, initially down. Replicas are indexed in the order of these calls.
    pub fn add_replica(&mut self, name: &str, kind: &str, batch_size: f64, is_replacement: bool) {
        let windows = self.windows.len();
        self.replicas.push(ReplicaHistory::new(name, kind, batch_size, is_replacement, windows));
    }

    /// Records the state of a replica from `now` on.
    pub fn set_replica_state(&mut self, now: Nanos, replica: usize, state: ReplicaState) {
        let history = &mut self.replicas[replica];
        self.imbalance.update(now, history.state, state);
        history.set_state(now, state);
    }

    /// Records the arrival of a request at a replica.
    pub fn add_arrival(&mut self, now: Nanos, replica: usize) {
        let is_recorded = now >= self.warmup;
        let history = &mut self.replicas[replica];
        history.totals.arrivals += u64::from(is_recorded);
        self.current.herd = self.current.herd.max(history.add_arrival(now));
    }

    /// Records a new connection to a replica.
    pub fn add_connection(&mut self, replica: usize) {
        self.replicas[replica].connections += 1;
    }

    /// Records a call to the list service.
    pub fn add_list_call(&mut self) {
        self.current.list_calls += 1;
    }

    /// Ends the current window, which is kept only if it began after the warm-up.
    pub fn end_window(&mut self, now: Nanos) {
        for replica in 0..self.replicas.len() {
            self.set_replica_state(now, replica, self.replicas[replica].state);
        }
        let length = now.saturating_sub(self.current.started).max(1) as f64;
        let window = self.summarize_window(length);
        let is_recorded = self.current.started >= self.warmup;
        if is_recorded {
            self.windows.push(window);
        }
        for history in &mut self.replicas {
            history.end_window(length, is_recorded);
        }
        self.imbalance.elapsed = 0;
        self.current = CurrentWindow { started: now, ..CurrentWindow::default() };
    }

    fn summarize_window(&self, length: f64) -> Window {
        let running: Vec<&ReplicaHistory> =
            self.replicas.iter().filter(|history| history.state.is_running).collect();
        let batch_size: f64 = running.iter().map(|history| history.batch_size).sum();
        let in_flight = running.iter().map(|history| history.in_flight_time).sum::<f64>() / length;
        let loads: Vec<f64> = running.iter().map(|history| history.load(length)).collect();
        let mean = in_flight / batch_size.max(f64::MIN_POSITIVE);
        let over_mean = |load: f64| if mean > 0.0 { load / mean } else { 0.0 };
        let replacements = running.iter().filter(|history| history.is_replacement);
        let replaced_time = replacements.clone().fold(0.0, |sum, history| sum + history.in_flight_time);
        let replaced_size = replacements.fold(0.0, |sum, history| sum + history.batch_size);
        let connections = self.replicas.iter().map(|history| history.connections);
        Window {
            at_s: (self.current.started as f64 - self.warmup as f64) / SECOND as f64,
            in_flight,
            max_over_mean: over_mean(loads.iter().copied().fold(0.0, f64::max)),
            cv: variation(&loads),
            idle_while_queued: self.imbalance.elapsed as f64 / length,
            herd: self.current.herd,
            replacements_over_mean: over_mean(replaced_time / length / f64::max(replaced_size, 1.0)),
            max_connections: connections.max().unwrap_or(0),
            list_calls: self.current.list_calls,
        }
    }

    /// Records a new request of a client.
    pub fn add_request(&mut self, arrived: Nanos) {
        self.count(arrived, |counts| counts.requests += 1);
    }

    /// Records an attempt of a client, including the first.
    pub fn add_client_attempt(&mut self, arrived: Nanos) {
        self.count(arrived, |counts| counts.client_attempts += 1);
    }

    /// Records a gateway's attempt at a replica.
    pub fn add_attempt(&mut self, now: Nanos, arrived: Nanos, replica: usize) {
        self.replicas[replica].totals.attempts += u64::from(now >= self.warmup);
        self.count(arrived, |counts| counts.attempts += 1);
    }

    /// Records an error response of a replica.
    pub fn add_error(&mut self, now: Nanos, arrived: Nanos, replica: usize) {
        self.replicas[replica].totals.errors += u64::from(now >= self.warmup);
        self.count(arrived, |counts| counts.errors += 1);
    }

    /// Records a client's attempt that failed after the gateway used all of its attempts.
    pub fn add_exhausted(&mut self, arrived: Nanos) {
        self.count(arrived, |counts| counts.exhausted += 1);
    }

    /// Records the rejection of a client's attempt, with the indices of the replicas that had free capacity then.
    pub fn add_rejection(
        &mut self,
        now: Nanos,
        arrived: Nanos,
        with_free_capacity: impl Iterator<Item = usize>,
    ) {
        let is_recorded = now >= self.warmup;
        let mut had_free_capacity = false;
        for replica in with_free_capacity {
            had_free_capacity = true;
            self.replicas[replica].totals.rejections_with_free_capacity += u64::from(is_recorded);
        }
        self.rejected += u64::from(is_recorded);
        self.count(arrived, |counts| counts.rejected_with_free_capacity += u64::from(had_free_capacity));
    }

    /// Records the prompt tokens of a served request, and those of them that were cached.
    pub fn add_cached_tokens(&mut self, arrived: Nanos, cached_tokens: u32, prompt_tokens: u32) {
        self.count(arrived, |counts| {
            counts.cached_tokens += u64::from(cached_tokens);
            counts.prompt_tokens += u64::from(prompt_tokens);
        });
    }

    /// Records the outcome of a request. `first_token` is the time from its arrival to its first token.
    pub fn add_outcome(
        &mut self,
        arrived: Nanos,
        class: usize,
        outcome: RequestOutcome,
        first_token: Option<Nanos>,
    ) {
        let default = ClassValue { in_time: 1.0, late_factor: 0.0 };
        let value = self.class_values.get(class).copied().unwrap_or(default);
        let factor = match outcome {
            RequestOutcome::InTime => 1.0,
            RequestOutcome::Late => value.late_factor,
            RequestOutcome::Rejected | RequestOutcome::Failed | RequestOutcome::Broken => 0.0,
        };
        self.count(arrived, |counts| {
            counts.outcomes[outcome as usize] += 1;
            counts.value_earned += value.in_time * factor;
            counts.value_requested += value.in_time;
            if let Some(first_token) = first_token {
                counts.latencies_us.saturating_record(first_token / 1000);
            }
        });
    }

    /// Updates the counts of all intervals that contain the arrival of a request.
    fn count(&mut self, arrived: Nanos, update: impl Fn(&mut RequestCounts)) {
        let intervals = self.intervals.iter_mut().filter(|interval| interval.contains(arrived));
        intervals.for_each(|interval| update(&mut interval.counts));
    }

    /// Computes the statistics of the run.
    #[must_use]
    pub fn summary(mut self, policy: &str) -> RunSummary {
        self.counters.list_waits.sort_unstable();
        let waits = &self.counters.list_waits;
        let wait_ms = |rank: usize| waits.get(rank).map_or(0.0, |wait| *wait as f64 / MILLISECOND as f64);
        let intervals = self.intervals.iter();
        let replicas = self.replicas.iter();
        RunSummary {
            policy: policy.to_owned(),
            events: self.counters.events,
            list_calls_failed: self.counters.list_calls_failed,
            list_wait_p50_ms: wait_ms(waits.len() / 2),
            list_wait_longest_ms: wait_ms(waits.len().saturating_sub(1)),
            gateways_without_list: self.counters.gateways_without_list,
            max_slow_start_overload: round(self.counters.max_slow_start_overload),
            rejected: self.rejected,
            intervals: intervals
                .map(|interval| interval.summary(self.warmup, &self.windows, &self.replicas))
                .collect(),
            replicas: replicas.map(|history| history.summary(self.rejected)).collect(),
            windows: self.windows,
        }
    }
}
