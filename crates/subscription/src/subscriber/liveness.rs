//! Whether a connected publisher is responsive and fresh.

use std::time::Duration;

use snafu::ensure;

use super::end::{EndReason, NotFreshSnafu, UnresponsiveSnafu};
use super::staleness::StalenessTolerance;

/// A publisher that has neither replied nor sent bytes of an update for this long is left.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// A publisher that still sends a long update but has not replied for this long is left.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// The times of a publisher's last signs of life on one connection.
#[derive(Debug)]
pub(super) struct PublisherLiveness {
    tolerance: StalenessTolerance,
    /// When the last pong came, or the connection was made.
    last_pong: Duration,
    /// When the last bytes came, or the connection was made.
    last_bytes: Duration,
    /// Since when all pongs are stale; none while the last one was fresh.
    stale_since: Option<Duration>,
}

impl PublisherLiveness {
    /// The connection was made at `now`.
    pub(super) fn new(tolerance: StalenessTolerance, now: Duration) -> Self {
        PublisherLiveness { tolerance, last_pong: now, last_bytes: now, stale_since: None }
    }

    /// Bytes have come at `now`.
    pub(super) fn record_bytes(&mut self, now: Duration) {
        self.last_bytes = now;
    }

    /// A pong has come at `now`; whether it is fresh.
    ///
    /// # Errors
    /// [`EndReason::NotFresh`] if the pongs have been stale for the whole grace period.
    pub(super) fn record_pong(&mut self, age: Option<Duration>, now: Duration) -> Result<bool, EndReason> {
        self.last_pong = now;
        if age.is_some_and(|age| age < self.tolerance.max_age) {
            self.stale_since = None;
            return Ok(true);
        }
        let since = *self.stale_since.get_or_insert(now);
        ensure!(now.saturating_sub(since) < self.tolerance.grace_period, NotFreshSnafu);
        Ok(false)
    }

    /// When the publisher counts as unresponsive unless more comes from it.
    pub(super) fn deadline(&self) -> Duration {
        let transfer_deadline = self.last_pong + MAX_TRANSFER_TIME;
        (self.last_bytes.max(self.last_pong) + RESPONSE_TIMEOUT).min(transfer_deadline)
    }

    /// Checks the deadline.
    ///
    /// # Errors
    /// [`EndReason::Unresponsive`] after the deadline.
    pub(super) fn check(&self, now: Duration) -> Result<(), EndReason> {
        ensure!(now < self.deadline(), UnresponsiveSnafu);
        Ok(())
    }
}
