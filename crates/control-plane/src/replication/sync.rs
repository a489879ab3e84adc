//! The phase of a view change that brings the future holders up to date.
//!
//! The proposer sends its data in parts, each receiver says how much it has, and writes the data only when all is
//! there. `Synced` leaves once it is durable. Each step forward gives the attempt its full time anew, so a slow link
//! or disk ends well, and one that stands still does not hold up the attempt.
//!
//! One that was a holder before is asked first whether it has all, unless one part is enough for all.
//! A receiver whose data has the proposer's epoch and newest entry needs nothing but the new epoch. Within an epoch
//! the log grows only by what its one primary appends, starting from the one state with which that epoch's
//! proposer has brought all holders up to date, so equal marks stand for equal logs.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::{ReplicationMessage, TransferId};

use super::campaign::Phase;
use super::durable::{DataMark, DurableRecord};
use super::machine::Replication;
use super::settings::{RESEND_INTERVAL, longest_write};
use super::transfer::{EncodedData, OutgoingTransfer, PART_BYTES, Part, Received, TransferData};

/// How far the future holders are.
#[derive(Clone, Debug)]
pub(super) struct SyncPhase {
    /// The epoch of the data before the attempt.
    data_epoch: u64,
    data: EncodedData,
    /// Transfers to the holders that have not said that all is on their disks.
    transfers: BTreeMap<NodeId, OutgoingTransfer>,
    /// The proposer's own disk has still to take the epoch.
    awaits_own_disk: bool,
}

impl SyncPhase {
    fn next_resend(&self) -> Option<Duration> {
        self.transfers.values().map(OutgoingTransfer::resend_at).min()
    }

    fn message(&self, epoch: u64, offset: u64) -> ReplicationMessage {
        let Part { transfer, offset, bytes } = self.data.part(offset);
        ReplicationMessage::Sync { epoch, data_epoch: self.data_epoch, transfer, offset, bytes }
    }

    fn is_done(&self) -> bool {
        self.transfers.is_empty() && !self.awaits_own_disk
    }
}

impl Replication {
    /// The new holders are chosen: begins to bring them up to date.
    pub(super) fn start_sync(&mut self, now: Duration) {
        let node = self.settings.node;
        let data = EncodedData::of(&self.state);
        let Some(attempt) = &mut self.attempt else { return };
        let others = attempt.view.holders.iter().filter(|holder| **holder != node);
        let length = data.id().length;
        let transfers = others
            .map(|holder| {
                let is_asked_first = attempt.base.holders.contains(holder) && length > PART_BYTES;
                (*holder, OutgoingTransfer::new(length, is_asked_first, now))
            })
            .collect();
        let epoch = attempt.epoch;
        attempt.sync =
            Some(SyncPhase { data_epoch: self.state.data.epoch, data, transfers, awaits_own_disk: true });
        self.send_parts(super::transfer::OutgoingTransfer::next_offsets);
        self.sync_itself(epoch);
    }

    /// The proposer's own data is complete as of its epoch.
    fn sync_itself(&mut self, epoch: u64) {
        let node = self.settings.node;
        if epoch < self.state.promised {
            self.refuse(node, epoch);
            return;
        }
        self.record(DurableRecord::DataEpoch(epoch));
        let sequence = self.state.data.sequence;
        self.send_when_durable(node, ReplicationMessage::Synced { epoch, sequence });
    }

    /// Sends again what was not confirmed in time.
    pub(super) fn resend_syncs(&mut self, now: Duration) {
        self.send_parts(|transfer| transfer.resend_if_due(now));
    }

    /// Sends the parts that are chosen for each transfer.
    fn send_parts(&mut self, mut choose: impl FnMut(&mut OutgoingTransfer) -> Vec<u64>) {
        let Some(attempt) = &mut self.attempt else { return };
        let Some(sync) = &mut attempt.sync else { return };
        let mut parts: Vec<(NodeId, u64)> = Vec::new();
        for (holder, transfer) in &mut sync.transfers {
            parts.extend(choose(transfer).into_iter().map(|offset| (*holder, offset)));
        }
        if let Some(resend_at) = sync.next_resend() {
            attempt.resend_at = resend_at;
        }
        let epoch = attempt.epoch;
        let messages: Vec<(NodeId, ReplicationMessage)> =
            parts.into_iter().map(|(holder, offset)| (holder, sync.message(epoch, offset))).collect();
        for (holder, message) in messages {
            self.send(holder, message);
        }
    }

