//! The index of kept prompts: which replica or store keeps the KV cache of which part of a prompt. No I/O and no
//! clock.
//!
//! Sources tell of what they keep by events. [`follow()`] turns an answer of theirs into a [`CacheUpdate`], an
//! [`Index`] takes updates and is asked for holders, and a [`ChangeLog`] remembers what changed lately, so that
//! whoever holds an earlier state is sent the difference alone.
//!
//! Events come late and some never come, so the index is a hint: a wrong entry costs a fetch that finds nothing, or
//! a part that is read again.

mod change_log;
mod follow;
mod index;
mod key;
mod update;

pub use change_log::{ChangeLog, ChangedKeys};
pub use follow::{CacheListing, Cursor, EventPage, PollOutcome, follow, listed};
pub use index::{Holder, Index, SourceStatus};
pub use key::{PrefixKey, prefix_hash};
pub use update::{CacheUpdate, Liveness};

/// Parts of which fewer tokens are kept are not indexed: they are read as fast as they are fetched.
pub const MIN_CACHED_TOKENS: u32 = 256;
