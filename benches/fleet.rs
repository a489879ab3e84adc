//! Benchmark of 300 gateway processes on loopback: a cold start of all, and a simultaneous restart of a third.
//!
//!     cargo bench --bench fleet
//!     cargo bench --bench fleet -- cold
//!     TULIPRIDGE_PROGRAM=/path/to/an/earlier/tulipridge cargo bench --bench fleet
//!
//! Needs about 10,000 file descriptors (`ulimit -n`) and all cores, takes five minutes, and does not run in CI.

#[path = "../tests/support/mod.rs"]
mod support;

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use support::fleet::{
    Fleet, ListService, ListServiceBehavior, OpenLoopClients, OutcomeCounts, ReplicaEvent, Replicas,
    idle_while_queued, max_arrival_ratio,
};

const GATEWAY_COUNT: usize = 300;
const REPLICA_COUNT: usize = 30;
/// Maximum number of requests that a stand-in replica processes at once.
const REPLICA_CONCURRENCY: usize = 16;
/// Processing time of a request at a stand-in replica.
const PROCESSING_TIME: Duration = Duration::from_millis(40);
/// Calls per second that the stand-in list service serves.
const LIST_CALLS_PER_S: f64 = 85.0;
/// Requests per second of all clients; they don't retry.
const REQUESTS_PER_S: f64 = 400.0;
/// Maximum number of sockets in TIME-WAIT at the start of a run.
const MAX_TIME_WAIT_SOCKETS: usize = 2000;
const SECOND: Duration = Duration::from_secs(1);

fn main() {
    let selected = std::env::args().skip(1).find(|argument| !argument.starts_with('-'));
    let program = std::env::var("TULIPRIDGE_PROGRAM").ok();
    let with_program = |mut settings: Value| {
        if let Some(program) = &program {
            settings["program"] = program.as_str().into();
        }
        settings
    };
    println!("program: {}", program.as_deref().unwrap_or("built from this source tree"));
    wait_for_closed_connections();
    if selected.as_deref().is_none_or(|name| name == "cold") {
        cold_start("without a call rate", with_program(json!({})), Duration::ZERO);
        wait_for_closed_connections();
        cold_start(
            "without a call rate, list service unreachable for 5 s",
            with_program(json!({})),
            5 * SECOND,
        );
        // Earlier programs don't have this setting.
        if program.is_none() {
            wait_for_closed_connections();
            let settings = json!({"list": {"calls_per_s": LIST_CALLS_PER_S}});
            cold_start("with a call rate", with_program(settings), Duration::ZERO);
        }
    }
    if selected.as_deref().is_none_or(|name| name == "restart") {
        wait_for_closed_connections();
        restart(with_program(json!({})));
    }
}

/// Waits until few closed connections remain in TIME-WAIT, for at most 90 s. Each run leaves about ten thousand for a
/// minute, which slow the next run down.
fn wait_for_closed_connections() {
    let time_wait_sockets = || {
        let statistics = std::fs::read_to_string("/proc/net/sockstat").unwrap_or_default();
        let mut words = statistics.split_whitespace().skip_while(|word| *word != "tw").skip(1);
        words.next().and_then(|count| count.parse::<usize>().ok()).unwrap_or(0)
    };
    let started = Instant::now();
    while time_wait_sockets() > MAX_TIME_WAIT_SOCKETS && started.elapsed() < 90 * SECOND {
        thread::sleep(SECOND);
    }
}

/// Starts all gateways at once, while one replica in ten responds with errors and the list service is unreachable for
/// the time of `outage`.
fn cold_start(description: &str, settings: Value, outage: Duration) {
    let replicas = Replicas::start(REPLICA_COUNT, REPLICA_CONCURRENCY, PROCESSING_TIME);
    replicas
        .failing
        .lock()
        .expect("the lock is not poisoned")
        .extend((0..REPLICA_COUNT).filter(|index| index % 10 == 3));
    let list_service = ListService::start(replicas.entries(0..REPLICA_COUNT), LIST_CALLS_PER_S);
    if !outage.is_zero() {
        list_service.set_behavior(ListServiceBehavior::Closing);
    }
    let started = Instant::now();
    let fleet =
        Fleet::start(GATEWAY_COUNT, replicas.entries(0..REPLICA_COUNT), list_service.addr, settings);
    let processes_started_after = started.elapsed();
    let clients = OpenLoopClients::start(fleet.fronts(), REQUESTS_PER_S);
    thread::sleep((started + outage).saturating_duration_since(Instant::now()));
    list_service.set_behavior(ListServiceBehavior::Serving);
    let gateways_with_list = || list_service.watch_count();
    let deadline = started + 60 * SECOND;
    while gateways_with_list() < GATEWAY_COUNT && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
    }
    let (with_list, lists_received_after) = (gateways_with_list(), started.elapsed());
    thread::sleep((started + 12 * SECOND).saturating_duration_since(Instant::now()));
    let (outcomes, latencies) = clients.stop();
    let calls: Vec<Instant> = list_service.calls().iter().map(|call| call.at).collect();
    let refused = list_service.calls().iter().filter(|call| !call.is_served).count();
    println!("cold start, {description}:");
    println!("  {GATEWAY_COUNT} processes started after {:.1} s", processes_started_after.as_secs_f64());
    println!("  gateways with a list: {with_list} after {:.1} s", lists_received_after.as_secs_f64());
    println!(
        "  list calls: {}, {refused} refused, {} at most in a second",
        calls.len(),
        max_count_in_a_second(&calls)
    );
    print_outcomes(outcomes, &latencies, started + processes_started_after);
    print_connections(&replicas);
}

