//! The programs of an edge machine are killed, frozen and told to stop.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::{CHANGE_LIMIT, ask_status, start, wait_for_route};
use tulipridge_fault_injection::deployment::{ClientRequest, Deployment, Plan, SETTLE_LIMIT};
use tulipridge_fault_injection::operator::{Change, path};
use tulipridge_fault_injection::process::Signal;
use tulipridge_fault_injection::wait::wait_until;

/// A proxy serves this long without its agent, at the least.
const SERVED_ALONE: Duration = Duration::from_secs(2);
/// `withdrawMs` of the settings.
const WITHDRAWAL_TERM: Duration = Duration::from_secs(5);
/// `leewayS` of the settings.
const LEEWAY: Duration = Duration::from_secs(8);

fn add_route(deployment: &Deployment, base: u64, label: &str) {
    let change = Change::upsert_route(base, label, base);
    deployment.operator().apply(&change, CHANGE_LIMIT).expect("a change is acknowledged");
}

#[test]
fn a_proxy_serves_on_without_its_agent_and_is_current_after_its_return() {
    let mut deployment = start(Plan { members: 1, seeds: 1, losses: 0, ..Plan::default() });
    deployment.edges[0].agent.kill();
    let began = Instant::now();
    add_route(&deployment, 1, "later");
    while began.elapsed() < SERVED_ALONE {
        assert_eq!(ask_status(&deployment, 0, "base").expect("an answer"), 200);
    }
    deployment.edges[0].agent.start().expect("it returns");
    wait_for_route(&deployment, 0, "later");
}

/// A frozen agent keeps its connections, so that only its silence tells.
#[test]
fn a_proxy_behind_a_frozen_agent_refuses_what_is_too_old_to_judge() {
    let deployment = start(Plan { members: 1, seeds: 1, losses: 0, ..Plan::default() });
    deployment.edges[0].agent.signal(Signal::STOP).expect("it stops");
    let is_refused = || matches!(ask_status(&deployment, 0, "base"), Ok(503));
    wait_until("the proxy refuses", WITHDRAWAL_TERM, is_refused).expect("the term is kept");
    assert!(!deployment.is_ready(0), "it says that it is ready");
    deployment.edges[0].agent.signal(Signal::CONT).expect("it goes on");
    wait_for_route(&deployment, 0, "base");
}

#[test]
fn a_proxy_that_was_killed_serves_the_newest_configuration_again() {
    let mut deployment = start(Plan { members: 1, seeds: 1, losses: 0, ..Plan::default() });
    deployment.edges[0].proxy.kill();
    add_route(&deployment, 1, "later");
    deployment.edges[0].proxy.start().expect("it returns");
    wait_for_route(&deployment, 0, "later");
}

/// Clients' requests that are under way when the programs are told to stop are answered, and all end in order.
#[test]
fn programs_that_are_told_to_stop_end_within_the_leeway() {
    let mut deployment = start(Plan { members: 1, seeds: 1, losses: 0, ..Plan::default() });
    deployment.edges[0].proxy.signal(Signal::TERM).expect("it is told");
    deployment.edges[0].agent.signal(Signal::TERM).expect("it is told");
    wait_until("the proxy is not ready", SETTLE_LIMIT, || !deployment.is_ready(0)).expect("at once");
    assert_eq!(ask_status(&deployment, 0, "base").expect("a late client is served"), 200);
    let edge = &mut deployment.edges[0];
    let proxy = edge.proxy.wait_for_end(LEEWAY).expect("the proxy ends");
    let agent = edge.agent.wait_for_end(LEEWAY).expect("the agent ends");
    assert!(proxy.success() && agent.success(), "{proxy}, {agent}");
}

/// Requests go on while the control plane changes hands.
#[test]
fn clients_are_served_throughout_a_takeover() {
    let mut deployment = start(Plan::default());
    let primary = deployment.wait_for_primary().expect("a primary");
    deployment.members[primary].process.kill();
    thread::scope(|scope| {
        let change = scope.spawn(|| add_route(&deployment, 1, "later"));
        let mut number = 0;
        while !change.is_finished() {
            let id = format!("t-{number}");
            let request = ClientRequest {
                path: &path("base"),
                attempt_id: &id,
                body: "",
                timeout: Duration::from_secs(1),
            };
            let answer = deployment.ask(0, &request).expect("an answer");
            assert_eq!(answer.status(), 200, "request {number}: {}", answer.text());
            number += 1;
        }
        assert!(number > 0, "no request was sent");
    });
    wait_for_route(&deployment, 0, "later");
}
