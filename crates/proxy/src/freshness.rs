//! Whether keys and routes may be judged by the configuration at hand.

use std::time::Duration;

use tulipridge_runtime::settings::TimeLimits;

/// Time that a judgement may take to reach a replica, taken off the time within which a withdrawal must hold.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// Longest age where withdrawals have no tight bound.
const LOOSE_AGE: Duration = Duration::from_secs(10);

/// The longest age at which the configuration may still be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessGate {
    longest_age: Duration,
}

impl FreshnessGate {
    /// By what the settings say.
    #[must_use]
    pub fn of(limits: &TimeLimits) -> Self {
        FreshnessGate::new(limits.shut_tight, limits.withdraw())
    }

    /// By whether withdrawals of keys have a tight bound, and that bound.
    #[must_use]
    pub fn new(shut_tight: bool, withdraw: Duration) -> Self {
        let longest_age = if shut_tight { withdraw.saturating_sub(SAFETY_MARGIN) } else { LOOSE_AGE };
        FreshnessGate { longest_age }
    }

    /// Whether a configuration may be acted on that was known to be the newest so long ago; none is never.
    #[must_use]
    pub fn is_open(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age <= self.longest_age)
    }
}
