//! Hashes and pseudo-random numbers: SplitMix64 (Steele, Lea and Flood, 2014) and a prefix of MD5.

use md5::{Digest, Md5};

/// The increment of SplitMix64: 2^64 divided by the golden ratio, rounded to an odd number. It has no regular
/// bit pattern.
pub(crate) const GOLDEN_GAMMA: u64 = 0x9E37_79B9_7F4A_7C15;

/// A SplitMix64 generator. It is not cryptographically secure.
#[derive(Debug)]
pub(crate) struct SplitMix64(u64);

impl SplitMix64 {
    pub(crate) fn new(seed: u64) -> SplitMix64 {
        SplitMix64(seed)
    }

    /// The next number, above 0 and below 1.
    pub(crate) fn next_unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(GOLDEN_GAMMA);
        unit_interval(mix(self.0))
    }
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub(crate) fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Maps random bits to a number above 0 and below 1.
pub(crate) fn unit_interval(bits: u64) -> f64 {
    ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The first 64 bits of the MD5 hash of the concatenated `parts`, read as a big-endian number.
pub(crate) fn md5_prefix(parts: &[&[u8]]) -> u64 {
    let digest = parts.iter().fold(Md5::new(), Md5::chain_update).finalize();
    digest.iter().take(8).fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
}
