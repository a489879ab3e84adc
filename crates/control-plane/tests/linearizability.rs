//! The checker of operators' histories itself: good histories are explained, bad ones are seen.

mod support;

use rstest::rstest;
use support::operator::call::{Answer, ConfigurationMethod, ConfigurationOrder, Content, WeightsOrder};
use support::operator::linearizability::{KnownAnswer, Operation, is_linearizable};
use support::operator::register::{ConfigurationCall, ConfigurationRegister, WeightsRegister};

type ConfigurationOperation = Operation<ConfigurationCall>;

/// A call from one moment to another, with its answer.
fn answered<C>(started_at: u64, at: u64, call: C, answer: Answer) -> Operation<C> {
    Operation { call, started_at, end: Some(KnownAnswer { at, answer }) }
}

/// A call whose answer was lost.
fn lost<C>(started_at: u64, call: C) -> Operation<C> {
    Operation { call, started_at, end: None }
}

fn order(base: u64, revision: u64, mark: u64) -> ConfigurationOrder {
    ConfigurationOrder { method: ConfigurationMethod::Put, base, revision, mark }
}

fn put(base: u64, revision: u64, mark: u64) -> ConfigurationCall {
    ConfigurationCall::Change(order(base, revision, mark))
}

fn patch(base: u64, revision: u64, mark: u64) -> ConfigurationCall {
    ConfigurationCall::Change(ConfigurationOrder {
        method: ConfigurationMethod::Patch,
        ..order(base, revision, mark)
    })
}

fn content(revision: u64, marks: &[u64]) -> Answer {
    Answer::Configuration(Some(Content { revision, marks: marks.to_vec() }))
}

fn read(started_at: u64, at: u64, answer: Answer) -> ConfigurationOperation {
    answered(started_at, at, ConfigurationCall::Read, answer)
}

fn is_explained(operations: &[ConfigurationOperation]) -> bool {
    is_linearizable(&ConfigurationRegister::default(), operations)
}

#[rstest]
#[case::nothing(vec![])]
#[case::one_after_the_other(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, patch(3, 5, 2), Answer::Taken),
    read(5, 6, content(5, &[1, 2])),
])]
#[case::repeat_after_a_lost_answer(vec![
    lost(1, put(0, 3, 1)),
    answered(2, 3, put(0, 3, 1), Answer::Taken),
    answered(4, 5, put(0, 3, 1), Answer::Taken),
])]
#[case::repeat_after_another_change(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, put(3, 5, 2), Answer::Taken),
    answered(5, 6, put(0, 3, 1), Answer::Taken),
])]
#[case::lost_and_never_in_force(vec![
    lost(1, put(0, 3, 1)),
    answered(2, 3, put(0, 4, 2), Answer::Taken),
    read(4, 5, content(4, &[2])),
])]
#[case::lost_and_in_force_much_later(vec![
    lost(1, put(0, 3, 1)),
    read(2, 3, Answer::Configuration(None)),
    read(4, 5, content(3, &[1])),
])]
#[case::read_of_a_change_under_way(vec![
    answered(1, 6, put(0, 3, 1), Answer::Taken),
    read(2, 3, content(3, &[1])),
    read(4, 5, content(3, &[1])),
])]
#[case::rivals_of_which_one_is_refused(vec![
    answered(1, 5, put(0, 3, 1), Answer::Taken),
    answered(2, 4, put(0, 3, 2), Answer::Stale { current: 3 }),
])]
#[case::refused_before_the_change_is_acknowledged(vec![
    answered(1, 5, put(0, 4, 1), Answer::Taken),
    answered(2, 3, put(3, 5, 2), Answer::Stale { current: 0 }),
])]
#[case::not_valid(vec![
    answered(1, 2, put(0, 0, 1), Answer::Invalid),
    answered(3, 4, patch(0, 2, 1), Answer::Invalid),
])]
fn good_histories_are_explained(#[case] operations: Vec<ConfigurationOperation>) {
    assert!(is_explained(&operations));
}

