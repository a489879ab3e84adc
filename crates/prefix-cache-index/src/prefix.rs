//! Keys of prefix segments, and the number of cached tokens of a segment.

use musli::de::Decoder;
use musli::en::Encoder;
use musli::{Allocator, Decode, Encode};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::MIN_CACHED_TOKENS;

/// The XXH3 hash of a prefix segment's id, which is the same on all machines.
#[must_use]
pub fn prefix_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// The XXH3 hash of a cache salt and a prefix segment's id, which is the same on all machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct PrefixKey(pub u64);

impl PrefixKey {
    /// The key of a segment that is cached under a salt.
    #[must_use]
    pub fn new(salt: &str, segment_id: &str) -> PrefixKey {
        PrefixKey::salted(salt, prefix_hash(segment_id))
    }

    /// The key of a segment whose [`prefix_hash`] is known.
    #[must_use]
    pub fn salted(salt: &str, prefix_hash: u64) -> PrefixKey {
        PrefixKey(xxh3_64_with_seed(salt.as_bytes(), prefix_hash))
    }
}

/// A prefix segment, and the number of its tokens that a source has cached.
///
/// On the wire it is the pair `(key, tokens)`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CachedPrefix {
    /// The key of the segment.
    pub key: PrefixKey,
    /// Cached tokens, counted from the start of the segment.
    pub tokens: u32,
}

impl CachedPrefix {
    /// Whether enough tokens are cached for the segment to be indexed.
    pub(crate) fn is_indexable(&self) -> bool {
        self.tokens >= MIN_CACHED_TOKENS
    }
}

// A derived implementation would tag the fields, but the wire format of earlier versions has no tags.
impl<M> Encode<M> for CachedPrefix
where
    PrefixKey: Encode<M>,
{
    type Encode = Self;

    const IS_BITWISE_ENCODE: bool = false;

    fn encode<E: Encoder<Mode = M>>(&self, encoder: E) -> Result<(), E::Error> {
        (self.key, self.tokens).encode(encoder)
    }

    fn as_encode(&self) -> &Self::Encode {
        self
    }
}

impl<'de, M, A> Decode<'de, M, A> for CachedPrefix
where
    A: Allocator,
    PrefixKey: Decode<'de, M, A>,
{
    const IS_BITWISE_DECODE: bool = false;

    fn decode<D: Decoder<'de, Mode = M, Allocator = A>>(decoder: D) -> Result<Self, D::Error> {
        let (key, tokens) = Decode::<'de, M, A>::decode(decoder)?;
        Ok(CachedPrefix { key, tokens })
    }
}
