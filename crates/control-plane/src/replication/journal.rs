//! Holds back what claims durability until its records are on disk.

use std::collections::VecDeque;

use tulipridge_protocol::replication::Envelope;

use super::durable::DurableRecord;

/// Records on their way to the disk, and the messages that wait for them.
#[derive(Clone, Debug, Default)]
pub(super) struct Journal {
    issued: u64,
    persisted: u64,
    batch: Vec<DurableRecord>,
    held: VecDeque<(u64, Held)>,
}

/// What waits for records to be on disk.
#[derive(Clone, Debug)]
pub(super) enum Held {
    /// A message to send.
    Send(Envelope),
    /// The view of this epoch is on disk.
    ViewRecorded(u64),
}

impl Journal {
    /// Adds a record to the batch.
    pub(super) fn push(&mut self, record: DurableRecord) {
        self.batch.push(record);
    }

    /// Keeps something until all records so far are on disk.
    pub(super) fn hold(&mut self, held: Held) {
        let ticket = if self.batch.is_empty() { self.issued } else { self.issued + 1 };
        self.held.push_back((ticket, held));
    }

    /// Ends the batch; nothing if it is empty.
    pub(super) fn take_batch(&mut self) -> Option<(u64, Vec<DurableRecord>)> {
        if self.batch.is_empty() {
            return None;
        }
        self.issued += 1;
        Some((self.issued, std::mem::take(&mut self.batch)))
    }

    /// Notes that records up to a ticket are on disk.
    pub(super) fn persisted(&mut self, ticket: u64) {
        self.persisted = self.persisted.max(ticket.min(self.issued));
    }

    /// The next thing that waits no longer.
    pub(super) fn release(&mut self) -> Option<Held> {
        let (ticket, _) = self.held.front()?;
        if *ticket > self.persisted {
            return None;
        }
        self.held.pop_front().map(|(_, held)| held)
    }
}
