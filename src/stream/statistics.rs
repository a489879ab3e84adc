//! Statistics of ended streams: counters and HDR histograms by class and cause.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use hdrhistogram::Histogram;

use super::outcome::{Cause, Outcome};
use crate::types::Nanos;

/// The largest time that is recorded, ten minutes in microseconds. Longer times are recorded as this one.
const MAX_TIME_US: u64 = 600_000_000;

/// The class and cause of a set of streams. Summaries are sorted by class, then by cause.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StatisticsKey {
    class: usize,
    cause: Cause,
}

/// Statistics of the streams of one class that ended for one cause.
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
        let new_histogram = || Histogram::new_with_max(MAX_TIME_US, 2).ok();
        Some(CauseStatistics {
            count: 0,
            bytes: 0,
            events: 0,
            time_to_first_event: new_histogram()?,
            longest_gap: new_histogram()?,
            longest_pause: new_histogram()?,
            release_delay: new_histogram()?,
            duration: new_histogram()?,
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
    /// Index of the class.
    pub class: usize,
    /// Why the streams ended.
    pub cause: Cause,
    /// Number of streams.
    pub count: u64,
    /// Bytes received from the replicas.
    pub bytes: u64,
    /// Events received from the replicas.
    pub events: u64,
    /// Time from the start of the attempt to its first event: median, 99th percentile, maximum.
    pub time_to_first_event: [u64; 3],
    /// Longest time without data from the replica in each stream: median, 99th percentile, maximum.
    pub longest_gap: [u64; 3],
    /// Longest time in each stream in which bytes were queued and the client read none: median, 99th percentile,
    /// maximum.
    pub longest_pause: [u64; 3],
    /// Time from the end of the stream to the release or close of the connection to its replica: median,
    /// 99th percentile, maximum.
    pub release_delay: [u64; 3],
    /// Time from the first event to the end: median, 99th percentile, maximum.
    pub duration: [u64; 3],
}

impl StreamStatistics {
    /// Records the outcome of a stream of a class.
    pub fn record(&mut self, class: usize, outcome: &Outcome) {
        let statistics = match self.by_cause.entry(StatisticsKey { class, cause: outcome.cause }) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => match CauseStatistics::new() {
                Some(statistics) => entry.insert(statistics),
                None => return,
            },
        };
        let to_us = |time: Nanos| time / 1_000;
        statistics.count += 1;
        statistics.bytes += outcome.bytes;
        statistics.events += outcome.events;
        statistics.time_to_first_event.saturating_record(to_us(outcome.time_to_first_event));
        statistics.longest_gap.saturating_record(to_us(outcome.longest_gap));
        statistics.longest_pause.saturating_record(to_us(outcome.longest_pause));
        statistics.release_delay.saturating_record(to_us(outcome.release_delay));
        statistics.duration.saturating_record(to_us(outcome.duration));
    }

    /// The summaries of all streams, by class and cause.
    #[must_use]
    pub fn summaries(&self) -> Vec<StreamSummary> {
        let quantiles = |h: &Histogram<u32>| [h.value_at_quantile(0.5), h.value_at_quantile(0.99), h.max()];
        let summary = |(key, s): (&StatisticsKey, &CauseStatistics)| StreamSummary {
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
        self.by_cause.iter().map(summary).collect()
    }
}
