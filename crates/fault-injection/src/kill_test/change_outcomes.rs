//! Outcomes of operators' changes, which are compared with the configuration in force.

use std::collections::{BTreeMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::report::KillReport;
use crate::operator::{Change, ChangeResponse, Decision};

/// The changes that operators have sent, and the responses to them. All operators share the value.
#[derive(Debug, Default)]
pub(super) struct ChangeOutcomes {
    state: Mutex<ChangeOutcomesState>,
}

#[derive(Debug, Default)]
pub(super) struct ChangeOutcomesState {
    /// The newest acknowledged marker of each route. Only one operator changes a route, with increasing markers.
    pub(super) acknowledged: BTreeMap<String, u64>,
    /// The newest marker of each route that an operator has sent.
    pub(super) sent: BTreeMap<String, u64>,
    /// Acknowledged revisions. Each change raises the revision by one, so a second acknowledged change to the same
    /// revision means that the first was lost.
    revisions: HashSet<u64>,
    /// Markers that were rejected at the first attempt.
    pub(super) rejected: HashSet<u64>,
    acknowledged_count: u64,
    rejected_count: u64,
    undecided_count: u64,
    /// Descriptions of responses that are not allowed, and of changes that were not decided in time.
    pub(super) failures: Vec<String>,
}

impl ChangeOutcomes {
    pub(super) fn state(&self) -> MutexGuard<'_, ChangeOutcomesState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the decision on a change that sets the marker of the route `label`.
    pub(super) fn record(&self, label: &str, marker: u64, change: &Change, decision: &Decision) {
        let mut state = self.state();
        state.undecided_count += decision.undecided_attempts;
        match &decision.response {
            ChangeResponse::Applied => state.record_acknowledged(label, marker, change.revision),
            ChangeResponse::Stale { .. } => state.record_rejected(marker, decision.undecided_attempts),
            other => {
                state.failures.push(format!("{label}: unexpected response to marker {marker}: {other:?}"));
            }
        }
    }

    /// Adds the counts and failures to a report.
    pub(super) fn add_to(&self, report: &mut KillReport) {
        let state = self.state();
        report.changes_acknowledged += state.acknowledged_count;
        report.changes_rejected += state.rejected_count;
        report.attempts_undecided += state.undecided_count;
        report.other_violations += state.failures.len() as u64;
        report.violations.extend(state.failures.iter().cloned());
    }
}

impl ChangeOutcomesState {
    fn record_acknowledged(&mut self, label: &str, marker: u64, revision: u64) {
        self.acknowledged_count += 1;
        self.acknowledged.insert(label.to_owned(), marker);
        if !self.revisions.insert(revision) {
            self.failures.push(format!("revision {revision} was acknowledged for two changes"));
        }
    }

    fn record_rejected(&mut self, marker: u64, undecided_attempts: u64) {
        self.rejected_count += 1;
        // After an undecided attempt the change may have been applied and replaced by a later change.
        if undecided_attempts == 0 {
            self.rejected.insert(marker);
        }
    }
}
