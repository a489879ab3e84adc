//! Outputs that are not yet passed to the owner, and messages of a member to itself.

use std::collections::VecDeque;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage};

use super::durable::DurableRecord;
use super::interface::Output;
use super::pending_writes::{DeferredEffect, PendingWrites, RecordBatch};
use super::ticket::WriteTicket;

/// Collects the outputs of one input.
///
/// A message to the member itself is handled like one to another member. Proposer and voter, or primary and data
/// replica, thus need no special case when they are the same process.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    node: NodeId,
    outputs: Vec<Output>,
    loopback: VecDeque<Envelope>,
    writes: PendingWrites,
}

impl Outbox {
    /// Creates the empty outbox of a member.
    pub(super) fn new(node: NodeId) -> Outbox {
        Outbox { node, outputs: Vec::new(), loopback: VecDeque::new(), writes: PendingWrites::default() }
    }

    pub(super) fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Sends a message without waiting for pending records.
    pub(super) fn send(&mut self, to: NodeId, message: ReplicationMessage) {
        self.deliver(Envelope { from: self.node, to, message });
    }

    /// Sends a message once all records so far are durable.
    pub(super) fn send_when_durable(&mut self, to: NodeId, message: ReplicationMessage) {
        let envelope = Envelope { from: self.node, to, message };
        self.writes.defer(DeferredEffect::Send(envelope));
    }

    /// Sends an envelope without waiting for pending records. Its sender may be another member.
    pub(super) fn deliver(&mut self, envelope: Envelope) {
        if envelope.to == self.node {
            self.loopback.push_back(envelope);
        } else {
            self.outputs.push(Output::Send(envelope));
        }
    }

    /// Adds a record to the next batch.
    pub(super) fn write(&mut self, record: DurableRecord) {
        self.writes.push(record);
    }

    /// Defers [`DeferredEffect::ViewDurable`] until all records so far are durable.
    pub(super) fn defer_view_durable(&mut self, epoch: Epoch) {
        self.writes.defer(DeferredEffect::ViewDurable { epoch });
    }

    /// Records that all batches up to `ticket` are durable.
    pub(super) fn record_persisted(&mut self, ticket: WriteTicket) {
        self.writes.record_persisted(ticket);
    }

    /// Removes the next deferred effect whose records are durable.
    pub(super) fn pop_durable(&mut self) -> Option<DeferredEffect> {
        self.writes.pop_durable()
    }

    /// Removes the next message of this member to itself.
    pub(super) fn pop_loopback(&mut self) -> Option<Envelope> {
        self.loopback.pop_front()
    }

    /// Moves all outputs to `outputs`, with the write of the current batch last.
    pub(super) fn drain_into(&mut self, outputs: &mut Vec<Output>) {
        if let Some(RecordBatch { ticket, records }) = self.writes.take_batch() {
            self.outputs.push(Output::Persist { ticket, records });
        }
        outputs.append(&mut self.outputs);
    }
}
