//! Whether the disk answers within its bound. No clock.

use std::collections::VecDeque;
use std::time::Duration;

use crate::replication::max_write_duration;

/// A write that takes longer, beside the time that its bytes and those before it take, shows that the disk is in
/// trouble.
const WRITE_BOUND: Duration = Duration::from_secs(1);

/// Writes that the disk has not finished.
#[derive(Debug)]
pub struct DiskWatch {
    pending: VecDeque<PendingWrite>,
    refusing: bool,
    reported_healthy: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    ticket: u64,
    bytes: u64,
    /// When it has to be finished.
    due: Duration,
}

impl Default for DiskWatch {
    fn default() -> Self {
        DiskWatch { pending: VecDeque::new(), refusing: false, reported_healthy: true }
    }
}

impl DiskWatch {
    /// A write of so many bytes was handed to the disk.
    pub fn handed_over(&mut self, ticket: u64, bytes: u64, now: Duration) {
        let waiting: u64 = self.pending.iter().map(|write| write.bytes).sum();
        let due = now + WRITE_BOUND + max_write_duration(waiting + bytes);
        self.pending.push_back(PendingWrite { ticket, bytes, due });
    }

    /// Writes up to a ticket are on disk.
    pub fn persisted(&mut self, ticket: u64) {
        self.refusing = false;
        while self.pending.pop_front_if(|write| write.ticket <= ticket).is_some() {}
    }

    /// The disk has refused a write.
    pub fn refused(&mut self) {
        self.refusing = true;
    }

    /// Whether the disk is healthy, if that is another answer than the last one.
    pub fn news(&mut self, now: Duration) -> Option<bool> {
        let stalled = self.pending.front().is_some_and(|write| now >= write.due);
        let healthy = !stalled && !self.refusing;
        (std::mem::replace(&mut self.reported_healthy, healthy) != healthy).then_some(healthy)
    }
}
