//! Detection of unresponsive and stale publishers.

use std::time::Duration;

use snafu::ensure;

use super::end::{EndReason, NotFreshSnafu, UnresponsiveSnafu};
use super::staleness::StalenessTolerance;

/// The connection ends after this time without a pong and without bytes of an update.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// The connection ends after this time without a pong, even while bytes of a long update arrive.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Times of a publisher's last pong and last bytes on one connection, and how long its pongs have been stale.
#[derive(Debug)]
pub(super) struct PublisherLiveness {
    tolerance: StalenessTolerance,
    /// Arrival of the last pong; at first the time of the connection.
    last_pong_at: Duration,
    /// Arrival of the last bytes; at first the time of the connection.
    last_bytes_at: Duration,
    /// Arrival of the first stale pong since the last fresh one; `None` after a fresh pong.
    stale_since: Option<Duration>,
}

impl PublisherLiveness {
    /// Starts to track a connection that was made at `now`.
    pub(super) fn new(tolerance: StalenessTolerance, now: Duration) -> Self {
        PublisherLiveness { tolerance, last_pong_at: now, last_bytes_at: now, stale_since: None }
    }

    /// Records that bytes arrived at `now`.
    pub(super) fn record_bytes(&mut self, now: Duration) {
        self.last_bytes_at = now;
    }

    /// Records a pong that arrived at `now`, and returns whether it is fresh. A pong without an age is stale.
    ///
    /// # Errors
    /// [`EndReason::NotFresh`] if all pongs of the grace period were stale.
    pub(super) fn record_pong(&mut self, age: Option<Duration>, now: Duration) -> Result<bool, EndReason> {
        self.last_pong_at = now;
        if age.is_some_and(|age| age < self.tolerance.max_age) {
            self.stale_since = None;
            return Ok(true);
        }
        let since = *self.stale_since.get_or_insert(now);
        ensure!(now.saturating_sub(since) < self.tolerance.grace_period, NotFreshSnafu);
        Ok(false)
    }

    /// Returns the time at which the publisher counts as unresponsive unless more bytes arrive.
    pub(super) fn deadline(&self) -> Duration {
        let transfer_deadline = self.last_pong_at + TRANSFER_TIMEOUT;
        (self.last_bytes_at.max(self.last_pong_at) + RESPONSE_TIMEOUT).min(transfer_deadline)
    }

    /// Checks that the deadline has not passed.
    ///
    /// # Errors
    /// [`EndReason::Unresponsive`] at the deadline and after it.
    pub(super) fn check_deadline(&self, now: Duration) -> Result<(), EndReason> {
        ensure!(now < self.deadline(), UnresponsiveSnafu);
        Ok(())
    }
}
