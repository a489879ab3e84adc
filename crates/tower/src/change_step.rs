//! The steps of an operator's change at the primary: decide, propose, answer. No I/O.

use crate::api::ChangeOutcome;
use crate::member::ProposalEnd;
use crate::state::{Accepted, Applied, Decision};

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
    /// The first step of a change.
    pub fn first(is_primary: bool) -> ChangeStep {
        if is_primary { ChangeStep::Decide } else { ChangeStep::Answer(ChangeOutcome::NotPrimary) }
    }

    /// What follows from a decision; none if the agreed state has ended.
    pub fn after_decision(decision: Option<Decision>, is_primary: bool) -> ChangeStep {
        let outcome = match decision {
            Some(Decision::Accept(accepted)) if is_primary => return ChangeStep::Propose(accepted),
            Some(Decision::AlreadyTaken) if is_primary => ChangeOutcome::Taken,
            Some(Decision::Stale { current }) if is_primary => ChangeOutcome::Stale { current },
            Some(Decision::InvalidConfiguration { findings }) => {
                ChangeOutcome::Invalid { report: String::from_utf8_lossy(&findings.to_json()).into() }
            }
            Some(Decision::OldWeights { newest }) => ChangeOutcome::OldWeights { newest },
            Some(Decision::Accept(_) | Decision::AlreadyTaken | Decision::Stale { .. }) => {
                ChangeOutcome::NotPrimary
            }
            None => ChangeOutcome::Unknown,
        };
        ChangeStep::Answer(outcome)
    }

    /// What follows from the end of the proposal.
    ///
    /// A command that changed nothing came behind another one, which may have been the same change, sent
    /// before: the state knows.
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
