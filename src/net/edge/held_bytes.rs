//! The memory that requests of all connections hold.

use std::rc::Rc;

use super::Edge;

/// Bytes of a request that are counted while it is held.
pub(super) struct HeldBytes {
    edge: Rc<Edge>,
    count: usize,
}

impl HeldBytes {
    /// Nothing is held yet.
    pub(super) fn none(edge: Rc<Edge>) -> HeldBytes {
        HeldBytes { edge, count: 0 }
    }

    /// So many are held from now on.
    pub(super) fn grow_to(&mut self, count: usize) {
        let total = &self.edge.held_bytes;
        total.set(total.get() - self.count + count);
        self.count = count;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.grow_to(0);
    }
}
