//! The shared prefix of a prompt as a chain of segments, and how much of it a source has cached.

use std::net::SocketAddrV4;

use tulipridge_prefix_cache_index::{Index, MIN_CACHED_TOKENS, PrefixKey};

use crate::placement::prompt::PromptSegment;

/// Sources cache whole blocks: a segment that lacks no more tokens than this is cached completely.
pub(super) const BLOCK_SLACK_TOKENS: u32 = 64;

/// A segment of a prompt's prefix that other requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixSegment {
    /// Its key in the index.
    pub key: PrefixKey,
    /// Its tokens.
    pub tokens: u32,
}

/// The shared segments of a prompt in their order, under one cache salt. Segments that are too short to be indexed are
/// left out; they are prefilled with the next one.
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

    /// Its segments.
    #[must_use]
    pub fn segments(&self) -> &[PrefixSegment] {
        &self.0
    }

    /// Tokens of all its segments.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.0.iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// The key of the whole prefix: that of its last segment.
    pub(super) fn key(&self) -> Option<u64> {
        self.0.last().map(|segment| segment.key.0)
    }
}

/// Tokens of a chain that a source has cached: a segment counts only if all before it are cached completely.
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
