//! The memory that the requests of all connections use while they are read.

use std::rc::Rc;

use super::EdgeServer;

/// A count of a request's buffered bytes, which is released when this is dropped.
pub(super) struct BufferedBytes {
    edge: Rc<EdgeServer>,
    count: usize,
}

impl BufferedBytes {
    /// Creates a count of zero bytes.
    pub(super) fn none(edge: Rc<EdgeServer>) -> BufferedBytes {
        BufferedBytes { edge, count: 0 }
    }

    /// Sets the count of the request's buffered bytes.
    pub(super) fn set_count(&mut self, count: usize) {
        let total = &self.edge.buffered_bytes;
        total.set(total.get() - self.count + count);
        self.count = count;
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.set_count(0);
    }
}
