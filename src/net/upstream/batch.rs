//! Events on their way from a replica to a client.

use crate::front::{Dialect, Usage};

/// Whole events that came together, and the dialect that they are in.
#[derive(Debug)]
pub struct Batch {
    /// The dialect.
    pub dialect: Dialect,
    /// Their bytes.
    pub bytes: Vec<u8>,
    /// How many they are.
    pub events: u64,
    /// Tokens that were told of so far.
    pub usage: Option<Usage>,
}
