//! The name of an entry of the index.

use std::net::SocketAddrV4;

use crate::prefix::PrefixKey;

/// Names one entry of the index: a segment at a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheEntry {
    /// The source.
    pub source: SocketAddrV4,
    /// The segment.
    pub key: PrefixKey,
}
