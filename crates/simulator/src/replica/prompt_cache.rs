//! The prompts that a real server keeps.

use std::collections::BTreeMap;

/// What a kept prompt is looked up by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PromptKey {
    /// A shared beginning: its class, and its number there.
    Beginning(usize, u32),
    /// A session.
    Session(u64),
}

struct Entry {
    tokens: u32,
    used_at: u64,
}

/// Prompts that are kept, the least recently used forgotten first.
#[derive(Default)]
pub struct PromptCache {
    entries: BTreeMap<PromptKey, Entry>,
    by_use: BTreeMap<u64, PromptKey>,
    /// Counts the uses.
    uses: u64,
    total_tokens: u64,
}

impl PromptCache {
    /// Tokens kept under a key, which counts as a use.
    pub fn look_up(&mut self, key: PromptKey) -> u32 {
        let Some(entry) = self.entries.get_mut(&key) else { return 0 };
        self.by_use.remove(&entry.used_at);
        self.uses += 1;
        entry.used_at = self.uses;
        self.by_use.insert(self.uses, key);
        entry.tokens
    }

    /// Keeps tokens under a key, within `capacity` in all.
    pub fn insert(&mut self, key: PromptKey, tokens: u32, capacity: u64) {
        self.uses += 1;
        let entry = Entry { tokens, used_at: self.uses };
        if let Some(replaced) = self.entries.insert(key, entry) {
            self.by_use.remove(&replaced.used_at);
            self.total_tokens -= u64::from(replaced.tokens);
        }
        self.by_use.insert(self.uses, key);
        self.total_tokens += u64::from(tokens);
        self.evict_down_to(capacity);
    }

    fn evict_down_to(&mut self, capacity: u64) {
        while self.total_tokens > capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            if let Some(evicted) = self.entries.remove(&oldest) {
                self.total_tokens -= u64::from(evicted.tokens);
            }
        }
    }

    /// Tokens in all.
    #[must_use]
    pub fn total_tokens(&self) -> u64 {
        self.total_tokens
    }
}
