//! The identity of an index entry.

use std::net::SocketAddrV4;

use crate::prefix::PrefixKey;

/// Identifies one index entry: a segment cached at a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheEntry {
    /// The source that has the segment cached.
    pub source: SocketAddrV4,
    /// The key of the cached segment.
    pub key: PrefixKey,
}
