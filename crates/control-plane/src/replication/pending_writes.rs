//! Records that are being written, and the effects that must wait until they are durable.

use std::collections::VecDeque;
use std::mem;

use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::Envelope;

use super::durable::DurableRecord;
use super::ticket::WriteTicket;

/// Records that are written and synced together.
#[derive(Debug)]
pub(super) struct RecordBatch {
    /// Increases by one with each batch.
    pub(super) ticket: WriteTicket,
    /// The records in write order.
    pub(super) records: Vec<DurableRecord>,
}

/// An effect that takes place once the preceding records are durable.
#[derive(Clone, Debug)]
pub(super) enum DeferredEffect {
    /// A message is sent.
    Send(Envelope),
    /// The view of this epoch is known to be on disk.
    ViewDurable {
        /// The view's epoch.
        epoch: Epoch,
    },
}

/// A deferred effect and the batch that it waits for.
#[derive(Clone, Debug)]
struct PendingEffect {
    ticket: WriteTicket,
    effect: DeferredEffect,
}

/// The open batch, and the effects that wait for it or for earlier ones.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingWrites {
    last_issued: WriteTicket,
    last_persisted: WriteTicket,
    batch: Vec<DurableRecord>,
    pending: VecDeque<PendingEffect>,
}

impl PendingWrites {
    /// Adds a record to the batch.
    pub(super) fn push(&mut self, record: DurableRecord) {
        self.batch.push(record);
    }

    /// Defers an effect until all records so far are durable.
    pub(super) fn defer(&mut self, effect: DeferredEffect) {
        let ticket = if self.batch.is_empty() { self.last_issued } else { self.last_issued.next() };
        self.pending.push_back(PendingEffect { ticket, effect });
    }

    /// Closes the batch and returns it; `None` if it is empty.
    pub(super) fn take_batch(&mut self) -> Option<RecordBatch> {
        if self.batch.is_empty() {
            return None;
        }
        self.last_issued = self.last_issued.next();
        Some(RecordBatch { ticket: self.last_issued, records: mem::take(&mut self.batch) })
    }

    /// Records that all batches up to `ticket` are durable.
    pub(super) fn record_persisted(&mut self, ticket: WriteTicket) {
        self.last_persisted = self.last_persisted.max(ticket.min(self.last_issued));
    }

    /// Removes the next effect whose records are durable. Effects come in the order in which they were deferred.
    pub(super) fn pop_durable(&mut self) -> Option<DeferredEffect> {
        let is_durable = self.pending.front().is_some_and(|pending| pending.ticket <= self.last_persisted);
        is_durable.then(|| self.pending.pop_front()).flatten().map(|pending| pending.effect)
    }
}
