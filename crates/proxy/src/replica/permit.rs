//! The count of open connections to replicas.

use std::cell::Cell;
use std::rc::Rc;

/// The number of open connections. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct OpenConnectionCount(Rc<Cell<usize>>);

impl OpenConnectionCount {
    /// The number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Adds a connection to the count until the permit is dropped. The caller enforces the limit.
    #[must_use]
    pub fn acquire(&self) -> ConnectionPermit {
        self.0.set(self.0.get() + 1);
        ConnectionPermit(self.clone())
    }
}

/// A permit for one open connection, which is counted until the permit is dropped.
#[derive(Debug)]
pub struct ConnectionPermit(OpenConnectionCount);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let open = &self.0.0;
        open.set(open.get() - 1);
    }
}
