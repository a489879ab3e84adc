//! A disk whose writes are synced one batch after the other.

use std::collections::VecDeque;

use tulipridge_control_plane::replication::{DurableRecord, DurableState};
use tulipridge_protocol::number::SequenceNumber;

/// A batch that is not synced yet.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    /// Its ticket.
    pub ticket: u64,
    /// What is written.
    pub records: Vec<DurableRecord>,
}

/// One member's disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disk {
    /// What is synced.
    pub state: DurableState,
    /// Batches in their order.
    pub pending: VecDeque<Batch>,
    /// Batches wait until their sync is chosen.
    pub is_slow: bool,
}

impl Disk {
    /// Syncs the oldest batch; its ticket.
    pub(crate) fn sync_batch(&mut self) -> Option<u64> {
        let batch = self.pending.pop_front()?;
        for record in &batch.records {
            self.state.apply(record);
        }
        Some(batch.ticket)
    }

    /// Number of records that are not synced.
    pub(crate) fn unsynced(&self) -> usize {
        self.pending.iter().map(|batch| batch.records.len()).sum()
    }

    /// The process or the power is gone: the first `kept` of the unsynced records are found later.
    pub(crate) fn lose_unsynced(&mut self, kept: usize) {
        let records: Vec<DurableRecord> = self.pending.drain(..).flat_map(|batch| batch.records).collect();
        for record in &records[..kept] {
            self.state.apply(record);
        }
        self.is_slow = false;
    }

    /// Whether an entry with this command is synced, or in the snapshot.
    pub(crate) fn stores(&self, sequence: u64, command: &[u8]) -> bool {
        let is_entry = |entry: &tulipridge_protocol::replication::Entry| {
            entry.sequence == SequenceNumber(sequence) && *entry.command == *command
        };
        sequence <= self.state.snapshot_sequence.0 || self.state.entries.iter().any(is_entry)
    }
}
