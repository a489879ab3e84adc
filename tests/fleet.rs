//! Tests fleets of gateway processes on loopback during outages and restarts. The checks use the events recorded by
//! the replicas.

mod support;

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use support::fleet::*;
use support::wait_until;

const MS: Duration = Duration::from_millis(1);

/// Serializes the tests with large fleets, since a small machine can run only fifty processes at a time.
static LARGE_FLEET: Mutex<()> = Mutex::new(());

/// Checks that no request is lost and nearly all are served. Some may be shed: on a machine that also runs other
/// tests a replica may appear slow, and requests that would miss their deadline are shed.
fn check_nearly_all_served(counts: OutcomeCounts) {
    let all = counts.served + counts.shed + counts.lost;
    assert!(counts.lost == 0 && counts.shed * 33 <= all && all > 300, "{counts:?}");
}

/// Kills every third gateway and restarts all of these at the same time; returns their number. Meanwhile the clients do
/// not use these gateways, as behind a load balancer with health checks.
fn restart_a_third(fleet: &mut Fleet, clients: &OpenLoopClients) -> usize {
    let mut fronts = fleet.fronts();
    let restarted: Vec<usize> = (0..fronts.len()).step_by(3).collect();
    restarted.iter().for_each(|n| fronts[*n] = None);
    clients.set_fronts(fronts);
    fleet.kill(&restarted);
    fleet.spawn(&restarted);
    clients.set_fronts(fleet.fronts());
    restarted.len()
}

#[test]
fn a_restart_of_a_third_causes_no_herd_or_idle_replica() {
    let _guard = LARGE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    // Ten replicas with a total capacity of 2,000 requests/s, and an eleventh that joins later; the load is 300
    // requests/s.
    let replicas = Replicas::start(11, 8, 40 * MS);
    let list_service = ListService::start(replicas.entries(0..10), 100.0);
    let mut fleet = Fleet::start(50, replicas.entries(0..10), list_service.addr, json!({}));
    wait_until(|| list_service.watch_count() == 50);
    let clients = OpenLoopClients::start(fleet.fronts(), 300.0);
    thread::sleep(1500 * MS);
    let restarted = restart_a_third(&mut fleet, &clients);
    // A change reaches a gateway only through an open watch.
    wait_until(|| list_service.calls().iter().filter(|c| c.is_served).count() >= 50 + restarted);
    thread::sleep(500 * MS);
    let now =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_millis() as u64;
    let changed_at = Instant::now();
    list_service.publish(vec![replicas.entry(0, "draining", 0), replicas.entry(10, "ready", now)]);
    thread::sleep(1500 * MS);
    let (counts, response_times) = clients.stop();
    let events = replicas.events();

    check_nearly_all_served(counts);
    assert!(counts.gateway_killed <= 30, "{counts:?}");
    assert!(response_times.len() == counts.served);
    // Random placement gives a ratio of about 3 in the worst window of 30 arrivals; if one replica received all
    // requests, the ratio would be 9.
    let is_unchanged = |n: usize| (1..10).contains(&n);
    let (ratio, at) = max_arrival_ratio(&events, &is_unchanged, 9, 100 * MS, 20);
    assert!(
        ratio < 5.0,
        "one replica received {ratio} times the mean in 100 ms, {:?} after the change",
        at.map(|a| a.saturating_duration_since(changed_at))
    );
    let idle = idle_while_queued(&events, &is_unchanged);
    assert!(idle < 500 * MS, "a replica was idle for {idle:?} while another had a queue");
    // A gateway may send requests to a draining replica for 250 ms after it receives the change; the rest of the 1000 ms
    // is a margin for a busy machine.
    let late = events.iter().filter(|(at, n, event)| {
        *n == 0 && *event == ReplicaEvent::Arrived && *at > changed_at + 1000 * MS
    });
    assert_eq!(late.count(), 0, "requests for a draining replica");
    let arrivals_after_change = |replica: usize| {
        events
            .iter()
            .filter(|(at, n, event)| *n == replica && *event == ReplicaEvent::Arrived && *at > changed_at)
            .count()
    };
    let mean_of_others = (1..10).map(arrivals_after_change).sum::<usize>() as f64 / 9.0;
    assert!(
        arrivals_after_change(10) > 0 && (arrivals_after_change(10) as f64) < 1.2 * mean_of_others,
        "the cold replica received {} requests, the others {mean_of_others} on average",
        arrivals_after_change(10)
    );
}

