//! How the operator's term for the change to new weights is divided.

use std::time::Duration;

use rstest::rstest;
use tulipridge_runtime::settings::RevisionTerm;

#[rstest]
fn each_step_leaves_time_for_the_next(
    #[values(100, 1_000, 3_000, 5_000, 8_000, 12_000, 15_000, 20_000, 600_000)] length_ms: u64,
) {
    let length = Duration::from_millis(length_ms);
    let term = RevisionTerm::new(length);
    let called_off = term.cancel_at(None, term.withdrawal());
    assert!(term.load_by() < term.withdrawal());
    assert!(term.withdrawal() < called_off);
    assert!(called_off < length);
    // Orders and calling off have as long as a short term allows.
    let reserve = length - term.withdrawal();
    assert!(reserve >= Duration::from_millis(1_500).min(length / 3));
    assert!(length - called_off >= Duration::from_millis(700).min(reserve / 2));
}

#[test]
fn no_term_is_divided_into_nothing() {
    let term = RevisionTerm::new(Duration::ZERO);
    assert_eq!(term.withdrawal(), Duration::ZERO);
    assert_eq!(term.cancel_at(None, Duration::ZERO), Duration::ZERO);
}
