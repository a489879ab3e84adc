//! Placement policies: the gateway's load balancer, and the baselines that it is compared with.

mod baseline;
mod fleet_load;
mod selection;

use std::rc::Rc;

use tulipridge::LoadBalancer;
use tulipridge::types::{Action, Event, Nanos, Settings, SettingsError};

use self::baseline::BaselinePolicy;
pub use self::fleet_load::{ReplicaLoad, SharedFleetLoad};
use crate::experiment::PolicyKind;

/// A policy instance of one gateway.
pub enum Policy {
    /// The load balancer of the gateway, as in production.
    LoadBalancer(Box<LoadBalancer>),
    /// A baseline for comparison.
    Baseline(Box<BaselinePolicy>),
}

impl Policy {
    /// Creates the policy of a gateway that has just started. Only the oracle reads `fleet_load`.
    ///
    /// # Errors
    ///
    /// Returns the load balancer's error if it rejects the settings.
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
