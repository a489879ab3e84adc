//! Where the KV cache of a prompt's shared beginning is taken from, and when it is saved in a store. The time is
//! handed in.
//!
//! The control plane's index tells which replica or store keeps which part. It is late by some hundred milliseconds,
//! so a gateway also remembers which replica it sent a beginning to just now. The index may be wrong: a source that
//! has nothing costs about a millisecond.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::num::NonZeroUsize;
use std::rc::Rc;
use std::time::Duration;

use lru::LruCache;
use tulipridge_prefix_cache_index::{Index, PrefixKey};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::placement::prompt::PromptPart;

/// Fewer tokens than these are read again as fast as they are fetched.
const MIN_CACHED_TOKENS: u32 = tulipridge_prefix_cache_index::MIN_CACHED_TOKENS;
/// Sources keep parts in whole blocks: a part that lacks no more than this is kept whole.
const BLOCK_SLACK: u32 = 64;
/// Sources that are looked at for a request.
const MOST_CANDIDATES: usize = 64;
/// A replica that was sent a beginning this lately may be ahead of the index.
const HINT_HOLDS: Duration = Duration::from_secs(1);
/// A beginning is not saved again before the index has had time to tell of it.
const SAVE_AGAIN: Duration = Duration::from_secs(3);
/// Beginnings that are remembered; beyond it, the one met longest ago is forgotten.
const MOST_BEGINNINGS: NonZeroUsize = NonZeroUsize::new(4096).expect("above 0");

/// A part of a prompt that other requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainPart {
    /// Its name in the index.
    pub key: PrefixKey,
    /// Its tokens.
    pub tokens: u32,
}

/// The shared parts of a prompt in their order, under the text that keeps caches apart. Parts that are too short to
/// be indexed are left out; they are read along with the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain(Vec<ChainPart>);

impl Chain {
    /// The chain of these parts.
    #[must_use]
    pub fn new(parts: &[PromptPart], salt: &str) -> Chain {
        let long = parts.iter().filter(|part| part.tokens >= MIN_CACHED_TOKENS);
        let keyed =
            long.map(|part| ChainPart { key: PrefixKey::salted(salt, part.hash), tokens: part.tokens });
        Chain(keyed.collect())
    }

    /// Its parts.
    #[must_use]
    pub fn parts(&self) -> &[ChainPart] {
        &self.0
    }

    /// Tokens of all its parts.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.0.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// The key of the whole beginning.
    fn key(&self) -> Option<u64> {
        self.0.last().map(|part| part.key.0)
    }
}

/// Tokens that a source keeps of a chain: a part counts only if all before it are kept.
#[must_use]
pub fn kept_tokens(index: &Index, source: SocketAddrV4, chain: &Chain) -> u32 {
    let mut sum: u32 = 0;
    for part in chain.parts() {
        let kept = index.cached_tokens(source, part.key).min(part.tokens);
        sum = sum.saturating_add(kept);
        if kept + BLOCK_SLACK < part.tokens {
            break;
        }
    }
    sum
}

/// What a replica is told of KV cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvTransfer {
    /// Where to take the cache of the beginning from.
    pub fetch: Option<SocketAddr>,
    /// The store to send the parts to once they are read.
    pub save: Option<SocketAddr>,
    /// Tokens of the beginning that neither the replica nor the source keeps.
    pub unread_tokens: u32,
}

/// The replica that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u16,
}

/// What this gateway remembers of a beginning.
#[derive(Clone, Copy, Debug)]
struct Met {
    /// The replica that was sent it last.
    target: SocketAddr,
    at: Duration,
    /// When a store was last to be sent it.
    saved: Option<Duration>,
}

/// A source that keeps a part of a chain.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    source: SocketAddrV4,
    tokens: u32,
    /// Among sources that keep as much, the higher is taken.
    rank: Rank,
}

/// Where a chain may be fetched from.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    /// Tokens of the chain that it keeps, as far as the index tells.
    tokens: u32,
}

/// Replicas go before stores, those of the target's zone before others; the last field spreads the load.
type Rank = (bool, bool, u64);

/// Plans the transfers of KV cache.
#[derive(Debug)]
pub struct KvDirectory {
    index: Rc<RefCell<Index>>,
    stores: Vec<SocketAddrV4>,
    met: LruCache<u64, Met>,
    turn: u64,
}

impl Default for KvDirectory {
    fn default() -> KvDirectory {
        KvDirectory {
            index: Rc::default(),
            stores: Vec::new(),
            met: LruCache::new(MOST_BEGINNINGS),
            turn: 0,
        }
    }
}

impl KvDirectory {
    /// Looks into this index from now on.
    pub fn set_index(&mut self, index: Rc<RefCell<Index>>) {
        self.index = index;
    }

    /// Takes over the stores of the newest configuration.
    pub fn set_stores(&mut self, stores: Vec<SocketAddrV4>) {
        self.stores = stores;
    }

