//! The writer thread of a member's disk.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_channel::Sender;

use super::error::display_with_source;
use super::event::DiskEvent;
use crate::replication::{DurableRecord, WriteTicket};
use crate::state_log::{Compaction, StateLog};

/// Delay before a failed write is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Records that are written together, under one ticket.
pub(super) struct Batch {
    pub(super) ticket: WriteTicket,
    pub(super) records: Vec<DurableRecord>,
}

/// Writes batches in order and reports the results.
pub(super) struct Writer {
    pub(super) log: StateLog,
    pub(super) events: Sender<DiskEvent>,
}

impl Writer {
    /// Writes the batches of the queue until it is closed. Batches that are queued at the same time share a sync.
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

    /// Writes batches under one sync and retries until that succeeds. Only the first failure and the recovery are
    /// logged.
    fn write_until_durable(&mut self, batches: &[Batch]) {
        let records: Vec<&DurableRecord> = batches.iter().flat_map(|batch| &batch.records).collect();
        let mut has_failed = false;
        while let Err(error) = self.log.append(&records) {
            if !has_failed {
                log::warn!(error:% = display_with_source(&error); "a disk write failed");
            }
            has_failed = true;
            self.report(DiskEvent::WriteFailed { error });
            if !matches!(self.log.compact_to_free_space(), Compaction::Done) {
                thread::sleep(RETRY_INTERVAL);
            }
        }
        if has_failed {
            log::info!("disk writes succeed again");
        }
    }

    fn compact_if_due(&mut self) {
        if let Compaction::Failed { error, is_repeated: false } = self.log.compact_if_due() {
            log::warn!(error:% = display_with_source(&error); "log compaction failed");
        }
    }

    fn report(&self, event: DiskEvent) {
        // The send can't fail while the process runs: the channel is unbounded and stays open.
        let _ = self.events.try_send(event);
    }
}
