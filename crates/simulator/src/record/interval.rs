//! Counts of the requests that arrive in an interval of a run, and their summary.

use hdrhistogram::Histogram;
use tulipridge::types::Nanos;

use super::outcome::RequestOutcome;
use super::replica_history::ReplicaHistory;
use super::statistics::{average, quantile, round, variation};
use super::summary::{IntervalSummary, Window};
use super::window::WINDOWS_PER_SECOND;
use crate::experiment::Experiment;
use crate::time::{SECOND, nanos};

/// Length of the interval after a fault, in nanoseconds.
const AFTER_FAULT: Nanos = 10 * SECOND;
/// Maximum of a recorded latency in microseconds: one hour. Longer ones are recorded as the maximum.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant decimal digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;
/// Tolerance for rounding errors when windows are matched to an interval, in seconds.
const TOLERANCE_S: f64 = 1e-9;

/// An interval of a run, with the counts of the requests that arrived in it.
pub(super) struct Interval {
    name: String,
    from: Nanos,
    to: Nanos,
    pub(super) counts: RequestCounts,
}

/// Counts of requests and of the attempts for them.
pub(super) struct RequestCounts {
    pub(super) requests: u64,
    pub(super) outcomes: [u64; RequestOutcome::COUNT],
    pub(super) value_earned: f64,
    pub(super) value_requested: f64,
    pub(super) client_attempts: u64,
    pub(super) attempts: u64,
    pub(super) errors: u64,
    pub(super) exhausted: u64,
    pub(super) rejected_with_free_capacity: u64,
    pub(super) cached_tokens: u64,
    pub(super) prompt_tokens: u64,
    /// Times to the first token in microseconds.
    pub(super) latencies_us: Histogram<u64>,
}

impl RequestCounts {
    fn new() -> RequestCounts {
        RequestCounts {
            requests: 0,
            outcomes: [0; RequestOutcome::COUNT],
            value_earned: 0.0,
            value_requested: 0.0,
            client_attempts: 0,
            attempts: 0,
            errors: 0,
            exhausted: 0,
            rejected_with_free_capacity: 0,
            cached_tokens: 0,
            prompt_tokens: 0,
            latencies_us: Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)
                .expect("the constants are valid bounds of a histogram"),
        }
    }

    fn outcome_fraction(&self, outcome: RequestOutcome) -> f64 {
        let finished = self.outcomes.iter().sum::<u64>().max(1) as f64;
        round(self.outcomes[outcome as usize] as f64 / finished)
    }

    fn per_request(&self, count: u64) -> f64 {
        round(count as f64 / self.requests.max(1) as f64)
    }
}

/// Load statistics over the windows of an interval.
struct WindowStatistics<'a> {
    windows: Vec<&'a Window>,
    max_over_mean: Vec<f64>,
    /// Average load of each replica over the windows in which it was running.
    average_loads: Vec<f64>,
}

impl<'a> WindowStatistics<'a> {
    fn new(
        windows: &'a [Window],
        replicas: &[ReplicaHistory],
        is_inside: impl Fn(&Window) -> bool,
    ) -> WindowStatistics<'a> {
        let first = windows.iter().take_while(|window| !is_inside(window)).count();
        let windows: Vec<&Window> = windows.iter().filter(|window| is_inside(window)).collect();
        let average_loads = replicas
            .iter()
            .filter_map(|replica| average(replica.loads.iter().skip(first).take(windows.len()).flatten()))
            .collect();
        let mut max_over_mean: Vec<f64> = windows.iter().map(|window| window.max_over_mean).collect();
        max_over_mean.sort_by(f64::total_cmp);
        WindowStatistics { windows, max_over_mean, average_loads }
    }

    fn mean(&self, value: fn(&Window) -> f64) -> f64 {
        let sum = self.windows.iter().map(|window| value(window)).sum::<f64>();
        round(sum / self.windows.len().max(1) as f64)
    }

    fn max(&self, value: fn(&Window) -> usize) -> usize {
        self.windows.iter().map(|window| value(window)).max().unwrap_or(0)
    }

    fn list_calls_peak(&self) -> usize {
        let seconds = self.windows.windows(WINDOWS_PER_SECOND.min(self.windows.len()).max(1));
        let calls = |second: &[&Window]| second.iter().map(|window| window.list_calls).sum::<usize>();
        seconds.map(calls).max().unwrap_or(0)
    }
}

