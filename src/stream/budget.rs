//! What all streams together may hold, and who stops being read when that runs short.
//!
//! Each stream may hold at most as much as is still free, times a factor (the dynamic threshold that switches
//! with shared memory use). So the streams that hold most stop first, and those that flow and hold little go on
//! untouched; nobody has to be ranked. A floor lets each stream pass one read at a time, so none stops for
//! good. Only when floors alone add up to more than the budget are streams cut: the longest-paused first, since
//! its client is the least likely to come back, and its real server has been kept from other work for longest.
//!
//! Answers that are put together before they are passed on can't stop being read. Up to half of the budget they are
//! left alone, so that streams keep the other half.

use std::collections::BTreeMap;

use crate::types::Nanos;

/// A stream's number in the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Account(u64);

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    held: usize,
    paused_since: Option<Nanos>,
    gathers: bool,
    evicted: bool,
}

/// The budget of all streams, in bytes.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    window: usize,
    floor: usize,
    used: usize,
    most: usize,
    next: u64,
    entries: BTreeMap<Account, Entry>,
}

impl Budget {
    /// A budget of `limit` bytes for streams with windows of `window`, each of which may hold `floor` always.
    #[must_use]
    pub fn new(limit: usize, window: usize, floor: usize) -> Budget {
        Budget { limit, window, floor, used: 0, most: 0, next: 0, entries: BTreeMap::new() }
    }

    /// The limit is another from now on; what is over it comes down as streams are told what they are left.
    pub fn limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// A stream begins. One that gathers passes nothing on before its end, so it can't be paused.
    pub fn open(&mut self, gathers: bool) -> Account {
        self.next += 1;
        self.entries.insert(Account(self.next), Entry { gathers, ..Entry::default() });
        Account(self.next)
    }

    /// A stream holds so much now, and its reader has been paused since then. Returns what it is left.
    pub fn holds(&mut self, account: Account, held: usize, paused_since: Option<Nanos>) -> usize {
        let Some(entry) = self.entries.get_mut(&account) else { return 0 };
        self.used = self.used - entry.held + held;
        self.most = self.most.max(self.used);
        (entry.held, entry.paused_since) = (held, paused_since);
        // Its reader came back before it was cut.
        entry.evicted &= paused_since.is_some() || entry.gathers && held > 0;
        // One that is left too little asks anew as its reader takes what waits; until then more would not help
        // it. So nobody has to be woken when others give back.
        self.limit.saturating_sub(self.used).max(self.floor).min(self.window)
    }

    /// A stream has ended.
    pub fn close(&mut self, account: Account) {
        if let Some(entry) = self.entries.remove(&account) {
            self.used -= entry.held;
        }
    }

    /// Bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// The most that was ever held.
    #[must_use]
    pub fn most(&self) -> usize {
        self.most
    }

    /// Streams that are open.
    #[must_use]
    pub fn streams(&self) -> usize {
        self.entries.len()
    }

    /// While more is held than there is: the stream that has to go next, which is named once.
    pub fn evict(&mut self) -> Option<Account> {
        if self.used <= self.limit {
            return None;
        }
        // What was named already is on its way out.
        let leaving: usize = self.entries.values().filter(|e| e.evicted).map(|e| e.held).sum();
        if self.used - leaving <= self.limit {
            return None;
        }
        // Answers that are put together may hold half of it. Beyond that the one that began last goes: it has the
        // least to lose, and its client's next try the most to win.
        let gathering =
            self.entries.values().filter(|e| e.gathers && !e.evicted).map(|e| e.held).sum::<usize>();
        if gathering > self.limit / 2 {
            let last = self.entries.iter_mut().rev().find(|(_, e)| e.gathers && !e.evicted && e.held > 0);
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
