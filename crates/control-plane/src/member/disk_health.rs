//! The disk health monitor, which checks whether the disk completes its writes in time. It reads no clock.

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use crate::replication::{WriteTicket, max_write_duration};

/// Time that a write may take in addition to the time for its own bytes and those queued before it. A disk that takes
/// longer is unhealthy.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Tracks pending writes. The disk is healthy while the oldest of them has not passed its deadline and the last write
/// attempt has not failed.
#[derive(Debug)]
pub struct DiskHealthMonitor {
    pending: VecDeque<PendingWrite>,
    has_failed: bool,
    was_healthy: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    ticket: WriteTicket,
    bytes: u64,
    /// When the write has to be complete.
    deadline: Duration,
}

impl Default for DiskHealthMonitor {
    fn default() -> Self {
        DiskHealthMonitor { pending: VecDeque::new(), has_failed: false, was_healthy: true }
    }
}

impl DiskHealthMonitor {
    /// Records that a write of `bytes` bytes was passed to the disk.
    pub fn write_started(&mut self, ticket: WriteTicket, bytes: u64, now: Duration) {
        let pending_bytes: u64 = self.pending.iter().map(|write| write.bytes).sum();
        let deadline = now + WRITE_TIMEOUT + max_write_duration(pending_bytes + bytes);
        self.pending.push_back(PendingWrite { ticket, bytes, deadline });
    }

    /// Records that all writes up to a ticket are durable.
    pub fn write_finished(&mut self, ticket: WriteTicket) {
        self.has_failed = false;
        while self.pending.front().is_some_and(|write| write.ticket <= ticket) {
            self.pending.pop_front();
        }
    }

    /// Records that a write has failed and will be retried.
    pub fn write_failed(&mut self) {
        self.has_failed = true;
    }

    /// Returns whether the disk is healthy if that has changed since the last call. Initially it counts as healthy.
    pub fn health_change(&mut self, now: Duration) -> Option<bool> {
        let is_stalled = self.pending.front().is_some_and(|write| now >= write.deadline);
        let is_healthy = !is_stalled && !self.has_failed;
        let was_healthy = mem::replace(&mut self.was_healthy, is_healthy);
        (was_healthy != is_healthy).then_some(is_healthy)
    }
}