#[test]
fn a_cold_start_in_a_list_outage_loses_no_request() {
    let _guard = LARGE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    // The capacity of the list service is 25 calls/s, also in the gateways' settings; one replica in ten fails.
    let replicas = Replicas::start(10, 8, 40 * MS);
    replicas.failing.lock().expect("lock").push(3);
    let list_service = ListService::start(replicas.entries(0..10), 25.0);
    list_service.set_behavior(ListServiceBehavior::Closing);
    let start = Instant::now();
    let fleet = Fleet::start(
        50,
        replicas.entries(0..10),
        list_service.addr,
        json!({"list": {"calls_per_s": 25.0}}),
    );
    let clients = OpenLoopClients::start(fleet.fronts(), 100.0);
    // For 2.5 s, which covers the first 2 s window of the gateways' calls, the service closes connections and then does
    // not respond. After that it refuses calls with `Retry-After`.
    thread::sleep((start + 1200 * MS).saturating_duration_since(Instant::now()));
    list_service.set_behavior(ListServiceBehavior::NoResponse);
    thread::sleep((start + 2500 * MS).saturating_duration_since(Instant::now()));
    list_service.set_behavior(ListServiceBehavior::Refusing);
    thread::sleep(1000 * MS);
    list_service.set_behavior(ListServiceBehavior::Serving);
    wait_until(|| list_service.watch_count() == 50);
    let elapsed = start.elapsed();
    let (counts, response_times) = clients.stop();

    check_nearly_all_served(counts);
    assert_eq!(counts.gateway_killed, 0);
    let mut times: Vec<Duration> = response_times.iter().map(|(_, time)| *time).collect();
    times.sort();
    assert!(times[times.len() * 99 / 100] < 1000 * MS, "{:?}", times[times.len() * 99 / 100]);
    let calls = list_service.calls();
    let calls_within =
        |from: Instant, span: Duration| calls.iter().filter(|c| c.at >= from && c.at < from + span).count();
    let peak = calls.iter().map(|c| calls_within(c.at, 1000 * MS)).max().unwrap_or(0);
    // The limit is 1.1 times the capacity of 25 calls/s, plus a margin for a busy machine.
    assert!(peak <= 36, "{peak} calls in a second, with a capacity of 25");
    assert!(calls.iter().filter(|c| !c.is_served).count() >= 40, "too few calls failed during the outage");
    // Each gateway makes a first call, a few that fail, and one that is served, without fast repeats.
    assert!(calls.len() <= 50 * 4, "{} calls", calls.len());
    assert!(elapsed < Duration::from_secs(25), "all gateways have the list after {elapsed:?}");
}

