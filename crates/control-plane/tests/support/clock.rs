//! The steady clock of a simulated machine.

use std::time::Duration;

/// A clock that starts anywhere and drifts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// What it shows at the true time 0, in microseconds.
    pub offset: u64,
    /// Its speed in millionths.
    pub rate: u64,
}

impl Clock {
    /// What it shows at a true time.
    pub(crate) fn local(&self, now: u64) -> Duration {
        Duration::from_micros(self.offset + now * self.rate / 1_000_000)
    }

    /// The first true time at which it shows this.
    pub(crate) fn when(&self, local: Duration) -> u64 {
        let micros = (local.as_micros() as u64).saturating_sub(self.offset);
        (micros * 1_000_000).div_ceil(self.rate)
    }
}
