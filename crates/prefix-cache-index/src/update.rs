//! A change of what one source keeps, as it is delivered.

use std::net::SocketAddrV4;

use musli::{Decode, Encode};

use crate::key::PrefixKey;

/// Whether a source may be fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It does not answer; what it kept is still known, should it come back.
    Down,
    /// It is followed no more, and nothing is known of it.
    Gone,
}

/// What has changed at one source.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CacheUpdate {
    /// Its address.
    pub source: SocketAddrV4,
    /// Its boot number, which changes with each restart.
    pub boot: u64,
    /// From where its events go on.
    pub next_token: u64,
    /// Whether it may be fetched from.
    pub liveness: Liveness,
    /// What was known of it before is void.
    pub replace: bool,
    /// Parts with the tokens kept of them now.
    pub added: Vec<(PrefixKey, u32)>,
    /// Parts that are kept no more.
    pub removed: Vec<PrefixKey>,
}

impl CacheUpdate {
    /// A source that is followed no more.
    #[must_use]
    pub fn gone(source: SocketAddrV4) -> CacheUpdate {
        CacheUpdate {
            source,
            boot: 0,
            next_token: 0,
            liveness: Liveness::Gone,
            replace: true,
            added: Vec::new(),
            removed: Vec::new(),
        }
    }
}
