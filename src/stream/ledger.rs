//! The record of all streams: counters, and HDR histograms, by class and cause.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use hdrhistogram::Histogram;

use super::outcome::{Cause, Outcome};
use crate::types::Nanos;

/// The longest time that is told apart: ten minutes, in microseconds.
const LONGEST: u64 = 600_000_000;

/// The streams of one class that ended for one cause.
struct Sheet {
    count: u64,
    bytes: u64,
    events: u64,
    first: Histogram<u32>,
    gap: Histogram<u32>,
    pause: Histogram<u32>,
    stop: Histogram<u32>,
    lasted: Histogram<u32>,
}

impl Sheet {
    fn new() -> Option<Sheet> {
        // Two digits: a figure is off by one in a hundred at the most.
        let new = || Histogram::new_with_max(LONGEST, 2).ok();
        Some(Sheet {
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

/// How streams ended, by class and cause. Bounded: classes come from the settings, causes are few.
#[derive(Default)]
pub struct Ledger {
    sheets: BTreeMap<(usize, Cause), Sheet>,
}

/// The figures of one class and cause; quantiles are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figures {
    /// The class's index.
    pub class: usize,
    /// The cause.
    pub cause: Cause,
    /// Streams.
    pub count: u64,
    /// Bytes of all of them.
    pub bytes: u64,
    /// Events of all of them.
    pub events: u64,
    /// Times to the first event: median, 99th percentile, longest.
    pub first: [u64; 3],
    /// Each one's longest gap, likewise.
    pub gap: [u64; 3],
    /// Each one's longest pause, likewise.
    pub pause: [u64; 3],
    /// Times that the work took to stop, likewise.
    pub stop: [u64; 3],
    /// Times from the first event to the end, likewise.
    pub lasted: [u64; 3],
}

impl Ledger {
    /// Enters a stream of that class.
    pub fn enter(&mut self, class: usize, outcome: &Outcome) {
        let sheet = match self.sheets.entry((class, outcome.cause)) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => match Sheet::new() {
                Some(sheet) => entry.insert(sheet),
                None => return,
            },
        };
        let micros = |n: Nanos| n / 1_000;
        sheet.count += 1;
        sheet.bytes += outcome.bytes;
        sheet.events += outcome.events;
        sheet.first.saturating_record(micros(outcome.first));
        sheet.gap.saturating_record(micros(outcome.longest_gap));
        sheet.pause.saturating_record(micros(outcome.longest_pause));
        sheet.stop.saturating_record(micros(outcome.stop));
        sheet.lasted.saturating_record(micros(outcome.lasted));
    }

    /// All figures, by class and cause.
    #[must_use]
    pub fn figures(&self) -> Vec<Figures> {
        let of = |h: &Histogram<u32>| [h.value_at_quantile(0.5), h.value_at_quantile(0.99), h.max()];
        let sheet = |((class, cause), s): (&(usize, Cause), &Sheet)| Figures {
            class: *class,
            cause: *cause,
            count: s.count,
            bytes: s.bytes,
            events: s.events,
            first: of(&s.first),
            gap: of(&s.gap),
            pause: of(&s.pause),
            stop: of(&s.stop),
            lasted: of(&s.lasted),
        };
        self.sheets.iter().map(sheet).collect()
    }
}
