//! The definition of an experiment: the fleet, its load, its list service and its faults, from one HCL file.
//!
//! The names of HCL keys are fixed by existing files; `serde(rename)` maps them to the fields.

mod check;
mod faults;
mod gateways;
mod load;
mod load_balancer_settings;
mod network;
mod parse;
mod policy_kind;
mod replicas;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use tulipridge::types::Nanos;

pub use self::faults::{Fault, FaultKind};
pub use self::gateways::{AttemptPolicy, Gateways};
pub use self::load::{Class, Clients, Load, LoadPhase, Tenant};
pub use self::network::{DelayRange, ListService, Network};
pub use self::policy_kind::PolicyKind;
pub use self::replicas::{LoadReports, MachineKind, Replicas};
use crate::time::nanos;

/// One experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The file, in the same folder, that this one overrides. Blocks are merged, other values replaced, and `null` removes
    /// a value.
    #[serde(default)]
    #[serde(rename = "from")]
    pub base_file: Option<String>,
    /// The title of the report.
    #[serde(rename = "about")]
    pub description: String,
    /// The seed of all random streams.
    pub seed: u64,
    /// Time before statistics are recorded, in which caches fill and averages converge.
    #[serde(with = "humantime_serde")]
    pub warmup: Duration,
    /// Time in which statistics are recorded, after the warm-up.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "length")]
    pub duration: Duration,
    /// The policies to simulate, with the same seed.
    pub policies: Vec<PolicyKind>,
    /// The gateways.
    pub gateways: Gateways,
    /// The replicas.
    pub replicas: Replicas,
    /// The arriving requests.
    pub load: Load,
    /// Classes of requests.
    pub classes: BTreeMap<String, Class>,
    /// Tenants by name.
    #[serde(default)]
    pub tenants: BTreeMap<String, Tenant>,
    /// The list service.
    #[serde(rename = "list")]
    pub list_service: ListService,
    /// The clients.
    pub clients: Clients,
    /// The network between gateways and replicas.
    pub network: Network,
    /// The limits of the gateways' attempts.
    #[serde(default)]
    #[serde(rename = "allow")]
    pub attempt_policy: AttemptPolicy,
    /// Faults by name.
    #[serde(default)]
    pub faults: BTreeMap<String, Fault>,
}

impl Experiment {
    /// The time at which the simulation ends.
    #[must_use]
    pub fn end(&self) -> Nanos {
        nanos(self.warmup + self.duration)
    }

    /// Faults ordered by start, then by name.
    #[must_use]
    pub fn faults_in_order(&self) -> Vec<(&str, &Fault)> {
        let mut all: Vec<_> = self.faults.iter().map(|(name, fault)| (name.as_str(), fault)).collect();
        all.sort_by_key(|(name, fault)| (fault.start, *name));
        all
    }

    /// The factor by which the arrival rate is multiplied at a time.
    #[must_use]
    pub fn load_factor_at(&self, now: Nanos) -> f64 {
        self.load.factor_at(now as f64 - nanos(self.warmup) as f64)
    }

    /// An upper bound of [`Experiment::load_factor_at`].
    #[must_use]
    pub fn max_load_factor(&self) -> f64 {
        self.load.max_factor()
    }
}
