//! Replicas of an experiment, their machine kinds and load reports.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

/// Replicas and their common settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// Number of replicas at the start.
    pub count: u32,
    /// Machine kinds, by name.
    pub kinds: BTreeMap<String, MachineKind>,
    /// Available fraction of the capacity immediately after a start.
    #[serde(rename = "cold_from")]
    pub slow_start_capacity: f64,
    /// Time from a start until the full capacity is available.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "ramp")]
    pub slow_start_duration: Duration,
    /// Maximum number of prompt tokens processed in one step.
    #[serde(rename = "chunk")]
    pub prefill_chunk_tokens: u32,
    /// Load reports; `None` if replicas send none.
    #[serde(default)]
    #[serde(rename = "reports")]
    pub load_reports: Option<LoadReports>,
    /// Multiple of the available capacity at which a replica in slow start is overloaded.
    #[serde(default = "default_overload_factor")]
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// Time over which the work that overloads a replica in slow start is summed.
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

/// Sizes and speeds of a kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Fraction of the replicas that run on this kind.
    #[serde(rename = "share")]
    pub fraction: f64,
    /// Size in the list.
    pub units: f64,
    /// Speed relative to the reference machine.
    pub speed: f64,
    /// Maximum number of requests in a batch.
    #[serde(rename = "batch")]
    pub batch_size: usize,
    /// Capacity in tokens, both of the prompt cache and of the batch.
    #[serde(rename = "memory")]
    pub capacity_tokens: u64,
    /// Duration of a decoding step at speed 1.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "step")]
    pub step_duration: Duration,
    /// Prompt tokens processed per second at speed 1.
    #[serde(rename = "read")]
    pub prefill_tokens_per_s: f64,
}

/// Load reports, which are sent with responses to gateways.
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
