//! The state of the sync phase: the transfers from the proposer to the data replicas of the new view.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::{ReplicationMessage, TransferId};

use super::transfer::{CHUNK_BYTES, Chunk, EncodedData, OutgoingTransfer};

/// A message of the state transfer and the data replica that it is for.
#[derive(Debug)]
pub(super) struct SyncMessage {
    /// The receiver.
    pub(super) to: NodeId,
    /// The message.
    pub(super) message: ReplicationMessage,
}

/// The effect of a progress report on a state transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransferProgress {
    /// The report shows no progress.
    Unchanged,
    /// The replica has received more than ever before.
    Advanced,
    /// The replica has received all data and is writing it to its disk.
    Complete,
}

/// The state transfers of one view change.
#[derive(Clone, Debug)]
pub(super) struct SyncPhase {
    /// The epoch of the data before the view change.
    data_epoch: Epoch,
    data: EncodedData,
    /// Transfers to the replicas that have not yet reported all data as durable.
    transfers: BTreeMap<NodeId, OutgoingTransfer>,
    /// Whether the proposer's own disk has yet to record the epoch.
    awaits_own_disk: bool,
}

impl SyncPhase {
    /// Starts transfers of `data` to `replicas`. If the data is longer than one chunk, those among `previous_replicas`
    /// are first asked whether they already have all of it.
    pub(super) fn new<'a>(
        data_epoch: Epoch,
        data: EncodedData,
        replicas: impl Iterator<Item = &'a NodeId>,
        previous_replicas: &[NodeId],
        now: Duration,
    ) -> SyncPhase {
        let length = data.id().length;
        let transfers = replicas
            .map(|replica| {
                let is_queried_first = previous_replicas.contains(replica) && length > CHUNK_BYTES;
                (*replica, OutgoingTransfer::new(length, is_queried_first, now))
            })
            .collect();
        SyncPhase { data_epoch, data, transfers, awaits_own_disk: true }
    }

    /// The earliest time at which something has to be resent; `None` if there are no transfers.
    pub(super) fn next_resend(&self) -> Option<Duration> {
        self.transfers.values().map(OutgoingTransfer::resend_at).min()
    }

    /// The chunks that may be sent now.
    pub(super) fn next_messages(&mut self, epoch: Epoch) -> Vec<SyncMessage> {
        self.messages(epoch, OutgoingTransfer::next_offsets)
    }

    /// The chunks that were not confirmed in time.
    pub(super) fn due_messages(&mut self, epoch: Epoch, now: Duration) -> Vec<SyncMessage> {
        self.messages(epoch, |transfer| transfer.resend_if_due(now))
    }

    fn messages(
        &mut self,
        epoch: Epoch,
        mut choose_offsets: impl FnMut(&mut OutgoingTransfer) -> Vec<u64>,
    ) -> Vec<SyncMessage> {
        let mut messages = Vec::new();
        for (replica, transfer) in &mut self.transfers {
            for offset in choose_offsets(transfer) {
                let message = chunk_message(epoch, self.data_epoch, self.data.chunk(offset));
                messages.push(SyncMessage { to: *replica, message });
            }
        }
        messages
    }

    /// Records how much of `transfer` a replica has received; `None` if the report is not for this phase.
    pub(super) fn record_progress(
        &mut self,
        now: Duration,
        replica: NodeId,
        transfer: TransferId,
        received: u64,
    ) -> Option<TransferProgress> {
        if self.data.id() != transfer {
            return None;
        }
        let outgoing = self.transfers.get_mut(&replica)?;
        Some(match (outgoing.on_received(now, received), outgoing.is_received()) {
            (false, _) => TransferProgress::Unchanged,
            (true, false) => TransferProgress::Advanced,
            (true, true) => TransferProgress::Complete,
        })
    }

    /// Records that the epoch is durable at the proposer; returns whether this was awaited.
    pub(super) fn record_own_disk(&mut self) -> bool {
        std::mem::take(&mut self.awaits_own_disk)
    }

    /// Records that all data is durable at a replica; returns whether this was awaited.
    pub(super) fn record_durable(&mut self, replica: NodeId) -> bool {
        self.transfers.remove(&replica).is_some()
    }

    /// Whether all data replicas are up to date.
    pub(super) fn is_done(&self) -> bool {
        self.transfers.is_empty() && !self.awaits_own_disk
    }
}

fn chunk_message(epoch: Epoch, data_epoch: Epoch, chunk: Chunk) -> ReplicationMessage {
    let Chunk { transfer, offset, bytes } = chunk;
    ReplicationMessage::Sync { epoch, data_epoch, transfer, offset, bytes }
}