impl Interval {
    fn new(name: String, from: Nanos, to: Nanos) -> Interval {
        Interval { name, from, to, counts: RequestCounts::new() }
    }

    /// Returns the intervals of an experiment: before the faults, during and after each fault, and the complete run.
    pub(super) fn of_experiment(experiment: &Experiment) -> Vec<Interval> {
        let (warmup, end) = (nanos(experiment.warmup), experiment.end());
        let faults = experiment.faults_in_order();
        let mut intervals = Vec::new();
        if let Some((_, first)) = faults.first() {
            intervals.push(Interval::new("before".to_owned(), warmup, warmup + nanos(first.start)));
        }
        for (name, fault) in faults {
            let start = warmup + nanos(fault.start);
            // The interval after a fault begins with the recovery.
            let recovery = start + nanos(fault.duration);
            if fault.kind.has_interval() {
                intervals.push(Interval::new(format!("in {name}"), start, recovery.min(end)));
            }
            let after = (recovery + AFTER_FAULT).min(end);
            intervals.push(Interval::new(format!("after {name}"), recovery, after));
        }
        intervals.push(Interval::new("all".to_owned(), warmup, end));
        intervals.retain(|interval| interval.from < interval.to);
        intervals
    }

    /// Whether a request that arrived at this time belongs to the interval.
    pub(super) fn contains(&self, arrived: Nanos) -> bool {
        (self.from..self.to).contains(&arrived)
    }

    /// Summarizes the counts, and the windows in the interval.
    pub(super) fn summary(
        &self,
        warmup: Nanos,
        windows: &[Window],
        replicas: &[ReplicaHistory],
    ) -> IntervalSummary {
        let seconds = |at: Nanos| (at as f64 - warmup as f64) / SECOND as f64;
        let (from_s, to_s) = (seconds(self.from), seconds(self.to));
        let is_inside =
            |window: &Window| window.at_s >= from_s - TOLERANCE_S && window.at_s < to_s - TOLERANCE_S;
        let load = WindowStatistics::new(windows, replicas, is_inside);
        let counts = &self.counts;
        IntervalSummary {
            name: self.name.clone(),
            from_s,
            to_s,
            requests: counts.requests,
            in_time: counts.outcome_fraction(RequestOutcome::InTime),
            late: counts.outcome_fraction(RequestOutcome::Late),
            rejected: counts.outcome_fraction(RequestOutcome::Rejected),
            failed: counts.outcome_fraction(RequestOutcome::Failed),
            broken: counts.outcome_fraction(RequestOutcome::Broken),
            value: round(counts.value_earned / counts.value_requested.max(f64::MIN_POSITIVE)),
            client_attempts: counts.per_request(counts.client_attempts),
            attempts: counts.per_request(counts.attempts),
            errors: round(counts.errors as f64 / counts.attempts.max(1) as f64),
            exhausted: counts.per_request(counts.exhausted),
            rejected_with_free_capacity: counts.per_request(counts.rejected_with_free_capacity),
            cached: round(counts.cached_tokens as f64 / counts.prompt_tokens.max(1) as f64),
            first_token_p50_ms: counts.latencies_us.value_at_quantile(0.5) as f64 / 1000.0,
            first_token_p99_ms: counts.latencies_us.value_at_quantile(0.99) as f64 / 1000.0,
            in_flight: load.mean(|window| window.in_flight),
            max_over_mean_p50: round(quantile(&load.max_over_mean, 0.5)),
            max_over_mean_p95: round(quantile(&load.max_over_mean, 0.95)),
            max_over_mean_max: round(quantile(&load.max_over_mean, 1.0)),
            cv: load.mean(|window| window.cv),
            cv_of_averages: round(variation(&load.average_loads)),
            idle_while_queued: load.mean(|window| window.idle_while_queued),
            replacements_over_mean: load.mean(|window| window.replacements_over_mean),
            herd: load.max(|window| window.herd),
            max_connections: load.max(|window| window.max_connections),
            list_calls_peak: load.list_calls_peak(),
            list_calls: load.windows.iter().map(|window| window.list_calls).sum(),
        }
    }
}
