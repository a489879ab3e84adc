//! Tests of the linearizability checker: it accepts linearizable histories and rejects all others.

mod support;

use rstest::rstest;
use support::operator::call::{ConfigurationChange, ConfigurationMethod, Content, Response, WeightsChange};
use support::operator::linearizability::{KnownResponse, Operation, is_linearizable};
use support::operator::register::{ConfigurationCall, ConfigurationRegister, WeightsRegister};

type ConfigurationOperation = Operation<ConfigurationCall>;

/// A call with its start and end positions and its response.
fn completed<C>(started_at: u64, at: u64, call: C, response: Response) -> Operation<C> {
    Operation { call, started_at, end: Some(KnownResponse { at, response }) }
}

/// A call whose response was lost.
fn lost<C>(started_at: u64, call: C) -> Operation<C> {
    Operation { call, started_at, end: None }
}

fn change(base: u64, revision: u64, route_id: u64) -> ConfigurationChange {
    ConfigurationChange { method: ConfigurationMethod::Put, base, revision, route_id }
}

fn put(base: u64, revision: u64, route_id: u64) -> ConfigurationCall {
    ConfigurationCall::Change(change(base, revision, route_id))
}

fn patch(base: u64, revision: u64, route_id: u64) -> ConfigurationCall {
    ConfigurationCall::Change(ConfigurationChange {
        method: ConfigurationMethod::Patch,
        ..change(base, revision, route_id)
    })
}

fn content(revision: u64, route_ids: &[u64]) -> Response {
    Response::Configuration(Some(Content { revision, route_ids: route_ids.to_vec() }))
}

fn read(started_at: u64, at: u64, response: Response) -> ConfigurationOperation {
    completed(started_at, at, ConfigurationCall::Read, response)
}

fn is_configuration_linearizable(operations: &[ConfigurationOperation]) -> bool {
    is_linearizable(&ConfigurationRegister::default(), operations)
}

#[rstest]
#[case::no_operations(vec![])]
#[case::sequential_changes(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, patch(3, 5, 2), Response::Accepted),
    read(5, 6, content(5, &[1, 2])),
])]
#[case::repeat_after_a_lost_response(vec![
    lost(1, put(0, 3, 1)),
    completed(2, 3, put(0, 3, 1), Response::Accepted),
    completed(4, 5, put(0, 3, 1), Response::Accepted),
])]
#[case::repeat_after_another_change(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, put(3, 5, 2), Response::Accepted),
    completed(5, 6, put(0, 3, 1), Response::Accepted),
])]
#[case::lost_and_never_applied(vec![
    lost(1, put(0, 3, 1)),
    completed(2, 3, put(0, 4, 2), Response::Accepted),
    read(4, 5, content(4, &[2])),
])]
#[case::lost_and_applied_much_later(vec![
    lost(1, put(0, 3, 1)),
    read(2, 3, Response::Configuration(None)),
    read(4, 5, content(3, &[1])),
])]
#[case::read_of_a_pending_change(vec![
    completed(1, 6, put(0, 3, 1), Response::Accepted),
    read(2, 3, content(3, &[1])),
    read(4, 5, content(3, &[1])),
])]
#[case::concurrent_changes_with_one_rejected(vec![
    completed(1, 5, put(0, 3, 1), Response::Accepted),
    completed(2, 4, put(0, 3, 2), Response::Stale { current: 3 }),
])]
#[case::rejected_before_the_change_is_acknowledged(vec![
    completed(1, 5, put(0, 4, 1), Response::Accepted),
    completed(2, 3, put(3, 5, 2), Response::Stale { current: 0 }),
])]
#[case::invalid_changes(vec![
    completed(1, 2, put(0, 0, 1), Response::Invalid),
    completed(3, 4, patch(0, 2, 1), Response::Invalid),
])]
fn linearizable_histories_are_accepted(#[case] operations: Vec<ConfigurationOperation>) {
    assert!(is_configuration_linearizable(&operations));
}

#[rstest]
#[case::acknowledged_change_is_lost(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    read(3, 4, Response::Configuration(None)),
])]
#[case::acknowledged_change_is_lost_after_a_later_one(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, put(3, 5, 2), Response::Accepted),
    read(5, 6, content(3, &[1])),
])]
#[case::rejected_change_is_applied(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, put(0, 5, 2), Response::Stale { current: 3 }),
    read(5, 6, content(5, &[2])),
])]
#[case::invalid_change_is_applied(vec![
    completed(1, 2, put(0, 3, 1), Response::Invalid),
    read(3, 4, content(3, &[1])),
])]
#[case::two_changes_on_one_base(vec![
    completed(1, 3, put(0, 3, 1), Response::Accepted),
    completed(2, 4, put(0, 4, 2), Response::Accepted),
])]
#[case::two_bodies_under_one_revision(vec![
    completed(1, 3, put(0, 3, 1), Response::Accepted),
    completed(2, 4, put(0, 3, 2), Response::Accepted),
])]
#[case::same_revision_with_another_body_treated_as_a_repeat(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, put(0, 3, 2), Response::Accepted),
])]
#[case::read_of_another_body(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    read(3, 4, content(3, &[2])),
])]
#[case::read_of_a_partial_change(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, patch(3, 5, 2), Response::Accepted),
    read(5, 6, content(5, &[2])),
])]
#[case::reads_go_back_in_time(vec![
    completed(1, 6, put(0, 3, 1), Response::Accepted),
    read(2, 3, content(3, &[1])),
    read(4, 5, Response::Configuration(None)),
])]
#[case::read_before_the_change_was_requested(vec![
    read(1, 2, content(3, &[1])),
    completed(3, 4, put(0, 3, 1), Response::Accepted),
])]
#[case::repeat_is_rejected(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, put(0, 3, 1), Response::Stale { current: 3 }),
])]
#[case::repeat_after_a_lost_response_is_rejected(vec![
    lost(1, put(0, 3, 1)),
    completed(2, 3, put(0, 3, 1), Response::Stale { current: 3 }),
])]
#[case::repeat_is_applied_twice(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, put(3, 5, 2), Response::Accepted),
    completed(5, 6, put(0, 3, 1), Response::Accepted),
    read(7, 8, content(3, &[1])),
])]
#[case::rejection_names_a_revision_never_applied(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, put(0, 5, 2), Response::Stale { current: 4 }),
])]
#[case::rejection_of_a_change_on_the_current_revision(vec![
    completed(1, 2, put(0, 3, 1), Response::Accepted),
    completed(3, 4, put(3, 5, 2), Response::Stale { current: 0 }),
])]
#[case::two_lost_concurrent_changes_are_both_applied(vec![
    lost(1, put(0, 3, 1)),
    lost(2, put(0, 4, 2)),
    read(3, 4, content(3, &[1])),
    read(5, 6, content(4, &[2])),
])]
#[case::change_that_was_never_requested(vec![
    read(1, 2, content(3, &[1])),
])]
fn non_linearizable_histories_are_rejected(#[case] operations: Vec<ConfigurationOperation>) {
    assert!(!is_configuration_linearizable(&operations));
}

