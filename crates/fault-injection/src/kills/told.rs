//! What operators were told, to be compared with what is in force.

use std::collections::{BTreeMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::KillReport;
use crate::operator::{Decision, Reply};

/// What operators were told of their marks.
#[derive(Debug, Default)]
pub(super) struct Told {
    state: Mutex<ToldState>,
}

#[derive(Debug, Default)]
pub(super) struct ToldState {
    /// The newest mark of each route that was acknowledged. A route has one operator, whose marks rise.
    pub(super) acknowledged: BTreeMap<String, u64>,
    /// The newest mark of each route that was sent.
    pub(super) sent: BTreeMap<String, u64>,
    /// Revisions that were acknowledged. Each leads one beyond the one on which it builds, so a second change to the
    /// same revision would mean that the first one was lost.
    revisions: HashSet<u64>,
    /// Marks that were refused at the first try.
    pub(super) refused: HashSet<u64>,
    acknowledged_count: u64,
    refused_count: u64,
    undecided_count: u64,
    /// What no operator may be told.
    pub(super) failures: Vec<String>,
}

impl Told {
    pub(super) fn state(&self) -> MutexGuard<'_, ToldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes how a change of a route was decided.
    pub(super) fn note(&self, label: &str, mark: u64, revision: u64, decision: &Decision) {
        let mut state = self.state();
        state.undecided_count += decision.undecided_tries;
        match &decision.reply {
            Reply::Taken => {
                state.acknowledged_count += 1;
                state.acknowledged.insert(label.to_owned(), mark);
                if !state.revisions.insert(revision) {
                    state.failures.push(format!("revision {revision} was acknowledged to two changes"));
                }
            }
            Reply::Stale { .. } => {
                state.refused_count += 1;
                // After a try without a decision it may have been taken and forgotten since.
                if decision.undecided_tries == 0 {
                    state.refused.insert(mark);
                }
            }
            other => state.failures.push(format!("mark {mark} of {label}: {other:?}")),
        }
    }

    /// Adds up what was told.
    pub(super) fn add_to(&self, report: &mut KillReport) {
        let state = self.state();
        report.changes_acknowledged += state.acknowledged_count;
        report.changes_refused += state.refused_count;
        report.tries_undecided += state.undecided_count;
        report.other_violations += state.failures.len() as u64;
        report.violations.extend(state.failures.iter().cloned());
    }
}
