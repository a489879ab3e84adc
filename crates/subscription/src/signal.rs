//! Wakes a task of the same thread.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// A flag that one task raises and another waits for.
#[derive(Debug, Default)]
pub(crate) struct Signal {
    raised: Cell<bool>,
    waiting: RefCell<Option<Waker>>,
}

impl Signal {
    /// Raises the flag and wakes the task that waits for it.
    pub(crate) fn raise(&self) {
        self.raised.set(true);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    /// Lowers the flag; whether it was raised.
    pub(crate) fn lower(&self) -> bool {
        self.raised.replace(false)
    }

    /// Ready, with the flag lowered, once it has been raised.
    pub(crate) fn poll_raised(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.lower() {
            return Poll::Ready(());
        }
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
            *waiting = Some(context.waker().clone());
        }
        Poll::Pending
    }
}
