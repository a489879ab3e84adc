//! The thread that writes to a member's disk.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_channel::Sender;

use super::error::display_with_source;
use super::event::DiskEvent;
use crate::replication::{DurableRecord, WriteTicket};
use crate::state_log::{Compaction, StateLog};

/// The pause before a write that failed is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Records that are written together.
pub(super) struct Batch {
    pub(super) ticket: WriteTicket,
    pub(super) records: Vec<DurableRecord>,
}

/// Writes batches in their order and reports what becomes of them.
pub(super) struct Writer {
    pub(super) log: StateLog,
    pub(super) events: Sender<DiskEvent>,
}

impl Writer {
    /// Writes all batches of the queue until it is closed; those that wait together share a sync.
    pub(super) fn run(&mut self, queue: &mpsc::Receiver<Batch>) {
        while let Ok(first) = queue.recv() {
            let mut batches = vec![first];
            batches.extend(queue.try_iter());
            self.write_until_durable(&batches);
            if let Some(last) = batches.last() {
                self.report(DiskEvent::Persisted { ticket: last.ticket });
            }
            self.compact_if_due();
        }
    }

    /// Writes batches under one sync, however often the disk refuses them. The operator's log has one line when that
    /// begins and one when it ends.
    fn write_until_durable(&mut self, batches: &[Batch]) {
        let records: Vec<&DurableRecord> = batches.iter().flat_map(|batch| &batch.records).collect();
        let mut has_failed = false;
        while let Err(error) = self.log.append(&records) {
            if !has_failed {
                log::warn!(error:% = display_with_source(&error); "the disk refuses a write");
            }
            has_failed = true;
            self.report(DiskEvent::WriteFailed { error });
            if !matches!(self.log.compact_to_free_space(), Compaction::Done) {
                thread::sleep(RETRY_INTERVAL);
            }
        }
        if has_failed {
            log::info!("the disk takes writes again");
        }
    }

    fn compact_if_due(&mut self) {
        if let Compaction::Failed { error, is_repeated: false } = self.log.compact_if_due() {
            log::warn!(error:% = display_with_source(&error); "the log can't be made shorter");
        }
    }

    fn report(&self, event: DiskEvent) {
        // The channel is unbounded, and closed only when the process ends.
        let _ = self.events.try_send(event);
    }
}
