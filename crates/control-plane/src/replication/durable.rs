//! The durable state of a member and the records that change it.

use std::sync::Arc;

use musli::{Decode, Encode};
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, View};

/// The durable state of a member, except its generation.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct DurableState {
    /// The highest promised epoch.
    pub promised: Epoch,
    /// The newest recorded view.
    pub view: Option<View>,
    /// The position up to which the data is stored.
    pub data: LogPosition,
    /// The newest entry in the snapshot.
    pub snapshot_sequence: SequenceNumber,
    /// The encoded state after that entry.
    #[musli(with = tulipridge_protocol::shared_bytes)]
    pub snapshot: Arc<[u8]>,
    /// All entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// A position in the log. Two members at the same position have the same data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LogPosition {
    /// The epoch in which the member was last brought up to date as a data replica.
    pub epoch: Epoch,
    /// The newest entry of the member.
    pub sequence: SequenceNumber,
}

/// A change to the durable state.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum DurableRecord {
    /// An epoch was promised.
    Promised(Epoch),
    /// A view was recorded.
    View(View),
    /// The data is complete as of this epoch.
    DataEpoch(Epoch),
    /// An entry was appended.
    Entry(Entry),
    /// The entries up to `sequence` are replaced by a snapshot of the state after them.
    Snapshot {
        /// The newest entry in the snapshot.
        sequence: SequenceNumber,
        /// The encoded state.
        #[musli(with = tulipridge_protocol::shared_bytes)]
        snapshot: Arc<[u8]>,
    },
    /// All data is replaced.
    Reset {
        /// The epoch as of which the new data is complete.
        epoch: Epoch,
        /// The newest entry in the snapshot.
        snapshot_sequence: SequenceNumber,
        /// The encoded state.
        #[musli(with = tulipridge_protocol::shared_bytes)]
        snapshot: Arc<[u8]>,
        /// All entries after the snapshot.
        entries: Vec<Entry>,
    },
}

impl DurableRecord {
    /// Total bytes of the commands and the snapshot in the record.
    #[must_use]
    pub fn payload_bytes(&self) -> u64 {
        let bytes = match self {
            DurableRecord::Promised(_) | DurableRecord::View(_) | DurableRecord::DataEpoch(_) => 0,
            DurableRecord::Entry(entry) => entry.command.len(),
            DurableRecord::Snapshot { snapshot, .. } => snapshot.len(),
            DurableRecord::Reset { snapshot, entries, .. } => {
                snapshot.len() + entries.iter().map(|entry| entry.command.len()).sum::<usize>()
            }
        };
        bytes as u64
    }
}

impl DurableState {
    /// Applies a record. Replaying all records in order restores the state that was written.
    pub fn apply(&mut self, record: &DurableRecord) {
        match record {
            DurableRecord::Promised(epoch) => self.promised = self.promised.max(*epoch),
            DurableRecord::View(view) => self.view = Some(view.clone()),
            DurableRecord::DataEpoch(epoch) => self.data.epoch = *epoch,
            DurableRecord::Entry(entry) => {
                self.data.sequence = entry.sequence;
                self.entries.push(entry.clone());
            }
            DurableRecord::Snapshot { sequence, snapshot } => {
                self.entries.retain(|entry| entry.sequence > *sequence);
                self.snapshot_sequence = *sequence;
                self.snapshot = snapshot.clone();
            }
            DurableRecord::Reset { epoch, snapshot_sequence, snapshot, entries } => {
                let sequence = entries.last().map_or(*snapshot_sequence, |entry| entry.sequence);
                self.data = LogPosition { epoch: *epoch, sequence };
                self.snapshot_sequence = *snapshot_sequence;
                self.snapshot = snapshot.clone();
                self.entries = entries.clone();
            }
        }
    }

    /// The entry `sequence`, unless the snapshot covers it or it is not stored yet.
    pub(super) fn entry(&self, sequence: SequenceNumber) -> Option<&Entry> {
        let offset = sequence.0.checked_sub(self.snapshot_sequence.0)?.checked_sub(1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }
}