    /// A future holder says how much it has received.
    pub(super) fn on_sync_progress(
        &mut self,
        now: Duration,
        from: NodeId,
        epoch: u64,
        transfer: TransferId,
        received: u64,
    ) {
        let stall_term = self.stall_term();
        let Some(attempt) = &mut self.attempt else { return };
        let is_awaited = attempt.epoch == epoch && attempt.phase == Phase::Syncing;
        let Some(sync) = attempt.sync.as_mut().filter(|_| is_awaited) else { return };
        let Some(outgoing) = sync.transfers.get_mut(&from).filter(|_| sync.data.id() == transfer) else {
            return;
        };
        if outgoing.on_received(now, received) {
            let write =
                if outgoing.is_received() { longest_write(transfer.length) } else { Duration::ZERO };
            attempt.stalled_at = attempt.stalled_at.max(now + stall_term + write);
        }
        self.send_parts(super::transfer::OutgoingTransfer::next_offsets);
    }

    /// A future holder has all data on disk.
    pub(super) fn on_synced(&mut self, now: Duration, from: NodeId, epoch: u64, sequence: u64) {
        let is_complete = sequence == self.state.data.sequence;
        let stalled_at = now + self.stall_term();
        let node = self.settings.node;
        let Some(attempt) = &mut self.attempt else { return };
        if attempt.epoch != epoch || attempt.phase != Phase::Syncing || !is_complete {
            return;
        }
        let Some(sync) = &mut attempt.sync else { return };
        let is_news = if from == node {
            std::mem::take(&mut sync.awaits_own_disk)
        } else {
            sync.transfers.remove(&from).is_some()
        };
        if is_news {
            attempt.stalled_at = attempt.stalled_at.max(stalled_at);
        }
        if sync.is_done() {
            attempt.sync = None;
            attempt.phase = Phase::InstallingAtHolders;
            attempt.resend_at = now + RESEND_INTERVAL;
            self.send_installs();
        }
    }

    /// A proposer brings this member up to date as a holder of the view that it is about to install.
    pub(super) fn on_sync(&mut self, now: Duration, from: NodeId, epoch: u64, data_epoch: u64, part: Part) {
        if epoch < self.state.promised {
            self.refuse(from, epoch);
            return;
        }
        if self.state.data.epoch != epoch {
            self.promise(epoch);
            self.promised_to = Some(from);
            self.yield_to(now, from, epoch);
            if !self.take_part(from, epoch, data_epoch, &part) {
                return;
            }
        }
        let sequence = self.state.data.sequence;
        self.send_when_durable(from, ReplicationMessage::Synced { epoch, sequence });
    }

    /// Takes a part of the data; whether this member has, with it, all that the proposer has.
    fn take_part(&mut self, from: NodeId, epoch: u64, data_epoch: u64, part: &Part) -> bool {
        let mark = DataMark { epoch: data_epoch, sequence: part.transfer.sequence };
        if self.state.data == mark {
            self.incoming.clear();
            self.record(DurableRecord::DataEpoch(epoch));
            return true;
        }
        let transfer = part.transfer;
        match self.incoming.accept(part) {
            Received::Partial(received) => {
                self.send(from, ReplicationMessage::SyncProgress { epoch, transfer, received });
                false
            }
            Received::Whole(data) => {
                if transfer.length > PART_BYTES {
                    let received = transfer.length;
                    self.send(from, ReplicationMessage::SyncProgress { epoch, transfer, received });
                }
                self.replace_data(epoch, data);
                true
            }
        }
    }

    fn replace_data(&mut self, epoch: u64, data: TransferData) {
        let TransferData { snapshot_sequence, snapshot, entries } = data;
        self.record(DurableRecord::Reset { epoch, snapshot_sequence, snapshot, entries });
        if self.state.snapshot_sequence > self.applied || self.state.data.sequence < self.applied {
            self.restore();
        }
    }
}
