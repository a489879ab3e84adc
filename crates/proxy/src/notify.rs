//! A notification that wakes all waiting tasks, for tasks of one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

/// Notifies any number of tasks of one thread of a change, without a value. A task is notified only of changes after
/// it began to wait.
#[derive(Debug, Default)]
pub struct Notify {
    change_count: Cell<u64>,
    last_waiter_id: Cell<u64>,
    waiters: RefCell<BTreeMap<u64, Waker>>,
}

impl Notify {
    /// Wakes all waiting tasks.
    pub fn notify_all(&self) {
        self.change_count.set(self.change_count.get() + 1);
        let waiters = self.waiters.take();
        waiters.into_values().for_each(Waker::wake);
    }

    /// A future that is ready at the first change after this call, even if it is polled only later.
    pub fn changed(&self) -> Changed<'_> {
        self.last_waiter_id.set(self.last_waiter_id.get() + 1);
        Changed {
            notify: self,
            waiter_id: self.last_waiter_id.get(),
            initial_change_count: self.change_count.get(),
        }
    }
}

/// The future that [`Notify::changed`] returns. Dropping it ends the wait.
#[derive(Debug)]
pub struct Changed<'notify> {
    notify: &'notify Notify,
    waiter_id: u64,
    initial_change_count: u64,
}

impl Future for Changed<'_> {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.notify.change_count.get() != self.initial_change_count {
            return Poll::Ready(());
        }
        self.notify.waiters.borrow_mut().insert(self.waiter_id, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Changed<'_> {
    fn drop(&mut self) {
        self.notify.waiters.borrow_mut().remove(&self.waiter_id);
    }
}
