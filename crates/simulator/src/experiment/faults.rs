//! The faults of an experiment.

use std::time::Duration;

use serde::Deserialize;

/// A fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its start, after the warm-up.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "at")]
    pub start: Duration,
    /// Its kind.
    pub kind: FaultKind,
    /// The fraction of gateways or replicas that is affected; none for `list_outage`.
    #[serde(default)]
    #[serde(rename = "share")]
    pub fraction: Option<f64>,
    /// They fail at random times within this duration.
    #[serde(with = "humantime_serde", default)]
    #[serde(rename = "within")]
    pub spread: Duration,
    /// Time until each recovers.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "back")]
    pub duration: Duration,
    /// `slow_replicas`: the factor of all durations.
    #[serde(default)]
    #[serde(rename = "factor")]
    pub slowdown: Option<f64>,
    /// `error_replicas`: the fraction of requests that fail.
    #[serde(default)]
    #[serde(rename = "part")]
    pub error_fraction: Option<f64>,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Gateways are killed and restarted with the persisted list.
    RestartGateways,
    /// Replicas crash and restart under their own names, in slow start.
    #[serde(rename = "kill_replicas")]
    CrashReplicas,
    /// Machines lose their network: streams stay open without data and new connections time out; then they restart, in
    /// slow start.
    #[serde(rename = "silence_replicas")]
    PartitionReplicas,
    /// Replicas drain and are replaced by new ones with other names.
    ReplaceReplicas,
    /// Replicas slow down.
    SlowReplicas,
    /// Replicas respond to a fraction of requests with an error, at once.
    ErrorReplicas,
    /// Replicas accept connections and requests without processing, then resume.
    HangReplicas,
    /// The list service is unreachable; changes are published after its return.
    ListOutage,
}

impl FaultKind {
    /// The description in the report.
    #[must_use]
    pub fn description(self) -> &'static str {
        match self {
            FaultKind::RestartGateways => "gateways restart",
            FaultKind::CrashReplicas => "replicas die",
            FaultKind::PartitionReplicas => "replicas vanish without a word",
            FaultKind::ReplaceReplicas => "replicas are replaced",
            FaultKind::SlowReplicas => "replicas slow down",
            FaultKind::ErrorReplicas => "replicas answer with errors",
            FaultKind::HangReplicas => "replicas hang",
            FaultKind::ListOutage => "the list service is out of reach",
        }
    }

    /// Whether statistics are reported for the time of the fault, not only for the time after it.
    #[must_use]
    pub fn has_interval(self) -> bool {
        !matches!(self, FaultKind::RestartGateways | FaultKind::ReplaceReplicas | FaultKind::SlowReplicas)
    }
}
