//! A load in progress at one replica.

use std::time::Duration;

use tulipridge_protocol::feed::ModelRevision;

/// A load in progress, from the time at which the replica is marked as loading to its end.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// The weights to load.
    pub(super) weights: ModelRevision,
    /// When the load started: from then on the replica is shown as loading and receives no new requests.
    pub(super) started_at: Duration,
    /// When the replica accepted this primary's command.
    pub(super) accepted_at: Option<Duration>,
    /// The next step of the load.
    pub(super) next_step: NextStep,
}

/// The next step of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Send the load command at this time.
    CommandAt(Duration),
    /// Wait for the outcome of the command.
    AwaitOutcome,
    /// Fetch the replica's report at this time.
    ReportAt(Duration),
    /// Wait for the report.
    AwaitReport,
}

impl Load {
    /// Starts a load whose command is sent at `command_at`.
    pub(super) fn start(weights: ModelRevision, now: Duration, command_at: Duration) -> Load {
        let next_step = NextStep::CommandAt(command_at);
        Load { weights, started_at: now, accepted_at: None, next_step }
    }

    /// Creates a load that an earlier primary may have commanded; the replica's report is fetched at once.
    pub(super) fn inherit(weights: ModelRevision, now: Duration) -> Load {
        Load { weights, started_at: now, accepted_at: None, next_step: NextStep::ReportAt(now) }
    }

    /// When the next step is due, or `None` while a response is pending. No command is due before `commands_from`.
    pub(super) fn due_at(&self, commands_from: Duration) -> Option<Duration> {
        match self.next_step {
            NextStep::CommandAt(at) => Some(at.max(commands_from)),
            NextStep::ReportAt(at) => Some(at),
            NextStep::AwaitOutcome | NextStep::AwaitReport => None,
        }
    }

    /// Whether the next step is due at `now`.
    pub(super) fn is_due(&self, now: Duration, commands_from: Duration) -> bool {
        self.due_at(commands_from).is_some_and(|at| at <= now)
    }
}
