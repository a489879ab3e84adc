//! What the writer thread reports.

use tulipridge_write_ahead_log::WriteAheadLogError;

use crate::replication::WriteTicket;

/// What the writer thread reports.
#[derive(Debug)]
pub enum DiskEvent {
    /// All records up to a ticket are durable.
    Persisted {
        /// The ticket.
        ticket: WriteTicket,
    },
    /// A write has failed; it is retried until it succeeds.
    WriteFailed {
        /// Why it has failed.
        error: WriteAheadLogError,
    },
}
