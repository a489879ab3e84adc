//! The real servers of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

/// The real servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// How many.
    pub count: u32,
    /// Kinds of machines.
    pub kinds: BTreeMap<String, Kind>,
    /// Share of its capacity that a cold one has at first.
    pub cold_from: f64,
    /// Time until it has all of it.
    #[serde(with = "humantime_serde")]
    pub ramp: Duration,
    /// Prompt tokens that are read in one step at the most.
    pub chunk: u32,
    /// Load reports; `null` where there are none.
    #[serde(default)]
    pub reports: Option<Reports>,
    /// A cold one falls that is sent more than this multiple of what it can do ...
    #[serde(default = "fall_multiple")]
    pub fall_multiple: f64,
    /// ... over this time.
    #[serde(with = "humantime_serde", default = "fall")]
    pub fall: Duration,
}

fn fall_multiple() -> f64 {
    2.5
}

fn fall() -> Duration {
    Duration::from_secs(3)
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its part of the fleet.
    pub share: f64,
    /// What the list says of its size.
    pub units: f64,
    /// Its speed beside the yardstick's.
    pub speed: f64,
    /// Requests in a batch.
    pub batch: usize,
    /// Prompt tokens that it keeps.
    pub memory: u64,
    /// The least time of a step, at speed 1.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// Prompt tokens read in a second, at speed 1.
    pub read: f64,
}

/// Load reports, which come with answers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reports {
    /// Time between two refreshes of what is reported.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// Age of what is reported at the refresh.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Relative error, one standard deviation.
    pub noise: f64,
}
