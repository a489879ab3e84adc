//! Simultaneous restart of all gateways of a group: time until they are ready while the list service is slow, down or
//! unresponsive, and that a ready gateway is able to serve.

mod support;

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::fleet::{Fleet, ListService, ListServiceBehavior, Replicas};
use support::*;

const GROUP_SIZE: usize = 30;
/// Time within which nine in ten gateways must be ready.
const MAX_READY_TIME: Duration = Duration::from_secs(10);
/// Serialises the tests, since 30 gateways at a time are enough for a small machine.
static SERIAL: Mutex<()> = Mutex::new(());

/// Waits until all gateways are ready, and checks that each then serves a request. Returns the times from `start`, in
/// ascending order.
fn wait_for_readiness(fleet: &Fleet, start: Instant) -> Vec<Duration> {
    let waiting: Vec<_> = fleet
        .fronts()
        .into_iter()
        .enumerate()
        .map(|(n, front)| {
            let front = front.expect("a running gateway");
            thread::spawn(move || {
                wait_until(|| call_status(front, "GET /_health") == 200);
                let elapsed = start.elapsed();
                let stream = send(front, "platform", "plain", 9000, 1 << 20 | n);
                assert_eq!(
                    read_outcome("platform", stream).0,
                    ClientOutcome::Served("Left.".into()),
                    "gateway {n} reported ready"
                );
                elapsed
            })
        })
        .collect();
    let mut times: Vec<_> = waiting.into_iter().map(|w| w.join().expect("ready, and served")).collect();
    times.sort();
    times
}

fn assert_in_time(condition: &str, times: &[Duration]) {
    let p90 = times[GROUP_SIZE * 9 / 10 - 1];
    assert!(p90 < MAX_READY_TIME, "{condition}: nine in ten are ready only after {p90:?}");
}

/// Kills and restarts a group at once, with this behaviour of the list service from then on. `has_list` is whether the
/// processes start with a list from their configuration. Returns the times until they are ready.
fn restart_group(behavior: ListServiceBehavior, has_list: bool, calls_per_s: f64) -> Vec<Duration> {
    let replicas = Replicas::start(4, 32, ms(5));
    let lists = ListService::start(replicas.entries(0..4), calls_per_s);
    let known_entries: Vec<Value> = if has_list { replicas.entries(0..4) } else { vec![] };
    let more = json!({"list": {"calls_per_s": calls_per_s}});
    let mut fleet = Fleet::start(GROUP_SIZE, known_entries, lists.addr, more);
    assert_in_time("at the start", &wait_for_readiness(&fleet, Instant::now()));
    fleet.kill(&(0..GROUP_SIZE).collect::<Vec<_>>());
    lists.set_behavior(behavior);
    let start = Instant::now();
    fleet.spawn(&(0..GROUP_SIZE).collect::<Vec<_>>());
    let times = wait_for_readiness(&fleet, start);
    // A list from the configuration makes a gateway ready only after a while without a response of the list service.
    if behavior != ListServiceBehavior::Serving {
        assert!(
            times[0] >= ms(900),
            "{behavior:?}: ready after {:?} with a list that may be outdated",
            times[0]
        );
    }
    times
}

#[test]
fn a_restarted_group_is_ready_in_time_with_a_slow_list_service() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    // The list service responds to the last of 30 gateways after 2.4 s at the earliest.
    assert_in_time("slow, with a known list", &restart_group(ListServiceBehavior::Serving, true, 12.5));
    assert_in_time("slow, without a known list", &restart_group(ListServiceBehavior::Serving, false, 12.5));
}

#[test]
fn a_restarted_group_is_ready_in_time_without_a_list_service() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    for behavior in
        [ListServiceBehavior::Closing, ListServiceBehavior::Refusing, ListServiceBehavior::NoResponse]
    {
        assert_in_time(&format!("{behavior:?}"), &restart_group(behavior, true, 100.0));
    }
}

#[test]
fn a_group_without_a_list_is_ready_only_after_the_outage() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let replicas = Replicas::start(2, 32, ms(5));
    let lists = ListService::start(replicas.entries(0..2), 100.0);
    lists.set_behavior(ListServiceBehavior::Closing);
    let fleet = Fleet::start(GROUP_SIZE, vec![], lists.addr, json!({"list": {"calls_per_s": 100.0}}));
    let start = Instant::now();
    while start.elapsed() < ms(3000) {
        for front in fleet.fronts().into_iter().flatten() {
            assert_eq!(call_status(front, "GET /_health"), 503, "ready without any replica");
        }
        thread::sleep(ms(200));
    }
    lists.set_behavior(ListServiceBehavior::Serving);
    assert_in_time("after an outage", &wait_for_readiness(&fleet, Instant::now()));
}
