//! The report of a play.

use std::ops::AddAssign;

use serde::Serialize;

/// What was played and found.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct KillReport {
    /// Members that were killed.
    pub kills: u64,
    /// Of them, those whose power was lost.
    pub power_losses: u64,
    /// Rounds in which all members were killed.
    pub all_killed: u64,
    /// Kills of the primary.
    pub primaries_killed: u64,
    /// Rounds that began before the control plane was whole again.
    pub kills_amid_recovery: u64,
    /// Disks that lost the end of the log.
    pub tails_dropped: u64,
    /// Bytes that they lost.
    pub bytes_dropped: u64,
    /// Changes that were acknowledged.
    pub changes_acknowledged: u64,
    /// Changes that were refused since another one was faster.
    pub changes_refused: u64,
    /// Tries without a decision, each of which was followed by another one.
    pub tries_undecided: u64,
    /// How often the configuration was compared with what operators were told.
    pub checks: u64,
    /// Acknowledged changes that were lost.
    pub acknowledged_lost: u64,
    /// Refused changes that were in force.
    pub refused_in_force: u64,
    /// Other violations, such as a member that did not come back.
    pub other_violations: u64,
    /// What was found, for a person.
    pub violations: Vec<String>,
    /// Time for all, in seconds.
    pub seconds: f64,
}

impl KillReport {
    /// Whether nothing was found.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    pub(super) fn violation(&mut self, text: String) {
        self.violations.push(text);
    }
}

impl AddAssign for KillReport {
    fn add_assign(&mut self, other: KillReport) {
        self.kills += other.kills;
        self.power_losses += other.power_losses;
        self.all_killed += other.all_killed;
        self.primaries_killed += other.primaries_killed;
        self.kills_amid_recovery += other.kills_amid_recovery;
        self.tails_dropped += other.tails_dropped;
        self.bytes_dropped += other.bytes_dropped;
        self.changes_acknowledged += other.changes_acknowledged;
        self.changes_refused += other.changes_refused;
        self.tries_undecided += other.tries_undecided;
        self.checks += other.checks;
        self.acknowledged_lost += other.acknowledged_lost;
        self.refused_in_force += other.refused_in_force;
        self.other_violations += other.other_violations;
        self.violations.extend(other.violations);
        self.seconds = self.seconds.max(other.seconds);
    }
}
