//! Placement policies: the real decision module, or one of the baselines with which it is compared.

mod baseline;
mod fleet_load;
mod selection;

use std::rc::Rc;

use tulipridge::LoadBalancer;
use tulipridge::types::{Action, Event, Nanos, Settings, SettingsError};

use self::baseline::BaselinePolicy;
pub use self::fleet_load::{ReplicaLoad, SharedFleetLoad};
use crate::experiment::PolicyKind;

/// The policy of one gateway.
pub enum Policy {
    /// The real decision module.
    LoadBalancer(Box<LoadBalancer>),
    /// A baseline.
    Baseline(Box<BaselinePolicy>),
}

impl Policy {
    /// The policy of a gateway that has just started. `fleet_load` is for the oracle.
    ///
    /// # Errors
    ///
    /// The load balancer's, if it rejects the settings.
    pub fn new(
        kind: PolicyKind,
        settings: Settings,
        seed: u64,
        fleet_load: &SharedFleetLoad,
    ) -> Result<Policy, SettingsError> {
        Ok(match kind {
            PolicyKind::LoadBalancer => Policy::LoadBalancer(Box::new(LoadBalancer::new(settings, seed)?)),
            baseline => Policy::Baseline(Box::new(BaselinePolicy::new(
                baseline,
                settings,
                seed,
                Rc::clone(fleet_load),
            ))),
        })
    }

    /// Handles an event and adds the resulting actions.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match self {
            Policy::LoadBalancer(load_balancer) => load_balancer.handle(now, event, actions),
            Policy::Baseline(baseline) => baseline.handle(now, event, actions),
        }
    }
}