/// Kills and restarts a third of the gateways at once. The clients' front layer knows immediately which are down.
fn restart(settings: Value) {
    let replicas = Replicas::start(REPLICA_COUNT, REPLICA_CONCURRENCY, PROCESSING_TIME);
    let list_service = ListService::start(replicas.entries(0..REPLICA_COUNT), LIST_CALLS_PER_S);
    let mut fleet =
        Fleet::start(GATEWAY_COUNT, replicas.entries(0..REPLICA_COUNT), list_service.addr, settings);
    let clients = OpenLoopClients::start(fleet.fronts(), REQUESTS_PER_S);
    thread::sleep(3 * SECOND);
    let restarted: Vec<usize> = (0..GATEWAY_COUNT).filter(|index| index % 3 == 0).collect();
    let mut fronts = fleet.fronts();
    restarted.iter().for_each(|index| fronts[*index] = None);
    clients.set_fronts(fronts);
    fleet.kill(&restarted);
    let killed_at = Instant::now();
    fleet.spawn(&restarted);
    clients.set_fronts(fleet.fronts());
    thread::sleep(8 * SECOND);
    let (outcomes, latencies) = clients.stop();
    let events: Vec<_> = replicas.events().into_iter().filter(|(at, ..)| *at >= killed_at).collect();
    let all_replicas = |_: usize| true;
    let (max_over_mean, _) =
        max_arrival_ratio(&events, &all_replicas, REPLICA_COUNT, Duration::from_millis(100), 20);
    println!("restart of {} of {GATEWAY_COUNT}:", restarted.len());
    println!("  maximum requests at one replica in 100 ms, relative to the mean: {max_over_mean:.1}");
    println!(
        "  longest time with one replica idle while another has a queue: {:.0} ms",
        idle_while_queued(&events, &all_replicas).as_secs_f64() * 1e3
    );
    print_outcomes(outcomes, &latencies, killed_at);
}

/// Prints the outcomes of all requests, and the times to the first byte of those sent within 10 s after `from`.
fn print_outcomes(outcomes: OutcomeCounts, latencies: &[(Instant, Duration)], from: Instant) {
    let mut first_bytes: Vec<Duration> = latencies
        .iter()
        .filter(|(at, _)| *at >= from && *at < from + 10 * SECOND)
        .map(|(_, first_byte)| *first_byte)
        .collect();
    first_bytes.sort();
    let quantile_ms = |q: f64| {
        let index = (first_bytes.len() as f64 * q) as usize;
        first_bytes.get(index).map_or(0.0, |first_byte| first_byte.as_secs_f64() * 1e3)
    };
    println!(
        "  requests: {} served, {} rejected, {} lost, {} at killed gateways; first byte in the first 10 s: \
         p50 {:.1} ms, p99 {:.1} ms",
        outcomes.served,
        outcomes.shed,
        outcomes.lost,
        outcomes.gateway_killed,
        quantile_ms(0.5),
        quantile_ms(0.99)
    );
}

/// Prints the maximum number of new connections to one replica within a second.
fn print_connections(replicas: &Replicas) {
    let events = replicas.events();
    let max_counts = (0..REPLICA_COUNT).map(|index| {
        let connected_at: Vec<Instant> = events
            .iter()
            .filter(|(_, replica, event)| *replica == index && *event == ReplicaEvent::Connected)
            .map(|(at, ..)| *at)
            .collect();
        max_count_in_a_second(&connected_at)
    });
    println!("  new connections to one replica: {} at most in a second", max_counts.max().unwrap_or(0));
}

/// Maximum number of these times within any interval of one second.
fn max_count_in_a_second(times: &[Instant]) -> usize {
    let mut times = times.to_vec();
    times.sort();
    let (mut max_count, mut first) = (0, 0);
    for (index, time) in times.iter().enumerate() {
        while times[first] + SECOND <= *time {
            first += 1;
        }
        max_count = max_count.max(index + 1 - first);
    }
    max_count
}
