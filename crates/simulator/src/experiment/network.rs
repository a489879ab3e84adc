//! The network and the list service of an experiment.

use std::time::Duration;

use serde::Deserialize;

/// The network.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// One-way latency within a zone.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "same")]
    pub same_zone_latency: Duration,
    /// One-way latency between zones.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "cross")]
    pub cross_zone_latency: Duration,
    /// Time to set up a connection, beyond one round trip.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "handshake")]
    pub handshake_duration: Duration,
    /// An idle connection is closed after this time.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
    /// Timeout of a connection attempt.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
}

/// The list service, which serves one call at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListService {
    /// Whether it pushes the list and its changes without a call.
    #[serde(default)]
    pub push: bool,
    /// The delay of each change, in place of `notice` and `add`.
    #[serde(default)]
    #[serde(rename = "late")]
    pub change_delay: Option<DelayRange>,
    /// Calls that it serves per second.
    pub calls_per_s: f64,
    /// Whether the gateways' settings contain `calls_per_s`.
    #[serde(default)]
    #[serde(rename = "told")]
    pub advertises_rate: bool,
    /// It rejects a call that would wait longer, at once and at no cost, and requests no call for that time.
    #[serde(with = "humantime_serde", default)]
    #[serde(rename = "sheds_after")]
    pub max_queue_wait: Option<Duration>,
    /// The timeout of a call; the service does the work nevertheless.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Time until it detects that a replica has stopped.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "notice")]
    pub removal_delay: Duration,
    /// Time until it detects a new replica.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "add")]
    pub addition_delay: Duration,
    /// Interval at which changes are published.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "period")]
    pub publish_interval: Duration,
    /// Watchers receive a change at random times within this duration.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "spread")]
    pub delivery_spread: Duration,
}

/// A range of delays, drawn uniformly.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayRange {
    /// The minimum.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "least")]
    pub min: Duration,
    /// The maximum.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "most")]
    pub max: Duration,
}
