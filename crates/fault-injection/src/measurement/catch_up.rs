//! Time from the restart of a member that missed changes until it is current and the control plane has converged.

use std::time::{Duration, Instant};

use serde::Serialize;

use super::setup::{CHANGE_TIMEOUT, start};
use crate::deployment::{CONVERGENCE_TIMEOUT, Deployment, Topology};
use crate::duration_summary::DurationSummary;
use crate::error::Result;
use crate::operator::Change;
use crate::wait::wait_until;

/// Number of routes that the changes set in turn.
const ROUTE_LABEL_COUNT: u64 = 50;

/// Measured durations for one number of missed changes.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CatchUpReport {
    /// The number of changes that were applied while the member was stopped.
    pub missed_changes: u64,
    /// Time from the member's start until the member publishes the newest configuration as fresh.
    pub current: DurationSummary,
    /// Time from the member's start until the control plane has converged.
    #[serde(rename = "whole")]
    pub converged: DurationSummary,
}

/// Kills a backup, applies `missed_changes` and restarts the backup, `count` times.
///
/// # Errors
///
/// Any [`HarnessError`](crate::error::HarnessError) of the deployment or of a change.
pub fn measure_catch_up(missed_changes: u64, count: usize) -> Result<CatchUpReport> {
    let mut deployment = start(Topology { edges: 0, ..Topology::default() })?;
    let mut current = Vec::new();
    let mut converged = Vec::new();
    let mut revision = 1;
    for _ in 0..count {
        let stopped_member = deployment.wait_for_backup()?;
        deployment.members[stopped_member].process.kill();
        revision = apply_changes(&deployment, revision, missed_changes)?;
        let started_at = Instant::now();
        deployment.start_member(stopped_member)?;
        current.push(wait_until_current(&deployment, stopped_member, revision, started_at)?);
        deployment.wait_until_converged()?;
        converged.push(started_at.elapsed());
    }
    Ok(CatchUpReport {
        missed_changes,
        current: DurationSummary::of(current),
        converged: DurationSummary::of(converged),
    })
}

/// Applies `count` changes to the configuration `revision` and returns the newest revision.
fn apply_changes(deployment: &Deployment, mut revision: u64, count: u64) -> Result<u64> {
    let operator = deployment.operator();
    for _ in 0..count {
        let label = format!("r-{}", revision % ROUTE_LABEL_COUNT);
        revision = operator.apply(&Change::upsert_route(revision, &label, revision), CHANGE_TIMEOUT)?;
    }
    Ok(revision)
}

/// Waits until a member publishes `revision` as fresh, and returns the time since `started_at`.
fn wait_until_current(
    deployment: &Deployment,
    member: usize,
    revision: u64,
    started_at: Instant,
) -> Result<Duration> {
    let is_current = || {
        let status = deployment.status(member);
        status.is_some_and(|status| status.is_fresh() && status.configuration == revision)
    };
    wait_until("the member is current", CONVERGENCE_TIMEOUT, is_current)?;
    Ok(started_at.elapsed())
}