#[rstest]
#[case::acknowledged_change_is_lost(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    read(3, 4, Answer::Configuration(None)),
])]
#[case::acknowledged_change_is_lost_after_a_later_one(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, put(3, 5, 2), Answer::Taken),
    read(5, 6, content(3, &[1])),
])]
#[case::refused_change_is_in_force(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, put(0, 5, 2), Answer::Stale { current: 3 }),
    read(5, 6, content(5, &[2])),
])]
#[case::invalid_change_is_in_force(vec![
    answered(1, 2, put(0, 3, 1), Answer::Invalid),
    read(3, 4, content(3, &[1])),
])]
#[case::two_changes_on_one_base(vec![
    answered(1, 3, put(0, 3, 1), Answer::Taken),
    answered(2, 4, put(0, 4, 2), Answer::Taken),
])]
#[case::two_bodies_under_one_revision(vec![
    answered(1, 3, put(0, 3, 1), Answer::Taken),
    answered(2, 4, put(0, 3, 2), Answer::Taken),
])]
#[case::same_number_with_another_body_taken_for_a_repeat(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, put(0, 3, 2), Answer::Taken),
])]
#[case::read_of_another_body(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    read(3, 4, content(3, &[2])),
])]
#[case::read_of_a_part_of_a_change(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, patch(3, 5, 2), Answer::Taken),
    read(5, 6, content(5, &[2])),
])]
#[case::reads_go_back_in_time(vec![
    answered(1, 6, put(0, 3, 1), Answer::Taken),
    read(2, 3, content(3, &[1])),
    read(4, 5, Answer::Configuration(None)),
])]
#[case::read_before_the_change_was_asked_for(vec![
    read(1, 2, content(3, &[1])),
    answered(3, 4, put(0, 3, 1), Answer::Taken),
])]
#[case::repeat_is_refused(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, put(0, 3, 1), Answer::Stale { current: 3 }),
])]
#[case::repeat_after_a_lost_answer_is_refused(vec![
    lost(1, put(0, 3, 1)),
    answered(2, 3, put(0, 3, 1), Answer::Stale { current: 3 }),
])]
#[case::repeat_is_taken_twice(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, put(3, 5, 2), Answer::Taken),
    answered(5, 6, put(0, 3, 1), Answer::Taken),
    read(7, 8, content(3, &[1])),
])]
#[case::refusal_names_a_revision_that_was_never_in_force(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, put(0, 5, 2), Answer::Stale { current: 4 }),
])]
#[case::refusal_of_a_change_on_the_revision_in_force(vec![
    answered(1, 2, put(0, 3, 1), Answer::Taken),
    answered(3, 4, put(3, 5, 2), Answer::Stale { current: 0 }),
])]
#[case::two_lost_rivals_are_both_in_force(vec![
    lost(1, put(0, 3, 1)),
    lost(2, put(0, 4, 2)),
    read(3, 4, content(3, &[1])),
    read(5, 6, content(4, &[2])),
])]
#[case::change_that_was_never_asked_for(vec![
    read(1, 2, content(3, &[1])),
])]
fn bad_histories_are_seen(#[case] operations: Vec<ConfigurationOperation>) {
    assert!(!is_explained(&operations));
}

/// Changes one after the other, each on the last; the moments are spent up to the returned one.
fn chain(length: u64) -> (Vec<ConfigurationOperation>, u64) {
    let operations = (0..length).map(|base| {
        let moment = 2 * base + 1;
        answered(moment, moment + 1, put(base, base + 1, base), Answer::Taken)
    });
    (operations.collect(), 2 * length + 1)
}

/// As many changes are known again as are remembered, and no more.
#[test]
fn repeats_are_known_as_far_back_as_they_are_remembered() {
    const REMEMBERED: u64 = 40;
    let register = ConfigurationRegister::remembering(REMEMBERED as usize);
    let length = REMEMBERED + 1;
    let (mut operations, now) = chain(length);
    operations.push(answered(now, now + 1, put(1, 2, 1), Answer::Taken));
    operations.push(answered(now + 2, now + 3, put(0, 1, 0), Answer::Stale { current: length }));
    assert!(is_linearizable(&register, &operations));
    assert!(!is_explained(&operations), "a longer memory knows the first change again");
    operations.push(answered(now + 4, now + 5, put(1, 2, 1), Answer::Stale { current: length }));
    assert!(!is_linearizable(&register, &operations));
}

/// A history of thousands of changes needs no deep stack.
#[test]
fn long_histories_are_explained() {
    let (mut operations, now) = chain(2000);
    operations.push(read(now, now + 1, content(2000, &[1999])));
    assert!(is_explained(&operations));
}

/// Rivals whose answers are all lost, on each of several revisions: any of them may have been in force.
#[test]
fn lost_rivals_are_searched_in_time() {
    const REVISIONS: u64 = 8;
    const RIVALS: u64 = 3;
    let rivals =
        (0..REVISIONS * RIVALS).map(|mark| lost(mark + 1, put(mark / RIVALS, mark / RIVALS + 1, mark)));
    let mut operations: Vec<ConfigurationOperation> = rivals.collect();
    operations.push(read(100, 101, content(REVISIONS, &[REVISIONS * RIVALS - 1])));
    assert!(is_explained(&operations));
    operations.push(read(102, 103, content(REVISIONS, &[REVISIONS * RIVALS - 2])));
    assert!(!is_explained(&operations));
}

fn name(revision: u64) -> WeightsOrder {
    WeightsOrder { model: "large", revision }
}

#[rstest]
#[case::rising(vec![
    answered(1, 2, name(2), Answer::Taken),
    answered(3, 4, name(5), Answer::Taken),
    answered(5, 6, name(2), Answer::Taken),
    answered(7, 8, name(3), Answer::OldWeights { newest: 5 }),
], true)]
#[case::older_ones_are_taken(vec![
    answered(1, 2, name(5), Answer::Taken),
    answered(3, 4, name(2), Answer::Taken),
], false)]
#[case::repeat_is_refused(vec![
    answered(1, 2, name(2), Answer::Taken),
    answered(3, 4, name(5), Answer::Taken),
    answered(5, 6, name(2), Answer::OldWeights { newest: 5 }),
], false)]
#[case::refused_before_newer_ones_are_asked_for(vec![
    answered(1, 2, name(2), Answer::OldWeights { newest: 5 }),
    answered(3, 4, name(5), Answer::Taken),
], false)]
#[case::refused_for_newer_ones_under_way(vec![
    answered(1, 4, name(5), Answer::Taken),
    answered(2, 3, name(2), Answer::OldWeights { newest: 5 }),
], true)]
#[case::refused_for_lost_ones(vec![
    lost(1, name(5)),
    answered(2, 3, name(2), Answer::OldWeights { newest: 5 }),
], true)]
fn weights_only_rise(#[case] operations: Vec<Operation<WeightsOrder>>, #[case] is_good: bool) {
    assert_eq!(is_linearizable(&WeightsRegister::default(), &operations), is_good);
}
