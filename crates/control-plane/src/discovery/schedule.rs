//! Schedules the polls of the replica list: interval, rate limit and backoff.

use std::time::Duration;

/// Interval between the starts of polls while the list changes.
const INTERVAL_WHEN_CHANGING: Duration = Duration::from_millis(700);
/// Interval between the starts of polls while the list is stable. It is longer because each call has a cost.
const INTERVAL_WHEN_STABLE: Duration = Duration::from_secs(1);
/// A list is stable when it has not changed for this time.
const STABLE_AFTER: Duration = Duration::from_secs(5);
/// Fraction of the platform's rate limit that is used.
const RATE_LIMIT_FRACTION: f64 = 0.7;
/// Minimum rate of calls per second, which is used even if the rate limit is lower.
const MIN_CALLS_PER_SECOND: f64 = 0.1;
/// Backoff after the first rate-limited poll; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Delay after a failure other than rate limiting.
const FAILURE_DELAY: Duration = Duration::from_millis(300);

/// The outcome of a poll of all pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// All pages were fetched, and the list differs from the previous one.
    Changed,
    /// All pages were fetched, and the list equals the previous one.
    Unchanged,
    /// The platform's rate limit was exceeded.
    RateLimited,
    /// The poll failed for another reason.
    Failed,
}

/// Keeps the calls within the platform's rate limit, and polls a stable list less often.
#[derive(Debug)]
pub struct PollSchedule {
    call_interval: Duration,
    changed_at: Duration,
    backoff: Duration,
}

impl PollSchedule {
    /// Creates a schedule for a platform that accepts `rate_limit` calls per second from all its clients together.
    #[must_use]
    pub fn new(rate_limit: f64, now: Duration) -> PollSchedule {
        let usable_rate = (rate_limit * RATE_LIMIT_FRACTION).max(MIN_CALLS_PER_SECOND);
        PollSchedule {
            call_interval: Duration::from_secs_f64(1.0 / usable_rate),
            changed_at: now,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// The minimum time between the starts of two calls.
    #[must_use]
    pub fn call_interval(&self) -> Duration {
        self.call_interval
    }

    /// Returns when the next poll starts, after one that started at `started` and ended at `now`.
    pub fn next_poll(&mut self, started: Duration, now: Duration, outcome: PollOutcome) -> Duration {
        match outcome {
            PollOutcome::RateLimited => return self.back_off(now),
            PollOutcome::Failed => return now + FAILURE_DELAY,
            PollOutcome::Changed => self.changed_at = now,
            PollOutcome::Unchanged => {}
        }
        self.backoff = INITIAL_BACKOFF;
        let is_stable = now.saturating_sub(self.changed_at) >= STABLE_AFTER;
        let interval = if is_stable { INTERVAL_WHEN_STABLE } else { INTERVAL_WHEN_CHANGING };
        (started + interval).max(now + self.call_interval)
    }

    fn back_off(&mut self, now: Duration) -> Duration {
        let next = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        next
    }
}
