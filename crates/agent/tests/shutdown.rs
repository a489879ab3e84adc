//! The end of an agent.

use std::time::Duration;

use rstest::rstest;
use tulipridge_agent::shutdown::Shutdown;

const STOPPED_AT: u64 = 10_000;
const LEEWAY_MS: u64 = 8000;

/// Milliseconds after the request to stop at which the agent ends, if the proxy is connected for so long.
fn ends_after(leeway_ms: u64, connected: impl Fn(u64) -> bool) -> u64 {
    let mut shutdown = Shutdown::new(Duration::from_millis(STOPPED_AT), Duration::from_millis(leeway_ms));
    let mut steps = (0..).step_by(50);
    steps
        .find(|after| shutdown.is_over(Duration::from_millis(STOPPED_AT + after), connected(*after)))
        .expect("an end")
}

#[rstest]
#[case::proxy_that_stays(u64::MAX, 7500)]
#[case::proxy_that_drains(3000, 3450)]
#[case::no_proxy(0, 500)]
fn the_agent_ends_after_its_proxy_but_in_time(#[case] connected_ms: u64, #[case] expected: u64) {
    assert_eq!(ends_after(LEEWAY_MS, |after| after < connected_ms), expected);
}

#[test]
fn a_proxy_that_connects_again_is_waited_for() {
    assert_eq!(ends_after(LEEWAY_MS, |after| !(1000..1300).contains(&after)), 7500);
}

#[test]
fn without_leeway_the_agent_ends_at_once() {
    assert_eq!(ends_after(400, |_| true), 0);
}
