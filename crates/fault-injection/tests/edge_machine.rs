//! The programs of an edge machine are killed, frozen and terminated.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::{CHANGE_LIMIT, request_status, start, wait_for_route};
use tulipridge_fault_injection::deployment::{CONVERGENCE_TIMEOUT, ClientRequest, Deployment, Topology};
use tulipridge_fault_injection::operator::{Change, route_path};
use tulipridge_fault_injection::process::Signal;
use tulipridge_fault_injection::wait::wait_until;

/// A proxy has to serve at least this long without its agent.
const MIN_TIME_WITHOUT_AGENT: Duration = Duration::from_secs(2);
/// `withdrawMs` of the settings.
const WITHDRAWAL_TERM: Duration = Duration::from_secs(5);
/// `leewayS` of the settings.
const LEEWAY: Duration = Duration::from_secs(8);

fn add_route(deployment: &Deployment, base: u64, label: &str) {
    let change = Change::upsert_route(base, label, base);
    deployment.operator().apply(&change, CHANGE_LIMIT).expect("a change is acknowledged");
}

#[test]
fn a_proxy_keeps_serving_without_its_agent_and_is_updated_after_its_restart() {
    let mut deployment =
        start(Topology { members: 1, seeds: 1, tolerated_losses: 0, ..Topology::default() });
    deployment.edges[0].agent.kill();
    let began = Instant::now();
    add_route(&deployment, 1, "later");
    while began.elapsed() < MIN_TIME_WITHOUT_AGENT {
        assert_eq!(request_status(&deployment, 0, "base").expect("a response"), 200);
    }
    deployment.edges[0].agent.start().expect("it restarts");
    wait_for_route(&deployment, 0, "later");
}

/// A frozen agent keeps its connections open, so that the proxy notices it only by a timeout.
#[test]
fn a_proxy_behind_a_frozen_agent_stops_serving_a_stale_configuration() {
    let deployment = start(Topology { members: 1, seeds: 1, tolerated_losses: 0, ..Topology::default() });
    deployment.edges[0].agent.signal(Signal::STOP).expect("it stops");
    let is_rejected = || matches!(request_status(&deployment, 0, "base"), Ok(503));
    wait_until("the proxy refuses", WITHDRAWAL_TERM, is_rejected).expect("the term is kept");
    assert!(!deployment.is_ready(0), "its readiness check succeeds");
    deployment.edges[0].agent.signal(Signal::CONT).expect("it goes on");
    wait_for_route(&deployment, 0, "base");
}

#[test]
fn a_proxy_that_was_killed_serves_the_newest_configuration_again() {
    let mut deployment =
        start(Topology { members: 1, seeds: 1, tolerated_losses: 0, ..Topology::default() });
    deployment.edges[0].proxy.kill();
    add_route(&deployment, 1, "later");
    deployment.edges[0].proxy.start().expect("it restarts");
    wait_for_route(&deployment, 0, "later");
}

/// Requests that arrive after SIGTERM are served during the shutdown, and both programs exit with success.
#[test]
fn terminated_programs_exit_within_the_leeway() {
    let mut deployment =
        start(Topology { members: 1, seeds: 1, tolerated_losses: 0, ..Topology::default() });
    deployment.edges[0].proxy.signal(Signal::TERM).expect("it is signalled");
    deployment.edges[0].agent.signal(Signal::TERM).expect("it is signalled");
    wait_until("the proxy is not ready", CONVERGENCE_TIMEOUT, || !deployment.is_ready(0)).expect("at once");
    assert_eq!(request_status(&deployment, 0, "base").expect("a late client is served"), 200);
    let edge = &mut deployment.edges[0];
    let proxy = edge.proxy.wait_for_exit(LEEWAY).expect("the proxy exits");
    let agent = edge.agent.wait_for_exit(LEEWAY).expect("the agent exits");
    assert!(proxy.success() && agent.success(), "{proxy}, {agent}");
}

/// Requests are served while the primary is replaced.
#[test]
fn clients_are_served_throughout_a_takeover() {
    let mut deployment = start(Topology::default());
    let primary = deployment.wait_for_primary().expect("a primary");
    deployment.members[primary].process.kill();
    thread::scope(|scope| {
        let change = scope.spawn(|| add_route(&deployment, 1, "later"));
        let mut number = 0;
        while !change.is_finished() {
            let id = format!("t-{number}");
            let request = ClientRequest {
                path: &route_path("base"),
                attempt_id: &id,
                body: "",
                timeout: Duration::from_secs(1),
            };
            let response = deployment.send_request(0, &request).expect("a response");
            assert_eq!(response.status(), 200, "request {number}: {}", response.text());
            number += 1;
        }
        assert!(number > 0, "no request was sent");
    });
    wait_for_route(&deployment, 0, "later");
}
