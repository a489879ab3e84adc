//! The name of a part in the index.

use musli::{Decode, Encode};

const FNV_OFFSET: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;
/// Stands between the salt and the part, so that no two pairs run together alike.
const SEPARATOR: u8 = 0;

/// Hash of a cache salt and a part's id, the same on all machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[musli(transparent)]
pub struct PartKey(pub u64);

impl PartKey {
    /// The key of a part that is kept under a salt.
    pub fn new(salt: &str, part: &str) -> PartKey {
        let bytes = salt.bytes().chain([SEPARATOR]).chain(part.bytes());
        let hash = bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        PartKey(mix(hash))
    }
}

/// Spreads the differences of short texts over all bits (the finalizer of MurmurHash3).
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xFF51_AFD7_ED55_8CCD);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xC4CE_B9FE_1A85_EC53);
    hash ^ (hash >> 33)
}
