//! Chooses the source of a transfer among the replicas and stores that the index lists.

use std::net::{SocketAddr, SocketAddrV4};

use tulipridge_prefix_cache_index::{Index, MIN_CACHED_TOKENS};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Target;
use super::prefix_chain::{PrefixChain, cached_tokens};

/// Maximum number of sources that are considered for a request.
const MAX_CANDIDATES: usize = 64;

/// A source that has cached a prefix of a chain.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// The address of the source.
    pub(super) address: SocketAddrV4,
    /// The number of tokens of the chain that the source has cached.
    pub(super) tokens: u32,
    preference: Preference,
}

/// The preference among sources that have cached about the same number of tokens. Fields are compared in order, and the
/// greatest value is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    /// Replicas are preferred to stores.
    is_replica: bool,
    /// Replicas in the zone of the target are preferred to others.
    is_same_zone: bool,
    /// Spreads the load over sources that are otherwise equal.
    tie_breaker: u64,
}

/// The search for a source of one request.
pub(super) struct SourceSearch<'a, Zone> {
    /// The index of cached prefixes.
    pub(super) index: &'a Index,
    /// The stores of the configuration.
    pub(super) stores: &'a [SocketAddrV4],
    /// The replica that the request goes to.
    pub(super) target: Target,
    /// Returns the zone of the replica of the same service that is listed at an address, if there is one.
    pub(super) zone_of: &'a Zone,
    /// The number of the request. Varies the choice among equally preferred sources from request to request.
    pub(super) request_number: u64,
}

impl<Zone: Fn(SocketAddr) -> Option<u16>> SourceSearch<'_, Zone> {
    /// The best source. Searches the sources of the last segment first, and those of an earlier segment only if none of
    /// them is usable.
    pub(super) fn best(&self, chain: &PrefixChain) -> Option<Candidate> {
        chain.segments().iter().rev().find_map(|segment| {
            let locations = self
                .index
                .locations(segment.key)
                .filter(|location| SocketAddr::V4(location.source) != self.target.address);
            locations
                .take(MAX_CANDIDATES)
                .filter_map(|location| self.candidate(location.source, chain))
                .filter(|candidate| candidate.tokens >= MIN_CACHED_TOKENS)
                .max_by_key(|candidate| (candidate.tokens / MIN_CACHED_TOKENS, candidate.preference))
        })
    }

    fn candidate(&self, address: SocketAddrV4, chain: &PrefixChain) -> Option<Candidate> {
        let preference = self.preference(address)?;
        Some(Candidate { address, tokens: cached_tokens(self.index, address, chain), preference })
    }

    /// The preference for a source. None if the address is neither a store nor a listed replica of the service.
    fn preference(&self, address: SocketAddrV4) -> Option<Preference> {
        let tie_breaker = tie_breaker(address, self.request_number);
        if self.stores.contains(&address) {
            return Some(Preference { is_replica: false, is_same_zone: false, tie_breaker });
        }
        let zone = (self.zone_of)(SocketAddr::V4(address))?;
        Some(Preference { is_replica: true, is_same_zone: zone == self.target.zone, tie_breaker })
    }
}

/// A pseudorandom number for an address and a request.
fn tie_breaker(address: SocketAddrV4, request_number: u64) -> u64 {
    let packed = u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port());
    xxh3_64_with_seed(&packed.to_le_bytes(), request_number)
}
