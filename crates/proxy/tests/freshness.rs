//! Requests are admitted only by a fresh configuration.

use std::time::Duration;

use rstest::rstest;
use tulipridge_proxy::freshness::{Credentials, FreshnessGate};

#[rstest]
#[case(true, Some(0), true, true)]
#[case(true, Some(3000), true, true)]
#[case(true, Some(3001), false, true)]
#[case(true, Some(4500), false, true)]
#[case(true, Some(4501), false, false)]
#[case(false, Some(3000), true, true)]
#[case(false, Some(3001), false, true)]
#[case(false, Some(10_000), false, true)]
#[case(false, Some(10_001), false, false)]
#[case(true, None, false, false)]
#[case(false, None, false, false)]
fn requests_are_admitted_only_by_a_fresh_configuration(
    #[case] shut_tight: bool,
    #[case] age_ms: Option<u64>,
    #[case] is_open_for_keys: bool,
    #[case] is_open: bool,
) {
    let gate = FreshnessGate::new(shut_tight, Duration::from_secs(5));
    let age = age_ms.map(Duration::from_millis);
    assert_eq!(gate.is_open(age, Credentials::Key), is_open_for_keys);
    assert_eq!(gate.is_open(age, Credentials::None), is_open);
}

/// The maximum age for requests with keys is never longer than that for other requests.
#[rstest]
#[case(1_000, 500)]
#[case(1_250, 750)]
#[case(400, 0)]
fn a_short_withdrawal_time_limits_requests_with_keys(#[case] withdraw_ms: u64, #[case] max_age_ms: u64) {
    let gate = FreshnessGate::new(true, Duration::from_millis(withdraw_ms));
    let is_open = |age_ms| gate.is_open(Some(Duration::from_millis(age_ms)), Credentials::Key);
    assert!(is_open(max_age_ms) && !is_open(max_age_ms + 1));
}
