//! The agent and the proxy of an edge machine are killed, frozen and terminated.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::{CHANGE_TIMEOUT, request_status, start, wait_for_route};
use tulipridge_fault_injection::deployment::{CONVERGENCE_TIMEOUT, ClientRequest, Deployment, Topology};
use tulipridge_fault_injection::operator::{Change, route_path};
use tulipridge_fault_injection::process::Signal;
use tulipridge_fault_injection::wait::wait_until;

/// Minimum time that a proxy serves without its agent.
const MIN_TIME_WITHOUT_AGENT: Duration = Duration::from_secs(2);
/// The setting `withdrawMs`: time after which no proxy may serve a removed route.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(5);
/// The setting `leewayS`: time from SIGTERM to SIGKILL.
const SHUTDOWN_LEEWAY: Duration = Duration::from_secs(8);

fn add_route(deployment: &Deployment, base: u64, label: &str) {
    let change = Change::upsert_route(base, label, base);
    deployment.operator().apply(&change, CHANGE_TIMEOUT).expect("a change is acknowledged");
}

#[test]
fn a_proxy_serves_without_its_agent_and_updates_after_restart() {
    let mut deployment =
        start(Topology { members: 1, seeds: 1, tolerated_losses: 0, ..Topology::default() });
    deployment.edges[0].agent.kill();
    let killed_at = Instant::now();
    add_route(&deployment, 1, "later");
    while killed_at.elapsed() < MIN_TIME_WITHOUT_AGENT {
        assert_eq!(request_status(&deployment, 0, "base").expect("a response"), 200);
    }
    deployment.edges[0].agent.start().expect("the program restarts");
    wait_for_route(&deployment, 0, "later");
}

/// The connections of a frozen agent stay open, so that the proxy can detect the failure only by a timeout.
#[test]
fn a_proxy_with_a_frozen_agent_rejects_requests_in_time() {
    let deployment = start(Topology { members: 1, seeds: 1, tolerated_losses: 0, ..Topology::default() });
    deployment.edges[0].agent.signal(Signal::STOP).expect("the program is frozen");
    let is_rejected = || matches!(request_status(&deployment, 0, "base"), Ok(503));
    wait_until("the proxy rejects requests", WITHDRAWAL_TIMEOUT, is_rejected).expect("a rejection in time");
    assert!(!deployment.is_ready(0), "the readiness check succeeds");
    deployment.edges[0].agent.signal(Signal::CONT).expect("the program resumes");
    wait_for_route(&deployment, 0, "base");
}

#[test]
fn a_restarted_proxy_serves_the_newest_configuration() {
    let mut deployment =
        start(Topology { members: 1, seeds: 1, tolerated_losses: 0, ..Topology::default() });
    deployment.edges[0].proxy.kill();
    add_route(&deployment, 1, "later");
    deployment.edges[0].proxy.start().expect("the program restarts");
    wait_for_route(&deployment, 0, "later");
}

/// Requests that arrive after SIGTERM are served, and both programs exit with status 0.
#[test]
fn terminated_programs_serve_and_exit_within_the_leeway() {
    let mut deployment =
        start(Topology { members: 1, seeds: 1, tolerated_losses: 0, ..Topology::default() });
    deployment.edges[0].proxy.signal(Signal::TERM).expect("the program is signalled");
    deployment.edges[0].agent.signal(Signal::TERM).expect("the program is signalled");
    wait_until("the proxy is not ready", CONVERGENCE_TIMEOUT, || !deployment.is_ready(0))
        .expect("the readiness check fails");
    assert_eq!(request_status(&deployment, 0, "base").expect("a response during the shutdown"), 200);
    let edge = &mut deployment.edges[0];
    let proxy = edge.proxy.wait_for_exit(SHUTDOWN_LEEWAY).expect("the proxy exits");
    let agent = edge.agent.wait_for_exit(SHUTDOWN_LEEWAY).expect("the agent exits");
    assert!(proxy.success() && agent.success(), "{proxy}, {agent}");
}

/// The primary is killed while a client sends requests and an operator sends a change.
#[test]
fn all_requests_are_served_during_a_takeover() {
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
