//! A bounded log of the latest changes to an index.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use crate::cache_entry::CacheEntry;
use crate::cache_update::CacheUpdate;
use crate::prefix::PrefixKey;

/// Steps that the log retains.
const MAX_STEPS: usize = 128;
/// Changed sources and segments in all retained steps together.
const MAX_LOGGED_CHANGES: usize = 32_768;

/// The sources, and their segments, that may differ from an earlier state of an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangedKeys {
    replaced: BTreeSet<SocketAddrV4>,
    segments: BTreeMap<SocketAddrV4, BTreeSet<PrefixKey>>,
}

impl ChangedKeys {
    /// Adds what an update changes.
    pub fn add(&mut self, update: &CacheUpdate) {
        if update.replace {
            self.replaced.insert(update.source);
            return;
        }
        let segments = self.segments.entry(update.source).or_default();
        segments.extend(update.added.iter().map(|prefix| prefix.key));
        segments.extend(update.removed.iter().copied());
    }

    /// Adds one entry, for example an evicted one.
    pub fn add_entry(&mut self, entry: CacheEntry) {
        self.segments.entry(entry.source).or_default().insert(entry.key);
    }

    /// Sources all of whose entries were replaced.
    #[must_use]
    pub fn replaced_sources(&self) -> &BTreeSet<SocketAddrV4> {
        &self.replaced
    }

    /// Sources with the segments that have changed; the set is empty where only the status has changed.
    pub fn changed_segments(&self) -> impl Iterator<Item = (SocketAddrV4, &BTreeSet<PrefixKey>)> {
        self.segments.iter().map(|(source, segments)| (*source, segments))
    }

    fn merge(&mut self, other: &ChangedKeys) {
        self.replaced.extend(&other.replaced);
        for (source, segments) in &other.segments {
            self.segments.entry(*source).or_default().extend(segments);
        }
    }

    fn count(&self) -> usize {
        self.replaced.len() + self.segments.values().map(BTreeSet::len).sum::<usize>()
    }
}

/// The latest steps of an index, each from one position of type `P` to the next.
#[derive(Clone, Debug)]
pub struct ChangeLog<P> {
    steps: VecDeque<Step<P>>,
    /// Changed sources and segments in all steps together.
    change_count: usize,
}

#[derive(Clone, Debug)]
struct Step<P> {
    base: P,
    changed: ChangedKeys,
}

impl<P> Default for ChangeLog<P> {
    fn default() -> Self {
        ChangeLog { steps: VecDeque::new(), change_count: 0 }
    }
}

impl<P: PartialEq> ChangeLog<P> {
    /// Appends the step that starts at `base`, and drops the oldest steps beyond the log's capacity.
    pub fn record(&mut self, base: P, changed: ChangedKeys) {
        self.change_count += changed.count();
        self.steps.push_back(Step { base, changed });
        while self.steps.len() > MAX_STEPS || self.change_count > MAX_LOGGED_CHANGES {
            let dropped = self.steps.pop_front().map_or(0, |step| step.changed.count());
            self.change_count -= dropped;
        }
    }

    /// Drops all steps, for use where the steps up to the newest state are unknown.
    pub fn clear(&mut self) {
        *self = ChangeLog::default();
    }

    /// The keys that may have changed since `base`, or `None` if the log does not reach back to it.
    pub fn since(&self, base: &P) -> Option<ChangedKeys> {
        let start = self.steps.iter().rposition(|step| step.base == *base)?;
        let mut changed = ChangedKeys::default();
        self.steps.range(start..).for_each(|step| changed.merge(&step.changed));
        Some(changed)
    }
}
