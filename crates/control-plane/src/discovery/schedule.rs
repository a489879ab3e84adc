//! The schedule of the polls of the list: interval, rate limit and backoff.

use std::time::Duration;

/// Time from the start of one poll to the start of the next while the list changes.
const INTERVAL_WHEN_CHANGING: Duration = Duration::from_millis(700);
/// The same once the list is stable: each call has a cost.
const INTERVAL_WHEN_STABLE: Duration = Duration::from_secs(1);
/// A list that has not changed for this time is stable.
const STABLE_AFTER: Duration = Duration::from_secs(5);
/// The fraction of the platform's rate limit that is used.
const RATE_LIMIT_FRACTION: f64 = 0.7;
/// Calls per second that are made even at a lower rate limit.
const MIN_CALLS_PER_SECOND: f64 = 0.1;
/// The first backoff after a rate-limited call; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// The delay after a failure of another kind.
const FAILURE_DELAY: Duration = Duration::from_millis(300);

/// How a poll of all pages ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// All pages came, and the list differs from the one before.
    Changed,
    /// All pages came, and the list is as before.
    Unchanged,
    /// The platform's rate limit was exceeded.
    RateLimited,
    /// A call failed.
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
    /// A schedule for a platform that accepts `rate_limit` calls per second from all its clients together.
    #[must_use]
    pub fn new(rate_limit: f64, now: Duration) -> PollSchedule {
        let usable_rate = (rate_limit * RATE_LIMIT_FRACTION).max(MIN_CALLS_PER_SECOND);
        PollSchedule {
            call_interval: Duration::from_secs_f64(1.0 / usable_rate),
            changed_at: now,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// The least time from the start of one call to the start of the next.
    #[must_use]
    pub fn call_interval(&self) -> Duration {
        self.call_interval
    }

    /// When the next poll starts, after one that started at `started` and ended now.
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
