//! Encoded updates, kept for the next subscriber that needs the same.

use std::collections::VecDeque;
use std::rc::Rc;

use tulipridge_protocol::frame::{self, FrameError};

use crate::store::{FeedStore, SentPositions};

/// Batches that are kept.
const MAX_KEPT: usize = 4;

/// The latest batches of updates.
#[derive(Debug, Default)]
pub(super) struct Batches {
    kept: VecDeque<Batch>,
}

#[derive(Debug)]
struct Batch {
    from: SentPositions,
    to: SentPositions,
    frames: Rc<Vec<u8>>,
}

impl Batches {
    /// The frames that lead a subscriber from `from` to the newest state; empty where it has that.
    pub(super) fn frames(
        &mut self,
        store: &FeedStore,
        from: SentPositions,
    ) -> Result<Rc<Vec<u8>>, FrameError> {
        let to = store.newest();
        if let Some(known) = self.kept.iter().find(|batch| (batch.from, batch.to) == (from, to)) {
            return Ok(Rc::clone(&known.frames));
        }
        let frames = Rc::new(encode(store, &from)?);
        if self.kept.len() == MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(Batch { from, to, frames: Rc::clone(&frames) });
        Ok(frames)
    }

    /// Forgets all, as when the store has changed.
    pub(super) fn clear(&mut self) {
        self.kept.clear();
    }
}

fn encode(store: &FeedStore, from: &SentPositions) -> Result<Vec<u8>, FrameError> {
    let mut frames = Vec::new();
    for message in store.missing_since(from) {
        frame::append(&message, &mut frames)?;
    }
    Ok(frames)
}
