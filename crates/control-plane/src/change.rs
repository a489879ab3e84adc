//! What becomes of an operator's change: the decision on it, the agreement, and the answer.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tulipridge_http1::within;

use crate::api::ChangeOutcome;
use crate::member::ProposalEnd;
use crate::state::{Accepted, Applied, Change, Decision};

/// A change that is not agreed on in this time is left to the caller, who sends it again.
pub const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// A change is decided on so often at most, each time on a newer state.
const DECISION_ATTEMPTS: u32 = 3;

/// The member that decides on changes.
pub trait ChangeAuthority {
    /// The epoch in which this member became primary, while it is within its lease: the same answer twice means that
    /// no other member was primary between.
    fn tenure(&self) -> Option<u64>;
    /// Decides on a change by the agreed state; none if there is no state any more.
    fn decide(&self, change: Arc<Change>) -> impl Future<Output = Option<Decision>>;
    /// Has the members agree on a command; returns once it is applied, or failed.
    fn agree(&self, command: Arc<[u8]>) -> impl Future<Output = ProposalEnd>;
}

/// What comes next for a change.
#[derive(Debug)]
pub enum ChangeStep {
    /// It is decided on by the state as it is then.
    Decide,
    /// The members have to agree on it.
    Propose(Box<Accepted>),
    /// The operator is answered.
    Answer(ChangeOutcome),
}

impl ChangeStep {
    /// What follows from a decision; none if the agreed state has ended.
    ///
    /// Every decision is made on a state that holds all that was acknowledged, and counts only if this member has
    /// been primary from before the state was read until after it: a refusal by a deposed primary could be of a
    /// change that is in force.
    #[must_use]
    pub fn after_decision(decision: Option<Decision>, was_primary_throughout: bool) -> ChangeStep {
        if !was_primary_throughout {
            return ChangeStep::Answer(ChangeOutcome::NotPrimary);
        }
        ChangeStep::Answer(match decision {
            Some(Decision::Accept(accepted)) => return ChangeStep::Propose(accepted),
            Some(Decision::AlreadyTaken) => ChangeOutcome::Taken,
            Some(Decision::Stale { current }) => ChangeOutcome::Stale { current },
            Some(Decision::InvalidConfiguration { findings }) => {
                ChangeOutcome::Invalid { report: String::from_utf8_lossy(&findings.to_json()).into() }
            }
            Some(Decision::OldWeights { newest }) => ChangeOutcome::OldWeights { newest },
            None => ChangeOutcome::Unknown,
        })
    }

    /// What follows from the end of the proposal.
    ///
    /// A command that changed nothing came behind another one, so it is decided on again, by the newer state.
    #[must_use]
    pub fn after_proposal(end: ProposalEnd) -> ChangeStep {
        match end {
            ProposalEnd::Applied(Applied::Configuration | Applied::Weights) => {
                ChangeStep::Answer(ChangeOutcome::Taken)
            }
            ProposalEnd::Applied(Applied::Superseded) => ChangeStep::Decide,
            ProposalEnd::NotTaken => ChangeStep::Answer(ChangeOutcome::NotPrimary),
            ProposalEnd::Unknown => ChangeStep::Answer(ChangeOutcome::Unknown),
        }
    }
}

/// Decides on a change, and has it agreed on if it is accepted.
///
/// A process that stands still after the last look at who is primary answers late, but with what was true while the
/// call waited.
pub async fn carry_out<A: ChangeAuthority>(authority: &A, change: Change) -> ChangeOutcome {
    let change = Arc::new(change);
    let mut decisions = 0;
    let mut step = ChangeStep::Decide;
    loop {
        step = match step {
            ChangeStep::Decide if decisions == DECISION_ATTEMPTS => return ChangeOutcome::Unknown,
            ChangeStep::Decide => {
                decisions += 1;
                decide(authority, &change).await
            }
            ChangeStep::Propose(accepted) => {
                let end = within(AGREEMENT_TIMEOUT, authority.agree(accepted.command)).await;
                ChangeStep::after_proposal(end.unwrap_or(ProposalEnd::Unknown))
            }
            ChangeStep::Answer(outcome) => return outcome,
        };
    }
}

async fn decide<A: ChangeAuthority>(authority: &A, change: &Arc<Change>) -> ChangeStep {
    let Some(tenure) = authority.tenure() else {
        return ChangeStep::Answer(ChangeOutcome::NotPrimary);
    };
    let decision = authority.decide(change.clone()).await;
    let was_primary_throughout = authority.tenure() == Some(tenure);
    ChangeStep::after_decision(decision, was_primary_throughout)
}
