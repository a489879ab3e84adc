//! The report of a kill test.

use std::ops::AddAssign;

use serde::Serialize;

/// Numbers of injected faults, and the violations that were found.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct KillReport {
    /// Members that were killed.
    pub kills: u64,
    /// Kills with a simulated loss of power.
    pub power_losses: u64,
    /// Rounds in which all members were killed.
    #[serde(rename = "allKilled")]
    pub total_outage_rounds: u64,
    /// Kills of a member that was the primary.
    pub primaries_killed: u64,
    /// Rounds that began before the control plane had converged again.
    #[serde(rename = "killsAmidRecovery")]
    pub early_rounds: u64,
    /// Disks that lost the tail of the log.
    pub tails_dropped: u64,
    /// Bytes in these tails.
    pub bytes_dropped: u64,
    /// Changes that were acknowledged.
    pub changes_acknowledged: u64,
    /// Changes that were rejected because another change to the same base revision was applied first.
    #[serde(rename = "changesRefused")]
    pub changes_rejected: u64,
    /// Attempts without a decision; each was followed by a retry.
    #[serde(rename = "triesUndecided")]
    pub attempts_undecided: u64,
    /// Comparisons of the configuration with the recorded outcomes.
    pub checks: u64,
    /// Acknowledged changes that were lost.
    pub acknowledged_lost: u64,
    /// Rejected changes that were found in force.
    #[serde(rename = "refusedInForce")]
    pub rejected_in_force: u64,
    /// Other violations, such as a control plane that did not converge in time.
    pub other_violations: u64,
    /// Descriptions of all violations.
    pub violations: Vec<String>,
    /// Duration of the longest deployment's test, in seconds.
    pub seconds: f64,
}

impl KillReport {
    /// Whether there was no violation.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Records a violation.
    pub(super) fn add_violation(&mut self, text: String) {
        self.violations.push(text);
    }
}

impl AddAssign for KillReport {
    fn add_assign(&mut self, other: KillReport) {
        self.kills += other.kills;
        self.power_losses += other.power_losses;
        self.total_outage_rounds += other.total_outage_rounds;
        self.primaries_killed += other.primaries_killed;
        self.early_rounds += other.early_rounds;
        self.tails_dropped += other.tails_dropped;
        self.bytes_dropped += other.bytes_dropped;
        self.changes_acknowledged += other.changes_acknowledged;
        self.changes_rejected += other.changes_rejected;
        self.attempts_undecided += other.attempts_undecided;
        self.checks += other.checks;
        self.acknowledged_lost += other.acknowledged_lost;
        self.rejected_in_force += other.rejected_in_force;
        self.other_violations += other.other_violations;
        self.violations.extend(other.violations);
        self.seconds = self.seconds.max(other.seconds);
    }
}
