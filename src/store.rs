//! A small replicated store of configuration and operational state: what it holds, without any wire.
//!
//! Every node holds every key. A write is stamped with the time, pushed beyond all stamps seen, and the writer's
//! name; of two writes to a key the later stamp stays, at all nodes alike, whatever the order in which they come.
//! So nodes that can reach each other, even by way of others, come to hold the same. There is no quorum: a write
//! is taken by any node alone, and of two made on both sides of a cut one is lost when it heals.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::limits::Limits;

/// When and by whom a key was last written; the greater one stays.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Stamp(pub u64, pub String);

/// A key's value with its stamp; `null` is a removed one, kept so that an older value does not come back.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// When it was written.
    pub stamp: Stamp,
    /// The value.
    pub value: Value,
}

/// The stamps of all keys, by which two nodes find what differs.
pub type Digest = BTreeMap<String, Stamp>;

/// Entries on their way between nodes.
pub type Entries = BTreeMap<String, Entry>;

/// One node's copy.
pub struct Store {
    node: String,
    most_keys: usize,
    most_bytes: usize,
    ahead_ms: u64,
    entries: RefCell<Entries>,
}

impl Store {
    /// An empty copy, as after each start.
    #[must_use]
    pub fn new(node: &str, limits: &Limits) -> Store {
        let (most_keys, most_bytes) = (limits.store_keys, limits.store_bytes);
        let ahead_ms = limits.store_ahead.as_millis() as u64;
        Store { node: node.to_owned(), most_keys, most_bytes, ahead_ms, entries: RefCell::default() }
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.entries.borrow().get(key).map(|e| e.value.clone()).filter(|v| !v.is_null())
    }

    /// All keys that begin so, with their values.
    pub fn under(&self, prefix: &str) -> BTreeMap<String, Value> {
        let entries = self.entries.borrow();
        let found = entries.iter().filter(|(k, e)| k.starts_with(prefix) && !e.value.is_null());
        found.map(|(k, e)| (k.clone(), e.value.clone())).collect()
    }

    /// Writes a key; `null` removes it. False if it is too large or there are too many.
    pub fn set(&self, key: &str, value: Value) -> bool {
        let last = self.entries.borrow().get(key).map_or(0, |e| e.stamp.0);
        // Later than what it replaces, even if another node's clock is ahead.
        let stamp = Stamp(now_ms().max(last + 1), self.node.clone());
        self.merge(key, Entry { stamp, value })
    }

    /// Takes an entry if it is later than what is held; true if it was taken.
    pub fn merge(&self, key: &str, entry: Entry) -> bool {
        let mut entries = self.entries.borrow_mut();
        let held = entries.get(key).map(|e| &e.stamp);
        let fits = key.len() <= self.most_bytes && entry.value.to_string().len() <= self.most_bytes;
        let room = held.is_some() || entries.len() < self.most_keys;
        let sane = entry.stamp.0 <= now_ms() + self.ahead_ms && entry.stamp.1.len() <= self.most_bytes;
        if !fits || !room || !sane || held.is_some_and(|h| *h >= entry.stamp) {
            return false;
        }
        entries.insert(key.to_owned(), entry);
        true
    }

    /// The stamps held.
    pub fn digest(&self) -> Digest {
        self.entries.borrow().iter().map(|(k, e)| (k.clone(), e.stamp.clone())).collect()
    }

    /// What is held that the holder of `theirs` does not have or has older.
    pub fn news_for(&self, theirs: &Digest) -> Entries {
        let entries = self.entries.borrow();
        let newer = entries.iter().filter(|(k, e)| theirs.get(*k).is_none_or(|t| *t < e.stamp));
        newer.map(|(k, e)| (k.clone(), e.clone())).collect()
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
