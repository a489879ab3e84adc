//! The queue of updates that are delivered in batches.

use std::cell::RefCell;
use std::future::poll_fn;
use std::task::{Poll, Waker};

use tulipridge_prefix_cache_index::CacheUpdate;

/// The queued updates of all sources, in the order in which they were added. At most one task at a time may wait in
/// [`Outbox::wait_urgent`].
#[derive(Debug, Default)]
pub struct Outbox {
    state: RefCell<State>,
}

/// When a queued update is to be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// At the end of the batch interval.
    Batched,
    /// Immediately, together with all updates queued so far.
    Immediate,
}

#[derive(Debug, Default)]
struct State {
    updates: Vec<CacheUpdate>,
    is_urgent: bool,
    waker: Option<Waker>,
}

impl Outbox {
    /// Queues an update. An immediate one wakes the waiting task.
    pub fn push(&self, update: CacheUpdate, urgency: Urgency) {
        let mut state = self.state.borrow_mut();
        state.updates.push(update);
        state.is_urgent |= urgency == Urgency::Immediate;
        if state.is_urgent {
            if let Some(waker) = state.waker.take() {
                waker.wake();
            }
        }
    }

    /// Removes and returns all queued updates.
    pub fn take(&self) -> Vec<CacheUpdate> {
        let mut state = self.state.borrow_mut();
        state.is_urgent = false;
        std::mem::take(&mut state.updates)
    }

    /// Waits until an immediate update is queued.
    pub async fn wait_urgent(&self) {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.is_urgent {
                return Poll::Ready(());
            }
            state.waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
