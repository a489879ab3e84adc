//! The index itself.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddrV4;

use crate::change_log::ChangedKeys;
use crate::follow::Cursor;
use crate::key::PrefixKey;
use crate::update::{CacheUpdate, Liveness};

/// Entries of the order of age that may be void before it is tidied.
const VOID_AGES: usize = 1024;

/// What is known of a source beside its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceStatus {
    /// How far it was followed.
    pub cursor: Cursor,
    /// Whether it may be fetched from.
    pub liveness: Liveness,
}

/// A source that keeps a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The source.
    pub source: SocketAddrV4,
    /// Tokens that it keeps of the part.
    pub tokens: u32,
}

/// Which source keeps which part.
#[derive(Clone, Debug, Default)]
pub struct Index {
    sources: BTreeMap<SocketAddrV4, SourceStatus>,
    parts: HashMap<PrefixKey, Vec<Holder>>,
    entries: usize,
    /// Entries in the order in which they came, void ones among them.
    ages: VecDeque<(SocketAddrV4, PrefixKey)>,
}

impl Index {
    /// What is known of a source.
    #[must_use]
    pub fn status(&self, source: SocketAddrV4) -> Option<SourceStatus> {
        self.sources.get(&source).copied()
    }

    /// Whether a source may be fetched from.
    #[must_use]
    pub fn is_alive(&self, source: SocketAddrV4) -> bool {
        self.sources.get(&source).is_some_and(|status| status.liveness == Liveness::Alive)
    }

    /// The sources that are followed.
    pub fn sources(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.sources.keys().copied()
    }

    /// Whether no source has ever been heard of.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sources.is_empty()
    }

    /// Pairs of a part and a source that keeps it.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries
    }

    /// The sources that are alive and keep a part.
    pub fn holders(&self, key: PrefixKey) -> impl Iterator<Item = Holder> {
        let holders = self.parts.get(&key).into_iter().flatten().copied();
        holders.filter(|holder| self.is_alive(holder.source))
    }

    /// Tokens that a source keeps of a part, whether or not it is alive.
    #[must_use]
    pub fn kept(&self, source: SocketAddrV4, key: PrefixKey) -> u32 {
        let holders = self.parts.get(&key).into_iter().flatten();
        holders.filter(|holder| holder.source == source).map(|holder| holder.tokens).next().unwrap_or(0)
    }

    /// Takes a change of one source.
    pub fn apply(&mut self, update: &CacheUpdate) {
        let source = update.source;
        if update.replace {
            self.forget_parts(source);
        }
        if update.liveness == Liveness::Gone {
            self.sources.remove(&source);
            return;
        }
        let cursor = Cursor { boot: update.boot, next_token: update.next_token };
        self.sources.insert(source, SourceStatus { cursor, liveness: update.liveness });
        update.removed.iter().for_each(|key| self.remove(source, *key));
        update.added.iter().for_each(|(key, tokens)| self.insert(source, *key, *tokens));
    }

    /// Drops the oldest entries beyond `most`, and says which.
    pub fn drop_oldest(&mut self, most: usize) -> Vec<(SocketAddrV4, PrefixKey)> {
        let mut dropped = Vec::new();
        while self.entries > most {
            let Some((source, key)) = self.ages.pop_front() else { break };
            if self.kept(source, key) > 0 {
                self.remove(source, key);
                dropped.push((source, key));
            }
        }
        dropped
    }

    /// All that is known, as updates for one who knows nothing.
    #[must_use]
    pub fn snapshot(&self) -> Vec<CacheUpdate> {
        let all = self.sources.keys().copied().collect();
        self.whole(&all)
    }

    /// The updates that bring one who missed what is `touched` up to date.
    #[must_use]
    pub fn updates(&self, touched: &ChangedKeys) -> Vec<CacheUpdate> {
        let mut updates = self.whole(touched.whole());
        let changed = touched.parts().filter(|(source, _)| !touched.whole().contains(source));
        updates.extend(changed.map(|(source, keys)| self.difference(source, keys)));
        updates
    }

    fn difference(&self, source: SocketAddrV4, keys: &BTreeSet<PrefixKey>) -> CacheUpdate {
        let mut update = self.update_of(source, false);
        for key in keys {
            match self.kept(source, *key) {
                0 => update.removed.push(*key),
                tokens => update.added.push((*key, tokens)),
            }
        }
        update
    }

    /// All that these sources keep.
    fn whole(&self, sources: &BTreeSet<SocketAddrV4>) -> Vec<CacheUpdate> {
        let mut updates: BTreeMap<SocketAddrV4, CacheUpdate> =
            sources.iter().map(|source| (*source, self.update_of(*source, true))).collect();
        if updates.is_empty() {
            return Vec::new();
        }
        for (key, holders) in &self.parts {
            for holder in holders {
                if let Some(update) = updates.get_mut(&holder.source) {
                    update.added.push((*key, holder.tokens));
                }
            }
        }
        let mut updates: Vec<CacheUpdate> = updates.into_values().collect();
        updates.iter_mut().for_each(|update| update.added.sort_unstable());
        updates
    }

    fn update_of(&self, source: SocketAddrV4, replace: bool) -> CacheUpdate {
        let Some(status) = self.sources.get(&source) else { return CacheUpdate::gone(source) };
        CacheUpdate {
            source,
            boot: status.cursor.boot,
            next_token: status.cursor.next_token,
            liveness: status.liveness,
            replace,
            added: Vec::new(),
            removed: Vec::new(),
        }
    }

    fn insert(&mut self, source: SocketAddrV4, key: PrefixKey, tokens: u32) {
        let holders = self.parts.entry(key).or_default();
        match holders.iter_mut().find(|holder| holder.source == source) {
            Some(holder) => holder.tokens = tokens,
            None => {
                holders.push(Holder { source, tokens });
                self.entries += 1;
                self.ages.push_back((source, key));
                self.tidy_ages();
            }
        }
    }

    fn remove(&mut self, source: SocketAddrV4, key: PrefixKey) {
        let Some(holders) = self.parts.get_mut(&key) else { return };
        let Some(place) = holders.iter().position(|holder| holder.source == source) else { return };
        holders.swap_remove(place);
        if holders.is_empty() {
            self.parts.remove(&key);
        }
        self.entries -= 1;
    }

    fn forget_parts(&mut self, source: SocketAddrV4) {
        if !self.sources.contains_key(&source) {
            return;
        }
        self.parts.retain(|_, holders| {
            holders.retain(|holder| holder.source != source);
            !holders.is_empty()
        });
        self.entries = self.parts.values().map(Vec::len).sum();
    }

    /// An entry that was dropped and came back may stand twice; its earlier place counts.
    fn tidy_ages(&mut self) {
        if self.ages.len() <= 2 * self.entries + VOID_AGES {
            return;
        }
        let ages = std::mem::take(&mut self.ages);
        let mut seen = BTreeSet::new();
        self.ages = ages
            .into_iter()
            .filter(|(source, key)| self.kept(*source, *key) > 0 && seen.insert((*source, *key)))
            .collect();
    }
}
