//! Three hundred gateway processes on loopback: a cold start, and a restart of a third at once.
//!
//!     cargo bench --bench fleet
//!     cargo bench --bench fleet -- cold
//!     TULIPRIDGE_PROGRAM=/path/to/an/earlier/tulipridge cargo bench --bench fleet
//!
//! It wants some 10,000 descriptors (`ulimit -n`) and every core, takes five minutes, and is no part of CI.

#[path = "../tests/support/mod.rs"]
mod support;

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use support::fleet::{
    Fleet, ListService, ListServiceBehavior, OpenLoopClients, OutcomeCounts, ReplicaEvent, Replicas,
    idle_while_queued, max_arrival_ratio,
};

const GATEWAYS: usize = 300;
const SERVERS: usize = 30;
/// What the stand-in list service answers in a second.
const CALLS_PER_S: f64 = 85.0;
/// First tries a second.
const RATE: f64 = 400.0;
const SECOND: Duration = Duration::from_secs(1);

fn main() {
    let asked = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    let program = std::env::var("TULIPRIDGE_PROGRAM").ok();
    let with = |mut more: Value| {
        if let Some(program) = &program {
            more["program"] = program.as_str().into();
        }
        more
    };
    println!("program: {}", program.as_deref().unwrap_or("as built here"));
    settle();
    if asked.as_deref().is_none_or(|a| a == "cold") {
        cold("untold", with(json!({})), Duration::ZERO);
        settle();
        cold("untold, the service gone for 5 s", with(json!({})), 5 * SECOND);
        // Earlier programs have no such setting.
        if program.is_none() {
            settle();
            cold("told", with(json!({"list": {"calls_per_s": CALLS_PER_S}})), Duration::ZERO);
        }
    }
    if asked.as_deref().is_none_or(|a| a == "restart") {
        settle();
        restart(with(json!({})));
    }
}

/// Waits until the system has let go of most closed connections: some ten thousand of them, which each run leaves
/// behind for a minute, make the next one slow.
fn settle() {
    let waiting = || {
        let stat = std::fs::read_to_string("/proc/net/sockstat").unwrap_or_default();
        let mut words = stat.split_whitespace().skip_while(|word| *word != "tw").skip(1);
        words.next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0)
    };
    let from = Instant::now();
    while waiting() > 2000 && from.elapsed() < 90 * SECOND {
        thread::sleep(SECOND);
    }
}

/// All start at once; a replica in ten fails.
fn cold(what: &str, more: Value, gone: Duration) {
    let servers = Replicas::start(SERVERS, 16, Duration::from_millis(40));
    servers.failing.lock().expect("whole").extend((0..SERVERS).filter(|n| n % 10 == 3));
    let lists = ListService::start(servers.entries(0..SERVERS), CALLS_PER_S);
    if !gone.is_zero() {
        lists.set_behavior(ListServiceBehavior::Closing);
    }
    let began = Instant::now();
    let fleet = Fleet::start(GATEWAYS, servers.entries(0..SERVERS), lists.addr, more);
    let started = began.elapsed();
    let clients = OpenLoopClients::start(fleet.fronts(), RATE);
    thread::sleep((began + gone).saturating_duration_since(Instant::now()));
    lists.set_behavior(ListServiceBehavior::Serving);
    let with_list = || lists.watch_count();
    let give_up = began + 60 * SECOND;
    while with_list() < GATEWAYS && Instant::now() < give_up {
        thread::sleep(Duration::from_millis(20));
    }
    let (all, lists_after) = (with_list(), began.elapsed());
    thread::sleep((began + 12 * SECOND).saturating_duration_since(Instant::now()));
    let (counts, waits) = clients.stop();
    let calls: Vec<Instant> = lists.calls().iter().map(|c| c.at).collect();
    let refused = lists.calls().iter().filter(|c| !c.is_served).count();
    println!("cold start, {what}:");
    println!("  {GATEWAYS} processes up after {:.1} s", started.as_secs_f64());
    println!("  with a list: {all} after {:.1} s", lists_after.as_secs_f64());
    println!("  calls: {}, {refused} refused, {} at most in a second", calls.len(), peak(&calls));
    clients_said(counts, &waits, began + started);
    connections(&servers);
}

/// A third is killed and started anew at once, while the layer before them knows of it.
fn restart(more: Value) {
    let servers = Replicas::start(SERVERS, 16, Duration::from_millis(40));
    let lists = ListService::start(servers.entries(0..SERVERS), CALLS_PER_S);
    let mut fleet = Fleet::start(GATEWAYS, servers.entries(0..SERVERS), lists.addr, more);
    let clients = OpenLoopClients::start(fleet.fronts(), RATE);
    thread::sleep(3 * SECOND);
    let restarted: Vec<usize> = (0..GATEWAYS).filter(|n| n % 3 == 0).collect();
    let mut fronts = fleet.fronts();
    restarted.iter().for_each(|n| fronts[*n] = None);
    clients.set_fronts(fronts);
    fleet.kill(&restarted);
    let at = Instant::now();
    fleet.spawn(&restarted);
    clients.set_fronts(fleet.fronts());
    thread::sleep(8 * SECOND);
    let (counts, waits) = clients.stop();
    let taken: Vec<_> = servers.events().into_iter().filter(|(when, ..)| *when >= at).collect();
    let all = |_: usize| true;
    let (worst, _) = max_arrival_ratio(&taken, &all, SERVERS, Duration::from_millis(100), 20);
    println!("restart of {} of {GATEWAYS}:", restarted.len());
    println!("  most at one server in 100 ms over the mean: {worst:.1}");
    println!(
        "  idle beside a queue at the longest: {:.0} ms",
        idle_while_queued(&taken, &all).as_secs_f64() * 1e3
    );
    clients_said(counts, &waits, at);
}

fn clients_said(counts: OutcomeCounts, waits: &[(Instant, Duration)], from: Instant) {
    let mut firsts: Vec<Duration> = waits
        .iter()
        .filter(|(at, _)| *at >= from && *at < from + 10 * SECOND)
        .map(|(_, first)| *first)
        .collect();
    firsts.sort();
    let quantile =
        |q: f64| firsts.get((firsts.len() as f64 * q) as usize).map_or(0.0, |f| f.as_secs_f64() * 1e3);
    println!(
        "  requests: {} served, {} turned down, {} lost, {} at killed gateways; first byte in the first 10 s: \
         p50 {:.1} ms, p99 {:.1} ms",
        counts.served,
        counts.shed,
        counts.lost,
        counts.gateway_killed,
        quantile(0.5),
        quantile(0.99)
    );
}

fn connections(servers: &Replicas) {
    let taken = servers.events();
    let most = (0..SERVERS).map(|n| {
        let at: Vec<Instant> = taken
            .iter()
            .filter(|(_, s, what)| *s == n && *what == ReplicaEvent::Connected)
            .map(|(at, ..)| *at)
            .collect();
        peak(&at)
    });
    println!("  new connections at one server: {} at most in a second", most.max().unwrap_or(0));
}

/// The most of these moments within any second.
fn peak(at: &[Instant]) -> usize {
    let mut at = at.to_vec();
    at.sort();
    let (mut most, mut first) = (0, 0);
    for (n, now) in at.iter().enumerate() {
        while at[first] + SECOND <= *now {
            first += 1;
        }
        most = most.max(n + 1 - first);
    }
    most
}
