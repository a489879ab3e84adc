//! A small replicated key-value store for configuration and operational state; no I/O.
//!
//! Every node stores every key. A write is stamped with the time, at least one more than the key's last stamp, and the
//! writer's name; of two writes to a key the one with the later stamp wins on all nodes, in whatever order they arrive
//! (last writer wins). So connected nodes converge. There is no quorum: any node accepts a write alone, and of two
//! writes on both sides of a network partition one is lost when it heals.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::limits::Limits;

/// When and by whom a key was last written; the greater stamp wins.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Stamp(pub u64, pub String);

/// A key's value with its stamp; `null` marks a removed key, which is kept so that an older value does not return.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The stamp of the last write.
    pub stamp: Stamp,
    /// The value; `null` if the key was removed.
    pub value: Value,
}

/// The stamps of all keys, by which two nodes find their differences.
pub type Digest = BTreeMap<String, Stamp>;

/// Entries that are sent between nodes.
pub type Entries = BTreeMap<String, Entry>;

/// The store of one node.
pub struct Store {
    node: String,
    max_keys: usize,
    max_entry_bytes: usize,
    max_clock_lead_ms: u64,
    entries: RefCell<Entries>,
}

impl Store {
    /// Creates an empty store. No entry survives a restart of the process, unless a peer has it.
    #[must_use]
    pub fn new(node: &str, limits: &Limits) -> Store {
        Store {
            node: node.to_owned(),
            max_keys: limits.store.keys,
            max_entry_bytes: limits.store.entry_bytes,
            max_clock_lead_ms: limits.store.max_clock_lead.as_millis() as u64,
            entries: RefCell::default(),
        }
    }

    /// The value of a key; `None` if the key is unknown or was removed.
    pub fn get(&self, key: &str) -> Option<Value> {
        self.entries.borrow().get(key).map(|e| e.value.clone()).filter(|v| !v.is_null())
    }

    /// Returns the values of all keys that begin with `prefix`, by key. Removed keys are left out.
    pub fn values_with_prefix(&self, prefix: &str) -> BTreeMap<String, Value> {
        let entries = self.entries.borrow();
        let found = entries.iter().filter(|(k, e)| k.starts_with(prefix) && !e.value.is_null());
        found.map(|(k, e)| (k.clone(), e.value.clone())).collect()
    }

    /// Writes a key; `null` removes it. Returns false if the entry is too large or there are too many keys.
    pub fn set(&self, key: &str, value: Value) -> bool {
        let last = self.entries.borrow().get(key).map_or(0, |e| e.stamp.0);
        // Later than the entry that it replaces, even if another node's clock is ahead.
        let stamp = Stamp(now_ms().max(last + 1), self.node.clone());
        self.merge(key, Entry { stamp, value })
    }

    /// Stores an entry if it is later than the known one. Returns whether it was stored.
    pub fn merge(&self, key: &str, entry: Entry) -> bool {
        let mut entries = self.entries.borrow_mut();
        let known = entries.get(key).map(|e| &e.stamp);
        let max_bytes = self.max_entry_bytes;
        let fits = key.len() <= max_bytes && entry.value.to_string().len() <= max_bytes;
        let has_capacity = known.is_some() || entries.len() < self.max_keys;
        let is_valid =
            entry.stamp.0 <= now_ms() + self.max_clock_lead_ms && entry.stamp.1.len() <= max_bytes;
        let is_newer = known.is_none_or(|known| *known < entry.stamp);
        if !(fits && has_capacity && is_valid && is_newer) {
            return false;
        }
        entries.insert(key.to_owned(), entry);
        true
    }

    /// The stamps of all entries.
    pub fn digest(&self) -> Digest {
        self.entries.borrow().iter().map(|(k, e)| (k.clone(), e.stamp.clone())).collect()
    }

    /// The entries that a peer with the digest `theirs` lacks or has in an older version.
    pub fn newer_than(&self, theirs: &Digest) -> Entries {
        let entries = self.entries.borrow();
        let newer = entries.iter().filter(|(k, e)| theirs.get(*k).is_none_or(|t| *t < e.stamp));
        newer.map(|(k, e)| (k.clone(), e.clone())).collect()
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
