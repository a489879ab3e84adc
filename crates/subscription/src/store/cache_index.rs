//! The prefix-cache index with its position and a log of changes.

use std::cell::RefCell;
use std::rc::Rc;

use tulipridge_prefix_cache_index::{CacheUpdate, ChangeLog, ChangedKeys, Index};
use tulipridge_protocol::feed::{CacheIndexUpdate, Position};
use tulipridge_protocol::number::Epoch;

use super::error::{FeedError, Table};
use super::positions::next_position;

/// Maximum number of pairs of a prefix and a source in the index; the oldest are evicted beyond it. A source is a
/// replica or a store that has the prefix cached.
const MAX_ENTRIES: usize = 200_000;

/// Cached prefixes by source, the position of this table in the feed, and a log of its latest changes.
#[derive(Debug, Default)]
pub(super) struct CacheIndexTable {
    position: Position,
    index: Rc<RefCell<Index>>,
    log: ChangeLog<Position>,
}

impl CacheIndexTable {
    pub(super) fn position(&self) -> Position {
        self.position
    }

    pub(super) fn index(&self) -> &Rc<RefCell<Index>> {
        &self.index
    }

    /// Applies changes that this member makes as the primary of `epoch`. Returns whether the position advances.
    pub(super) fn apply_as_primary(&mut self, epoch: Epoch, updates: &[CacheUpdate]) -> bool {
        if epoch < self.position.epoch {
            return false;
        }
        let Some(next) = next_position(self.position, epoch, !updates.is_empty()) else { return false };
        let mut changed_keys = self.apply_updates(updates);
        for entry in self.index.borrow_mut().evict_oldest(MAX_ENTRIES) {
            changed_keys.add_entry(entry);
        }
        self.advance(next, changed_keys);
        true
    }

    pub(super) fn apply_received(&mut self, update: CacheIndexUpdate) -> Result<bool, FeedError> {
        let CacheIndexUpdate { base, position, updates } = update;
        if position <= self.position {
            return Ok(false);
        }
        match base {
            Some(base) if base != self.position => return Err(FeedError::Gap { table: Table::CacheIndex }),
            Some(_) => {
                let changed_keys = self.apply_updates(&updates);
                self.advance(position, changed_keys);
            }
            None => {
                *self.index.borrow_mut() = Index::default();
                self.log.clear();
                self.apply_updates(&updates);
                self.position = position;
            }
        }
        Ok(true)
    }

    /// Returns the update from `base` to the current index; `None` if `base` is not older.
    pub(super) fn since(&self, base: Position) -> Option<CacheIndexUpdate> {
        if base >= self.position {
            return None;
        }
        let index = self.index.borrow();
        let (base, updates) = match self.log.since(&base) {
            Some(changed_keys) => (Some(base), index.updates(&changed_keys)),
            None => (None, index.snapshot()),
        };
        Some(CacheIndexUpdate { base, position: self.position, updates })
    }

    fn apply_updates(&mut self, updates: &[CacheUpdate]) -> ChangedKeys {
        let mut index = self.index.borrow_mut();
        let mut changed_keys = ChangedKeys::default();
        for update in updates {
            index.apply(update);
            changed_keys.add(update);
        }
        changed_keys
    }

    fn advance(&mut self, position: Position, changed_keys: ChangedKeys) {
        let base = std::mem::replace(&mut self.position, position);
        if base != Position::default() {
            self.log.record(base, changed_keys);
        }
    }
}
