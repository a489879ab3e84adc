//! Randomness: seeded sources, and draws by shares.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded source for each thing that draws, so that one more of one kind leaves the rest alone.
#[must_use]
pub fn source(seed: u64, of: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(
        seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ of.wrapping_mul(0xD1B5_4A32_D192_ED03),
    )
}

/// A place drawn by shares, whatever they come to; 0 where there are none.
pub fn drawn(rng: &mut Pcg64Mcg, shares: impl Iterator<Item = f64>) -> usize {
    let shares: Vec<f64> = shares.collect();
    let mut at = rng.random::<f64>() * shares.iter().sum::<f64>();
    let found = shares.iter().position(|share| {
        at -= share;
        at < 0.0
    });
    found.unwrap_or(shares.len().saturating_sub(1))
}
