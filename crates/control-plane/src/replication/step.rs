//! The entry point: dispatches an input to its handler and runs the timers that are due.

use std::sync::Arc;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::SequenceNumber;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage};

use super::durable::DurableRecord;
use super::interface::{Input, Output, Role};
use super::leadership::HeartbeatId;
use super::machine::Replication;
use super::peers::PeerReport;
use super::pending_writes::DeferredEffect;
use super::transfer::Chunk;

impl Replication {
    /// Handles one input and appends the resulting actions of the owner to `out`.
    ///
    /// Each input also runs the timers that are due, so [`Input::Tick`] is needed only when no other input arrives.
    pub fn handle(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        if self.lifecycle.mark_started() && !self.storage.snapshot().is_empty() {
            self.restore();
        }
        self.step_down_if_lease_lost(now);
        match input {
            Input::Tick => {}
            Input::Message(envelope) => self.receive(now, envelope),
            Input::Persisted { ticket } => self.outbox.record_persisted(ticket),
            Input::Propose { ticket, command } => self.propose(now, ticket, command),
            Input::Compact { sequence, snapshot } => self.compact(sequence, snapshot),
            Input::DiskHealthy(is_healthy) => self.storage.set_healthy(is_healthy),
            Input::KnownNodes(nodes) => self.discovery.set_known(nodes),
            Input::Shutdown => self.start_leaving(now),
        }
        self.process_pending(now);
        self.run_timers(now);
        self.process_pending(now);
        self.report_role_change();
        self.outbox.drain_into(out);
    }

    fn run_timers(&mut self, now: Duration) {
        self.run_primary_timers(now);
        self.run_view_change_timers(now);
        self.process_pending(now);
        self.campaign_if_due(now);
        self.request_to_join_if_due(now);
    }

    /// Performs the effects whose records are durable and handles this member's messages to itself, until none
    /// remain.
    fn process_pending(&mut self, now: Duration) {
        loop {
            if let Some(effect) = self.outbox.pop_durable() {
                self.perform(effect);
            } else if let Some(envelope) = self.outbox.pop_loopback() {
                self.dispatch(now, envelope.from, envelope.message);
            } else {
                return;
            }
        }
    }

    fn perform(&mut self, effect: DeferredEffect) {
        match effect {
            DeferredEffect::Send(envelope) => self.outbox.deliver(envelope),
            DeferredEffect::ViewDurable { epoch } => self.storage.record_durable_view(epoch),
        }
    }

    /// Handles a message from another member. A message to another generation of this member is dropped, unless it is a
    /// request to join, whose sender may know only the address.
    fn receive(&mut self, now: Duration, envelope: Envelope) {
        let node = self.settings.node;
        let is_join = matches!(envelope.message, ReplicationMessage::Join { .. });
        let is_for_this_member = envelope.to == node || (is_join && envelope.to.ip == node.ip);
        if is_for_this_member && envelope.from != node {
            self.dispatch(now, envelope.from, envelope.message);
        }
    }

    fn dispatch(&mut self, now: Duration, from: NodeId, message: ReplicationMessage) {
        match message {
            ReplicationMessage::Prepare { epoch } => self.on_prepare(now, from, epoch),
            ReplicationMessage::Promise { epoch, view } => self.on_promise(now, from, epoch, &view),
            ReplicationMessage::Refuse { epoch, promised } => self.on_refuse(now, from, epoch, promised),
            ReplicationMessage::Sync { epoch, data_epoch, transfer, offset, bytes } => {
                let chunk = Chunk { transfer, offset, bytes };
                self.on_sync(now, from, epoch, data_epoch, &chunk);
            }
            ReplicationMessage::SyncProgress { epoch, transfer, received } => {
                self.on_sync_progress(now, from, epoch, transfer, received);
            }
            ReplicationMessage::Synced { epoch, sequence } => self.on_synced(now, from, epoch, sequence),
            ReplicationMessage::Install { view } => self.on_install(now, from, &view),
            ReplicationMessage::Installed { epoch } => self.on_installed(now, from, epoch),
            ReplicationMessage::Append { epoch, entry } => self.on_append(from, epoch, entry),
            ReplicationMessage::Appended { epoch, sequence } => {
                self.on_appended(now, from, epoch, sequence);
            }
            ReplicationMessage::Heartbeat { view, token, committed } => {
                self.on_heartbeat(now, from, &view, token, committed);
            }
            ReplicationMessage::HeartbeatAck { epoch, token, zone, disk_healthy, leaving } => {
                let report = PeerReport { zone, is_disk_healthy: disk_healthy, is_leaving: leaving };
                self.on_heartbeat_ack(now, from, HeartbeatId { epoch, token }, report);
            }
            ReplicationMessage::Release { epoch, successor } => {
                self.on_release(now, from, epoch, successor);
            }
            ReplicationMessage::Join { zone } => self.on_join(now, from, zone),
        }
    }

    /// Replaces applied entries by a snapshot of the state after them.
    fn compact(&mut self, sequence: SequenceNumber, snapshot: Arc<[u8]>) {
        if sequence <= self.storage.applied() && sequence > self.storage.snapshot_sequence() {
            self.record(DurableRecord::Snapshot { sequence, snapshot });
        }
    }

    fn report_role_change(&mut self) {
        let role = self.current_role();
        if self.lifecycle.record_reported_role(role) {
            self.outbox.push(Output::RoleChanged(role));
        }
    }

    fn current_role(&self) -> Role {
        let node = self.settings.node;
        if let Some(leadership) = &self.leadership {
            return Role::Primary { epoch: leadership.view.epoch };
        }
        match self.storage.view() {
            Some(view) if view.data_replicas.contains(&node) => Role::Backup,
            Some(view) if view.voters.contains(&node) => Role::Voter,
            _ => Role::Standby,
        }
    }
}
