//! Whether the configuration is fresh enough to admit requests.

use std::time::Duration;

use tulipridge_runtime::settings::TimeLimits;

/// Time that an admitted request may take to reach a replica. It is subtracted from the time within which the
/// withdrawal of a key must take effect.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// Maximum age of the configuration if the settings set no strict time limit for withdrawals of keys.
const LENIENT_MAX_AGE: Duration = Duration::from_secs(10);
/// Requests with a key are admitted up to this fraction of the time within which a withdrawal must take effect. After
/// it, a machine without a working path to the control plane refuses them: another machine may know whether the key is
/// still valid.
const KEY_FRACTION: f64 = 0.6;

/// Whether a request presents a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// The request presents a key, known or unknown.
    Key,
    /// The request presents no key.
    None,
}

/// The maximum ages up to which a configuration may be used to admit requests, with and without a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessGate {
    max_age: Duration,
    max_age_for_keys: Duration,
}

impl FreshnessGate {
    /// The gate that the settings require.
    #[must_use]
    pub fn of(limits: &TimeLimits) -> Self {
        FreshnessGate::new(limits.shut_tight, limits.withdraw())
    }

    /// A gate for these settings. `shut_tight` states that withdrawals of keys must take effect within `withdraw`.
    #[must_use]
    pub fn new(shut_tight: bool, withdraw: Duration) -> Self {
        let max_age = if shut_tight { withdraw.saturating_sub(SAFETY_MARGIN) } else { LENIENT_MAX_AGE };
        let max_age_for_keys = withdraw.mul_f64(KEY_FRACTION).min(max_age);
        FreshnessGate { max_age, max_age_for_keys }
    }

    /// Whether a configuration that was last known to be the newest `age` ago may be used to admit requests. `age` is
    /// None if the configuration was never known to be the newest.
    #[must_use]
    pub fn is_open(&self, age: Option<Duration>, credentials: Credentials) -> bool {
        let max_age = match credentials {
            Credentials::Key => self.max_age_for_keys,
            Credentials::None => self.max_age,
        };
        age.is_some_and(|age| age <= max_age)
    }
}
