//! What an answer of a source means for what is known of it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::MIN_CACHED_TOKENS;
use crate::key::PrefixKey;
use crate::update::{CacheUpdate, Liveness};

/// How far a source was followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// Its boot number.
    pub boot: u64,
    /// From where its events go on.
    pub next_token: u64,
}

/// Events of a source, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventPage {
    /// Its boot number.
    pub boot: u64,
    /// From where its events go on.
    pub next_token: u64,
    /// Events before these were asked for and are lost.
    pub gap: bool,
    /// Parts with the tokens that are kept of them after the event.
    pub events: Vec<(PrefixKey, u32)>,
}

/// All that a source keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheListing {
    /// Its boot number.
    pub boot: u64,
    /// From where its events go on.
    pub next_token: u64,
    /// Parts with the tokens that are kept of them.
    pub parts: Vec<(PrefixKey, u32)>,
}

/// What follows from a page of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// Nothing has changed.
    Nothing,
    /// This has changed.
    Update(CacheUpdate),
    /// The source has started anew: nothing is known of it, and its events are read from the first.
    Restarted(CacheUpdate),
    /// Events are lost. The update has what the page tells and nothing else; only a list tells the rest.
    Gap(CacheUpdate),
}

/// Reads a page that was asked for with this cursor. The source answers, so it is alive.
#[must_use]
pub fn follow(source: SocketAddrV4, cursor: Option<Cursor>, page: &EventPage) -> PollOutcome {
    let restarted = cursor.is_some_and(|cursor| cursor.boot != page.boot);
    let mut update = CacheUpdate {
        source,
        boot: page.boot,
        next_token: page.next_token,
        liveness: Liveness::Alive,
        replace: restarted || page.gap || cursor.is_none(),
        added: Vec::new(),
        removed: Vec::new(),
    };
    if restarted {
        update.next_token = 0;
        return PollOutcome::Restarted(update);
    }
    let newest: BTreeMap<PrefixKey, u32> = page.events.iter().copied().collect();
    let (added, removed) = newest.into_iter().partition(|(_, tokens)| *tokens >= MIN_CACHED_TOKENS);
    update.added = added;
    if !update.replace {
        update.removed = removed.into_iter().map(|(key, _): (PrefixKey, u32)| key).collect();
    }
    if page.gap {
        return PollOutcome::Gap(update);
    }
    let next = Cursor { boot: page.boot, next_token: page.next_token };
    if cursor == Some(next) && page.events.is_empty() {
        return PollOutcome::Nothing;
    }
    PollOutcome::Update(update)
}

/// The update that puts a list in the place of all that was known of a source.
#[must_use]
pub fn listed(source: SocketAddrV4, listing: CacheListing) -> CacheUpdate {
    let CacheListing { boot, next_token, parts } = listing;
    CacheUpdate {
        source,
        boot,
        next_token,
        liveness: Liveness::Alive,
        replace: true,
        added: parts.into_iter().filter(|(_, tokens)| *tokens >= MIN_CACHED_TOKENS).collect(),
        removed: Vec::new(),
    }
}
