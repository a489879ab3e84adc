//! Recorded history of one replica.

use std::collections::VecDeque;

use tulipridge::types::Nanos;

use super::statistics::{average, round};
use super::summary::ReplicaSummary;
use super::window::{HERD_INTERVAL, WINDOWS_PER_SECOND};

/// Recorded state of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaState {
    /// Whether the process is running.
    pub is_running: bool,
    /// Requests in the queue and the batch.
    pub in_flight: usize,
    /// Requests in the queue.
    pub queued: usize,
}

impl ReplicaState {
    pub(super) fn is_idle(self) -> bool {
        self.is_running && self.in_flight == 0
    }

    pub(super) fn has_queue(self) -> bool {
        self.is_running && self.queued > 0
    }
}

/// Totals of a replica after the warm-up.
#[derive(Default)]
pub(super) struct ReplicaTotals {
    pub(super) arrivals: u64,
    pub(super) attempts: u64,
    pub(super) errors: u64,
    /// Rejections of clients' attempts at which the replica had free capacity.
    pub(super) rejections_with_free_capacity: u64,
}

/// History of one replica up to the current time.
#[derive(Default)]
pub(super) struct ReplicaHistory {
    name: String,
    kind: String,
    pub(super) batch_size: f64,
    pub(super) is_replacement: bool,
    pub(super) totals: ReplicaTotals,
    /// Load in each window after the warm-up; `None` if the replica was down at its end.
    pub(super) loads: Vec<Option<f64>>,
    pub(super) state: ReplicaState,
    state_since: Nanos,
    /// Integral of the requests in flight over the time in the current window, in request-nanoseconds.
    pub(super) in_flight_time: f64,
    recent_arrivals: VecDeque<Nanos>,
    /// Connections opened in the current window.
    pub(super) connections: usize,
}

impl ReplicaHistory {
    /// Creates the history of a replica that is added after `windows` recorded windows.
    pub(super) fn new(
        name: &str,
        kind: &str,
        batch_size: f64,
        is_replacement: bool,
        windows: usize,
    ) -> ReplicaHistory {
        ReplicaHistory {
            name: name.to_owned(),
            kind: kind.to_owned(),
            batch_size,
            is_replacement,
            loads: vec![None; windows],
            ..ReplicaHistory::default()
        }
    }

    /// Accounts for the time in the current state, and replaces it.
    pub(super) fn set_state(&mut self, now: Nanos, state: ReplicaState) {
        self.in_flight_time += self.state.in_flight as f64 * now.saturating_sub(self.state_since) as f64;
        self.state_since = now;
        self.state = state;
    }

    /// Records an arrival, and returns the number of arrivals within [`HERD_INTERVAL`] up to now.
    pub(super) fn add_arrival(&mut self, now: Nanos) -> usize {
        self.recent_arrivals.push_back(now);
        while self.recent_arrivals.front().is_some_and(|at| at + HERD_INTERVAL <= now) {
            self.recent_arrivals.pop_front();
        }
        self.recent_arrivals.len()
    }

    /// Load: average requests in flight over a window of `length` nanoseconds, relative to the batch size.
    pub(super) fn load(&self, length: f64) -> f64 {
        self.in_flight_time / length / self.batch_size
    }

    /// Ends a window of `length` nanoseconds, and keeps its load if `is_recorded`.
    pub(super) fn end_window(&mut self, length: f64, is_recorded: bool) {
        if is_recorded {
            self.loads.push(self.state.is_running.then_some(self.load(length)));
        }
        self.in_flight_time = 0.0;
        self.connections = 0;
    }

    /// Summarizes the history. `rejected` is the number of clients' attempts that the fleet rejected.
    pub(super) fn summary(&self, rejected: u64) -> ReplicaSummary {
        ReplicaSummary {
            name: self.name.clone(),
            kind: self.kind.clone(),
            load: round(average(self.loads.iter().flatten()).unwrap_or(0.0)),
            arrivals: self.totals.arrivals,
            attempts: self.totals.attempts,
            errors: self.totals.errors,
            free_capacity_at_rejections: round(
                self.totals.rejections_with_free_capacity as f64 / rejected.max(1) as f64,
            ),
            loads: self
                .loads
                .chunks(WINDOWS_PER_SECOND)
                .map(|second| average(second.iter().flatten()).map(round))
                .collect(),
        }
    }
}
