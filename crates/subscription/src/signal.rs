//! A flag that wakes a task of the same thread.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// A flag that one task raises and another waits for.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    is_raised: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    /// Raises the flag and wakes the waiting task.
    pub(crate) fn raise(&self) {
        self.is_raised.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Clears the flag. Returns whether it was raised.
    pub(crate) fn clear(&self) -> bool {
        self.is_raised.replace(false)
    }

    /// Ready once the flag is raised, and clears it.
    pub(crate) fn poll_raised(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.clear() {
            return Poll::Ready(());
        }
        let mut stored = self.waker.borrow_mut();
        if !stored.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
            *stored = Some(context.waker().clone());
        }
        Poll::Pending
    }
}
