//! The monotonic clock of a simulated machine.

use std::time::Duration;

/// A clock with an arbitrary offset and a constant drift.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// The clock's reading at true time 0, in microseconds.
    pub offset: u64,
    /// The clock's rate, in millionths of the true rate.
    pub rate: u64,
}

impl Clock {
    /// The clock's reading at a true time, which is given in microseconds.
    pub(crate) fn local(&self, now: u64) -> Duration {
        Duration::from_micros(self.offset + now * self.rate / 1_000_000)
    }

    /// The first true time with this reading, in microseconds; 0 for a reading below the one at true time 0.
    pub(crate) fn true_time_at(&self, local: Duration) -> u64 {
        let micros = (local.as_micros() as u64).saturating_sub(self.offset);
        (micros * 1_000_000).div_ceil(self.rate)
    }
}
