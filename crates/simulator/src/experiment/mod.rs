//! Definition of an experiment: the fleet with its load, list service and faults, from an HCL file and its base files.
//!
//! Existing files fix the names of HCL keys, which `serde(rename)` maps to fields.

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
pub use self::gateways::{AttemptLimits, Gateways};
pub use self::load::{Class, Clients, Load, LoadPhase, Tenant};
pub use self::network::{DelayRange, ListService, Network};
pub use self::policy_kind::PolicyKind;
pub use self::replicas::{LoadReports, MachineKind, Replicas};
use crate::time::nanos;

/// Settings of one experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Base file that this one overrides, in the same folder. Blocks are merged, other values replaced, and `null`
    /// removes a value.
    #[serde(default)]
    #[serde(rename = "from")]
    pub base_file: Option<String>,
    /// Title of the report.
    #[serde(rename = "about")]
    pub description: String,
    /// Seed of all random streams.
    pub seed: u64,
    /// Time before statistics are recorded, during which caches fill and averages converge.
    #[serde(with = "humantime_serde")]
    pub warmup: Duration,
    /// Time after the warm-up, during which statistics are recorded.
    #[serde(with = "humantime_serde")]
    #[serde(rename = "length")]
    pub duration: Duration,
    /// Policies to simulate, all with the same seed.
    pub policies: Vec<PolicyKind>,
    /// Gateways and the front layer.
    pub gateways: Gateways,
    /// Replicas and their machine kinds.
    pub replicas: Replicas,
    /// Arrival of requests.
    pub load: Load,
    /// Classes of requests, by name.
    pub classes: BTreeMap<String, Class>,
    /// Tenants, by name; may be empty.
    #[serde(default)]
    pub tenants: BTreeMap<String, Tenant>,
    /// List service that gateways get the replicas from.
    #[serde(rename = "list")]
    pub list_service: ListService,
    /// Timeouts and retries of clients.
    pub clients: Clients,
    /// Network between gateways and replicas.
    pub network: Network,
    /// Limits of the gateways' attempts at replicas.
    #[serde(default)]
    #[serde(rename = "allow")]
    pub attempt_limits: AttemptLimits,
    /// Faults, by name.
    #[serde(default)]
    pub faults: BTreeMap<String, Fault>,
}

impl Experiment {
    /// Time of the simulation's end, in nanoseconds.
    #[must_use]
    pub fn end(&self) -> Nanos {
        nanos(self.warmup + self.duration)
    }

    /// Returns the faults, ordered by start and then by name.
    #[must_use]
    pub fn faults_in_order(&self) -> Vec<(&str, &Fault)> {
        let mut all: Vec<_> = self.faults.iter().map(|(name, fault)| (name.as_str(), fault)).collect();
        all.sort_by_key(|(name, fault)| (fault.start, *name));
        all
    }

    /// Factor of the arrival rate at a time of the simulation.
    #[must_use]
    pub fn load_factor_at(&self, now: Nanos) -> f64 {
        self.load.factor_at(now as f64 - nanos(self.warmup) as f64)
    }

    /// Upper bound of [`Experiment::load_factor_at`] over all times.
    #[must_use]
    pub fn max_load_factor(&self) -> f64 {
        self.load.max_factor()
    }
}
