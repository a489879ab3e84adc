//! Statistics of ended streams: counters and HDR histograms by class and cause.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use hdrhistogram::Histogram;

use super::outcome::{Cause, Outcome};
use crate::types::Nanos;

/// The largest recorded time, ten minutes, in microseconds; longer ones are recorded as this.
const MAX_TIME_US: u64 = 600_000_000;

/// The class and cause of a set of streams. The order of the fields is that of the figures.
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
    first: Histogram<u32>,
    gap: Histogram<u32>,
    pause: Histogram<u32>,
    stop: Histogram<u32>,
    lasted: Histogram<u32>,
}

impl CauseStatistics {
    fn new() -> Option<CauseStatistics> {
        // Two significant digits: a figure is off by 1% at most.
        let new = || Histogram::new_with_max(MAX_TIME_US, 2).ok();
        Some(CauseStatistics {
            count: 0,
            bytes: 0,
            events: 0,
            first: new()?,
            gap: new()?,
            pause: new()?,
            stop: new()?,
            lasted: new()?,
        })
    }
}

/// Statistics by class and cause. Their size is bounded: classes come from the settings, and causes are few.
#[derive(Default)]
pub struct StreamStatistics {
    by_cause: BTreeMap<StatisticsKey, CauseStatistics>,
}

/// The figures of one class and cause; quantiles are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figures {
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
    pub first: [u64; 3],
    /// Longest gap of each stream: median, 99th percentile, maximum.
    pub gap: [u64; 3],
    /// Longest pause of each stream: median, 99th percentile, maximum.
    pub pause: [u64; 3],
    /// Time until the replica's connection was released: median, 99th percentile, maximum.
    pub stop: [u64; 3],
    /// Time from the first event to the end: median, 99th percentile, maximum.
    pub lasted: [u64; 3],
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
        statistics.first.saturating_record(micros(outcome.first));
        statistics.gap.saturating_record(micros(outcome.longest_gap));
        statistics.pause.saturating_record(micros(outcome.longest_pause));
        statistics.stop.saturating_record(micros(outcome.stop));
        statistics.lasted.saturating_record(micros(outcome.lasted));
    }

    /// All figures, by class and cause.
    #[must_use]
    pub fn figures(&self) -> Vec<Figures> {
        let of = |h: &Histogram<u32>| [h.value_at_quantile(0.5), h.value_at_quantile(0.99), h.max()];
        let statistics = |(key, s): (&StatisticsKey, &CauseStatistics)| Figures {
            class: key.class,
            cause: key.cause,
            count: s.count,
            bytes: s.bytes,
            events: s.events,
            first: of(&s.first),
            gap: of(&s.gap),
            pause: of(&s.pause),
            stop: of(&s.stop),
            lasted: of(&s.lasted),
        };
        self.by_cause.iter().map(statistics).collect()
    }
}
