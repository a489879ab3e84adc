//! Requests are admitted only by a fresh configuration.

use std::time::Duration;

use rstest::rstest;
use tulipridge_proxy::freshness::FreshnessGate;

#[rstest]
#[case(true, Some(0), true)]
#[case(true, Some(4500), true)]
#[case(true, Some(4501), false)]
#[case(false, Some(10_000), true)]
#[case(false, Some(10_001), false)]
#[case(true, None, false)]
#[case(false, None, false)]
fn requests_are_admitted_only_by_a_fresh_configuration(
    #[case] shut_tight: bool,
    #[case] age_ms: Option<u64>,
    #[case] is_open: bool,
) {
    let gate = FreshnessGate::new(shut_tight, Duration::from_secs(5));
    assert_eq!(gate.is_open(age_ms.map(Duration::from_millis)), is_open);
}
