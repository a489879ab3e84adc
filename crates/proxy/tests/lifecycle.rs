//! The stages of a graceful shutdown.

use std::time::Duration;

use rstest::rstest;
use tulipridge_proxy::lifecycle::{Lifecycle, Stage};

#[rstest]
#[case(0, Stage::NotReady)]
#[case(2499, Stage::NotReady)]
#[case(2500, Stage::Draining)]
#[case(7699, Stage::Draining)]
#[case(7700, Stage::Terminated)]
#[case(60_000, Stage::Terminated)]
fn a_shutdown_goes_through_its_stages(#[case] after_ms: u64, #[case] stage: Stage) {
    let mut lifecycle = Lifecycle::default();
    let stopped = Duration::from_secs(100);
    assert_eq!(lifecycle.stage(stopped), Stage::Serving);
    lifecycle.stop(stopped, Duration::from_secs(8));
    // A second signal has no effect.
    lifecycle.stop(stopped + Duration::from_secs(1), Duration::from_secs(8));
    assert_eq!(lifecycle.stage(stopped + Duration::from_millis(after_ms)), stage);
}

#[test]
fn each_change_of_stage_has_a_time() {
    let mut lifecycle = Lifecycle::default();
    assert_eq!(lifecycle.next_stage_at(Duration::ZERO), None);
    lifecycle.stop(Duration::ZERO, Duration::from_secs(8));
    let mut changes = Vec::new();
    let mut now = Duration::ZERO;
    while let Some(next) = lifecycle.next_stage_at(now) {
        changes.push((next.as_millis(), lifecycle.stage(next)));
        now = next;
    }
    let expected = [(2500, Stage::Draining), (7700, Stage::Terminated)];
    assert_eq!(changes, expected);
}

#[rstest]
#[case(1000, 0, false)]
#[case(2500, 1, false)]
#[case(2500, 0, true)]
#[case(7000, 1, false)]
#[case(7700, 1, true)]
fn a_process_ends_once_no_connection_is_open(#[case] at_ms: u64, #[case] open: usize, #[case] ends: bool) {
    let mut lifecycle = Lifecycle::default();
    assert!(!lifecycle.may_end(Duration::ZERO, 0));
    lifecycle.stop(Duration::ZERO, Duration::from_secs(8));
    assert_eq!(lifecycle.may_end(Duration::from_millis(at_ms), open), ends);
}

#[test]
fn a_short_leeway_shortens_every_stage() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.stop(Duration::ZERO, Duration::from_secs(1));
    assert_eq!(lifecycle.stage(Duration::from_millis(499)), Stage::NotReady);
    assert_eq!(lifecycle.stage(Duration::from_millis(500)), Stage::Draining);
    assert_eq!(lifecycle.stage(Duration::from_millis(700)), Stage::Terminated);
}

#[rstest]
#[case::while_connections_are_accepted(2499, 60_000, true)]
#[case::ends_before_the_process(2500, 5_199, true)]
#[case::may_outlast_the_process(2500, 5_200, false)]
#[case::late(3_400, 8_000, false)]
#[case::late_but_short(7_000, 699, true)]
#[case::terminated(7_700, 0, false)]
fn a_request_that_may_outlast_the_process_is_not_accepted(
    #[case] at_ms: u64,
    #[case] lasts_ms: u64,
    #[case] expected: bool,
) {
    let mut lifecycle = Lifecycle::default();
    let now = Duration::from_millis(at_ms);
    let deadline = now + Duration::from_millis(lasts_ms);
    assert!(lifecycle.accepts_request(now, deadline));
    lifecycle.stop(Duration::ZERO, Duration::from_secs(8));
    assert_eq!(lifecycle.accepts_request(now, deadline), expected);
}
