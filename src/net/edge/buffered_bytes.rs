//! The memory that requests of all connections take while they are read.

use std::rc::Rc;

use super::Edge;

/// Bytes of a request that are counted until it is dropped.
pub(super) struct BufferedBytes {
    edge: Rc<Edge>,
    count: usize,
}

impl BufferedBytes {
    /// Nothing was read yet.
    pub(super) fn none(edge: Rc<Edge>) -> BufferedBytes {
        BufferedBytes { edge, count: 0 }
    }

    /// So many were read.
    pub(super) fn grow_to(&mut self, count: usize) {
        let total = &self.edge.buffered_bytes;
        total.set(total.get() - self.count + count);
        self.count = count;
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.grow_to(0);
    }
}
