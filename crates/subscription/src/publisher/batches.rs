//! A cache of encoded updates, since many subscribers need the same ones.

use std::collections::VecDeque;
use std::rc::Rc;

use tulipridge_protocol::frame::{self, FrameError};

use crate::store::{FeedStore, SentPositions};

/// Most batches in the cache.
const MAX_BATCHES: usize = 4;

/// The latest batches of updates.
#[derive(Debug, Default)]
pub(super) struct Batches {
    cached: VecDeque<Batch>,
}

#[derive(Debug)]
struct Batch {
    from: SentPositions,
    to: SentPositions,
    frames: Rc<Vec<u8>>,
}

impl Batches {
    /// The frames that bring a subscriber from `from` to the newest state; empty where it has that already.
    ///
    /// # Errors
    /// [`FrameError`] if a message can't be encoded or is too long.
    pub(super) fn frames(
        &mut self,
        store: &FeedStore,
        from: SentPositions,
    ) -> Result<Rc<Vec<u8>>, FrameError> {
        let to = store.newest_positions();
        if let Some(known) = self.cached.iter().find(|batch| (batch.from, batch.to) == (from, to)) {
            return Ok(Rc::clone(&known.frames));
        }
        let frames = Rc::new(encode(store, &from)?);
        if self.cached.len() == MAX_BATCHES {
            self.cached.pop_front();
        }
        self.cached.push_back(Batch { from, to, frames: Rc::clone(&frames) });
        Ok(frames)
    }

    /// Drops all batches. To be called when the store has changed.
    pub(super) fn clear(&mut self) {
        self.cached.clear();
    }
}

fn encode(store: &FeedStore, from: &SentPositions) -> Result<Vec<u8>, FrameError> {
    let mut frames = Vec::new();
    for message in store.updates_since(from) {
        frame::append(&message, &mut frames)?;
    }
    Ok(frames)
}
