//! Outcomes of an operator's change, depending on which member is primary before and after the decision.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::sync::Arc;

use rstest::rstest;
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_control_plane::api::ChangeOutcome;
use tulipridge_control_plane::change::{self, ChangeAuthority, ProposalOutcome};
use tulipridge_control_plane::state::{Applied, Change, Decision, State};
use tulipridge_control_plane::tenure::Tenure;
use tulipridge_protocol::number::Epoch;

const TENURE: Tenure = Tenure(Epoch(7));
const NEXT_TENURE: Tenure = Tenure(Epoch(8));

/// A member with its own state, whose tenures and proposals are scripted.
#[derive(Default)]
struct Authority {
    state: RefCell<State>,
    /// The results of consecutive calls of `tenure`; the last one repeats.
    tenures: RefCell<VecDeque<Option<Tenure>>>,
    /// The outcomes of consecutive proposals; further proposals are applied.
    outcomes: RefCell<VecDeque<ProposalOutcome>>,
    /// A command that is committed before the first proposal.
    earlier: RefCell<Option<Arc<[u8]>>>,
    decisions: Cell<u32>,
}

impl Authority {
    fn with_tenures(tenures: &[Option<Tenure>]) -> Authority {
        let authority = Authority::default();
        authority.tenures.borrow_mut().extend(tenures);
        authority
    }

    fn carry_out(&self, change: Change) -> ChangeOutcome {
        async_io::block_on(change::carry_out(self, change))
    }

    fn apply(&self, change: &Change) {
        let command = accepted(&self.state.borrow(), change);
        self.state.borrow_mut().apply(&command).expect("a committed command");
    }
}

fn accepted(state: &State, change: &Change) -> Arc<[u8]> {
    match state.decide(change) {
        Decision::Accept(accepted) => accepted.command,
        other => panic!("the change was not accepted: {other:?}"),
    }
}

impl ChangeAuthority for Authority {
    fn tenure(&self) -> Option<Tenure> {
        let mut tenures = self.tenures.borrow_mut();
        if tenures.len() > 1 { tenures.pop_front().flatten() } else { tenures.front().copied().flatten() }
    }

    async fn decide(&self, change: Arc<Change>) -> Option<Decision> {
        self.decisions.set(self.decisions.get() + 1);
        Some(self.state.borrow().decide(&change))
    }

    async fn propose(&self, command: Arc<[u8]>) -> ProposalOutcome {
        let mut state = self.state.borrow_mut();
        if let Some(earlier) = self.earlier.take() {
            state.apply(&earlier).expect("a committed command");
        }
        let scripted = self.outcomes.borrow_mut().pop_front();
        scripted.unwrap_or_else(|| ProposalOutcome::Applied(state.apply(&command).expect("a command")))
    }
}

fn document(revision: u64) -> Vec<u8> {
    format!(r#"{{"revision":{revision},"routes":[],"backends":[]}}"#).into_bytes()
}

fn put(if_match: u64, revision: u64) -> Change {
    Change::PutConfiguration { if_match: Some(Revision(if_match)), body: document(revision) }
}

fn weights(revision: u64) -> Change {
    Change::SetTargetRevision { model: "m".to_owned(), revision: WeightsRevision(revision) }
}

/// One change for each kind of decision, at a member with configuration 3 and weights 5.
#[rstest]
#[case::accept(put(3, 4), ChangeOutcome::Committed)]
#[case::already_accepted(put(0, 3), ChangeOutcome::Committed)]
#[case::stale(put(2, 9), ChangeOutcome::Stale { current: Revision(3) })]
#[case::old_weights(weights(4), ChangeOutcome::OldWeights { newest: WeightsRevision(5) })]
fn only_a_member_that_was_primary_throughout_responds(
    #[case] change: Change,
    #[case] expected: ChangeOutcome,
    #[values(
        &[Some(TENURE)],
        &[None],
        &[Some(TENURE), None],
        &[Some(TENURE), Some(NEXT_TENURE)],
    )]
    tenures: &[Option<Tenure>],
) {
    let authority = Authority::with_tenures(tenures);
    authority.apply(&put(0, 3));
    authority.apply(&weights(5));
    let is_primary = tenures == [Some(TENURE)];
    let expected = if is_primary { expected } else { ChangeOutcome::NotPrimary };
    assert_eq!(authority.carry_out(change), expected);
}

#[test]
fn an_invalid_configuration_is_refused_by_a_primary_only() {
    let invalid = || Change::PutConfiguration { if_match: Some(Revision(0)), body: b"{".to_vec() };
    let outcome = Authority::with_tenures(&[Some(TENURE)]).carry_out(invalid());
    assert!(matches!(outcome, ChangeOutcome::Invalid { .. }), "{outcome:?}");
    let deposed = Authority::with_tenures(&[Some(TENURE), None]);
    assert_eq!(deposed.carry_out(invalid()), ChangeOutcome::NotPrimary);
}

/// Another command is committed before the command of a change. If both are commands of the same change, the second
/// one is recognized as a repeat when it is applied; otherwise the change is decided on again, with the newer
/// state.
#[rstest]
#[case::the_same_change(put(0, 3), ChangeOutcome::Committed, 1)]
#[case::another_change(put(0, 2), ChangeOutcome::Stale { current: Revision(2) }, 2)]
fn a_superseded_change_is_decided_on_by_the_newer_state(
    #[case] earlier: Change,
    #[case] expected: ChangeOutcome,
    #[case] decisions: u32,
) {
    let authority = Authority::with_tenures(&[Some(TENURE)]);
    *authority.earlier.borrow_mut() = Some(accepted(&State::default(), &earlier));
    assert_eq!(authority.carry_out(put(0, 3)), expected);
    assert_eq!(authority.decisions.get(), decisions);
}

#[rstest]
#[case::not_replicated(ProposalOutcome::NotReplicated, ChangeOutcome::NotPrimary)]
#[case::unknown(ProposalOutcome::Unknown, ChangeOutcome::Unknown)]
#[case::always_superseded(ProposalOutcome::Applied(Applied::Superseded), ChangeOutcome::Unknown)]
fn an_uncommitted_change_is_not_refused(#[case] outcome: ProposalOutcome, #[case] expected: ChangeOutcome) {
    let authority = Authority::with_tenures(&[Some(TENURE)]);
    authority.outcomes.borrow_mut().extend([outcome; 3]);
    assert_eq!(authority.carry_out(put(0, 3)), expected);
}
