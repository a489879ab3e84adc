//! Propagation of a drain from the list service: after the propagation deadline and the grace period, a
//! drained replica gets no new request, even if the change did not reach the gateway. The gateway makes no
//! long-polling calls: a watch is one response that stays open. A call that hangs is thus abandoned and
//! repeated within the deadline, in whichever phase it hangs.

mod support;

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use support::list_propagation::{ListServiceBehavior, Scenario};

/// A change that an idle watch misses must be applied within this time after the watch became idle.
const PROPAGATION_DEADLINE: Duration = Duration::from_secs(6);
/// Delay of a drain after the start of an idle phase or an outage.
const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// Length of an outage of the list service; longer than the timeout of an idle watch.
const OUTAGE: Duration = Duration::from_secs(3);

fn check_idle_watch(discovery_mode: &str) {
    let scenario = Scenario::new(discovery_mode, 10, false, false);
    let from = scenario.list_service.make_watches_idle();
    thread::sleep(DRAIN_DELAY);
    scenario.list_service.drain(0);
    scenario.check_drain(&format!("{discovery_mode}, idle"), from, PROPAGATION_DEADLINE);
}

#[test]
fn a_pushed_idle_watch_is_reopened_in_time() {
    check_idle_watch("push");
}

#[test]
fn a_fetched_idle_watch_is_reopened_in_time() {
    check_idle_watch("ask");
}

/// The watch is reset, and the next call hangs as `behavior` specifies.
fn check_hanging_call(discovery_mode: &str, behavior: ListServiceBehavior) {
    let scenario = Scenario::new(discovery_mode, 10, false, false);
    scenario.list_service.set_behavior(ListServiceBehavior::Reset);
    // By then open watches are reset. Calls made meanwhile are reset too.
    thread::sleep(Duration::from_millis(50));
    let from = scenario.list_service.set_behavior(behavior);
    support::wait_until(|| scenario.list_service.calls_since(from) > 0);
    scenario.list_service.drain(0);
    thread::sleep(DRAIN_DELAY);
    scenario.list_service.set_behavior(ListServiceBehavior::Healthy);
    // One second is reserved for the wait of a gateway in a larger group for its slot.
    scenario.check_drain(
        &format!("{discovery_mode}, {behavior:?}"),
        from,
        PROPAGATION_DEADLINE - Duration::from_secs(1),
    );
}

#[test]
fn a_hanging_call_is_repeated_in_time() {
    let behaviors = [
        ListServiceBehavior::NoResponse,
        ListServiceBehavior::HeadOnly,
        ListServiceBehavior::LateHead(2400),
    ];
    let all = ["ask", "push"].map(|discovery_mode| {
        behaviors.map(|behavior| thread::spawn(move || check_hanging_call(discovery_mode, behavior)))
    });
    all.into_iter().flatten().for_each(|one| one.join().expect("the check passes"));
}

/// A drain during an outage of the list service.
fn check_outage(discovery_mode: &str, behavior: ListServiceBehavior, deadline: Duration) {
    let scenario = Scenario::new(discovery_mode, 1, false, false);
    if discovery_mode == "ask" {
        // An outage ends open watches.
        scenario.list_service.set_behavior(ListServiceBehavior::Reset);
        thread::sleep(Duration::from_millis(20));
    }
    scenario.list_service.set_behavior(behavior);
    thread::sleep(DRAIN_DELAY);
    scenario.list_service.drain(0);
    thread::sleep(OUTAGE);
    let from = scenario.list_service.set_behavior(ListServiceBehavior::Healthy);
    scenario.check_drain(&format!("{discovery_mode}, down: {behavior:?}"), from, deadline);
}

const OUTAGE_BEHAVIORS: [ListServiceBehavior; 5] = [
    ListServiceBehavior::NoResponse,
    ListServiceBehavior::HeadOnly,
    ListServiceBehavior::Reset,
    ListServiceBehavior::Unavailable,
    ListServiceBehavior::NotListening,
];

#[test]
fn a_pushed_change_is_applied_at_once_after_an_outage() {
    // The local agent already has the change, so no time is permitted for it.
    let all = OUTAGE_BEHAVIORS
        .map(|behavior| thread::spawn(move || check_outage("push", behavior, Duration::ZERO)));
    all.into_iter().for_each(|one| one.join().expect("the check passes"));
}

#[test]
fn a_fetched_list_is_applied_in_time_after_an_outage() {
    // The maximum age of the list is 1 s here, and the settings permit four times as much after a failed
    // call.
    let all = OUTAGE_BEHAVIORS
        .map(|behavior| thread::spawn(move || check_outage("ask", behavior, Duration::from_secs(4))));
    all.into_iter().for_each(|one| one.join().expect("the check passes"));
}

#[test]
fn a_pushed_change_is_applied_after_a_watch_reset() {
    let scenario = Scenario::new("push", 10, false, false);
    let from = scenario.list_service.set_behavior(ListServiceBehavior::Reset);
    thread::sleep(Duration::from_millis(20));
    scenario.list_service.drain(0);
    scenario.list_service.set_behavior(ListServiceBehavior::Healthy);
    scenario.check_drain("push, reset", from, Duration::ZERO);
}

#[test]
fn a_pushed_change_is_applied_from_the_start_of_a_process() {
    let scenario = Scenario::new("push", 10, false, true);
    // The gateway takes requests once it listens, which depends on the speed of the machine.
    scenario.check_drain("push, new process", Instant::now(), Duration::ZERO);
}

