//! The counts of one stretch of a run.

use hdrhistogram::Histogram;
use tulipridge::types::Nanos;

use super::server_history::ServerHistory;
use super::statistics::{average, quantile, round, variation};
use super::{End, Stretch, WINDOW, Window};
use crate::experiment::Experiment;
use crate::time::{SECOND, nanos};

/// What follows a fault is looked at for this long.
const AFTER: Nanos = 10 * SECOND;
/// Up to an hour, in microseconds.
const WAIT_MOST_MICROS: u64 = 3_600_000_000;
/// Significant figures of a wait.
const WAIT_FIGURES: u8 = 3;
/// The load of a second is that of so many windows.
pub(super) const WINDOWS_PER_SECOND: usize = (SECOND / WINDOW) as usize;
/// Windows are matched to a stretch's bounds, in seconds, up to this error of rounding.
const SECONDS_TOLERANCE: f64 = 1e-9;

/// Counts of the requests that arrived in a stretch.
pub(super) struct Tally {
    name: String,
    from: Nanos,
    to: Nanos,
    pub(super) first_tries: u64,
    pub(super) ends: [u64; 5],
    pub(super) worth_earned: f64,
    pub(super) worth_asked: f64,
    pub(super) tries: u64,
    pub(super) attempts: u64,
    pub(super) errors: u64,
    pub(super) spent: u64,
    pub(super) refused_with_room: u64,
    pub(super) kept_tokens: u64,
    pub(super) prompt_tokens: u64,
    pub(super) waits: Histogram<u64>,
}

impl Tally {
    /// Of the arrivals from one time to another.
    fn new(name: String, from: Nanos, to: Nanos) -> Tally {
        Tally {
            name,
            from,
            to,
            first_tries: 0,
            ends: [0; 5],
            worth_earned: 0.0,
            worth_asked: 0.0,
            tries: 0,
            attempts: 0,
            errors: 0,
            spent: 0,
            refused_with_room: 0,
            kept_tokens: 0,
            prompt_tokens: 0,
            waits: Histogram::new_with_max(WAIT_MOST_MICROS, WAIT_FIGURES)
                .expect("bounds that the library takes"),
        }
    }

    /// One for each stretch: before the faults, in those that last, after each, and all.
    pub(super) fn for_stretches(x: &Experiment) -> Vec<Tally> {
        let (warmup, end) = (nanos(x.warmup), x.end());
        let faults = x.faults_in_order();
        let mut tallies = Vec::new();
        if let Some((_, first)) = faults.first() {
            tallies.push(Tally::new("before".to_owned(), warmup, warmup + nanos(first.at)));
        }
        for (name, fault) in faults {
            let start = warmup + nanos(fault.at);
            // What restarts is looked at from where it is back, not while it is gone.
            let back = start + nanos(fault.back);
            if fault.kind.lasts() {
                tallies.push(Tally::new(format!("in {name}"), start, back.min(end)));
            }
            tallies.push(Tally::new(format!("after {name}"), back, (back + AFTER).min(end)));
        }
        tallies.push(Tally::new("all".to_owned(), warmup, end));
        tallies.retain(|tally| tally.from < tally.to);
        tallies
    }

    /// A request that arrived then belongs to it.
    pub(super) fn covers(&self, arrived: Nanos) -> bool {
        (self.from..self.to).contains(&arrived)
    }

    /// The figures that it comes to, with those of the windows in it.
    pub(super) fn stretch(&self, warmup: Nanos, windows: &[Window], servers: &[ServerHistory]) -> Stretch {
        let second = |at: Nanos| (at as f64 - warmup as f64) / SECOND as f64;
        let (from_s, to_s) = (second(self.from), second(self.to));
        let inside = |w: &Window| w.at_s >= from_s - SECONDS_TOLERANCE && w.at_s < to_s - SECONDS_TOLERANCE;
        let first = windows.iter().take_while(|w| !inside(w)).count();
        let windows: Vec<&Window> = windows.iter().filter(|w| inside(w)).collect();
        let lasting: Vec<f64> = servers
            .iter()
            .filter_map(|s| average(s.loads.iter().skip(first).take(windows.len()).flatten()))
            .collect();
        let mean = |of: fn(&Window) -> f64| {
            windows.iter().map(|w| of(w)).sum::<f64>() / windows.len().max(1) as f64
        };
        let mut max_over_mean: Vec<f64> = windows.iter().map(|w| w.max_over_mean).collect();
        max_over_mean.sort_by(f64::total_cmp);
        let seconds = windows.windows(WINDOWS_PER_SECOND.min(windows.len()).max(1));
        let calls = |second: &[&Window]| second.iter().map(|w| w.list_calls).sum::<usize>();
        Stretch {
            name: self.name.clone(),
            from_s,
            to_s,
            first_tries: self.first_tries,
            in_time: self.share_of_ends(End::InTime),
            late: self.share_of_ends(End::Late),
            refused: self.share_of_ends(End::Refused),
            failed: self.share_of_ends(End::Failed),
            broken: self.share_of_ends(End::Broken),
            worth: round(self.worth_earned / self.worth_asked.max(f64::MIN_POSITIVE)),
            tries: self.per_first_try(self.tries),
            attempts: self.per_first_try(self.attempts),
            errors: round(self.errors as f64 / self.attempts.max(1) as f64),
            spent: self.per_first_try(self.spent),
            refused_with_room: self.per_first_try(self.refused_with_room),
            kept: round(self.kept_tokens as f64 / self.prompt_tokens.max(1) as f64),
            wait_p50_ms: self.waits.value_at_quantile(0.5) as f64 / 1000.0,
            wait_p99_ms: self.waits.value_at_quantile(0.99) as f64 / 1000.0,
            in_hand: round(mean(|w| w.in_hand)),
            max_over_mean_p50: round(quantile(&max_over_mean, 0.5)),
            max_over_mean_p95: round(quantile(&max_over_mean, 0.95)),
            max_over_mean_most: round(quantile(&max_over_mean, 1.0)),
            cv: round(mean(|w| w.cv)),
            cv_lasting: round(variation(&lasting)),
            idle_while_queued: round(mean(|w| w.idle_while_queued)),
            fresh_over_mean: round(mean(|w| w.fresh_over_mean)),
            herd: windows.iter().map(|w| w.herd).max().unwrap_or(0),
            connections_most: windows.iter().map(|w| w.connections_most).max().unwrap_or(0),
            list_calls_peak: seconds.map(calls).max().unwrap_or(0),
            list_calls: windows.iter().map(|w| w.list_calls).sum(),
        }
    }

    fn share_of_ends(&self, end: End) -> f64 {
        let ended = self.ends.iter().sum::<u64>().max(1) as f64;
        round(self.ends[end as usize] as f64 / ended)
    }

    fn per_first_try(&self, count: u64) -> f64 {
        round(count as f64 / self.first_tries.max(1) as f64)
    }
}
