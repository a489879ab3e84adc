//! Statistics of ended streams: counters and HDR histograms by class and cause.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use hdrhistogram::Histogram;

use super::outcome::{Cause, Outcome};
use crate::types::Nanos;

/// The largest time that is recorded, ten minutes in microseconds. Longer times are recorded as this one.
const MAX_TIME_US: u64 = 600_000_000;

/// The class and cause of a set of streams. Summaries are sorted in the order of the fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StatisticsKey {
    class: usize,
    cause: Cause,
}

/// The streams of one class that ended for one cause.
struct CauseStatistics {
    count: u64,
    bytes: u64,
    events: u64,
    time_to_first_event: Histogram<u32>,
    longest_gap: Histogram<u32>,
    longest_pause: Histogram<u32>,
    release_delay: Histogram<u32>,
    duration: Histogram<u32>,
}

impl CauseStatistics {
    fn new() -> Option<CauseStatistics> {
        // Two significant digits: the error is at most 1%.
        let new = || Histogram::new_with_max(MAX_TIME_US, 2).ok();
        Some(CauseStatistics {
            count: 0,
            bytes: 0,
            events: 0,
            time_to_first_event: new()?,
            longest_gap: new()?,
            longest_pause: new()?,
            release_delay: new()?,
            duration: new()?,
        })
    }
}

/// Statistics by class and cause. Their size is bounded: classes come from the settings, and causes are few.
#[derive(Default)]
pub struct StreamStatistics {
    by_cause: BTreeMap<StatisticsKey, CauseStatistics>,
}

/// Summary of the streams of one class and cause. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamSummary {
    /// The class's index.
    pub class: usize,
    /// The cause.
    pub cause: Cause,
    /// Number of streams.
    pub count: u64,
    /// Bytes of all streams.
    pub bytes: u64,
    /// Events of all streams.
    pub events: u64,
    /// Time to the first event: median, 99th percentile, maximum.
    pub time_to_first_event: [u64; 3],
    /// Longest gap of each stream: median, 99th percentile, maximum.
    pub longest_gap: [u64; 3],
    /// Longest pause of each stream: median, 99th percentile, maximum.
    pub longest_pause: [u64; 3],
    /// Time until the replica's connection was released: median, 99th percentile, maximum.
    pub release_delay: [u64; 3],
    /// Time from the first event to the end: median, 99th percentile, maximum.
    pub duration: [u64; 3],
}

impl StreamStatistics {
    /// Records the end of a stream of a class.
    pub fn record(&mut self, class: usize, outcome: &Outcome) {
        let statistics = match self.by_cause.entry(StatisticsKey { class, cause: outcome.cause }) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => match CauseStatistics::new() {
                Some(statistics) => entry.insert(statistics),
                None => return,
            },
        };
        let micros = |n: Nanos| n / 1_000;
        statistics.count += 1;
        statistics.bytes += outcome.bytes;
        statistics.events += outcome.events;
        statistics.time_to_first_event.saturating_record(micros(outcome.time_to_first_event));
        statistics.longest_gap.saturating_record(micros(outcome.longest_gap));
        statistics.longest_pause.saturating_record(micros(outcome.longest_pause));
        statistics.release_delay.saturating_record(micros(outcome.release_delay));
        statistics.duration.saturating_record(micros(outcome.duration));
    }

    /// The summaries of all streams, by class and cause.
    #[must_use]
    pub fn summaries(&self) -> Vec<StreamSummary> {
        let quantiles = |h: &Histogram<u32>| [h.value_at_quantile(0.5), h.value_at_quantile(0.99), h.max()];
        let statistics = |(key, s): (&StatisticsKey, &CauseStatistics)| StreamSummary {
            class: key.class,
            cause: key.cause,
            count: s.count,
            bytes: s.bytes,
            events: s.events,
            time_to_first_event: quantiles(&s.time_to_first_event),
            longest_gap: quantiles(&s.longest_gap),
            longest_pause: quantiles(&s.longest_pause),
            release_delay: quantiles(&s.release_delay),
            duration: quantiles(&s.duration),
        };
        self.by_cause.iter().map(statistics).collect()
    }
}
