//! Processes an operator's change: the replicated state decides on it, then it is proposed and committed.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tulipridge_http1::within;

use crate::api::ChangeOutcome;
use crate::state::{Accepted, Applied, Change, Decision};
use crate::tenure::Tenure;

/// Time for a proposal to be committed. After that the outcome is unknown, and the caller has to retry.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on the decisions on one change, each made by a newer state.
const MAX_DECISIONS: u32 = 3;

/// The outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The command was committed and applied.
    Applied(Applied),
    /// The command was never replicated and won't take effect.
    NotReplicated,
    /// The command may or may not take effect.
    Unknown,
}

/// The member that decides on changes.
pub trait ChangeAuthority {
    /// The tenure of this member as primary, while it is within its lease. Two equal results mean that no other member
    /// was primary in between.
    fn tenure(&self) -> Option<Tenure>;
    /// Has the replicated state decide on a change; `None` if the state machine has stopped.
    fn decide(&self, change: Arc<Change>) -> impl Future<Output = Option<Decision>>;
    /// Proposes a command and returns once it has been applied or has failed.
    fn propose(&self, command: Arc<[u8]>) -> impl Future<Output = ProposalOutcome>;
}

/// The next step in processing a change.
#[derive(Debug)]
pub enum ChangeStep {
    /// Have the state machine decide on it.
    Decide,
    /// Propose it to the members.
    Propose(Box<Accepted>),
    /// Respond to the operator.
    Respond(ChangeOutcome),
}

impl ChangeStep {
    /// The step after a decision, which is `None` if the state machine has stopped.
    ///
    /// A decision is valid only if this member was primary from before the state was read until after that: a deposed
    /// primary could reject a change that is already in force.
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

    /// The step after the outcome of a proposal.
    ///
    /// A superseded command was committed after a conflicting one, so the newer state decides on its change again.
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
/// If the process is suspended after its last check of the tenure, the response is late but states what was true while
/// the request was pending.
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