    /// Plans the transfers for a request that goes to `target`; `zone_of` tells the zone of a replica of the same
    /// service that is still listed at an address.
    pub fn plan(
        &mut self,
        now: Duration,
        chain: &Chain,
        target: Target,
        zone_of: impl Fn(SocketAddr) -> Option<u16>,
    ) -> KvTransfer {
        let Some(key) = chain.key() else { return KvTransfer::default() };
        self.turn = self.turn.wrapping_add(1);
        let kept = self.kept_at(target.address, chain);
        let source = self.source(now, chain, target, kept, zone_of);
        let save = self.store_to_save(now, key, chain);
        self.remember(now, key, target, save.is_some());
        let read_by_others = source.map_or(0, |source| source.tokens);
        KvTransfer {
            fetch: source.map(|source| source.address),
            save: save.map(SocketAddr::V4),
            unread_tokens: chain.tokens().saturating_sub(kept.max(read_by_others)),
        }
    }

    /// Tokens of the chain that a replica or a store keeps, as far as the index tells.
    fn kept_at(&self, address: SocketAddr, chain: &Chain) -> u32 {
        match address {
            SocketAddr::V4(address) => kept_tokens(&self.index.borrow(), address, chain),
            SocketAddr::V6(_) => 0,
        }
    }

    /// Where the chain is fetched from; none where nobody keeps enough more of it than the target, which keeps
    /// `kept` tokens.
    fn source(
        &self,
        now: Duration,
        chain: &Chain,
        target: Target,
        kept: u32,
        zone_of: impl Fn(SocketAddr) -> Option<u16>,
    ) -> Option<Source> {
        let worth_fetching = kept.saturating_add(MIN_CACHED_TOKENS);
        if chain.tokens() < worth_fetching {
            return None;
        }
        let best = self.best_candidate(&self.index.borrow(), chain, target, &zone_of);
        if let Some(best) = best.filter(|best| best.tokens >= worth_fetching) {
            return Some(Source { address: SocketAddr::V4(best.source), tokens: best.tokens });
        }
        let address = self.last_target(now, chain)?;
        let may_serve = address != target.address && zone_of(address).is_some();
        may_serve.then(|| Source { address, tokens: self.kept_at(address, chain) })
    }

    /// The replica that was just sent the chain, and is not known to be down.
    fn last_target(&self, now: Duration, chain: &Chain) -> Option<SocketAddr> {
        let met = self.met.peek(&chain.key()?)?;
        let index = self.index.borrow();
        let is_down = match met.target {
            SocketAddr::V4(address) => index.status(address).is_some() && !index.is_alive(address),
            SocketAddr::V6(_) => false,
        };
        let holds = index.is_empty() || now.saturating_sub(met.at) <= HINT_HOLDS;
        (holds && !is_down).then_some(met.target)
    }

    /// The source that keeps the most, among the holders of the last part that any source keeps.
    fn best_candidate(
        &self,
        index: &Index,
        chain: &Chain,
        target: Target,
        zone_of: &impl Fn(SocketAddr) -> Option<u16>,
    ) -> Option<Candidate> {
        chain.parts().iter().rev().find_map(|part| {
            let holders =
                index.locations(part.key).filter(|holder| SocketAddr::V4(holder.source) != target.address);
            let candidates = holders.take(MOST_CANDIDATES).filter_map(|holder| {
                let rank = self.rank(holder.source, target, zone_of)?;
                let tokens = kept_tokens(index, holder.source, chain);
                Some(Candidate { source: holder.source, tokens, rank })
            });
            candidates
                .filter(|candidate| candidate.tokens >= MIN_CACHED_TOKENS)
                .max_by_key(|candidate| (candidate.tokens / MIN_CACHED_TOKENS, candidate.rank))
        })
    }

    /// None for an address that is neither a store nor a replica of the service.
    fn rank(
        &self,
        source: SocketAddrV4,
        target: Target,
        zone_of: &impl Fn(SocketAddr) -> Option<u16>,
    ) -> Option<Rank> {
        let chance = spread(source, self.turn);
        if self.stores.contains(&source) {
            return Some((false, false, chance));
        }
        zone_of(SocketAddr::V4(source)).map(|zone| (true, zone == target.zone, chance))
    }

    /// The store that should have the chain and lacks it, unless it was asked for lately.
    fn store_to_save(&self, now: Duration, key: u64, chain: &Chain) -> Option<SocketAddrV4> {
        let index = self.index.borrow();
        let alive: Vec<SocketAddrV4> =
            self.stores.iter().copied().filter(|store| index.is_alive(*store)).collect();
        let store = *alive.get((key % alive.len().max(1) as u64) as usize)?;
        let lacks = kept_tokens(&index, store, chain).saturating_add(BLOCK_SLACK) < chain.tokens();
        let saved = self.met.peek(&key).and_then(|met| met.saved);
        let is_asked = saved.is_some_and(|at| now.saturating_sub(at) < SAVE_AGAIN);
        (lacks && !is_asked).then_some(store)
    }

    /// Notes that the target is sent the beginning now, and whether it is to save it.
    fn remember(&mut self, now: Duration, key: u64, target: Target, is_saved: bool) {
        let saved = if is_saved { Some(now) } else { self.met.peek(&key).and_then(|met| met.saved) };
        self.met.put(key, Met { target: target.address, at: now, saved });
    }
}

/// A number that differs between sources and turns.
fn spread(source: SocketAddrV4, turn: u64) -> u64 {
    let place = u64::from(u32::from(*source.ip())) << 16 | u64::from(source.port());
    xxh3_64_with_seed(&place.to_le_bytes(), turn)
}
