//! The replicated state: decisions, commands, snapshots.

mod support;

use rstest::rstest;
use support::state_calls::{accepted, name, patch, put, revision, route, take};
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_control_plane::state::{Applied, Change, Decision, State};

#[test]
fn a_configuration_based_on_the_newest_is_accepted() {
    let mut state = State::default();
    assert_eq!(take(&mut state, &put(0, 3)), Applied::Configuration);
    assert_eq!(take(&mut state, &put(3, 7)), Applied::Configuration);
    assert_eq!(revision(&state), 7);
    assert_eq!(state.decide(&put(3, 9)), Decision::Stale { current: Revision(7) });
}

#[test]
fn a_repeated_request_was_accepted_already() {
    let mut state = State::default();
    take(&mut state, &put(0, 3));
    take(&mut state, &put(3, 7));
    assert_eq!(state.decide(&put(3, 7)), Decision::AlreadyAccepted);
    assert_eq!(state.decide(&put(0, 3)), Decision::AlreadyAccepted);
}

#[test]
fn an_invalid_configuration_changes_nothing() {
    let state = State::default();
    let change =
        Change::PutConfiguration { if_match: Some(Revision(0)), body: b"{\"revision\":1".to_vec() };
    assert!(matches!(state.decide(&change), Decision::InvalidConfiguration { .. }));
}

#[test]
fn only_one_of_two_changes_to_the_same_version_takes_effect() {
    let mut state = State::default();
    let (first, second) = (accepted(&state, &put(0, 3)), accepted(&state, &put(0, 4)));
    assert_eq!(state.apply(&first.command).expect("the command can be applied"), Applied::Configuration);
    assert_eq!(state.apply(&second.command).expect("the command can be applied"), Applied::Superseded);
    assert_eq!(revision(&state), 3);
}

#[test]
fn a_patch_results_in_a_complete_configuration() {
    let mut state = State::default();
    take(&mut state, &put(0, 3));
    let upsert = route("s", "/s/");
    let body = format!(r#"{{"revision":5,"upsert":{{"routes":[{upsert}]}},"remove":{{"routes":["r"]}}}}"#);
    take(&mut state, &patch(3, &body));
    let document = state.document().expect("there is a configuration");
    let labels: Vec<&str> = document.configuration().routes.iter().map(|r| r.label.as_str()).collect();
    assert_eq!((document.revision(), labels), (Revision(5), vec!["s"]));
}

#[test]
fn target_revisions_only_increase() {
    let mut state = State::default();
    assert_eq!(take(&mut state, &name("m", 2)), Applied::Weights);
    assert_eq!(state.decide(&name("m", 2)), Decision::AlreadyAccepted);
    assert_eq!(take(&mut state, &name("m", 4)), Applied::Weights);
    assert_eq!(state.decide(&name("m", 2)), Decision::AlreadyAccepted);
    assert_eq!(state.decide(&name("m", 3)), Decision::OldWeights { newest: WeightsRevision(4) });
    assert_eq!(
        state.weights().newest().into_iter().collect::<Vec<_>>(),
        [("m".to_owned(), WeightsRevision(4))]
    );
}

#[rstest]
#[case::empty(&[])]
#[case::one(&[put(0, 3)])]
#[case::all(&[put(0, 3), name("m", 2), put(3, 8), name("n", 1)])]
fn a_snapshot_restores_the_state(#[case] changes: &[Change]) {
    let mut state = State::default();
    for change in changes {
        take(&mut state, change);
    }
    assert_eq!(State::restore(&state.snapshot()).expect("the snapshot can be restored"), state);
}

#[test]
fn members_that_decide_and_members_that_follow_agree() {
    let (mut deciding, mut following) = (State::default(), State::default());
    for change in [put(0, 3), name("m", 2), put(3, 8)] {
        let accepted = accepted(&deciding, &change);
        following.apply(&accepted.command).expect("the command can be applied");
        deciding.apply_accepted(accepted).expect("the command is based on the current state");
    }
    assert_eq!(deciding, following);
    assert_eq!(deciding.snapshot(), following.snapshot());
}

#[test]
fn an_empty_snapshot_restores_the_empty_state() {
    assert_eq!(State::restore(&[]).expect("the snapshot can be restored"), State::default());
}

#[test]
fn bytes_of_another_format_are_rejected() {
    assert!(State::restore(&[9, 9, 9]).is_err());
    assert!(State::default().apply(&[9, 9, 9]).is_err());
}
