//! The memory budget of all streams, which pauses or evicts streams when it runs short.
//!
//! A stream may buffer at most as many bytes as are still free (the dynamic threshold of shared-memory switches), so
//! the streams with the largest buffers pause first and no ranking is needed. A minimum lets each stream pass one
//! read at a time, so none stalls for good. Only if these minimums alone exceed the budget is a stream evicted: the
//! one that has been paused for longest, since its client is the least likely to resume reading.
//!
//! A response that is assembled before it is sent can't be paused. Such responses may use half of the budget, so that
//! streams keep the other half.

use std::collections::BTreeMap;

use crate::types::Nanos;

/// Identifies a stream in the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Account(u64);

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    buffered_bytes: usize,
    paused_since: Option<Nanos>,
    is_assembled: bool,
    evicted: bool,
}

/// The budget of all streams, in bytes.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    max_buffer: usize,
    min_buffer: usize,
    used: usize,
    peak: usize,
    next: u64,
    entries: BTreeMap<Account, Entry>,
}

impl Budget {
    /// Creates a budget of `limit` bytes for streams that may each buffer up to `max_buffer` bytes and always
    /// `min_buffer` bytes.
    #[must_use]
    pub fn new(limit: usize, max_buffer: usize, min_buffer: usize) -> Budget {
        Budget { limit, max_buffer, min_buffer, used: 0, peak: 0, next: 0, entries: BTreeMap::new() }
    }

    /// Changes the limit. Use above it shrinks as the streams learn their new allowances.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Opens the account of a stream. One that is assembled before it is sent passes nothing on until its end, so it
    /// can't be paused.
    pub fn open(&mut self, is_assembled: bool) -> Account {
        self.next += 1;
        self.entries.insert(Account(self.next), Entry { is_assembled, ..Entry::default() });
        Account(self.next)
    }

    /// Records how many bytes a stream buffers and since when its reader is paused. Returns the bytes that it may
    /// buffer.
    pub fn update(
        &mut self,
        account: Account,
        buffered_bytes: usize,
        paused_since: Option<Nanos>,
    ) -> usize {
        let Some(entry) = self.entries.get_mut(&account) else { return 0 };
        self.used = self.used - entry.buffered_bytes + buffered_bytes;
        self.peak = self.peak.max(self.used);
        (entry.buffered_bytes, entry.paused_since) = (buffered_bytes, paused_since);
        // Cancels an eviction that was not carried out before the client resumed reading.
        entry.evicted &= paused_since.is_some() || entry.is_assembled && buffered_bytes > 0;
        // A stream with too small an allowance updates again when its client reads; a larger one would not help it
        // before that. So no stream has to be woken when another one frees memory.
        self.limit.saturating_sub(self.used).max(self.min_buffer).min(self.max_buffer)
    }

    /// Closes the account of a stream that has ended.
    pub fn close(&mut self, account: Account) {
        if let Some(entry) = self.entries.remove(&account) {
            self.used -= entry.buffered_bytes;
        }
    }

    /// Bytes that are buffered now.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// The largest number of bytes that were buffered at once.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Number of open streams.
    #[must_use]
    pub fn stream_count(&self) -> usize {
        self.entries.len()
    }

    /// Picks the next stream to evict while more is buffered than the limit; each stream is picked once.
    pub fn evict(&mut self) -> Option<Account> {
        if self.used <= self.limit {
            return None;
        }
        // Streams that were picked but have not freed their memory yet.
        let evicting: usize = self.entries.values().filter(|e| e.evicted).map(|e| e.buffered_bytes).sum();
        if self.used - evicting <= self.limit {
            return None;
        }
        // Assembled responses may use half of the budget. Beyond that the youngest one is evicted: it loses the least
        // work, and its client's retry gains the most.
        let assembled_bytes = self
            .entries
            .values()
            .filter(|e| e.is_assembled && !e.evicted)
            .map(|e| e.buffered_bytes)
            .sum::<usize>();
        if assembled_bytes > self.limit / 2 {
            let last = self
                .entries
                .iter_mut()
                .rev()
                .find(|(_, e)| e.is_assembled && !e.evicted && e.buffered_bytes > 0);
            return last.map(|(account, entry)| {
                entry.evicted = true;
                *account
            });
        }
        let paused = self.entries.iter_mut().filter(|(_, e)| !e.evicted && e.paused_since.is_some());
        let (account, entry) = paused.min_by_key(|(a, e)| (e.paused_since, **a))?;
        entry.evicted = true;
        Some(*account)
    }
}
