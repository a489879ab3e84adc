//! Faults of an experiment: kinds, times and affected fractions.

use std::time::Duration;

use serde::Deserialize;

/// A fault of gateways, of replicas, or of the list service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time from the end of the warm-up to the start.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "at")]
    pub start: Duration,
    /// Effect on the affected processes.
    pub kind: FaultKind,
    /// Fraction of the running gateways or replicas that is affected; `None` for `list_outage` only.
    #[serde(default)]
    #[serde(rename = "share")]
    pub fraction: Option<f64>,
    /// Duration over which the starts of the fault at the affected processes are distributed; 0 is all at once.
    #[serde(with = "humantime_serde", default)]
    #[serde(rename = "within")]
    pub spread: Duration,
    /// Time from the start of the fault at a process to its recovery.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "back")]
    pub duration: Duration,
    /// `slow_replicas` only: the factor of the duration of each step.
    #[serde(default)]
    #[serde(rename = "factor")]
    pub slowdown: Option<f64>,
    /// `error_replicas` only: the fraction of requests that receive an error response.
    #[serde(default)]
    #[serde(rename = "part")]
    pub error_fraction: Option<f64>,
}

/// Effect of a fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Gateways are killed and restarted with the persisted list.
    RestartGateways,
    /// Replicas crash, and restart under the same names in slow start.
    #[serde(rename = "kill_replicas")]
    CrashReplicas,
    /// Machines are disconnected from the network: streams stay open without data, and new connections time out. At the
    /// end of the fault they restart in slow start.
    #[serde(rename = "silence_replicas")]
    PartitionReplicas,
    /// Replicas drain, and are replaced by new ones with other names.
    ReplaceReplicas,
    /// All steps of replicas take longer by a factor.
    SlowReplicas,
    /// Replicas respond to a fraction of requests with an error, without processing them.
    ErrorReplicas,
    /// Replicas accept connections and requests without processing them, and resume at the end of the fault.
    HangReplicas,
    /// The list service is unreachable; changes are published after the outage.
    ListOutage,
}

impl FaultKind {
    /// Description in the report, part of its JSON form.
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

    /// Whether statistics are reported for the duration of the fault, and not only for the time after it.
    #[must_use]
    pub fn has_interval(self) -> bool {
        !matches!(self, FaultKind::RestartGateways | FaultKind::ReplaceReplicas | FaultKind::SlowReplicas)
    }
}
