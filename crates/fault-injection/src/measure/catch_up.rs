//! From the start of a member that was away until the control plane is whole again.

use std::time::Instant;

use serde::Serialize;

use super::{CHANGE_LIMIT, start};
use crate::deployment::{Plan, SETTLE_LIMIT};
use crate::error::Result;
use crate::figures::Figures;
use crate::operator::Change;
use crate::wait::wait_until;

/// Labels that the changes use in turn.
const LABELS: u64 = 50;

/// The figures of one number of missed changes.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CatchUpReport {
    /// Changes that the member has missed.
    pub missed_changes: u64,
    /// From its start until it delivers the newest configuration as fresh.
    pub current: Figures,
    /// From its start until the control plane is whole.
    pub whole: Figures,
}

/// Lets a backup miss so many changes, as often as asked.
pub fn catch_up(missed_changes: u64, count: usize) -> Result<CatchUpReport> {
    let mut deployment = start(Plan { edges: 0, ..Plan::default() })?;
    let mut current = Vec::new();
    let mut whole = Vec::new();
    let mut revision = 1;
    for _ in 0..count {
        let away = deployment.backup()?;
        deployment.members[away].process.kill();
        let operator = deployment.operator();
        for _ in 0..missed_changes {
            let label = format!("r-{}", revision % LABELS);
            revision = operator.apply(&Change::upsert_route(revision, &label, revision), CHANGE_LIMIT)?;
        }
        let began = Instant::now();
        deployment.start_member(away)?;
        let is_current = || {
            let status = deployment.status(away);
            status.is_some_and(|status| status.is_fresh() && status.configuration == revision)
        };
        wait_until("the member is current", SETTLE_LIMIT, is_current)?;
        current.push(began.elapsed());
        deployment.wait_until_whole()?;
        whole.push(began.elapsed());
    }
    Ok(CatchUpReport { missed_changes, current: Figures::of(current), whole: Figures::of(whole) })
}
