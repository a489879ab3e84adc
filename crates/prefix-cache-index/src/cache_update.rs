//! A change of what one source has cached, as it is delivered to subscribers.

use std::net::SocketAddrV4;

use musli::{Decode, Encode};

use crate::cache_listing::{CacheListing, Cursor};
use crate::prefix::{CachedPrefix, PrefixKey};

/// Whether a source may be fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It does not answer. Its entries are retained, in case it comes back.
    Down,
    /// It is not followed any more, and its entries are dropped.
    Gone,
}

/// What has changed at one source. The order and types of the fields are the wire form.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CacheUpdate {
    /// The source's address.
    pub source: SocketAddrV4,
    /// The source's boot number, which changes with each restart.
    pub boot: u64,
    /// The token from which the source's events continue.
    pub next_token: u64,
    /// Whether the source may be fetched from.
    pub liveness: Liveness,
    /// The update replaces all earlier entries of the source.
    pub replace: bool,
    /// Segments that are cached now.
    pub added: Vec<CachedPrefix>,
    /// Segments that are not cached any more.
    pub removed: Vec<PrefixKey>,
}

impl CacheUpdate {
    /// A source that is not followed any more.
    #[must_use]
    pub fn gone(source: SocketAddrV4) -> CacheUpdate {
        let cursor = Cursor { boot: 0, next_token: 0 };
        CacheUpdate { replace: true, ..CacheUpdate::status(source, cursor, Liveness::Gone) }
    }

    /// An update of a source's cursor and liveness that leaves its entries as they are.
    #[must_use]
    pub fn status(source: SocketAddrV4, cursor: Cursor, liveness: Liveness) -> CacheUpdate {
        CacheUpdate {
            source,
            boot: cursor.boot,
            next_token: cursor.next_token,
            liveness,
            replace: false,
            added: Vec::new(),
            removed: Vec::new(),
        }
    }

    /// A resync: a full listing replaces all earlier entries of a source. The source answered, so it is alive.
    #[must_use]
    pub fn resync(source: SocketAddrV4, listing: CacheListing) -> CacheUpdate {
        CacheUpdate {
            replace: true,
            added: listing.prefixes.into_iter().filter(CachedPrefix::is_indexed).collect(),
            ..CacheUpdate::status(source, listing.cursor, Liveness::Alive)
        }
    }

    /// How far the source was followed.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor { boot: self.boot, next_token: self.next_token }
    }
}
