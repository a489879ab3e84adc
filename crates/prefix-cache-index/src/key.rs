//! The name of a part in the index.

use musli::{Decode, Encode};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a part's id, the same on all machines.
#[must_use]
pub fn prefix_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Hash of a cache salt and a part's id, the same on all machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct PrefixKey(pub u64);

impl PrefixKey {
    /// The key of a part that is kept under a salt.
    #[must_use]
    pub fn new(salt: &str, part: &str) -> PrefixKey {
        PrefixKey::salted(salt, prefix_hash(part))
    }

    /// The same of a part whose [`prefix_hash`] is known.
    #[must_use]
    pub fn salted(salt: &str, prefix_hash: u64) -> PrefixKey {
        PrefixKey(xxh3_64_with_seed(salt.as_bytes(), prefix_hash))
    }
}
