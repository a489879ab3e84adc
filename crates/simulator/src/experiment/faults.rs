//! What breaks in an experiment, and when.

use std::time::Duration;

use serde::Deserialize;

/// Something that breaks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, after the warm-up.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// What breaks.
    pub kind: FaultKind,
    /// Which part of the gateways or real servers; `list_outage` has none.
    #[serde(default)]
    pub share: Option<f64>,
    /// They break one after the other within this time.
    #[serde(with = "humantime_serde", default)]
    pub within: Duration,
    /// Each is back after this time.
    #[serde(with = "humantime_serde")]
    pub back: Duration,
    /// `slow`: how many times as long everything takes.
    #[serde(default)]
    pub factor: Option<f64>,
    /// `error`: which part of the requests fails.
    #[serde(default)]
    pub part: Option<f64>,
}

/// What breaks.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Gateways are killed and started anew with the list that they last had.
    RestartGateways,
    /// Real servers die and come back cold under their own names.
    KillReplicas,
    /// Machines vanish without a word: streams stay open and silent, new connections never come up; then they are back,
    /// cold.
    SilenceReplicas,
    /// Real servers drain; new ones with other names come in their place.
    ReplaceReplicas,
    /// Real servers do everything more slowly.
    SlowReplicas,
    /// Real servers answer a part of their requests at once, with an error.
    ErrorReplicas,
    /// Real servers take connections and requests and answer nothing, then go on where they stood.
    HangReplicas,
    /// The list service is out of reach; what it has to say comes after its return.
    ListOutage,
}

impl FaultKind {
    /// The words of the report.
    #[must_use]
    pub fn words(self) -> &'static str {
        match self {
            FaultKind::RestartGateways => "gateways restart",
            FaultKind::KillReplicas => "real servers die",
            FaultKind::SilenceReplicas => "real servers vanish without a word",
            FaultKind::ReplaceReplicas => "real servers are replaced",
            FaultKind::SlowReplicas => "real servers slow down",
            FaultKind::ErrorReplicas => "real servers answer with errors",
            FaultKind::HangReplicas => "real servers hang",
            FaultKind::ListOutage => "the list service is out of reach",
        }
    }

    /// While it lasts is of interest, not only what comes after.
    #[must_use]
    pub fn lasts(self) -> bool {
        !matches!(self, FaultKind::RestartGateways | FaultKind::ReplaceReplicas | FaultKind::SlowReplicas)
    }
}
