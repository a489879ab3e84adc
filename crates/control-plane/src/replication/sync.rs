//! The sync phase of a view change, which brings the data replicas of the new view up to date.
//!
//! The proposer sends its data in chunks. Each receiver reports how much it has received, and writes the data only
//! when it is complete. `Synced` is sent once the data is durable. Any progress restarts the stall timeout of the view
//! change, so that it succeeds over a slow link or disk and is abandoned if one makes no progress.
//!
//! A previous data replica is first asked whether it has all the data, unless the data fits into one chunk.
//! A receiver whose data has the epoch and the newest entry of the proposer only records the new epoch. Within an
//! epoch, all replicas start from the state to which the epoch's proposer has brought them, and their logs grow only by
//! entries of the one primary. Equal positions therefore mean equal logs.

use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{ReplicationMessage, TransferId};

use super::durable::{DurableRecord, LogPosition};
use super::machine::Replication;
use super::sync_phase::{SyncMessage, SyncPhase, TransferProgress};
use super::timing::max_write_duration;
use super::transfer::{CHUNK_BYTES, Chunk, EncodedData, Received, TransferData};

impl Replication {
    /// Starts to bring the chosen data replicas up to date.
    pub(super) fn start_sync(&mut self, now: Duration) {
        let node = self.settings.node;
        let data = EncodedData::of(self.storage.state());
        let data_epoch = self.storage.position().epoch;
        let Some(view_change) = &mut self.view_change else { return };
        let others = view_change.view.data_replicas.iter().filter(|replica| **replica != node);
        let previous_replicas = &view_change.base.data_replicas;
        let sync = SyncPhase::new(data_epoch, data, others, previous_replicas, now);
        let epoch = view_change.epoch;
        view_change.sync = Some(sync);
        self.send_chunks();
        self.sync_own_data(epoch);
    }

    /// Records that the proposer's own data is complete as of the new epoch.
    fn sync_own_data(&mut self, epoch: Epoch) {
        let node = self.settings.node;
        if epoch < self.storage.promised() {
            self.refuse(node, epoch);
            return;
        }
        self.record(DurableRecord::DataEpoch(epoch));
        let sequence = self.storage.last_sequence();
        self.outbox.send_when_durable(node, ReplicationMessage::Synced { epoch, sequence });
    }

    /// Sends the chunks that fit into the windows.
    fn send_chunks(&mut self) {
        self.send_sync_messages(SyncPhase::next_messages);
    }

    /// Resends the chunks that were not confirmed in time.
    pub(super) fn resend_chunks(&mut self, now: Duration) {
        self.send_sync_messages(|sync, epoch| sync.due_messages(epoch, now));
    }

    fn send_sync_messages(&mut self, choose: impl FnOnce(&mut SyncPhase, Epoch) -> Vec<SyncMessage>) {
        let Some(view_change) = &mut self.view_change else { return };
        let Some(sync) = &mut view_change.sync else { return };
        let messages = choose(sync, view_change.epoch);
        if let Some(resend_at) = sync.next_resend() {
            view_change.resend_at = resend_at;
        }
        for SyncMessage { to, message } in messages {
            self.outbox.send(to, message);
        }
    }

    /// Handles a report of a data replica on how much it has received.
    pub(super) fn on_sync_progress(
        &mut self,
        now: Duration,
        from: NodeId,
        epoch: Epoch,
        transfer: TransferId,
        received: u64,
    ) {
        let stalled_at = now + self.election.stall_timeout();
        let Some(view_change) = &mut self.view_change else { return };
        if !view_change.is_syncing(epoch) {
            return;
        }
        let Some(sync) = &mut view_change.sync else { return };
        let Some(progress) = sync.record_progress(now, from, transfer, received) else { return };
        match progress {
            TransferProgress::Unchanged => {}
            TransferProgress::Advanced => view_change.extend_stall_timeout(stalled_at),
            TransferProgress::Complete => {
                view_change.extend_stall_timeout(stalled_at + max_write_duration(transfer.length));
            }
        }
        self.send_chunks();
    }

    /// Handles a report that a data replica has all data on disk.
    pub(super) fn on_synced(
        &mut self,
        now: Duration,
        from: NodeId,
        epoch: Epoch,
        sequence: SequenceNumber,
    ) {
        let is_complete = sequence == self.storage.last_sequence();
        let stalled_at = now + self.election.stall_timeout();
        let node = self.settings.node;
        let Some(view_change) = &mut self.view_change else { return };
        if !view_change.is_syncing(epoch) || !is_complete {
            return;
        }
        let Some(sync) = &mut view_change.sync else { return };
        let is_awaited = if from == node { sync.record_own_disk() } else { sync.record_durable(from) };
        let is_done = sync.is_done();
        if is_awaited {
            view_change.extend_stall_timeout(stalled_at);
        }
        if is_done {
            view_change.start_installing(now);
            self.send_installs();
        }
    }

    /// Handles a chunk from a proposer that brings this member up to date as a data replica of its new view.
    pub(super) fn on_sync(
        &mut self,
        now: Duration,
        from: NodeId,
        epoch: Epoch,
        data_epoch: Epoch,
        chunk: &Chunk,
    ) {
        if epoch < self.storage.promised() {
            self.refuse(from, epoch);
            return;
        }
        if self.storage.position().epoch != epoch {
            self.promise_to(from, epoch);
            self.yield_to_proposer(now, from, epoch);
            if !self.accept_chunk(from, epoch, data_epoch, chunk) {
                return;
            }
        }
        let sequence = self.storage.last_sequence();
        self.outbox.send_when_durable(from, ReplicationMessage::Synced { epoch, sequence });
    }

    /// Accepts a chunk of the data; returns whether this member now has all data of the proposer.
    fn accept_chunk(&mut self, from: NodeId, epoch: Epoch, data_epoch: Epoch, chunk: &Chunk) -> bool {
        let transfer = chunk.transfer;
        if self.storage.position() == (LogPosition { epoch: data_epoch, sequence: transfer.sequence }) {
            self.incoming.clear();
            self.record(DurableRecord::DataEpoch(epoch));
            return true;
        }
        match self.incoming.accept(chunk) {
            Received::Partial(received) => {
                self.outbox.send(from, ReplicationMessage::SyncProgress { epoch, transfer, received });
                false
            }
            Received::Complete(data) => {
                if transfer.length > CHUNK_BYTES {
                    let received = transfer.length;
                    let message = ReplicationMessage::SyncProgress { epoch, transfer, received };
                    self.outbox.send(from, message);
                }
                self.replace_data(epoch, data);
                true
            }
        }
    }

    /// Replaces the log and the snapshot. The owner restores its state unless the new log continues that state.
    fn replace_data(&mut self, epoch: Epoch, data: TransferData) {
        let TransferData { snapshot_sequence, snapshot, entries } = data;
        self.record(DurableRecord::Reset { epoch, snapshot_sequence, snapshot, entries });
        let applied = self.storage.applied();
        if self.storage.snapshot_sequence() > applied || self.storage.last_sequence() < applied {
            self.restore();
        }
    }
}
