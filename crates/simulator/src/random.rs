//! Seeded random streams and weighted draws.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Creates the random stream of a purpose. With separate streams, a change of the draws for one purpose leaves those
/// for others unchanged.
#[must_use]
pub fn random_stream(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(
        seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ purpose.wrapping_mul(0xD1B5_4A32_D192_ED03),
    )
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
