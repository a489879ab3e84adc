//! The gateways of an experiment, and the limits of their attempts.

use std::time::Duration;

use serde::Deserialize;

/// The gateways.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// The number of gateways.
    pub count: u32,
    /// The number of zones over which gateways and replicas are distributed.
    pub zones: u16,
    /// The standard deviation of the logarithm of their traffic weights (log-normal): 0 is even.
    #[serde(default)]
    #[serde(rename = "skew")]
    pub weight_sigma: f64,
    /// They start at random times within this duration.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "start_within")]
    pub start_spread: Duration,
    /// Time until the front layer detects that one has stopped or started.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "notice")]
    pub detection_delay: Duration,
}

/// The limits of the gateways' attempts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AttemptPolicy {
    /// Attempts at replicas for one attempt of a client.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether two of them may be in flight at once.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
}

impl Default for AttemptPolicy {
    fn default() -> AttemptPolicy {
        AttemptPolicy { max_attempts: 5, hedging: true }
    }
}
