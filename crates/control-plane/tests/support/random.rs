//! Helpers for random choices.

use fastrand::Rng;

/// Returns true with this probability, per thousand.
pub(crate) fn chance(random: &mut Rng, per_thousand: u64) -> bool {
    random.u64(..1000) < per_thousand
}

/// Returns a random element.
pub(crate) fn pick<T: Copy>(random: &mut Rng, from: &[T]) -> T {
    from[random.usize(..from.len())]
}
