//! Events that are forwarded from a replica to a client.

use crate::front::{Dialect, Usage};

/// Complete events that arrived together, and their dialect.
#[derive(Debug)]
pub struct Batch {
    /// The dialect of the events.
    pub dialect: Dialect,
    /// The encoded events.
    pub bytes: Vec<u8>,
    /// The number of events.
    pub events: u64,
    /// The token usage stated so far.
    pub usage: Option<Usage>,
}
