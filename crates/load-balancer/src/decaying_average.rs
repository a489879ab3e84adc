//! Exponentially decaying counts of the outcomes of attempts at a replica.

use crate::types::Nanos;

/// Time constant of the counts in seconds, about the duration of a fault.
pub const TIME_CONSTANT_S: f64 = 10.0;
const NANOS_PER_SECOND: f64 = 1e9;

/// Counts of failures and successes that decay with [`TIME_CONSTANT_S`].
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeAverage {
    failures: f64,
    /// Decayed count of successes.
    pub successes: f64,
    updated_at: Nanos,
    /// When the replica last responded; 0 if it never did.
    pub last_response_at: Nanos,
}

impl OutcomeAverage {
    /// Records an outcome: `failures` is 0 for a success, else the weight of the failure. Returns the
    /// failure rate, computed with one additional success. A first failure thus gives a high rate if recent
    /// attempts are few, and a low rate if they are many.
    pub fn record(&mut self, now: Nanos, failures: f64) -> f64 {
        let decay = decay_factor(now, self.updated_at, TIME_CONSTANT_S);
        let successes = f64::from(u8::from(failures == 0.0));
        self.failures = self.failures * decay + failures;
        self.successes = self.successes * decay + successes;
        self.updated_at = now;
        self.failures / (self.failures + self.successes + 1.0)
    }
}

/// The factor by which a value from time `at` has decayed at `now`.
pub(crate) fn decay_factor(now: Nanos, at: Nanos, time_constant_s: f64) -> f64 {
    (-(now.saturating_sub(at) as f64) / NANOS_PER_SECOND / time_constant_s).exp()
}
