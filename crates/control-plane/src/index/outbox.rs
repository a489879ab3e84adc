//! Changes that wait to be delivered together.

use std::cell::RefCell;
use std::future::poll_fn;
use std::task::{Poll, Waker};

use tulipridge_prefix_cache_index::CacheUpdate;

/// Changes of all sources, in their order.
#[derive(Debug, Default)]
pub struct Outbox {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    updates: Vec<CacheUpdate>,
    urgent: bool,
    waker: Option<Waker>,
}

impl Outbox {
    /// Adds a change; an urgent one is delivered at once.
    pub fn push(&self, update: CacheUpdate, urgent: bool) {
        let mut state = self.state.borrow_mut();
        state.updates.push(update);
        state.urgent |= urgent;
        if state.urgent
            && let Some(waker) = state.waker.take()
        {
            waker.wake();
        }
    }

    /// Takes all changes.
    pub fn take(&self) -> Vec<CacheUpdate> {
        let mut state = self.state.borrow_mut();
        state.urgent = false;
        std::mem::take(&mut state.updates)
    }

    /// Ready once an urgent change waits.
    pub async fn urgent(&self) {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.urgent {
                return Poll::Ready(());
            }
            state.waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
