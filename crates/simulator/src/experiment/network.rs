//! Network and list service of an experiment.

use std::time::Duration;

use serde::Deserialize;

/// Latencies and timeouts of the network between gateways and replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Latency within a zone, one way.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "same")]
    pub same_zone_latency: Duration,
    /// Latency between zones, one way.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "cross")]
    pub cross_zone_latency: Duration,
    /// Time to set up a connection, in addition to one round trip.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "handshake")]
    pub handshake_duration: Duration,
    /// Time after which an idle connection is closed.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
    /// Time after which a connection attempt to an unreachable machine fails.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
}

/// The list service, which serves one call at a time and publishes changes at intervals.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListService {
    /// Whether the service pushes the list and changes of it without being called.
    #[serde(default)]
    #[serde(rename = "push")]
    pub has_push: bool,
    /// Range of the delay of each change; `None` to use `notice` and `add` instead.
    #[serde(default)]
    #[serde(rename = "late")]
    pub change_delay: Option<DelayRange>,
    /// Calls served per second.
    pub calls_per_s: f64,
    /// Whether the settings of the gateways contain `calls_per_s`.
    #[serde(default)]
    #[serde(rename = "told")]
    pub has_advertised_rate: bool,
    /// Maximum wait of a call, including its service. A call that would wait longer is rejected at once and at no cost,
    /// with this time as the delay before the next one. `None` for no limit.
    #[serde(with = "humantime_serde", default)]
    #[serde(rename = "sheds_after")]
    pub max_queue_wait: Option<Duration>,
    /// Timeout of a call. The service still processes a call that has timed out.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Time until the service detects that a replica has stopped.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "notice")]
    pub removal_delay: Duration,
    /// Time until the service detects a new replica.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "add")]
    pub addition_delay: Duration,
    /// Interval at which detected changes are published.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "period")]
    pub publish_interval: Duration,
    /// Duration over which the delivery of a change to watching gateways is distributed at random.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "spread")]
    pub delivery_spread: Duration,
}

/// Range of delays, drawn uniformly.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayRange {
    /// Minimum delay.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "least")]
    pub min: Duration,
    /// Maximum delay.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "most")]
    pub max: Duration,
}
