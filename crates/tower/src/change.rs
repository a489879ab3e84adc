//! What becomes of an operator's change: the decision on it, the agreement, and the answer.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use jetway::within;

use crate::api::ChangeOutcome;
use crate::member::ProposalEnd;
use crate::state::{Accepted, Applied, Change, Decision};

/// A change that is not agreed on in this time is left to the caller, who sends it again.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(5);
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

/// Decides on a change, and has it agreed on if it is accepted.
///
/// Every decision is made on a state that holds all that was acknowledged, and counts only if this member has been
/// primary from before the state was read until after it: a refusal by a deposed primary could be of a change that
/// is in force. A process that stands still after that answers late, but with what was true while the call waited.
pub async fn carry_out<A: ChangeAuthority>(authority: &A, change: Change) -> ChangeOutcome {
    let change = Arc::new(change);
    for _ in 0..DECISION_ATTEMPTS {
        let Some(tenure) = authority.tenure() else { return ChangeOutcome::NotPrimary };
        let Some(decision) = authority.decide(change.clone()).await else {
            return ChangeOutcome::Unknown;
        };
        if authority.tenure() != Some(tenure) {
            return ChangeOutcome::NotPrimary;
        }
        let accepted = match decision {
            Decision::Accept(accepted) => accepted,
            Decision::AlreadyTaken => return ChangeOutcome::Taken,
            Decision::Stale { current } => return ChangeOutcome::Stale { current },
            Decision::InvalidConfiguration { findings } => {
                let report = String::from_utf8_lossy(&findings.to_json()).into();
                return ChangeOutcome::Invalid { report };
            }
            Decision::OldWeights { newest } => return ChangeOutcome::OldWeights { newest },
        };
        if let Some(outcome) = agree(authority, *accepted).await {
            return outcome;
        }
    }
    ChangeOutcome::Unknown
}

/// Has a change agreed on. None if its entry found a newer state than the one that was decided on, so that it is to
/// be decided on again.
async fn agree<A: ChangeAuthority>(authority: &A, accepted: Accepted) -> Option<ChangeOutcome> {
    let end = within(AGREEMENT_TIMEOUT, authority.agree(accepted.command)).await;
    match end.unwrap_or(ProposalEnd::Unknown) {
        ProposalEnd::Applied(Applied::Configuration | Applied::Weights) => Some(ChangeOutcome::Taken),
        ProposalEnd::Applied(Applied::Superseded) => None,
        ProposalEnd::NotTaken => Some(ChangeOutcome::NotPrimary),
        ProposalEnd::Unknown => Some(ChangeOutcome::Unknown),
    }
}
