//! Seeded random streams and weighted draws.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Odd multipliers that spread adjacent seeds and purposes over the 64-bit range.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
const PURPOSE_MULTIPLIER: u64 = 0xD1B5_4A32_D192_ED03;

/// Creates the random stream of a purpose. With separate streams, a change of the draws for one purpose leaves those
/// for others unchanged.
#[must_use]
pub fn random_stream(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(SEED_MULTIPLIER) ^ purpose.wrapping_mul(PURPOSE_MULTIPLIER))
}

/// Draws an index with a probability proportional to its weight; returns 0 without weights.
pub fn weighted_index(random: &mut Pcg64Mcg, weights: impl Iterator<Item = f64>) -> usize {
    let weights: Vec<f64> = weights.collect();
    let mut remaining = random.random::<f64>() * weights.iter().sum::<f64>();
    let found = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    found.unwrap_or(weights.len().saturating_sub(1))
}
