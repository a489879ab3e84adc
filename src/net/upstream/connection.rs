//! Connections to replicas, and the count of open ones.

use std::cell::Cell;
use std::rc::Rc;

use crate::net::BufferedStream;

/// Counts a connection as open until it is dropped.
pub(super) struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    pub(super) fn new(open: &Rc<Cell<usize>>) -> ConnectionCount {
        open.set(open.get() + 1);
        ConnectionCount(open.clone())
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection in use.
pub(super) struct Connection {
    pub(super) wire: BufferedStream,
    pub(super) _count: ConnectionCount,
}
