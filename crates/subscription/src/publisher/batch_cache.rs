//! A cache of encoded updates, which many subscribers share.

use std::collections::VecDeque;
use std::rc::Rc;

use tulipridge_protocol::frame::{self, FrameError};

use crate::store::{FeedStore, SentPositions};

/// Maximum number of cached batches; the oldest is dropped first.
const MAX_BATCHES: usize = 4;

/// Cache of the latest encoded batches of updates.
#[derive(Debug, Default)]
pub(super) struct BatchCache {
    batches: VecDeque<Batch>,
}

#[derive(Debug)]
struct Batch {
    from: SentPositions,
    to: SentPositions,
    frames: Rc<Vec<u8>>,
}

impl BatchCache {
    /// Returns the frames that bring a subscriber from `from` to the newest state; empty if `from` is the newest.
    ///
    /// # Errors
    /// [`FrameError`] if a message can't be encoded or is too long.
    pub(super) fn frames(
        &mut self,
        store: &FeedStore,
        from: SentPositions,
    ) -> Result<Rc<Vec<u8>>, FrameError> {
        let to = store.newest_positions();
        if let Some(cached) = self.batches.iter().find(|batch| (batch.from, batch.to) == (from, to)) {
            return Ok(Rc::clone(&cached.frames));
        }
        let frames = Rc::new(encode(store, &from)?);
        if self.batches.len() == MAX_BATCHES {
            self.batches.pop_front();
        }
        self.batches.push_back(Batch { from, to, frames: Rc::clone(&frames) });
        Ok(frames)
    }

    /// Drops all batches. Must be called when the store has changed.
    pub(super) fn clear(&mut self) {
        self.batches.clear();
    }
}

fn encode(store: &FeedStore, from: &SentPositions) -> Result<Vec<u8>, FrameError> {
    let mut frames = Vec::new();
    for message in store.updates_since(from) {
        frame::append(&message, &mut frames)?;
    }
    Ok(frames)
}
