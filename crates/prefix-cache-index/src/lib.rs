//! An index of cached prompt prefixes: which replica or store has the KV cache of which prefix segment. The package does
//! no I/O and reads no clock.
//!
//! A *source* is a replica or a store that publishes cache events. [`PollOutcome::of_page`] turns one page of events
//! into a [`CacheUpdate`], an [`Index`] applies updates and is queried for locations, and a [`ChangeLog`] records the
//! latest changes, so that a subscriber at an earlier position is sent only the difference.
//!
//! Events arrive late and some are lost, so the index is only a hint: a wrong entry costs a fetch that finds nothing,
//! or a prefill of the segment.

mod cache_entry;
mod cache_listing;
mod cache_update;
mod change_log;
mod event_page;
mod index;
mod prefix;

pub use cache_entry::CacheEntry;
pub use cache_listing::{CacheListing, Cursor};
pub use cache_update::{CacheUpdate, Liveness};
pub use change_log::{ChangeLog, ChangedKeys};
pub use event_page::{EventPage, PollOutcome};
pub use index::{CacheLocation, Index, SourceStatus};
pub use prefix::{CachedPrefix, PrefixKey, prefix_hash};

/// Segments with fewer cached tokens are not indexed, because their prefill is as fast as a fetch.
pub const MIN_CACHED_TOKENS: u32 = 256;
