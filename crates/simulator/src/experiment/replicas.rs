//! The replicas of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

/// The replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// The number of replicas.
    pub count: u32,
    /// Kinds of machines, by name.
    pub kinds: BTreeMap<String, MachineKind>,
    /// The fraction of its capacity that a replica has right after its start.
    #[serde(rename = "cold_from")]
    pub slow_start_capacity: f64,
    /// Time until it has its full capacity.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "ramp")]
    pub slow_start_duration: Duration,
    /// Maximum number of prompt tokens that are processed in one step.
    #[serde(rename = "chunk")]
    pub prefill_chunk_tokens: u32,
    /// Load reports; `null` without them.
    #[serde(default)]
    #[serde(rename = "reports")]
    pub load_reports: Option<LoadReports>,
    /// A replica in slow start fails if it is sent more than this multiple of its capacity ...
    #[serde(default = "default_overload_factor")]
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// ... within this time.
    #[serde(with = "humantime_serde", default = "default_overload_window")]
    #[serde(rename = "fall")]
    pub overload_window: Duration,
}

fn default_overload_factor() -> f64 {
    2.5
}

fn default_overload_window() -> Duration {
    Duration::from_secs(3)
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Its fraction of the fleet.
    #[serde(rename = "share")]
    pub fraction: f64,
    /// Its size in the list.
    pub units: f64,
    /// Its speed relative to the reference machine.
    pub speed: f64,
    /// Maximum number of requests in a batch.
    #[serde(rename = "batch")]
    pub batch_size: usize,
    /// Capacity of its prompt cache, and of the batch, in tokens.
    #[serde(rename = "memory")]
    pub cache_tokens: u64,
    /// The duration of a decoding step at speed 1.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "step")]
    pub step_duration: Duration,
    /// Prompt tokens processed per second at speed 1.
    #[serde(rename = "read")]
    pub prefill_tokens_per_s: f64,
}

/// Load reports, which are sent with responses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReports {
    /// Time between two measurements.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// Time after which a measurement is reported.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Standard deviation of the relative error.
    pub noise: f64,
}
