//! Deadlines of the steps of a rollout of model weights.

use std::time::Duration;

use rstest::rstest;
use tulipridge_runtime::settings::RevisionTerm;

#[rstest]
fn each_step_leaves_time_for_the_next(
    #[values(100, 1_000, 3_000, 5_000, 8_000, 12_000, 15_000, 20_000, 600_000)] length_ms: u64,
) {
    let length = Duration::from_millis(length_ms);
    let term = RevisionTerm::new(length);
    let cancelled_at = term.cancel_at(None, term.withdrawal());
    assert!(term.load_by() < term.withdrawal());
    assert!(term.withdrawal() < cancelled_at);
    assert!(cancelled_at < length);
    // Load commands and the cancellation get their minimum time, or less only if the term is too short for it.
    let reserve = length - term.withdrawal();
    assert!(reserve >= Duration::from_millis(1_500).min(length / 3));
    assert!(length - cancelled_at >= Duration::from_millis(700).min(reserve / 2));
}

#[test]
fn withdrawal_and_cancellation_of_a_zero_term_are_due_at_once() {
    let term = RevisionTerm::new(Duration::ZERO);
    assert_eq!(term.withdrawal(), Duration::ZERO);
    assert_eq!(term.cancel_at(None, Duration::ZERO), Duration::ZERO);
}
