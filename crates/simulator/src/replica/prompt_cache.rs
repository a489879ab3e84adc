//! Prompt cache of a replica.

use std::collections::BTreeMap;

/// Identifier of a shared prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PrefixId {
    /// Index of the class of requests.
    pub class: usize,
    /// Popularity rank of the prefix in the class, from 1.
    pub rank: u32,
}

/// Key of a cached prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PromptKey {
    /// A shared prefix of several sessions.
    Prefix(PrefixId),
    /// The complete prompt of a session, by the number of the session.
    Session(u64),
}

struct Entry {
    tokens: u32,
    used_at: u64,
}

/// Cache of prompts with least-recently-used eviction; each insertion states the capacity in tokens.
#[derive(Default)]
pub struct PromptCache {
    entries: BTreeMap<PromptKey, Entry>,
    /// Keys by the logical time of their last use.
    by_use: BTreeMap<u64, PromptKey>,
    /// Number of uses so far, the logical clock.
    uses: u64,
    total_tokens: u64,
}

impl PromptCache {
    /// Returns the number of tokens cached under a key, 0 if none, and marks the entry as used.
    pub fn look_up(&mut self, key: PromptKey) -> u32 {
        let Some(entry) = self.entries.get_mut(&key) else { return 0 };
        self.by_use.remove(&entry.used_at);
        self.uses += 1;
        entry.used_at = self.uses;
        self.by_use.insert(self.uses, key);
        entry.tokens
    }

    /// Caches tokens under a key, then evicts the least recently used entries until the sum of all cached tokens is at
    /// most `capacity_tokens`.
    pub fn insert(&mut self, key: PromptKey, tokens: u32, capacity_tokens: u64) {
        self.uses += 1;
        let entry = Entry { tokens, used_at: self.uses };
        if let Some(replaced) = self.entries.insert(key, entry) {
            self.by_use.remove(&replaced.used_at);
            self.total_tokens -= u64::from(replaced.tokens);
        }
        self.by_use.insert(self.uses, key);
        self.total_tokens += u64::from(tokens);
        self.evict_down_to(capacity_tokens);
    }

    fn evict_down_to(&mut self, capacity_tokens: u64) {
        while self.total_tokens > capacity_tokens {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            if let Some(evicted) = self.entries.remove(&oldest) {
                self.total_tokens -= u64::from(evicted.tokens);
            }
        }
    }

    /// Sum of all cached tokens.
    #[must_use]
    pub fn total_tokens(&self) -> u64 {
        self.total_tokens
    }
}
