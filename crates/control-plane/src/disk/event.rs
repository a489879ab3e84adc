//! Events of the writer thread.

use tulipridge_write_ahead_log::WriteAheadLogError;

use crate::replication::WriteTicket;

/// An event that the writer thread reports.
#[derive(Debug)]
pub enum DiskEvent {
    /// All records up to a ticket are durable.
    Persisted {
        /// The ticket of the last durable batch.
        ticket: WriteTicket,
    },
    /// A write has failed. It is retried until it succeeds.
    WriteFailed {
        /// Why it failed.
        error: WriteAheadLogError,
    },
}
