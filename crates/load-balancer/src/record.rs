//! What attempts at a replica came to lately. No I/O and no clock.

use crate::types::Nanos;

/// Time constant of the counts, in seconds, about as long as troubles last.
pub const MEMORY: f64 = 10.0;
const NANOS_PER_SECOND: f64 = 1e9;

/// What attempts came to: counts that fade by [`MEMORY`].
#[derive(Clone, Copy, Default)]
pub struct Record {
    failed: f64,
    /// Answers that came.
    pub answered: f64,
    at: Nanos,
    /// The last sign of life.
    pub alive: Nanos,
}

impl Record {
    /// Adds a result; gives the share of failures, with one answer more than came. So a first failure counts
    /// for much where attempts are rare, and for little among many.
    pub fn add(&mut self, now: Nanos, failures: f64) -> f64 {
        let fade = (-(now.saturating_sub(self.at) as f64) / NANOS_PER_SECOND / MEMORY).exp();
        self.failed = self.failed * fade + failures;
        self.answered = self.answered * fade + f64::from(u8::from(failures == 0.0));
        self.at = now;
        self.failed / (self.failed + self.answered + 1.0)
    }
}
