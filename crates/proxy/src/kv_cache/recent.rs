//! Records the prefixes that this proxy sent recently, which the index may not list yet.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;

/// Maximum number of recorded prefixes. Beyond it, the least recently used prefix is evicted.
const MAX_PREFIXES: NonZeroUsize = NonZeroUsize::new(4096).expect("above 0");
/// Minimum time between saves of a prefix, so that the index can list the previous save first.
const SAVE_INTERVAL: Duration = Duration::from_secs(3);

/// The last send of a prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentSend {
    /// The replica that the prefix was sent to.
    pub(super) target: SocketAddr,
    /// When the prefix was sent.
    pub(super) at: Duration,
    /// When a replica was last asked to save the prefix to a store.
    saved_at: Option<Duration>,
}

/// The last send of each recent prefix, by the prefix's key.
#[derive(Debug)]
pub(super) struct RecentSends(LruCache<u64, RecentSend>);

impl Default for RecentSends {
    fn default() -> RecentSends {
        RecentSends(LruCache::new(MAX_PREFIXES))
    }
}

impl RecentSends {
    /// The last send of a prefix.
    pub(super) fn get(&self, key: u64) -> Option<&RecentSend> {
        self.0.peek(&key)
    }

    /// Whether a replica may be asked to save a prefix now: none was asked within [`SAVE_INTERVAL`].
    pub(super) fn may_save(&self, now: Duration, key: u64) -> bool {
        let saved_at = self.get(key).and_then(|send| send.saved_at);
        saved_at.is_none_or(|at| now.saturating_sub(at) >= SAVE_INTERVAL)
    }

    /// Records that a prefix is sent to `target` now, and whether the replica is asked to save the prefix.
    pub(super) fn record(&mut self, now: Duration, key: u64, target: SocketAddr, is_saved: bool) {
        let saved_at = if is_saved { Some(now) } else { self.get(key).and_then(|send| send.saved_at) };
        self.0.put(key, RecentSend { target, at: now, saved_at });
    }
}
