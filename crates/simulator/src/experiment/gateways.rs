//! Gateways of an experiment, and the limits of their attempts.

use std::time::Duration;

use serde::Deserialize;

/// The gateways, and the front layer that distributes requests over them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// Number of gateways.
    pub count: u32,
    /// Number of zones, over which gateways and replicas are distributed in turn.
    pub zones: u16,
    /// Standard deviation of the logarithm of the gateways' traffic weights (log-normal); 0 distributes traffic evenly.
    #[serde(default)]
    #[serde(rename = "skew")]
    pub weight_sigma: f64,
    /// Duration over which the gateways' starts are distributed at random.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "start_within")]
    pub start_spread: Duration,
    /// Time until the front layer detects that a gateway has stopped or started.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "notice")]
    pub detection_delay: Duration,
}

/// Limits of the gateways' attempts at replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AttemptLimits {
    /// Maximum number of attempts at replicas for one attempt of a client.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether a hedge is allowed: a second attempt while the first is in flight.
    #[serde(rename = "second_copies")]
    pub is_hedging_allowed: bool,
}

impl Default for AttemptLimits {
    fn default() -> AttemptLimits {
        AttemptLimits { max_attempts: 5, is_hedging_allowed: true }
    }
}
