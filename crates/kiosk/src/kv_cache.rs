//! Where the KV cache of a prompt's shared beginning may be taken from, and when it is worth keeping in a store.
//! The time is handed in.
//!
//! A gateway remembers which replica it last sent a beginning to. A replica that is chosen instead of that one is told
//! to fetch the cache from it; one that is chosen again, or for a beginning that this gateway has not met, is told to
//! fetch from the store what it does not keep. A source that has nothing costs about a millisecond.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use signpost::types::ReplicaId;

use crate::prompt::{self, Prompt};

/// A shared beginning shorter than this is read again as fast as it is fetched.
const LEAST_TOKENS: u32 = 256;
/// A beginning is saved again after this time: a store forgets what it has not been asked for, and all of it when it
/// restarts.
const SAVE_AGAIN: Duration = Duration::from_secs(15);
/// Beginnings that are remembered; beyond it, the one met longest ago is forgotten.
const MOST_BEGINNINGS: usize = 4096;

/// A shared beginning under the text that keeps caches apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Beginning {
    /// Hash of its last part and of the cache salt.
    pub key: u64,
    /// Its tokens.
    pub tokens: u32,
}

impl Beginning {
    /// The shared beginning of a prompt, if it has one.
    pub fn of(prompt: &Prompt, salt: &str) -> Option<Beginning> {
        let key = prompt.shared? ^ prompt::hash(salt).rotate_left(1);
        Some(Beginning { key, tokens: prompt.shared_tokens })
    }
}

/// What a replica is told of KV cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvTransfer {
    /// Where to take the cache of the beginning from.
    pub fetch: Option<SocketAddr>,
    /// The store to send the parts to once they are read.
    pub save: Option<SocketAddr>,
}

/// What this gateway remembers of a beginning.
#[derive(Clone, Debug)]
struct Known {
    replica: ReplicaId,
    met: Duration,
    saved: Option<Duration>,
}

/// The beginnings that this gateway has met.
#[derive(Debug, Default)]
pub struct KvDirectory {
    known: BTreeMap<u64, Known>,
    stores: Vec<SocketAddr>,
}

impl KvDirectory {
    /// Takes over the stores of the newest configuration.
    pub fn set_stores(&mut self, stores: Vec<SocketAddr>) {
        self.stores = stores;
    }

    /// Plans the transfers for a request that goes to `target`; `address_of` finds a ready replica's address.
    pub fn plan(
        &mut self,
        now: Duration,
        beginning: Beginning,
        target: &ReplicaId,
        address_of: impl Fn(&ReplicaId) -> Option<SocketAddr>,
    ) -> KvTransfer {
        if beginning.tokens < LEAST_TOKENS {
            return KvTransfer::default();
        }
        let store = self.store(beginning.key);
        let known = self.known.get(&beginning.key);
        let other = known.filter(|known| known.replica != *target);
        let fetch = other.and_then(|known| address_of(&known.replica)).or(store);
        let saved = known.and_then(|known| known.saved);
        let is_saved = saved.is_some_and(|at| now.saturating_sub(at) < SAVE_AGAIN);
        let save = store.filter(|_| !is_saved);
        let saved = if save.is_some() { Some(now) } else { saved };
        self.known.insert(beginning.key, Known { replica: target.clone(), met: now, saved });
        self.forget_oldest();
        KvTransfer { fetch, save }
    }

    /// The store that keeps a beginning: the same one at every gateway.
    fn store(&self, key: u64) -> Option<SocketAddr> {
        let count = self.stores.len() as u64;
        (count > 0).then(|| self.stores[(key % count) as usize])
    }

    fn forget_oldest(&mut self) {
        if self.known.len() <= MOST_BEGINNINGS {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, known)| known.met).map(|(key, _)| *key);
        oldest.map(|key| self.known.remove(&key));
    }
}
