//! Positions in a source's event stream, and full listings of what it has cached at a position.

use crate::prefix::CachedPrefix;

/// A position in the event stream of a source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// The source's boot number, which changes with each restart.
    pub boot: u64,
    /// The token at which the source's next event page starts.
    pub next_token: u64,
}

/// A full listing of the segments that a source has cached.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheListing {
    /// The position at which the listing was taken.
    pub cursor: Cursor,
    /// The cached segments.
    pub prefixes: Vec<CachedPrefix>,
}
