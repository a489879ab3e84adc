//! Jitter from a seed (SplitMix64).

use std::time::Duration;

/// A deterministic generator.
#[derive(Debug)]
pub(super) struct Jitter {
    state: u64,
}

impl Jitter {
    /// A generator that always gives the same from the same seed.
    pub(super) fn new(seed: u64) -> Self {
        Jitter { state: seed }
    }

    /// Any number.
    pub(super) fn number(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A time of at least `low_ms` and below `high_ms`.
    pub(super) fn millis(&mut self, low_ms: u64, high_ms: u64) -> Duration {
        let span = (high_ms - low_ms).max(1) * 1000;
        Duration::from_micros(low_ms * 1000 + self.number() % span)
    }
}
