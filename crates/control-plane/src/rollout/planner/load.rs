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
    /// When it accepted the command.
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

    /// When something is due next; none while a response is awaited.
    pub(super) fn due_at(&self) -> Option<Duration> {
        match self.next_step {
            NextStep::CommandAt(at) | NextStep::ReportAt(at) => Some(at),
            NextStep::AwaitOutcome | NextStep::AwaitReport => None,
        }
    }

    /// Whether something is due now.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.due_at().is_some_and(|at| at <= now)
    }
}
