//! Wakes all tasks that wait for a change.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Notifies any number of tasks of one thread of changes. It carries no value and keeps no past changes.
#[derive(Debug, Default)]
pub struct Notice {
    changes: Cell<u64>,
    last_waiting: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, Waker>>,
}

impl Notice {
    /// Wakes all waiting tasks.
    pub fn raise(&self) {
        self.changes.set(self.changes.get() + 1);
        let waiting = self.waiting.take();
        waiting.into_values().for_each(Waker::wake);
    }

    /// Ready at the first change from now on.
    pub fn changed(&self) -> Changed<'_> {
        self.last_waiting.set(self.last_waiting.get() + 1);
        Changed { notice: self, number: self.last_waiting.get(), seen: self.changes.get() }
    }
}

/// A wait for a change.
#[derive(Debug)]
pub struct Changed<'notice> {
    notice: &'notice Notice,
    number: u64,
    seen: u64,
}

impl Future for Changed<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.notice.changes.get() != self.seen {
            return Poll::Ready(());
        }
        self.notice.waiting.borrow_mut().insert(self.number, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Changed<'_> {
    fn drop(&mut self) {
        self.notice.waiting.borrow_mut().remove(&self.number);
    }
}
