//! A fleet in simulated time: gateways with their policies, emulated replicas, a list service and clients.
//!
//! All events are in one queue, ordered by time and then by insertion, so that runs with the same seed are identical to
//! the byte. Placement is decided by the policies alone; the fleet performs their actions. `state` has the fleet's data,
//! `run` the event loop, and each other module the steps for one part of the fleet.

mod attempts;
mod build;
mod clients;
mod events;
mod faults;
mod gateways;
mod list_service;
mod processes;
mod replicas;
mod requests;
mod run;
mod state;

use tulipridge::types::SettingsError;

use self::state::Fleet;
use crate::experiment::{Experiment, PolicyKind};
use crate::record::RunSummary;

/// Simulates an experiment with one policy.
///
/// # Errors
///
/// The load balancer's, if it rejects the settings.
pub fn simulate(experiment: &Experiment, policy: PolicyKind) -> Result<RunSummary, SettingsError> {
    let mut fleet = Fleet::new(experiment, policy);
    fleet.run()?;
    Ok(fleet.recorder.summary(policy.name()))
}