#[test]
fn gateways_share_the_slow_start_budget_of_a_cold_replica() {
    let _guard = LARGE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    // The quota is 12 requests/s, 4 for each of three replicas; the load is about eight times the quota. One replica
    // joins later; its slow start begins at 0.3 of its share. With an overload factor of 2.5 its budget is
    // 2.5 × 4/s × 3 s × 0.3 = 9 requests.
    let replicas = Replicas::start(3, 40, 40 * MS);
    let list_service = ListService::start(replicas.entries(0..2), 100.0);
    let mut fleet =
        Fleet::start(30, replicas.entries(0..2), list_service.addr, json!({"quota_per_s": 12.0}));
    wait_until(|| list_service.watch_count() == 30);
    let clients = OpenLoopClients::start(fleet.fronts(), 100.0);
    thread::sleep(1500 * MS);
    let started_at = Instant::now();
    let now =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_millis() as u64;
    list_service.publish(vec![replicas.entry(2, "ready", now)]);
    thread::sleep(2500 * MS);
    // The restarted third has no record of the requests that the previous processes sent to the cold replica.
    restart_a_third(&mut fleet, &clients);
    thread::sleep(5000 * MS);
    let (counts, _) = clients.stop();
    check_nearly_all_served(counts);

    let events = replicas.events();
    let arrivals = events
        .iter()
        .filter(|(_, n, event)| *n == 2 && *event == ReplicaEvent::Arrived)
        .map(|(at, ..)| *at);
    let arrivals: Vec<Instant> = arrivals.collect();
    let span = Duration::from_secs(3);
    for (n, from) in arrivals.iter().enumerate() {
        let sent = arrivals[n..].iter().take_while(|at| **at < *from + span).count() as f64;
        // The budget for this span, computed with the slow start's progress in the middle of the span.
        let middle = (*from + span / 2).saturating_duration_since(started_at).as_secs_f64();
        let budget = 2.5 * 4.0 * 3.0 * (0.3 + 0.7 * middle / 60.0);
        let max_sent = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(
            sent <= max_sent,
            "{sent} requests in 3 s from {:?} on, with a budget of {budget:.1}",
            *from - started_at
        );
    }
    assert!(arrivals.len() >= 12, "the cold replica received only {} requests in 7.5 s", arrivals.len());
}

#[test]
fn retry_after_of_the_list_service_is_honored() {
    let replicas = Replicas::start(1, 8, 10 * MS);
    let list_service = ListService::start(replicas.entries(0..1), 100.0);
    list_service.set_behavior(ListServiceBehavior::Refusing);
    // A single gateway would repeat a failed call within a tenth of a second; `Retry-After` is one second.
    let fleet = Fleet::start(1, replicas.entries(0..1), list_service.addr, json!({}));
    wait_until(|| list_service.calls().len() >= 3);
    list_service.set_behavior(ListServiceBehavior::Serving);
    wait_until(|| list_service.watch_count() == 1);
    let calls = list_service.calls();
    let gaps = calls.windows(2).map(|pair| pair[1].at - pair[0].at);
    assert!(gaps.clone().all(|gap| gap >= 990 * MS), "{:?}", gaps.collect::<Vec<_>>());
    assert!(fleet.fronts()[0].is_some());
}

#[test]
fn the_measurements_detect_a_herd_and_an_idle_replica() {
    let start = Instant::now();
    let event_at = |ms: u32, n: usize, event: ReplicaEvent| (start + ms * MS, n, event);
    let even: Vec<_> = (0..400).map(|k| event_at(k, k as usize % 10, ReplicaEvent::Arrived)).collect();
    let all = |_: usize| true;
    let (ratio, _) = max_arrival_ratio(&even, &all, 10, 100 * MS, 20);
    assert!(ratio < 1.5, "{ratio}");
    let herd: Vec<_> = (0..400)
        .map(|k| {
            event_at(k, if (200..260).contains(&k) { 3 } else { k as usize % 10 }, ReplicaEvent::Arrived)
        })
        .collect();
    let (ratio, when) = max_arrival_ratio(&herd, &all, 10, 100 * MS, 20);
    assert!(ratio > 6.0 && when.is_some_and(|w| w >= start + 200 * MS && w <= start + 300 * MS), "{ratio}");
    let queue = [
        event_at(0, 1, ReplicaEvent::Arrived),
        event_at(0, 1, ReplicaEvent::Started),
        event_at(10, 1, ReplicaEvent::Arrived),
        event_at(10, 1, ReplicaEvent::Queued),
        event_at(20, 2, ReplicaEvent::Arrived),
        event_at(30, 2, ReplicaEvent::Started),
        event_at(50, 2, ReplicaEvent::Finished),
        event_at(350, 1, ReplicaEvent::Finished),
        event_at(350, 1, ReplicaEvent::Started),
    ];
    assert_eq!(idle_while_queued(&queue, &all), 300 * MS);
}
