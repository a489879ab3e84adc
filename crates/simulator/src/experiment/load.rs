//! The load of an experiment: the arrival rate, its phases, the classes of requests and the clients.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use tulipridge::types::Nanos;

use crate::time::nanos;

/// The arriving requests, in an open loop: arrivals don't wait for responses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second over the fleet, retries not counted.
    #[serde(rename = "rate")]
    pub requests_per_s: f64,
    /// Mean time between two turns of a session.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "think")]
    pub think_time: Duration,
    /// Phases with another rate, by name.
    #[serde(default)]
    pub phases: BTreeMap<String, LoadPhase>,
}

impl Load {
    /// The factor of the rate at a time in nanoseconds since the end of the warm-up, negative before it.
    pub(super) fn factor_at(&self, since: f64) -> f64 {
        self.phases.values().fold(1.0, |factor, phase| factor * phase.factor_at(since))
    }

    /// An upper bound of the factor.
    pub(super) fn max_factor(&self) -> f64 {
        self.phases.values().map(|phase| phase.factor.max(1.0)).product()
    }
}

/// A burst, or a ramp.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// Its start, after the warm-up.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "at")]
    pub start: Duration,
    /// Its length.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// The rate is multiplied by this.
    pub factor: f64,
    /// Whether the factor is reached linearly by the end instead of at once.
    #[serde(default)]
    #[serde(rename = "ramp")]
    pub is_ramp: bool,
}

impl LoadPhase {
    /// The factor of this phase; 1 outside of it.
    fn factor_at(&self, since: f64) -> f64 {
        let length: Nanos = nanos(self.duration).max(1);
        let progress = (since - nanos(self.start) as f64) / length as f64;
        match (0.0..1.0).contains(&progress) {
            true if self.is_ramp => 1.0 + (self.factor - 1.0) * progress,
            true => self.factor,
            false => 1.0,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its fraction of the sessions.
    #[serde(rename = "share")]
    pub session_fraction: f64,
    /// Mean number of turns of a session.
    #[serde(rename = "turns")]
    pub mean_turns: f64,
    /// The number of shared prefixes.
    #[serde(rename = "beginnings")]
    pub prefixes: u32,
    /// The exponent of the prefixes' popularity by rank (Zipf).
    #[serde(rename = "zipf")]
    pub zipf_exponent: f64,
    /// Tokens of a shared prefix, minimum and maximum.
    #[serde(rename = "beginning")]
    pub prefix_tokens: [u32; 2],
    /// Tokens that each turn adds to the prompt, minimum and maximum.
    #[serde(rename = "adds")]
    pub turn_tokens: [u32; 2],
    /// Tokens of a response, minimum and maximum.
    #[serde(rename = "answer")]
    pub response_tokens: [u32; 2],
    /// The target for the time to the first token ...
    #[serde(with = "humantime_serde")]
    #[serde(rename = "aim")]
    pub latency_target: Duration,
    /// ... plus this for each 1,000 tokens of the prompt.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "aim_per_1000")]
    pub latency_target_per_1000_tokens: Duration,
    /// The client's deadline over all attempts.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// The value of a response in time.
    #[serde(rename = "worth")]
    pub value: f64,
    /// The factor of the value of a late response.
    #[serde(rename = "late_worth")]
    pub late_value_factor: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its fraction of the traffic, and its guaranteed fraction of the service.
    #[serde(rename = "share")]
    pub traffic_fraction: f64,
    /// Requests per second within its guaranteed fraction.
    #[serde(rename = "quota")]
    pub quota_per_s: f64,
}

/// The clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Attempts after the first.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// The timeout of an attempt as a fraction of the class's deadline.
    #[serde(rename = "try_share")]
    pub attempt_deadline_fraction: f64,
    /// Time before a retry.
    #[serde(with = "humantime_serde")]
    pub backoff: Duration,
    /// The fraction of clients that honour `Retry-After`.
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
}
