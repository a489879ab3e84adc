//! What an experiment is: the fleet, its load, its list service and its faults, from one HCL file.

mod check;
mod faults;
mod gateways;
mod load;
mod module_settings;
mod network;
mod parse;
mod replicas;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use tulipridge::types::Nanos;

pub use self::faults::{Fault, FaultKind};
pub use self::gateways::{Allow, Gateways};
pub use self::load::{Class, Clients, Load, LoadPhase, Tenant};
pub use self::network::{Late, ListService, Network};
pub use self::replicas::{Kind, Replicas, Reports};
use crate::policy::PolicyKind;
use crate::time::nanos;

/// One experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The file that this one differs from, beside it. What it has in blocks goes into that file's blocks, anything else
    /// takes the place of what is there, and `null` takes it away.
    #[serde(default)]
    pub from: Option<String>,
    /// One sentence that stands over the report.
    pub about: String,
    /// All randomness comes from this number.
    pub seed: u64,
    /// Time before figures are taken: caches fill, averages settle.
    #[serde(with = "humantime_serde")]
    pub warmup: Duration,
    /// Time over which figures are taken, after the warm-up.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// The policies that are played, side by side on the same seed.
    pub policies: Vec<PolicyKind>,
    /// The gateways.
    pub gateways: Gateways,
    /// The real servers.
    pub replicas: Replicas,
    /// What arrives.
    pub load: Load,
    /// Classes of requests.
    pub classes: BTreeMap<String, Class>,
    /// Tenants by name.
    #[serde(default)]
    pub tenants: BTreeMap<String, Tenant>,
    /// The list service.
    pub list: ListService,
    /// The clients.
    pub clients: Clients,
    /// The network between all.
    pub network: Network,
    /// What the gateways may do.
    #[serde(default)]
    pub allow: Allow,
    /// What breaks, and when.
    #[serde(default)]
    pub faults: BTreeMap<String, Fault>,
}

impl Experiment {
    /// Time at which all ends.
    #[must_use]
    pub fn end(&self) -> Nanos {
        nanos(self.warmup + self.length)
    }

    /// Faults in the order of their times, then names.
    #[must_use]
    pub fn faults_in_order(&self) -> Vec<(&str, &Fault)> {
        let mut all: Vec<_> = self.faults.iter().map(|(name, fault)| (name.as_str(), fault)).collect();
        all.sort_by_key(|(name, fault)| (fault.at, *name));
        all
    }

    /// The multiple of the rate at a time.
    #[must_use]
    pub fn factor_at(&self, now: Nanos) -> f64 {
        self.load.factor_at(now as f64 - nanos(self.warmup) as f64)
    }

    /// The most that [`Experiment::factor_at`] may come to.
    #[must_use]
    pub fn factor_most(&self) -> f64 {
        self.load.factor_most()
    }
}
