//! Whether the configuration is fresh enough to admit requests by it.

use std::time::Duration;

use tulipridge_runtime::settings::TimeLimits;

/// Time that an admitted request may take to reach a replica. It is subtracted from the time within which a withdrawal of
/// a key must take effect.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// Maximum age where withdrawals have no strict limit.
const LENIENT_MAX_AGE: Duration = Duration::from_secs(10);

/// The maximum age of a configuration by which requests may be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessGate {
    max_age: Duration,
}

impl FreshnessGate {
    /// The gate that the settings ask for.
    #[must_use]
    pub fn of(limits: &TimeLimits) -> Self {
        FreshnessGate::new(limits.shut_tight, limits.withdraw())
    }

    /// `shut_tight` says whether withdrawals of keys must take effect within `withdraw`.
    #[must_use]
    pub fn new(shut_tight: bool, withdraw: Duration) -> Self {
        let max_age = if shut_tight { withdraw.saturating_sub(SAFETY_MARGIN) } else { LENIENT_MAX_AGE };
        FreshnessGate { max_age }
    }

    /// Whether requests may be admitted by a configuration that was known to be the newest this long ago; none is never.
    #[must_use]
    pub fn is_open(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age <= self.max_age)
    }
}
