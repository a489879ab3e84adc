//! Simulates the policies of an experiment, and collects their statistics.

use std::thread;

use tulipridge::types::SettingsError;

use super::data::{FaultMarker, Report};
use super::error::ReportError;
use crate::experiment::{Experiment, PolicyKind};
use crate::fleet;
use crate::record::RunSummary;

impl Report {
    /// Simulates an experiment with all of its policies, each on a separate thread; the threads share only the
    /// immutable experiment.
    ///
    /// # Errors
    ///
    /// Returns [`ReportError::Settings`] if the load balancer rejects the settings of the experiment, and
    /// [`ReportError::Panicked`] if a simulation panics.
    pub fn simulate(experiment: &Experiment) -> Result<Report, ReportError> {
        let faults = experiment.faults_in_order().into_iter();
        Ok(Report {
            description: experiment.description.clone(),
            seed: experiment.seed,
            gateways: experiment.gateways.count,
            replicas: experiment.replicas.count,
            requests_per_s: experiment.load.requests_per_s,
            faults: faults.map(|(name, fault)| FaultMarker::new(name, fault)).collect(),
            runs: simulate_policies(experiment)?,
        })
    }
}

fn simulate_policies(experiment: &Experiment) -> Result<Vec<RunSummary>, ReportError> {
    type RunHandle<'scope> = thread::ScopedJoinHandle<'scope, Result<RunSummary, SettingsError>>;
    let join = |(policy, run): (PolicyKind, RunHandle<'_>)| match run.join() {
        Ok(result) => result.map_err(|source| ReportError::Settings { policy, source }),
        Err(_) => Err(ReportError::Panicked { policy }),
    };
    thread::scope(|scope| {
        let spawn = |policy: &PolicyKind| {
            let policy = *policy;
            (policy, scope.spawn(move || fleet::simulate(experiment, policy)))
        };
        let runs: Vec<(PolicyKind, RunHandle<'_>)> = experiment.policies.iter().map(spawn).collect();
        runs.into_iter().map(join).collect()
    })
}
