//! Log replication: proposals become log entries, which commit once all data replicas have them on disk.

use std::sync::Arc;
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, ReplicationMessage};

use super::durable::DurableRecord;
use super::interface::{FailureReason, Output};
use super::machine::Replication;
use super::proposals::QueuedProposal;
use super::ticket::ProposalTicket;

/// Maximum number of entries in one resend to a lagging backup.
const MAX_RESENT_ENTRIES: usize = 256;
/// Maximum bytes of entries in one resend. A single entry may be longer.
const MAX_RESENT_BYTES: usize = 256 * 1024;

impl Replication {
    /// Replicates a command of the owner, or queues it during a view change.
    pub(super) fn propose(&mut self, now: Duration, ticket: ProposalTicket, command: Arc<[u8]>) {
        let is_changing = self.is_view_changing();
        match &mut self.leadership {
            Some(leadership) if is_changing => {
                leadership.proposals.enqueue(QueuedProposal { ticket, command, queued_at: now });
            }
            Some(_) => self.append(now, ticket, command),
            None => {
                let reason = FailureReason::NotReplicated;
                self.outbox.push(Output::ProposalFailed { proposal: ticket, reason });
            }
        }
    }

    /// Fails proposals that have waited too long for the end of a view change. Their commands were never replicated, so
    /// the owner receives a definite failure. The owner's own timeout is longer and would leave the outcome unknown.
    pub(super) fn expire_queued_proposals(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else { return };
        while let Some(failure) = leadership.proposals.expire_next(now) {
            self.outbox.push(failure);
        }
    }

    /// Whether proposals have to wait for a view change: one is running, or this member has promised an epoch above
    /// that of the view that it leads.
    fn is_view_changing(&self) -> bool {
        self.view_change.is_some() || self.is_view_change_pending()
    }

    /// Whether this member has promised an epoch above that of the view that it leads.
    pub(super) fn is_view_change_pending(&self) -> bool {
        let promised = self.storage.promised();
        self.leadership.as_ref().is_some_and(|leadership| leadership.view.epoch < promised)
    }

    /// Appends an entry to the log of the primary and sends it to the backups.
    pub(super) fn append(&mut self, now: Duration, ticket: ProposalTicket, command: Arc<[u8]>) {
        let node = self.settings.node;
        let sequence = self.storage.last_sequence().next();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.proposals.replicate(sequence, ticket);
        leadership.progress.record_appended(now, command.len());
        let epoch = leadership.view.epoch;
        let entry = Entry { sequence, command };
        for backup in leadership.backups(node) {
            self.outbox.send(backup, ReplicationMessage::Append { epoch, entry: entry.clone() });
        }
        self.on_append(node, epoch, entry);
    }

    /// Handles an entry from the primary: stores it and acknowledges it once it is durable.
    pub(super) fn on_append(&mut self, from: NodeId, epoch: Epoch, entry: Entry) {
        if epoch < self.storage.promised() {
            self.refuse(from, epoch);
            return;
        }
        let next = self.storage.last_sequence().next();
        let is_replica = self.storage.is_replica_under(self.settings.node, from, epoch);
        if !is_replica || entry.sequence > next {
            return;
        }
        if entry.sequence == next {
            self.record(DurableRecord::Entry(entry));
        }
        let sequence = self.storage.last_sequence();
        self.outbox.send_when_durable(from, ReplicationMessage::Appended { epoch, sequence });
    }

    /// Handles a report that a data replica has stored an entry and all before it.
    pub(super) fn on_appended(
        &mut self,
        now: Duration,
        from: NodeId,
        epoch: Epoch,
        sequence: SequenceNumber,
    ) {
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.view.epoch != epoch {
            return;
        }
        leadership.progress.record_stored(now, from, sequence);
        let committed = leadership.progress.committed();
        self.apply_up_to(committed);
    }

    /// Resends entries of the primary that were not acknowledged in time.
    pub(super) fn resend_entries_if_due(&mut self, now: Duration) {
        let is_changing = self.is_view_changing();
        let node = self.settings.node;
        let Some(leadership) = &mut self.leadership else { return };
        let epoch = leadership.view.epoch;
        let lagging = leadership.progress.take_due_resends(now);
        if is_changing {
            return;
        }
        for replica in lagging.iter().filter(|replica| replica.node != node) {
            for entry in self.entries_to_resend(replica.stored) {
                self.outbox.send(replica.node, ReplicationMessage::Append { epoch, entry });
            }
        }
    }

    /// The entries after `stored`, up to the limits of one resend.
    fn entries_to_resend(&self, stored: SequenceNumber) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let missing =
            (stored.0 + 1..=self.storage.last_sequence().0).map(SequenceNumber).take(MAX_RESENT_ENTRIES);
        for entry in missing.filter_map(|sequence| self.storage.entry(sequence)) {
            bytes += entry.command.len();
            if bytes > MAX_RESENT_BYTES && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }
}
