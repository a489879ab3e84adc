//! Plans the transfers of KV cache for each request.

use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use tulipridge_prefix_cache_index::{Index, MIN_CACHED_TOKENS};

use super::prefix_chain::{BLOCK_SLACK_TOKENS, PrefixChain, cached_tokens};
use super::recent::RecentSends;
use super::source::SourceSearch;
use super::{KvTransfer, Target};

/// Time after a send during which the replica may have cached a prefix that the index does not list yet.
const RECENT_SEND_TTL: Duration = Duration::from_secs(1);

/// A source from which a prefix may be fetched.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    /// The number of tokens of the chain that the source has cached, according to the index.
    tokens: u32,
}

/// Plans the transfers of KV cache.
#[derive(Debug, Default)]
pub struct TransferPlanner {
    index: Rc<RefCell<Index>>,
    stores: Vec<SocketAddrV4>,
    recent: RecentSends,
    /// The number of the last planned request.
    request_number: u64,
}

impl TransferPlanner {
    /// Sets the index of cached prefixes.
    pub fn set_index(&mut self, index: Rc<RefCell<Index>>) {
        self.index = index;
    }

    /// Sets the stores that the newest configuration lists.
    pub fn set_stores(&mut self, stores: Vec<SocketAddrV4>) {
        self.stores = stores;
    }

    /// Plans the transfers for a request to `target`. `zone_of` returns the zone of a replica of the same service that
    /// is still listed at an address.
    pub fn plan(
        &mut self,
        now: Duration,
        chain: &PrefixChain,
        target: Target,
        zone_of: impl Fn(SocketAddr) -> Option<u16>,
    ) -> KvTransfer {
        let Some(key) = chain.key() else { return KvTransfer::default() };
        self.request_number = self.request_number.wrapping_add(1);
        let cached = self.cached_at(target.address, chain);
        let source = self.source(now, chain, target, cached, zone_of);
        let store = self.store_to_save(now, key, chain);
        self.recent.record(now, key, target.address, store.is_some());
        let fetched = source.map_or(0, |source| source.tokens);
        KvTransfer {
            fetch: source.map(|source| source.address),
            save: store.map(SocketAddr::V4),
            unread_tokens: chain.tokens().saturating_sub(cached.max(fetched)),
        }
    }

    /// The number of tokens of the chain that a replica or a store has cached, according to the index.
    fn cached_at(&self, address: SocketAddr, chain: &PrefixChain) -> u32 {
        match address {
            SocketAddr::V4(address) => cached_tokens(&self.index.borrow(), address, chain),
            SocketAddr::V6(_) => 0,
        }
    }

    /// The source that the chain is fetched from: the best source that the index lists, otherwise the replica that was
    /// recently sent the chain. None if the target, which has cached `cached` tokens, lacks fewer than
    /// [`MIN_CACHED_TOKENS`], or if there is no such source. Recomputing few tokens is as fast as fetching them.
    fn source(
        &self,
        now: Duration,
        chain: &PrefixChain,
        target: Target,
        cached: u32,
        zone_of: impl Fn(SocketAddr) -> Option<u16>,
    ) -> Option<Source> {
        let min_tokens = cached.saturating_add(MIN_CACHED_TOKENS);
        if chain.tokens() < min_tokens {
            return None;
        }
        let index = self.index.borrow();
        let (stores, request_number) = (self.stores.as_slice(), self.request_number);
        let search = SourceSearch { index: &index, stores, target, zone_of: &zone_of, request_number };
        if let Some(best) = search.best(chain).filter(|best| best.tokens >= min_tokens) {
            return Some(Source { address: SocketAddr::V4(best.address), tokens: best.tokens });
        }
        let address = self.recent_target(now, chain)?;
        let may_serve = address != target.address && zone_of(address).is_some();
        may_serve.then(|| Source { address, tokens: self.cached_at(address, chain) })
    }

    /// The replica that the chain was recently sent to, unless the index shows it as down. With an empty index, a send
    /// of any age counts as recent.
    fn recent_target(&self, now: Duration, chain: &PrefixChain) -> Option<SocketAddr> {
        let send = self.recent.get(chain.key()?)?;
        let index = self.index.borrow();
        let is_down = match send.target {
            SocketAddr::V4(address) => index.status(address).is_some() && !index.is_alive(address),
            SocketAddr::V6(_) => false,
        };
        let is_recent = index.is_empty() || now.saturating_sub(send.at) <= RECENT_SEND_TTL;
        (is_recent && !is_down).then_some(send.target)
    }

    /// The store that the key of the prefix maps to, if the store lacks the prefix and no replica was recently asked to
    /// save it there.
    fn store_to_save(&self, now: Duration, key: u64, chain: &PrefixChain) -> Option<SocketAddrV4> {
        let index = self.index.borrow();
        let alive: Vec<SocketAddrV4> =
            self.stores.iter().copied().filter(|store| index.is_alive(*store)).collect();
        let store = *alive.get((key % alive.len().max(1) as u64) as usize)?;
        let cached = cached_tokens(&index, store, chain);
        let is_missing = cached.saturating_add(BLOCK_SLACK_TOKENS) < chain.tokens();
        (is_missing && self.recent.may_save(now, key)).then_some(store)
    }
}
