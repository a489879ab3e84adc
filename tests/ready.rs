//! A group of gateways restarted all at once: how soon they are ready while discovery is slow, down or silent, and that
//! one that says so can serve.

mod support;

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::fleet::{Fleet, ListService, ListServiceBehavior, Replicas};
use support::*;

const GROUP: usize = 30;
const SOON: Duration = Duration::from_secs(10);
/// Thirty processes at a time are enough for a small machine.
static ALONE: Mutex<()> = Mutex::new(());

/// How long after `from` each was ready, the quickest first; it is asked a request as soon as it says so.
fn ready(fleet: &Fleet, from: Instant) -> Vec<Duration> {
    let waiting: Vec<_> = fleet
        .fronts()
        .into_iter()
        .enumerate()
        .map(|(n, front)| {
            let front = front.expect("it is up");
            thread::spawn(move || {
                wait_until(|| call_status(front, "GET /_health") == 200);
                let took = from.elapsed();
                let stream = send(front, "platform", "plain", 9000, 1 << 20 | n);
                assert_eq!(
                    read_outcome("platform", stream).0,
                    ClientOutcome::Served("Left.".into()),
                    "{n} said that it is ready"
                );
                took
            })
        })
        .collect();
    let mut took: Vec<_> = waiting.into_iter().map(|w| w.join().expect("ready, and served")).collect();
    took.sort();
    took
}

fn in_time(what: &str, took: &[Duration]) {
    let tenth = took[GROUP * 9 / 10 - 1];
    assert!(tenth < SOON, "{what}: nine in ten are ready only after {tenth:?}");
}

/// Restarts a group at once, killed outright, in that mood of discovery. `known` says whether processes begin with a list.
fn restarted(mood: ListServiceBehavior, known: bool, calls_per_s: f64) -> Vec<Duration> {
    let servers = Replicas::start(4, 32, ms(5));
    let lists = ListService::start(servers.entries(0..4), calls_per_s);
    let known: Vec<Value> = if known { servers.entries(0..4) } else { vec![] };
    let more = json!({"list": {"calls_per_s": calls_per_s}});
    let mut fleet = Fleet::start(GROUP, known, lists.addr, more);
    in_time("at the start", &ready(&fleet, Instant::now()));
    fleet.kill(&(0..GROUP).collect::<Vec<_>>());
    lists.set_behavior(mood);
    let from = Instant::now();
    fleet.spawn(&(0..GROUP).collect::<Vec<_>>());
    let took = ready(&fleet, from);
    // A list from the configuration counts as good only after a while without discovery's word.
    if mood != ListServiceBehavior::Serving {
        assert!(took[0] >= ms(900), "{mood:?}: ready after {:?} on a list that may be old", took[0]);
    }
    took
}

#[test]
fn a_group_restarted_at_once_is_ready_in_time_while_discovery_is_slow() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    // The last of thirty is answered after 2.4 s at the soonest.
    in_time("slow, a list known", &restarted(ListServiceBehavior::Serving, true, 12.5));
    in_time("slow, none known", &restarted(ListServiceBehavior::Serving, false, 12.5));
}

#[test]
fn a_group_restarted_at_once_is_ready_in_time_while_discovery_is_down_or_silent() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    for mood in
        [ListServiceBehavior::Closing, ListServiceBehavior::Refusing, ListServiceBehavior::NoResponse]
    {
        in_time(&format!("{mood:?}"), &restarted(mood, true, 100.0));
    }
}

#[test]
fn a_group_without_any_list_is_not_ready_before_discovery_is_back_and_soon_after() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let servers = Replicas::start(2, 32, ms(5));
    let lists = ListService::start(servers.entries(0..2), 100.0);
    lists.set_behavior(ListServiceBehavior::Closing);
    let fleet = Fleet::start(GROUP, vec![], lists.addr, json!({"list": {"calls_per_s": 100.0}}));
    let from = Instant::now();
    while from.elapsed() < ms(3000) {
        for front in fleet.fronts().into_iter().flatten() {
            assert_eq!(call_status(front, "GET /_health"), 503, "ready with no replica to send to");
        }
        thread::sleep(ms(200));
    }
    lists.set_behavior(ListServiceBehavior::Serving);
    in_time("after an outage", &ready(&fleet, Instant::now()));
}
