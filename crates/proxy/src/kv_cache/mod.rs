//! KV cache transfers: the source from which a replica fetches the cache of a shared prompt prefix, and the store that
//! the replica saves the cache to. The current time is passed in.
//!
//! The index of the control plane lists which replica or store has cached which prefix segment. It lags by some hundred
//! milliseconds, so the proxy also remembers which replica it sent a prefix to recently (`recent`). The index may be
//! wrong: fetching from a source without the prefix costs about a millisecond.

pub mod planner;
pub mod prefix_chain;
mod recent;
pub mod salt;
mod source;

use std::net::SocketAddr;

pub use planner::TransferPlanner;
pub use prefix_chain::{PrefixChain, PrefixSegment, cached_tokens};
pub use salt::CacheSalt;

/// The transfers of KV cache that a request asks its replica for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvTransfer {
    /// Where to fetch the cache of the prefix from.
    pub fetch: Option<SocketAddr>,
    /// The store to save the cache of the prefix to.
    pub save: Option<SocketAddr>,
    /// The number of tokens of the prefix that neither the replica nor the source has cached.
    pub unread_tokens: u32,
}

/// The replica that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The address of the replica.
    pub address: SocketAddr,
    /// The zone number of the replica.
    pub zone: u16,
}
