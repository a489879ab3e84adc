//! Choices that random histories make.

use fastrand::Rng;

/// Whether something with this probability in a thousand happens.
pub(crate) fn chance(random: &mut Rng, per_thousand: u64) -> bool {
    random.u64(..1000) < per_thousand
}

/// One of several.
pub(crate) fn pick<T: Copy>(random: &mut Rng, from: &[T]) -> T {
    from[random.usize(..from.len())]
}
