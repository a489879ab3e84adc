//! Event pages of a source, and the index update that results from a page.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::cache_listing::Cursor;
use crate::cache_update::{CacheUpdate, Liveness};
use crate::prefix::{CachedPrefix, PrefixKey};

/// Consecutive events of a source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventPage {
    /// The position after the page.
    pub cursor: Cursor,
    /// Whether events between the requested position and this page are lost.
    pub gap: bool,
    /// Each event's segment, with the number of its tokens that are cached after the event.
    pub events: Vec<CachedPrefix>,
}

/// The outcome of polling a source for one page of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// Nothing has changed.
    Unchanged,
    /// Entries of the source have changed.
    Update(CacheUpdate),
    /// The source has restarted: its entries are invalid, and its events are read again from the first one.
    Restarted(CacheUpdate),
    /// Events are lost. The update has only the entries of this page; the others need a full listing.
    Gap(CacheUpdate),
}

impl PollOutcome {
    /// The outcome of a page that was requested at `cursor`, which is `None` if the source was not followed before.
    ///
    /// A source that returns a page is alive.
    #[must_use]
    pub fn of_page(source: SocketAddrV4, cursor: Option<Cursor>, page: &EventPage) -> PollOutcome {
        let has_restarted = cursor.is_some_and(|cursor| cursor.boot != page.cursor.boot);
        if has_restarted {
            return PollOutcome::Restarted(restart_update(source, page.cursor.boot));
        }
        if page.gap {
            return PollOutcome::Gap(page_update(source, page, true));
        }
        if cursor == Some(page.cursor) && page.events.is_empty() {
            return PollOutcome::Unchanged;
        }
        PollOutcome::Update(page_update(source, page, cursor.is_none()))
    }
}

fn restart_update(source: SocketAddrV4, boot: u64) -> CacheUpdate {
    let cursor = Cursor { boot, next_token: 0 };
    CacheUpdate { replace: true, ..CacheUpdate::status(source, cursor, Liveness::Alive) }
}

/// The update that applies a page; only the newest event of each segment is used.
fn page_update(source: SocketAddrV4, page: &EventPage, replace: bool) -> CacheUpdate {
    let newest: BTreeMap<PrefixKey, u32> =
        page.events.iter().map(|event| (event.key, event.tokens)).collect();
    let newest = newest.into_iter().map(|(key, tokens)| CachedPrefix { key, tokens });
    let (added, removed): (Vec<_>, Vec<_>) = newest.partition(CachedPrefix::is_indexable);
    // A replacement discards all earlier entries, so there is nothing left to remove.
    let removed = if replace { Vec::new() } else { removed };
    CacheUpdate {
        replace,
        added,
        removed: removed.into_iter().map(|prefix| prefix.key).collect(),
        ..CacheUpdate::status(source, page.cursor, Liveness::Alive)
    }
}
