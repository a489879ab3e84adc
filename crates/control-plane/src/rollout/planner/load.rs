//! The load of one replica, in progress.

use std::time::Duration;

use tulipridge_protocol::feed::ModelRevision;

/// The load of a replica, from the notice to the proxies up to its end.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// The weights that it loads.
    pub(super) weights: ModelRevision,
    /// Since when it receives no new requests.
    pub(super) started_at: Duration,
    /// When it accepted this primary's command.
    pub(super) accepted_at: Option<Duration>,
    /// What comes next.
    pub(super) next_step: NextStep,
}

/// What comes next in a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// The command is due at this time.
    CommandAt(Duration),
    /// The command's outcome is awaited.
    AwaitOutcome,
    /// A request for the report is due at this time.
    ReportAt(Duration),
    /// The report is awaited.
    AwaitReport,
}

impl Load {
    /// A load that starts now, whose command is due at `command_at`.
    pub(super) fn start(weights: ModelRevision, now: Duration, command_at: Duration) -> Load {
        let next_step = NextStep::CommandAt(command_at);
        Load { weights, started_at: now, accepted_at: None, next_step }
    }

    /// A load that an earlier primary may have commanded: the replica is asked for its report at once.
    pub(super) fn inherit(weights: ModelRevision, now: Duration) -> Load {
        Load { weights, started_at: now, accepted_at: None, next_step: NextStep::ReportAt(now) }
    }

    /// When something is due next, if commands may be sent from `commands_from` on; none while a response is awaited.
    pub(super) fn due_at(&self, commands_from: Duration) -> Option<Duration> {
        match self.next_step {
            NextStep::CommandAt(at) => Some(at.max(commands_from)),
            NextStep::ReportAt(at) => Some(at),
            NextStep::AwaitOutcome | NextStep::AwaitReport => None,
        }
    }

    /// Whether something is due now.
    pub(super) fn is_due(&self, now: Duration, commands_from: Duration) -> bool {
        self.due_at(commands_from).is_some_and(|at| at <= now)
    }
}
