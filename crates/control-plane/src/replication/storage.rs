//! The log, view and promise of a member, including writes in progress.

use std::sync::Arc;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, View};

use super::durable::{DurableRecord, DurableState, LogPosition};

/// The state that survives a restart, and how much of it is durable and applied.
#[derive(Clone, Debug)]
pub(super) struct Storage {
    state: DurableState,
    /// Epoch of the newest view that is durable or being written. A standby knows newer views only from
    /// heartbeats.
    recorded_view_epoch: Option<Epoch>,
    /// Epoch of the newest view that is known to be durable.
    durable_view_epoch: Option<Epoch>,
    /// The newest entry that was passed to the owner.
    applied: SequenceNumber,
    is_healthy: bool,
}

impl Storage {
    /// Creates the storage of a member that starts with `state`.
    pub(super) fn new(state: DurableState) -> Storage {
        let view_epoch = state.view.as_ref().map(|view| view.epoch);
        Storage {
            recorded_view_epoch: view_epoch,
            durable_view_epoch: view_epoch,
            applied: state.snapshot_sequence,
            is_healthy: true,
            state,
        }
    }

    /// The durable state, including records that are being written.
    pub(super) fn state(&self) -> &DurableState {
        &self.state
    }

    /// The highest epoch that this member has promised.
    pub(super) fn promised(&self) -> Epoch {
        self.state.promised
    }

    /// The position up to which the data is stored.
    pub(super) fn position(&self) -> LogPosition {
        self.state.data
    }

    /// The newest entry of the log.
    pub(super) fn last_sequence(&self) -> SequenceNumber {
        self.state.data.sequence
    }

    /// The newest view that this member knows, recorded or not.
    pub(super) fn view(&self) -> Option<&View> {
        self.state.view.as_ref()
    }

    /// The epoch of the newest known view; 0 if there is none.
    pub(super) fn view_epoch(&self) -> Epoch {
        self.view().map_or(Epoch(0), |view| view.epoch)
    }

    /// Whether this member has recorded any view.
    pub(super) fn has_recorded_view(&self) -> bool {
        self.recorded_view_epoch.is_some()
    }

    /// Whether this member has recorded a view of this epoch or a later one.
    pub(super) fn has_recorded_view_of(&self, epoch: Epoch) -> bool {
        self.recorded_view_epoch >= Some(epoch)
    }

    /// Whether any view is known to be durable.
    pub(super) fn has_durable_view(&self) -> bool {
        self.durable_view_epoch.is_some()
    }

    /// Whether a view of this epoch or a later one is known to be durable.
    pub(super) fn has_durable_view_of(&self, epoch: Epoch) -> bool {
        self.durable_view_epoch >= Some(epoch)
    }

    /// Records that the view of this epoch is durable.
    pub(super) fn record_durable_view(&mut self, epoch: Epoch) {
        self.durable_view_epoch = self.durable_view_epoch.max(Some(epoch));
    }

    /// Sets the newest known view without recording it.
    pub(super) fn set_unrecorded_view(&mut self, view: View) {
        self.state.view = Some(view);
    }

    /// Applies a record that is being written.
    pub(super) fn apply_record(&mut self, record: &DurableRecord) {
        self.state.apply(record);
        if let DurableRecord::View(view) = record {
            self.recorded_view_epoch = Some(view.epoch);
        }
    }

    /// Whether a view is newer than the known one, or the same but now known to be in force.
    pub(super) fn is_outdated_by(&self, view: &View) -> bool {
        if view.voters.is_empty() {
            return false;
        }
        let Some(known) = self.view() else { return true };
        let is_completed = known.previous_voters != view.previous_voters && view.previous_voters.is_empty();
        view.epoch > known.epoch || (view.epoch == known.epoch && is_completed)
    }

    /// Whether the newest promise, view and data are all of this epoch, and `node` stores data under `primary`.
    pub(super) fn is_replica_under(&self, node: NodeId, primary: NodeId, epoch: Epoch) -> bool {
        self.state.promised == epoch
            && self.state.data.epoch == epoch
            && self.view().is_some_and(|view| {
                view.epoch == epoch
                    && view.data_replicas.first() == Some(&primary)
                    && view.data_replicas.contains(&node)
            })
    }

    /// The entry `sequence`, unless the snapshot covers it or it is not stored yet.
    pub(super) fn entry(&self, sequence: SequenceNumber) -> Option<&Entry> {
        self.state.entry(sequence)
    }

    /// The newest entry in the snapshot.
    pub(super) fn snapshot_sequence(&self) -> SequenceNumber {
        self.state.snapshot_sequence
    }

    /// The encoded state after the newest entry in the snapshot.
    pub(super) fn snapshot(&self) -> &Arc<[u8]> {
        &self.state.snapshot
    }

    /// The newest entry that was applied.
    pub(super) fn applied(&self) -> SequenceNumber {
        self.applied
    }

    /// Resets the applied position to that of the snapshot, which may be earlier or later.
    pub(super) fn reset_to_snapshot(&mut self) {
        self.applied = self.state.snapshot_sequence;
    }

    /// Advances the applied position by one entry and returns the entry; `None` if it is not stored.
    pub(super) fn apply_next(&mut self) -> Option<Entry> {
        let entry = self.entry(self.applied.next())?.clone();
        self.applied = self.applied.next();
        Some(entry)
    }

    /// Whether the disk completes writes in time.
    pub(super) fn is_healthy(&self) -> bool {
        self.is_healthy
    }

    /// Records whether the disk completes writes in time.
    pub(super) fn set_healthy(&mut self, is_healthy: bool) {
        self.is_healthy = is_healthy;
    }
}
