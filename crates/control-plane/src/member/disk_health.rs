//! The disk health monitor: whether the disk finishes its writes in time. It reads no clock.

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use crate::replication::{WriteTicket, max_write_duration};

/// A write that takes longer than this, beside the time that its bytes and those before it may take, shows that the
/// disk is unhealthy.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the writes that the disk has not finished. A disk is healthy while the oldest of them is within its time
/// and the last attempt at a write has not failed.
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
    /// When it has to be finished.
    deadline: Duration,
}

impl Default for DiskHealthMonitor {
    fn default() -> Self {
        DiskHealthMonitor { pending: VecDeque::new(), has_failed: false, was_healthy: true }
    }
}

impl DiskHealthMonitor {
    /// Records that a write of so many bytes was handed to the disk.
    pub fn write_started(&mut self, ticket: WriteTicket, bytes: u64, now: Duration) {
        let pending_bytes: u64 = self.pending.iter().map(|write| write.bytes).sum();
        let deadline = now + WRITE_TIMEOUT + max_write_duration(pending_bytes + bytes);
        self.pending.push_back(PendingWrite { ticket, bytes, deadline });
    }

    /// Records that the writes up to a ticket are durable.
    pub fn write_finished(&mut self, ticket: WriteTicket) {
        self.has_failed = false;
        while self.pending.front().is_some_and(|write| write.ticket <= ticket) {
            self.pending.pop_front();
        }
    }

    /// Records that a write has failed and is retried.
    pub fn write_failed(&mut self) {
        self.has_failed = true;
    }

    /// Whether the disk is healthy, if that has changed since the last call; it counts as healthy at first.
    pub fn health_change(&mut self, now: Duration) -> Option<bool> {
        let is_stalled = self.pending.front().is_some_and(|write| now >= write.deadline);
        let is_healthy = !is_stalled && !self.has_failed;
        let was_healthy = mem::replace(&mut self.was_healthy, is_healthy);
        (was_healthy != is_healthy).then_some(is_healthy)
    }
}
