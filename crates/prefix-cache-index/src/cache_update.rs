//! A change to what one source has cached, in the form that is sent to subscribers.

use std::net::SocketAddrV4;

use musli::{Decode, Encode};

use crate::cache_listing::{CacheListing, Cursor};
use crate::prefix::{CachedPrefix, PrefixKey};

/// Whether cached segments may be fetched from a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Liveness {
    /// The source responds.
    Alive,
    /// The source does not respond. Its entries are retained in case it recovers.
    Down,
    /// The source is no longer followed, and its entries are removed.
    Gone,
}

/// A change at one source. The order and types of the fields define the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CacheUpdate {
    /// The source's address.
    pub source: SocketAddrV4,
    /// The source's boot number, which changes with each restart.
    pub boot: u64,
    /// The token at which the source's next event page starts.
    pub next_token: u64,
    /// Whether cached segments may be fetched from the source.
    pub liveness: Liveness,
    /// Whether the update replaces all earlier entries of the source.
    pub replace: bool,
    /// Segments that are now cached, or cached with a different number of tokens.
    pub added: Vec<CachedPrefix>,
    /// Segments that are no longer cached.
    pub removed: Vec<PrefixKey>,
}

impl CacheUpdate {
    /// An update that removes a source that is no longer followed.
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

    /// A resync: a full listing replaces all earlier entries of a source. The source responded, so it is alive.
    #[must_use]
    pub fn resync(source: SocketAddrV4, listing: CacheListing) -> CacheUpdate {
        CacheUpdate {
            replace: true,
            added: listing.prefixes.into_iter().filter(CachedPrefix::is_indexable).collect(),
            ..CacheUpdate::status(source, listing.cursor, Liveness::Alive)
        }
    }

    /// The position in the source's event stream after the update.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor { boot: self.boot, next_token: self.next_token }
    }
}
