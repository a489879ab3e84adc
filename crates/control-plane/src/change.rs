//! An operator's change from its request to its response: decided on by the replicated state, proposed, committed.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tulipridge_http1::within;

use crate::api::ChangeOutcome;
use crate::state::{Accepted, Applied, Change, Decision};
use crate::tenure::Tenure;

/// A change that is not committed in this time is left to the caller, who retries it.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// A change is decided on so often at most, each time by a newer state.
const MAX_DECISIONS: u32 = 3;

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It was committed and applied.
    Applied(Applied),
    /// It was never replicated and will not take effect.
    NotReplicated,
    /// It may take effect or not.
    Unknown,
}

/// The member that decides on changes.
pub trait ChangeAuthority {
    /// The tenure of this member as primary, while it is within its lease. The same result twice means that no other
    /// member was primary between.
    fn tenure(&self) -> Option<Tenure>;
    /// Decides on a change by the replicated state; none if the state machine has stopped.
    fn decide(&self, change: Arc<Change>) -> impl Future<Output = Option<Decision>>;
    /// Proposes a command; returns once it is applied or has failed.
    fn propose(&self, command: Arc<[u8]>) -> impl Future<Output = ProposalOutcome>;
}

/// What comes next for a change.
#[derive(Debug)]
pub enum ChangeStep {
    /// The state machine decides on it.
    Decide,
    /// The members have to commit it.
    Propose(Box<Accepted>),
    /// The operator gets a response.
    Respond(ChangeOutcome),
}

impl ChangeStep {
    /// What follows from a decision; none if the state machine has stopped.
    ///
    /// A decision counts only if this member has been primary from before the state was read until after it: a deposed
    /// primary could refuse a change that is in force.
    #[must_use]
    pub fn after_decision(decision: Option<Decision>, was_primary_throughout: bool) -> ChangeStep {
        if !was_primary_throughout {
            return ChangeStep::Respond(ChangeOutcome::NotPrimary);
        }
        ChangeStep::Respond(match decision {
            Some(Decision::Accept(accepted)) => return ChangeStep::Propose(accepted),
            Some(Decision::AlreadyAccepted) => ChangeOutcome::Committed,
            Some(Decision::Stale { current }) => ChangeOutcome::Stale { current },
            Some(Decision::InvalidConfiguration { findings }) => {
                ChangeOutcome::Invalid { report: String::from_utf8_lossy(&findings.to_json()).into() }
            }
            Some(Decision::OldWeights { newest }) => ChangeOutcome::OldWeights { newest },
            None => ChangeOutcome::Unknown,
        })
    }

    /// What follows from the outcome of the proposal.
    ///
    /// A command that changed nothing was committed after another one, so its change is decided on again, by the newer
    /// state.
    #[must_use]
    pub fn after_proposal(outcome: ProposalOutcome) -> ChangeStep {
        match outcome {
            ProposalOutcome::Applied(Applied::Configuration | Applied::Weights) => {
                ChangeStep::Respond(ChangeOutcome::Committed)
            }
            ProposalOutcome::Applied(Applied::Superseded) => ChangeStep::Decide,
            ProposalOutcome::NotReplicated => ChangeStep::Respond(ChangeOutcome::NotPrimary),
            ProposalOutcome::Unknown => ChangeStep::Respond(ChangeOutcome::Unknown),
        }
    }
}

/// Decides on a change, and has it committed if it is accepted.
///
/// A process that is suspended after its last check of the tenure responds late, but with what was true while the call
/// waited.
pub async fn carry_out<A: ChangeAuthority>(authority: &A, change: Change) -> ChangeOutcome {
    let change = Arc::new(change);
    let mut decisions = 0;
    let mut step = ChangeStep::Decide;
    loop {
        step = match step {
            ChangeStep::Decide if decisions == MAX_DECISIONS => return ChangeOutcome::Unknown,
            ChangeStep::Decide => {
                decisions += 1;
                decide(authority, &change).await
            }
            ChangeStep::Propose(accepted) => {
                let outcome = within(COMMIT_TIMEOUT, authority.propose(accepted.command)).await;
                ChangeStep::after_proposal(outcome.unwrap_or(ProposalOutcome::Unknown))
            }
            ChangeStep::Respond(outcome) => return outcome,
        };
    }
}

async fn decide<A: ChangeAuthority>(authority: &A, change: &Arc<Change>) -> ChangeStep {
    let Some(tenure) = authority.tenure() else {
        return ChangeStep::Respond(ChangeOutcome::NotPrimary);
    };
    let decision = authority.decide(change.clone()).await;
    let was_primary_throughout = authority.tenure() == Some(tenure);
    ChangeStep::after_decision(decision, was_primary_throughout)
}
