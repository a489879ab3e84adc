//! Load of an experiment: arrival rate and its phases, classes of requests, tenants and clients.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use tulipridge::types::Nanos;

use crate::time::nanos;

/// Arrival of requests, in an open loop: sessions arrive independently of responses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean requests per second of the fleet outside of phases, not counting retries.
    #[serde(rename = "rate")]
    pub requests_per_s: f64,
    /// Mean time between the arrivals of two turns of a session, exponentially distributed.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "think")]
    pub think_time: Duration,
    /// Phases with a different rate, by name. Factors of overlapping phases are multiplied.
    #[serde(default)]
    pub phases: BTreeMap<String, LoadPhase>,
}

impl Load {
    /// Factor of the rate at a time, in nanoseconds since the end of the warm-up and negative before it.
    pub(super) fn factor_at(&self, since: f64) -> f64 {
        self.phases.values().fold(1.0, |factor, phase| factor * phase.factor_at(since))
    }

    /// Upper bound of the factor over all times.
    pub(super) fn max_factor(&self) -> f64 {
        self.phases.values().map(|phase| phase.factor.max(1.0)).product()
    }
}

/// A phase with a different rate: a burst, or a ramp.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// Time from the end of the warm-up to the start.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "at")]
    pub start: Duration,
    /// Length of the phase.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// Factor of the rate.
    pub factor: f64,
    /// Whether the factor rises linearly from 1 to `factor` over the phase, instead of applying throughout.
    #[serde(default)]
    #[serde(rename = "ramp")]
    pub is_ramp: bool,
}

impl LoadPhase {
    /// Factor of this phase at a time; 1 outside of the phase.
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
    /// Fraction of the sessions that are of this class.
    #[serde(rename = "share")]
    pub session_fraction: f64,
    /// Mean number of turns of a session, geometrically distributed.
    #[serde(rename = "turns")]
    pub mean_turns: f64,
    /// Number of shared prefixes.
    #[serde(rename = "beginnings")]
    pub prefix_count: u32,
    /// Exponent of the Zipf distribution of prefixes' popularity by rank; 0 is uniform.
    #[serde(rename = "zipf")]
    pub zipf_exponent: f64,
    /// Minimum and maximum tokens of a shared prefix.
    #[serde(rename = "beginning")]
    pub prefix_tokens: [u32; 2],
    /// Minimum and maximum tokens that each turn adds to the prompt.
    #[serde(rename = "adds")]
    pub turn_tokens: [u32; 2],
    /// Minimum and maximum tokens of a response.
    #[serde(rename = "answer")]
    pub response_tokens: [u32; 2],
    /// Constant part of the target for the time to the first token.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "aim")]
    pub latency_target: Duration,
    /// Increase of the target for each 1,000 tokens of the prompt.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "aim_per_1000")]
    pub latency_target_per_1000_tokens: Duration,
    /// Time limit of a client's request over all attempts.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Value of a response in time.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Factor of the value of a late response.
    #[serde(rename = "late_worth")]
    pub late_value_factor: f64,
}

/// A tenant, which sends part of the traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Fraction of the traffic, and guaranteed fraction of the service.
    #[serde(rename = "share")]
    pub traffic_fraction: f64,
    /// Requests per second within the guaranteed fraction.
    #[serde(rename = "quota")]
    pub quota_per_s: f64,
}

/// Timeouts and retries of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Maximum number of attempts after the first.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// Timeout of an attempt, as a fraction of the class's deadline.
    #[serde(rename = "try_share")]
    pub attempt_deadline_fraction: f64,
    /// Delay of a retry, unless the client honours a `Retry-After`.
    #[serde(with = "humantime_serde")]
    pub backoff: Duration,
    /// Probability that a client honours a `Retry-After`.
    #[serde(rename = "honour")]
    pub retry_after_compliance: f64,
}