/// Sequential changes, each based on the previous one, and the first unused position of the history.
fn chain(length: u64) -> (Vec<ConfigurationOperation>, u64) {
    let operations = (0..length).map(|base| {
        let started_at = 2 * base + 1;
        completed(started_at, started_at + 1, put(base, base + 1, base), Response::Accepted)
    });
    (operations.collect(), 2 * length + 1)
}

/// A repeat is recognized only while its change is among the most recently remembered ones.
#[test]
fn repeats_are_recognized_up_to_the_remembered_count() {
    const REMEMBERED: u64 = 40;
    let register = ConfigurationRegister::with_max_recent_requests(REMEMBERED as usize);
    let length = REMEMBERED + 1;
    let (mut operations, now) = chain(length);
    operations.push(completed(now, now + 1, put(1, 2, 1), Response::Accepted));
    operations.push(completed(now + 2, now + 3, put(0, 1, 0), Response::Stale { current: length }));
    assert!(is_linearizable(&register, &operations));
    assert!(
        !is_configuration_linearizable(&operations),
        "a register that remembers more changes recognizes the first one"
    );
    operations.push(completed(now + 4, now + 5, put(1, 2, 1), Response::Stale { current: length }));
    assert!(!is_linearizable(&register, &operations));
}

/// A history of thousands of changes must not recurse once per change.
#[test]
fn long_histories_do_not_overflow_the_stack() {
    let (mut operations, now) = chain(2000);
    operations.push(read(now, now + 1, content(2000, &[1999])));
    assert!(is_configuration_linearizable(&operations));
}

/// Concurrent changes of each revision lose their responses, so that any of them may have been applied.
#[test]
fn lost_concurrent_changes_stay_within_the_search_limit() {
    const REVISIONS: u64 = 8;
    const CONCURRENT_CHANGES: u64 = 3;
    let concurrent_changes = (0..REVISIONS * CONCURRENT_CHANGES).map(|route_id| {
        lost(route_id + 1, put(route_id / CONCURRENT_CHANGES, route_id / CONCURRENT_CHANGES + 1, route_id))
    });
    let mut operations: Vec<ConfigurationOperation> = concurrent_changes.collect();
    operations.push(read(100, 101, content(REVISIONS, &[REVISIONS * CONCURRENT_CHANGES - 1])));
    assert!(is_configuration_linearizable(&operations));
    operations.push(read(102, 103, content(REVISIONS, &[REVISIONS * CONCURRENT_CHANGES - 2])));
    assert!(!is_configuration_linearizable(&operations));
}

fn set_target_revision(revision: u64) -> WeightsChange {
    WeightsChange { model: "large", revision }
}

#[rstest]
#[case::increasing(vec![
    completed(1, 2, set_target_revision(2), Response::Accepted),
    completed(3, 4, set_target_revision(5), Response::Accepted),
    completed(5, 6, set_target_revision(2), Response::Accepted),
    completed(7, 8, set_target_revision(3), Response::OldWeights { newest: 5 }),
], true)]
#[case::older_revision_is_accepted(vec![
    completed(1, 2, set_target_revision(5), Response::Accepted),
    completed(3, 4, set_target_revision(2), Response::Accepted),
], false)]
#[case::repeat_is_rejected(vec![
    completed(1, 2, set_target_revision(2), Response::Accepted),
    completed(3, 4, set_target_revision(5), Response::Accepted),
    completed(5, 6, set_target_revision(2), Response::OldWeights { newest: 5 }),
], false)]
#[case::rejected_before_the_newer_revision_is_requested(vec![
    completed(1, 2, set_target_revision(2), Response::OldWeights { newest: 5 }),
    completed(3, 4, set_target_revision(5), Response::Accepted),
], false)]
#[case::rejected_for_a_pending_newer_revision(vec![
    completed(1, 4, set_target_revision(5), Response::Accepted),
    completed(2, 3, set_target_revision(2), Response::OldWeights { newest: 5 }),
], true)]
#[case::rejected_for_a_lost_newer_revision(vec![
    lost(1, set_target_revision(5)),
    completed(2, 3, set_target_revision(2), Response::OldWeights { newest: 5 }),
], true)]
fn target_revisions_never_decrease(
    #[case] operations: Vec<Operation<WeightsChange>>,
    #[case] expected: bool,
) {
    assert_eq!(is_linearizable(&WeightsRegister::default(), &operations), expected);
}
