//! When the list of replicas is asked for next.

use std::time::Duration;

/// Time from one complete walk of the list to the next while it changes.
const INTERVAL_AFTER_CHANGE: Duration = Duration::from_millis(700);
/// The same once it has not changed for a while: each call has a price.
const INTERVAL_WHEN_QUIET: Duration = Duration::from_secs(1);
/// A list that has not changed for this time is quiet.
const QUIET_AFTER: Duration = Duration::from_secs(5);
/// The part of the platform's rate of calls that is used.
const RATE_SHARE: f64 = 0.7;
/// The first pause after a refusal for too many calls; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// The longest such pause.
const LONGEST_BACKOFF: Duration = Duration::from_secs(4);
/// The pause after a failure of another kind.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(300);

/// How a walk through the pages ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WalkEnd {
    /// All pages came, and something differs from the walk before.
    Changed,
    /// All pages came and nothing differs.
    Unchanged,
    /// The platform refused a call since there were too many.
    Refused,
    /// A call failed.
    Failed,
}

/// Keeps the calls within the platform's rate, and no more frequent than they are of use.
#[derive(Debug)]
pub struct Pace {
    page_gap: Duration,
    changed_at: Duration,
    backoff: Duration,
}

impl Pace {
    /// A pace for so many calls a second from all together.
    #[must_use]
    pub fn new(rate_per_second: f64, now: Duration) -> Pace {
        let usable_rate = (rate_per_second * RATE_SHARE).max(0.1);
        Pace {
            page_gap: Duration::from_secs_f64(1.0 / usable_rate),
            changed_at: now,
            backoff: FIRST_BACKOFF,
        }
    }

    /// The least time from one call to the next.
    #[must_use]
    pub fn page_gap(&self) -> Duration {
        self.page_gap
    }

    /// When the next walk begins, for one that began and ended at these times.
    pub fn next_walk(&mut self, began: Duration, now: Duration, end: WalkEnd) -> Duration {
        match end {
            WalkEnd::Refused => return self.back_off(now),
            WalkEnd::Failed => return now + PAUSE_AFTER_FAILURE,
            WalkEnd::Changed => self.changed_at = now,
            WalkEnd::Unchanged => {}
        }
        self.backoff = FIRST_BACKOFF;
        let quiet = now.saturating_sub(self.changed_at) >= QUIET_AFTER;
        let interval = if quiet { INTERVAL_WHEN_QUIET } else { INTERVAL_AFTER_CHANGE };
        (began + interval).max(now + self.page_gap)
    }

    fn back_off(&mut self, now: Duration) -> Duration {
        let next = now + self.backoff;
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
        next
    }
}
