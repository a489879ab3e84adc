//! The shared prefix of a prompt as a chain of segments, and how much of it a source has cached.

use std::net::SocketAddrV4;

use tulipridge_prefix_cache_index::{Index, MIN_CACHED_TOKENS, PrefixKey};

use crate::placement::prompt::PromptSegment;

/// Sources cache whole blocks, so a segment counts as completely cached if it lacks at most this many tokens.
pub(super) const BLOCK_SLACK_TOKENS: u32 = 64;

/// A segment of a prompt's prefix that other requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixSegment {
    /// The key of the segment in the index.
    pub key: PrefixKey,
    /// The number of tokens in the segment.
    pub tokens: u32,
}

/// The shared segments of a prompt in order, under one cache salt. Segments that are too short to be indexed are left
/// out and prefilled together with the next segment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixChain(Vec<PrefixSegment>);

impl PrefixChain {
    /// Builds the chain of these prompt segments under a salt.
    #[must_use]
    pub fn new(segments: &[PromptSegment], salt: &str) -> PrefixChain {
        let indexed = segments.iter().filter(|segment| segment.tokens >= MIN_CACHED_TOKENS);
        let keyed = indexed.map(|segment| PrefixSegment {
            key: PrefixKey::salted(salt, segment.hash),
            tokens: segment.tokens,
        });
        PrefixChain(keyed.collect())
    }

    /// The segments, in order.
    #[must_use]
    pub fn segments(&self) -> &[PrefixSegment] {
        &self.0
    }

    /// The number of tokens in all segments.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.0.iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// The key of the whole prefix, which is the key of the last segment. None for an empty chain.
    pub(super) fn key(&self) -> Option<u64> {
        self.0.last().map(|segment| segment.key.0)
    }
}

/// The number of tokens of a chain that a source has cached. A segment counts only if all earlier segments are cached
/// completely.
#[must_use]
pub fn cached_tokens(index: &Index, source: SocketAddrV4, chain: &PrefixChain) -> u32 {
    let mut sum: u32 = 0;
    for segment in chain.segments() {
        let cached = index.cached_tokens(source, segment.key).min(segment.tokens);
        sum = sum.saturating_add(cached);
        if cached + BLOCK_SLACK_TOKENS < segment.tokens {
            break;
        }
    }
    sum
}
