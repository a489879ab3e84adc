//! The index: which source has cached which prefix segment.

mod eviction;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;

use self::eviction::EvictionQueue;
use crate::cache_entry::CacheEntry;
use crate::cache_listing::Cursor;
use crate::cache_update::{CacheUpdate, Liveness};
use crate::change_log::ChangedKeys;
use crate::prefix::{CachedPrefix, PrefixKey};

/// The status of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceStatus {
    /// The position up to which the source's events were applied.
    pub cursor: Cursor,
    /// Whether cached segments may be fetched from the source.
    pub liveness: Liveness,
}

/// A source that has cached a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheLocation {
    /// The source that has the segment cached.
    pub source: SocketAddrV4,
    /// Tokens of the segment that the source has cached.
    pub tokens: u32,
}

/// An index of which source has cached which prefix segment.
#[derive(Clone, Debug, Default)]
pub struct Index {
    sources: BTreeMap<SocketAddrV4, SourceStatus>,
    locations: HashMap<PrefixKey, Vec<CacheLocation>>,
    entry_count: usize,
    eviction_queue: EvictionQueue,
}

impl Index {
    /// The status of a source, or `None` if it is not followed.
    #[must_use]
    pub fn status(&self, source: SocketAddrV4) -> Option<SourceStatus> {
        self.sources.get(&source).copied()
    }

    /// Whether cached segments may be fetched from a source.
    #[must_use]
    pub fn is_alive(&self, source: SocketAddrV4) -> bool {
        self.sources.get(&source).is_some_and(|status| status.liveness == Liveness::Alive)
    }

    /// The sources that are followed.
    pub fn sources(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.sources.keys().copied()
    }

    /// Whether no source is followed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// The number of entries; an entry is a pair of a segment and a source that has cached it.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entry_count
    }

    /// The sources that are alive and have cached a segment.
    pub fn locations(&self, key: PrefixKey) -> impl Iterator<Item = CacheLocation> {
        self.all_locations(key).filter(|location| self.is_alive(location.source))
    }

    /// Tokens of a segment that a source has cached, whether or not it is alive; 0 without an entry.
    #[must_use]
    pub fn cached_tokens(&self, source: SocketAddrV4, key: PrefixKey) -> u32 {
        self.all_locations(key)
            .find(|location| location.source == source)
            .map_or(0, |location| location.tokens)
    }

    /// Applies an update of one source.
    pub fn apply(&mut self, update: &CacheUpdate) {
        let source = update.source;
        if update.replace {
            self.remove_all(source);
        }
        if update.liveness == Liveness::Gone {
            self.sources.remove(&source);
            return;
        }
        self.sources.insert(source, SourceStatus { cursor: update.cursor(), liveness: update.liveness });
        update.removed.iter().for_each(|key| self.remove(CacheEntry { source, key: *key }));
        update.added.iter().for_each(|prefix| self.insert(source, *prefix));
    }

    /// Evicts the oldest entries until at most `max_entries` are left, and returns the evicted ones.
    pub fn evict_oldest(&mut self, max_entries: usize) -> Vec<CacheEntry> {
        let mut evicted = Vec::new();
        while self.entry_count > max_entries {
            let Some(entry) = self.eviction_queue.pop_oldest() else { break };
            if self.contains(entry) {
                self.remove(entry);
                evicted.push(entry);
            }
        }
        evicted
    }

    /// All entries, as updates for a subscriber that has none.
    #[must_use]
    pub fn snapshot(&self) -> Vec<CacheUpdate> {
        let sources = self.sources.keys().copied().collect();
        self.full_updates(&sources)
    }

    /// The updates for a subscriber that has missed changes to the keys in `changed`.
    #[must_use]
    pub fn updates(&self, changed: &ChangedKeys) -> Vec<CacheUpdate> {
        let replaced = changed.replaced_sources();
        let mut updates = self.full_updates(replaced);
        let partial = changed.changed_segments().filter(|(source, _)| !replaced.contains(source));
        updates.extend(partial.map(|(source, keys)| self.partial_update(source, keys)));
        updates
    }

    fn all_locations(&self, key: PrefixKey) -> impl Iterator<Item = CacheLocation> {
        self.locations.get(&key).into_iter().flatten().copied()
    }

    fn contains(&self, entry: CacheEntry) -> bool {
        self.cached_tokens(entry.source, entry.key) > 0
    }

    /// An update with the current state of some segments of a source.
    fn partial_update(&self, source: SocketAddrV4, keys: &BTreeSet<PrefixKey>) -> CacheUpdate {
        let mut update = self.status_update(source);
        for key in keys {
            match self.cached_tokens(source, *key) {
                0 => update.removed.push(*key),
                tokens => update.added.push(CachedPrefix { key: *key, tokens }),
            }
        }
        update
    }

    /// Updates that replace all entries of these sources.
    fn full_updates(&self, sources: &BTreeSet<SocketAddrV4>) -> Vec<CacheUpdate> {
        // The scan below visits every entry, so it is skipped if no source is to be replaced.
        if sources.is_empty() {
            return Vec::new();
        }
        let replacement = |source| CacheUpdate { replace: true, ..self.status_update(source) };
        let mut updates: BTreeMap<SocketAddrV4, CacheUpdate> =
            sources.iter().map(|source| (*source, replacement(*source))).collect();
        for (key, locations) in &self.locations {
            for location in locations {
                if let Some(update) = updates.get_mut(&location.source) {
                    update.added.push(CachedPrefix { key: *key, tokens: location.tokens });
                }
            }
        }
        let mut updates: Vec<CacheUpdate> = updates.into_values().collect();
        updates.iter_mut().for_each(|update| update.added.sort_unstable());
        updates
    }

    fn status_update(&self, source: SocketAddrV4) -> CacheUpdate {
        let Some(status) = self.sources.get(&source) else { return CacheUpdate::gone(source) };
        CacheUpdate::status(source, status.cursor, status.liveness)
    }

    fn insert(&mut self, source: SocketAddrV4, prefix: CachedPrefix) {
        let CachedPrefix { key, tokens } = prefix;
        let locations = self.locations.entry(key).or_default();
        match locations.iter_mut().find(|location| location.source == source) {
            Some(location) => location.tokens = tokens,
            None => {
                locations.push(CacheLocation { source, tokens });
                self.entry_count += 1;
                self.eviction_queue.push(CacheEntry { source, key });
                self.compact_eviction_queue();
            }
        }
    }

    fn remove(&mut self, entry: CacheEntry) {
        let Some(locations) = self.locations.get_mut(&entry.key) else { return };
        let Some(position) = locations.iter().position(|location| location.source == entry.source) else {
            return;
        };
        locations.swap_remove(position);
        if locations.is_empty() {
            self.locations.remove(&entry.key);
        }
        self.entry_count -= 1;
    }

    fn remove_all(&mut self, source: SocketAddrV4) {
        if !self.sources.contains_key(&source) {
            return;
        }
        self.locations.retain(|_, locations| {
            locations.retain(|location| location.source != source);
            !locations.is_empty()
        });
        self.entry_count = self.locations.values().map(Vec::len).sum();
    }

    fn compact_eviction_queue(&mut self) {
        if !self.eviction_queue.needs_compaction(self.entry_count) {
            return;
        }
        let mut queue = std::mem::take(&mut self.eviction_queue);
        queue.compact(|entry| self.contains(entry));
        self.eviction_queue = queue;
    }
}
