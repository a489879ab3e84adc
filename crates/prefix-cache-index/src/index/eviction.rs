//! The order in which entries are evicted.

use std::collections::{BTreeSet, VecDeque};

use crate::cache_entry::CacheEntry;

/// Stale entries that the queue may have, beside one for each live entry, before it is compacted.
const MAX_STALE_ENTRIES: usize = 1024;

/// Entries in the order in which they were inserted.
///
/// An entry that is removed from the index stays here as a stale one until it comes to its turn or the queue is
/// compacted, so that a removal needs no search. One that was removed and inserted again may be here twice; then its
/// earlier position counts.
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

    /// Whether stale entries outweigh the `live_count` entries of the index.
    pub(super) fn needs_compaction(&self, live_count: usize) -> bool {
        self.entries.len() > 2 * live_count + MAX_STALE_ENTRIES
    }

    /// Removes stale entries and all but the first occurrence of each other one.
    pub(super) fn compact(&mut self, is_live: impl Fn(CacheEntry) -> bool) {
        let mut seen = BTreeSet::new();
        self.entries.retain(|entry| is_live(*entry) && seen.insert(*entry));
    }
}
