//! The order in which entries are evicted.

use std::collections::{BTreeSet, VecDeque};

use crate::cache_entry::CacheEntry;

/// Stale entries that the queue may have beyond the number of live entries before it is compacted.
const MAX_EXCESS_STALE_ENTRIES: usize = 1024;

/// Entries in the order in which they were inserted.
///
/// An entry that is removed from the index stays in the queue as a stale entry until it reaches the front or the queue
/// is compacted, so that a removal needs no search. An entry that was removed and inserted again may be queued twice;
/// its earlier position then determines when it is evicted.
#[derive(Clone, Debug, Default)]
pub(super) struct EvictionQueue {
    entries: VecDeque<CacheEntry>,
}

impl EvictionQueue {
    /// Appends an entry that was inserted into the index.
    pub(super) fn push(&mut self, entry: CacheEntry) {
        self.entries.push_back(entry);
    }

    /// Removes the oldest entry, which may be stale.
    pub(super) fn pop_oldest(&mut self) -> Option<CacheEntry> {
        self.entries.pop_front()
    }

    /// Whether the queue has too many stale entries in proportion to the `live_count` entries of the index.
    pub(super) fn needs_compaction(&self, live_count: usize) -> bool {
        self.entries.len() > 2 * live_count + MAX_EXCESS_STALE_ENTRIES
    }

    /// Removes stale entries, and all but the first occurrence of each live entry.
    pub(super) fn compact(&mut self, is_live: impl Fn(CacheEntry) -> bool) {
        let mut seen = BTreeSet::new();
        self.entries.retain(|entry| is_live(*entry) && seen.insert(*entry));
    }
}
