//! The index of kept prompts and its latest changes.

use std::cell::RefCell;
use std::rc::Rc;

use tulipridge_prefix_cache_index::{CacheUpdate, ChangeLog, ChangedKeys, Index};
use tulipridge_protocol::feed::{CacheTableUpdate, Position};

use super::{FeedError, Table, next_position};

/// Pairs of a part and a source that are indexed at the most; the oldest give way.
const MAX_ENTRIES: usize = 200_000;

/// Which source keeps which part, where that stands, and what changed lately.
#[derive(Debug, Default)]
pub(super) struct KeptTable {
    position: Position,
    index: Rc<RefCell<Index>>,
    log: ChangeLog<Position>,
}

impl KeptTable {
    pub(super) fn position(&self) -> Position {
        self.position
    }

    pub(super) fn index(&self) -> &Rc<RefCell<Index>> {
        &self.index
    }

    /// Takes changes, as the primary of `epoch`; whether the position moves.
    pub(super) fn set(&mut self, epoch: u64, updates: &[CacheUpdate]) -> bool {
        if epoch < self.position.epoch {
            return false;
        }
        let Some(next) = next_position(self.position, epoch, !updates.is_empty()) else { return false };
        let mut touched = self.take(updates);
        for entry in self.index.borrow_mut().evict_oldest(MAX_ENTRIES) {
            touched.add_entry(entry);
        }
        self.advance(next, touched);
        true
    }

    pub(super) fn apply(&mut self, update: CacheTableUpdate) -> Result<bool, FeedError> {
        let CacheTableUpdate { base, position, updates } = update;
        if position <= self.position {
            return Ok(false);
        }
        match base {
            Some(base) if base != self.position => return Err(FeedError::Gap { table: Table::Kept }),
            Some(_) => {
                let touched = self.take(&updates);
                self.advance(position, touched);
            }
            None => {
                *self.index.borrow_mut() = Index::default();
                self.log.clear();
                self.take(&updates);
                self.position = position;
            }
        }
        Ok(true)
    }

    /// What leads from `base` to the present index; none where the base is as new.
    pub(super) fn since(&self, base: Position) -> Option<CacheTableUpdate> {
        if base >= self.position {
            return None;
        }
        let index = self.index.borrow();
        let (base, updates) = match self.log.since(&base) {
            Some(touched) => (Some(base), index.updates(&touched)),
            None => (None, index.snapshot()),
        };
        Some(CacheTableUpdate { base, position: self.position, updates })
    }

    fn take(&mut self, updates: &[CacheUpdate]) -> ChangedKeys {
        let mut index = self.index.borrow_mut();
        let mut touched = ChangedKeys::default();
        for update in updates {
            index.apply(update);
            touched.add(update);
        }
        touched
    }

    fn advance(&mut self, position: Position, touched: ChangedKeys) {
        let base = std::mem::replace(&mut self.position, position);
        if base != Position::default() {
            self.log.record(base, touched);
        }
    }
}
