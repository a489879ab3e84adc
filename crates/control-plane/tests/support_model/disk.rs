//! A disk whose writes are synced one batch at a time.

use std::collections::VecDeque;

use tulipridge_control_plane::replication::{DurableRecord, DurableState};
use tulipridge_protocol::number::SequenceNumber;

/// An unsynced batch.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    /// The ticket that reports its sync.
    pub ticket: u64,
    /// The records written.
    pub records: Vec<DurableRecord>,
}

/// The disk of a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    /// The synced records, applied.
    pub state: DurableState,
    /// Unsynced batches, oldest first.
    pub pending: VecDeque<Batch>,
    /// Whether batches are synced only by an explicit action.
    pub is_slow: bool,
}

impl Disk {
    /// Syncs the oldest batch and returns its ticket.
    pub(crate) fn sync_batch(&mut self) -> Option<u64> {
        let batch = self.pending.pop_front()?;
        for record in &batch.records {
            self.state.apply(record);
        }
        Some(batch.ticket)
    }

    /// Number of unsynced records.
    pub(crate) fn unsynced(&self) -> usize {
        self.pending.iter().map(|batch| batch.records.len()).sum()
    }

    /// Crash or power loss: of the unsynced records, only the first `kept` survive.
    pub(crate) fn lose_unsynced(&mut self, kept: usize) {
        let records: Vec<DurableRecord> = self.pending.drain(..).flat_map(|batch| batch.records).collect();
        for record in &records[..kept] {
            self.state.apply(record);
        }
        self.is_slow = false;
    }

    /// Whether an entry with this command is synced, or covered by the snapshot.
    pub(crate) fn stores(&self, sequence: u64, command: &[u8]) -> bool {
        let is_entry = |entry: &tulipridge_protocol::replication::Entry| {
            entry.sequence == SequenceNumber(sequence) && *entry.command == *command
        };
        sequence <= self.state.snapshot_sequence.0 || self.state.entries.iter().any(is_entry)
    }
}
