//! Whether the disk answers within its bound. No clock.

use std::collections::VecDeque;
use std::time::Duration;

/// A write that takes longer shows that the disk is in trouble.
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
    since: Duration,
}

impl Default for DiskWatch {
    fn default() -> Self {
        DiskWatch { pending: VecDeque::new(), refusing: false, reported_healthy: true }
    }
}

impl DiskWatch {
    /// A write was handed to the disk.
    pub fn handed_over(&mut self, ticket: u64, now: Duration) {
        self.pending.push_back(PendingWrite { ticket, since: now });
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
        let stalled =
            self.pending.front().is_some_and(|write| now.saturating_sub(write.since) >= WRITE_BOUND);
        let healthy = !stalled && !self.refusing;
        (std::mem::replace(&mut self.reported_healthy, healthy) != healthy).then_some(healthy)
    }
}
