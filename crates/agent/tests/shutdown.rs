//! Tests when an agent exits after a stop signal.

use std::time::Duration;

use rstest::rstest;
use tulipridge_agent::shutdown::Shutdown;

const STOPPED_AT_MS: u64 = 10_000;
const LEEWAY_MS: u64 = 8000;

/// Milliseconds from the stop signal to the exit of the agent. `connected` says whether the proxy is connected so many
/// milliseconds after the signal.
fn exits_after_ms(leeway_ms: u64, connected: impl Fn(u64) -> bool) -> u64 {
    let mut shutdown =
        Shutdown::new(Duration::from_millis(STOPPED_AT_MS), Duration::from_millis(leeway_ms));
    let mut poll_times_ms = (0..).step_by(50);
    poll_times_ms
        .find(|after_ms| {
            shutdown.should_exit(Duration::from_millis(STOPPED_AT_MS + after_ms), connected(*after_ms))
        })
        .expect("the agent exits")
}

#[rstest]
#[case::proxy_that_stays(u64::MAX, 7500)]
#[case::proxy_that_drains(3000, 3450)]
#[case::no_proxy(0, 500)]
fn the_agent_exits_after_its_proxy_but_in_time(#[case] connected_ms: u64, #[case] expected: u64) {
    assert_eq!(exits_after_ms(LEEWAY_MS, |after_ms| after_ms < connected_ms), expected);
}

#[test]
fn the_agent_waits_for_a_proxy_that_reconnects() {
    assert_eq!(exits_after_ms(LEEWAY_MS, |after_ms| !(1000..1300).contains(&after_ms)), 7500);
}

#[test]
fn without_leeway_the_agent_exits_at_once() {
    assert_eq!(exits_after_ms(400, |_| true), 0);
}
