//! The count of open connections to replicas.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the open connections; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct OpenConnectionCount(Rc<Cell<usize>>);

impl OpenConnectionCount {
    /// How many connections are open.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one more connection until the permit is dropped.
    #[must_use]
    pub fn acquire(&self) -> ConnectionPermit {
        self.0.set(self.0.get() + 1);
        ConnectionPermit(self.clone())
    }
}

/// One open connection in the count.
#[derive(Debug)]
pub struct ConnectionPermit(OpenConnectionCount);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let open = &self.0.0;
        open.set(open.get() - 1);
    }
}
