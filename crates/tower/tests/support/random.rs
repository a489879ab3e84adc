//! Random numbers that are the same for the same seed (SplitMix64).

/// A generator.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Starts from a seed.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5851_f42d_4c95_7f2d)
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number of at least `low` and below `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.number() % (high - low).max(1)
    }

    /// Whether something with this probability in a thousand happens.
    pub fn chance(&mut self, per_thousand: u64) -> bool {
        self.between(0, 1000) < per_thousand
    }

    /// One of several.
    pub fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.between(0, from.len() as u64) as usize]
    }
}