#[test]
fn indented_lists_are_read_in_both_modes() {
    let all = ["push", "ask"].map(|discovery_mode| {
        thread::spawn(move || {
            let scenario = Scenario::new(discovery_mode, 10, true, false);
            let from = scenario.list_service.drain(0);
            scenario.check_drain(&format!("{discovery_mode}, indented"), from, Duration::ZERO);
        })
    });
    all.into_iter().for_each(|one| one.join().expect("the check passes"));
}

/// The first and last gateway of a group of 300, whose slots are at the ends of the window.
const GROUP_ENDS: [(u32, u32); 2] = [(0, 300), (299, 300)];

/// Serializes the tests with groups of 300, which would overload a small machine if run at once.
static SERIAL: Mutex<()> = Mutex::new(());

/// Runs the scenario for both ends of a group, after delays that cover a window of up to 5.5 s. Each
/// gateway calls in a slot that recurs on a shared clock, and opens its first watch in it. Whether a call
/// is late thus depends on when the event happens relative to the slot.
fn at_all_delays(scenario: fn((u32, u32), Duration)) {
    let all = (0..7).flat_map(|n| {
        GROUP_ENDS.map(|member| thread::spawn(move || scenario(member, Duration::from_millis(800) * n)))
    });
    join_all(all.collect());
}

/// Joins all threads before it fails, so that none continues to run.
fn join_all(all: Vec<thread::JoinHandle<()>>) {
    let ends: Vec<_> = all.into_iter().map(std::thread::JoinHandle::join).collect();
    let failed = ends.iter().filter(|end| end.is_err()).count();
    assert_eq!(failed, 0, "failed of {} scenarios", ends.len());
}

#[test]
fn an_idle_watch_is_reopened_in_time_in_a_group_of_300() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    at_all_delays(|member, wait| {
        let scenario = Scenario::in_group(member, "ask", 10, false, false);
        thread::sleep(wait);
        let from = scenario.list_service.make_watches_idle();
        thread::sleep(DRAIN_DELAY);
        scenario.list_service.drain(0);
        scenario.check_drain(&format!("{member:?}, idle after {wait:?}"), from, PROPAGATION_DEADLINE);
    });
}

/// A drain during an outage that is long enough for calls to fail.
fn check_outage_in_group_of_300(
    member: (u32, u32),
    behavior: ListServiceBehavior,
    max_list_age_s: u64,
    deadline: Duration,
) {
    let scenario = Scenario::in_group(member, "ask", max_list_age_s, false, false);
    scenario.list_service.set_behavior(ListServiceBehavior::Reset);
    thread::sleep(Duration::from_millis(20));
    let start = scenario.list_service.set_behavior(behavior);
    thread::sleep(DRAIN_DELAY);
    scenario.list_service.drain(0);
    match behavior {
        // No calls are seen; this is longer than any gateway waits for its first slot.
        ListServiceBehavior::NotListening => thread::sleep(Duration::from_millis(6500)),
        _ => {
            support::wait_until(|| scenario.list_service.calls_since(start) > 0);
            // Different delays after a call for the two gateways.
            thread::sleep(DRAIN_DELAY + Duration::from_millis(9) * member.0);
        }
    }
    let from = scenario.list_service.set_behavior(ListServiceBehavior::Healthy);
    scenario.check_drain(&format!("{member:?}, down: {behavior:?}"), from, deadline);
}

#[test]
fn a_list_is_applied_in_time_after_refusals_in_a_group_of_300() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let behaviors = [
        ListServiceBehavior::NotListening,
        ListServiceBehavior::Reset,
        ListServiceBehavior::Unavailable,
        ListServiceBehavior::RetryAfter(1000),
    ];
    let all = behaviors.map(|behavior| {
        GROUP_ENDS.map(|member| {
            thread::spawn(move || check_outage_in_group_of_300(member, behavior, 10, PROPAGATION_DEADLINE))
        })
    });
    join_all(all.into_iter().flatten().collect());
}

#[test]
fn a_list_is_applied_in_time_after_hung_calls_in_a_group_of_300() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    // Such a call may be queued at an overloaded service. The settings permit four times the maximum age
    // after it: 12 s.
    let all = [ListServiceBehavior::NoResponse, ListServiceBehavior::HeadOnly].map(|behavior| {
        GROUP_ENDS.map(|member| {
            thread::spawn(move || {
                check_outage_in_group_of_300(member, behavior, 3, Duration::from_secs(12));
            })
        })
    });
    join_all(all.into_iter().flatten().collect());
}

#[test]
fn a_late_line_causes_no_call_and_its_watch_is_read() {
    let scenario = Scenario::in_group((150, 300), "ask", 10, false, false);
    let from = scenario.list_service.set_line_interval(Duration::from_millis(2550));
    thread::sleep(Duration::from_secs(9));
    // Three times the watch is idle for 150 ms more than the timeout. The slot recurs after 3.1 s and is in
    // at most one of these intervals.
    let calls = scenario.list_service.calls_since(from);
    assert!(calls <= 1, "{calls} calls");
    let from = scenario.list_service.drain(0);
    scenario.check_drain("lines that are late", from, Duration::ZERO);
}

#[test]
fn a_group_too_large_for_the_deadline_is_logged_at_the_start() {
    for (group, times) in [(300, 0), (1000, 1)] {
        let gateway = support::Gateway::attach(support::Gateway::spawn(
            "n0",
            "platform",
            vec![],
            1,
            (1024, 1024),
            serde_json::json!({"way": "ask", "me": 0, "group": group}),
        ));
        support::wait_until(|| gateway.count_log_lines(" listening ") > 0);
        assert_eq!(gateway.count_log_lines(" list-late "), times, "{group}");
    }
}
