//! The durations and ratios of the rules.

use std::time::Duration;

use serde::Deserialize;

use super::RevisionTerm;
use super::deserialize::rounded_integer;

/// Durations and ratios of the rules; `_s` stands for seconds, `_ms` for milliseconds.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
#[expect(missing_docs, reason = "the rules define the fields, their names and hence their number")]
pub struct TimeLimits {
    pub seed_delay_s: f64,
    pub recycle_after_s: f64,
    #[serde(deserialize_with = "rounded_integer")]
    pub contact_ms: u64,
    #[serde(deserialize_with = "rounded_integer")]
    pub confirm_ms: u64,
    pub sync_s: f64,
    #[serde(deserialize_with = "rounded_integer")]
    pub empty_ms: u64,
    pub leeway_s: f64,
    #[serde(deserialize_with = "rounded_integer")]
    pub loss_slack_ms: u64,
    #[serde(deserialize_with = "rounded_integer")]
    pub apply_ms: u64,
    #[serde(deserialize_with = "rounded_integer")]
    pub revert_slack_ms: u64,
    #[serde(deserialize_with = "rounded_integer")]
    pub stretch_ms: u64,
    pub shut_tight: bool,
    #[serde(deserialize_with = "rounded_integer")]
    pub withdraw_ms: u64,
    pub retry_ratio: f64,
    pub retry_window_s: f64,
    #[serde(deserialize_with = "rounded_integer")]
    pub spare_tries: u64,
    pub heal_s: f64,
    #[serde(deserialize_with = "rounded_integer")]
    pub transit_ms: u64,
    #[serde(rename = "again_s")]
    pub again_s: f64,
    pub checks_fence: bool,
    #[serde(deserialize_with = "rounded_integer")]
    pub lease_term_ms: u64,
    #[serde(deserialize_with = "rounded_integer")]
    pub unfreeze_ms: u64,
    #[serde(deserialize_with = "rounded_integer")]
    pub revision_ms: u64,
    #[serde(deserialize_with = "rounded_integer")]
    pub revision_everywhere_ms: u64,
}

impl Default for TimeLimits {
    fn default() -> Self {
        TimeLimits {
            seed_delay_s: 3.0,
            recycle_after_s: 2.0,
            contact_ms: 3000,
            confirm_ms: 4000,
            sync_s: 4.0,
            empty_ms: 3000,
            leeway_s: 8.0,
            loss_slack_ms: 200,
            apply_ms: 2000,
            revert_slack_ms: 250,
            stretch_ms: 5000,
            shut_tight: true,
            withdraw_ms: 5000,
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            spare_tries: 58,
            heal_s: 12.0,
            transit_ms: 120,
            again_s: 0.0,
            checks_fence: true,
            lease_term_ms: 3000,
            unfreeze_ms: 300,
            revision_ms: 15000,
            revision_everywhere_ms: 0,
        }
    }
}

impl TimeLimits {
    /// Time between SIGTERM and SIGKILL.
    #[must_use]
    pub fn leeway(&self) -> Duration {
        Duration::try_from_secs_f64(self.leeway_s).unwrap_or(Duration::MAX)
    }

    /// Time within which the revocation of an API key takes effect.
    #[must_use]
    pub fn withdraw(&self) -> Duration {
        Duration::from_millis(self.withdraw_ms)
    }

    /// Duration of a lease on replicas.
    #[must_use]
    pub fn lease_term(&self) -> Duration {
        Duration::from_millis(self.lease_term_ms)
    }

    /// Time that the operator allows for a rollout of model weights.
    #[must_use]
    pub fn revision_term(&self) -> RevisionTerm {
        RevisionTerm::new(Duration::from_millis(self.revision_ms))
    }
}
