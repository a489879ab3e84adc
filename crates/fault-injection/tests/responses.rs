//! Each client gets the response to its own request, and requests that are not idempotent are not retried.

mod support;

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{CHANGE_TIMEOUT, start, wait_for_route};
use tulipridge_fault_injection::deployment::{ClientRequest, Deployment, Topology};
use tulipridge_fault_injection::operator::{Change, route_path};
use tulipridge_fault_injection::replica::ReplicaBehaviour;

/// Number of concurrent clients.
const CLIENTS: usize = 16;
/// Number of requests of each client.
const REQUESTS_PER_CLIENT: usize = 60;
/// Number of requests that are sent while the replicas are faulty.
const FAULTY_REQUESTS: usize = 12;
/// Timeout of a client's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a client's request if no replica responds.
const NO_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

fn start_with_two_replicas(route_kind: &str) -> Deployment {
    let deployment = start(Topology { members: 1, seeds: 1, replicas: 2, tolerated_losses: 0, edges: 1 });
    let change = Change::upsert_route_of_kind(1, "echo", route_kind);
    deployment.operator().apply(&change, CHANGE_TIMEOUT).expect("a route");
    wait_for_route(&deployment, 0, "echo");
    deployment
}

/// Number of times that each attempt ID was received, over all replicas.
fn deliveries_by_attempt(deployment: &Deployment) -> BTreeMap<String, usize> {
    let mut deliveries = BTreeMap::new();
    for request in
        deployment.replicas.iter().flat_map(tulipridge_fault_injection::replica::Replica::received_requests)
    {
        *deliveries.entry(request.attempt_id).or_default() += 1;
    }
    deliveries
}

#[test]
fn each_client_gets_the_response_to_its_own_request() {
    let deployment = start_with_two_replicas("harmless");
    let send_requests = |client: usize| {
        for number in 0..REQUESTS_PER_CLIENT {
            let id = format!("c{client}-{number}");
            let path = format!("{}{id}", route_path("echo"));
            let body = format!("body of {id}");
            let request =
                ClientRequest { path: &path, attempt_id: &id, body: &body, timeout: REQUEST_TIMEOUT };
            let response = deployment.send_request(0, &request).expect("a response");
            assert_eq!(response.status(), 200, "{}", response.text());
            assert_eq!(response.text(), format!("{path} {id} {body}"));
            assert_eq!(response.head.get("attempt-id"), Some(id.as_str()));
        }
    };
    thread::scope(|scope| {
        (0..CLIENTS).for_each(|client| {
            scope.spawn(move || send_requests(client));
        });
    });
}

/// Sends requests that are served, each of which adds to the retry budget.
fn fill_retry_budget(deployment: &Deployment) {
    for number in 0..CLIENTS {
        let id = format!("healthy-{number}");
        let request = ClientRequest {
            path: &route_path("echo"),
            attempt_id: &id,
            body: "",
            timeout: REQUEST_TIMEOUT,
        };
        assert_eq!(deployment.send_request(0, &request).expect("a response").status(), 200);
    }
}

#[rstest]
#[case::no_response(ReplicaBehaviour::NoResponse, NO_RESPONSE_TIMEOUT)]
#[case::reset(ReplicaBehaviour::Reset, REQUEST_TIMEOUT)]
#[case::reset_during_the_head(ReplicaBehaviour::ResetDuringHead, REQUEST_TIMEOUT)]
fn a_non_idempotent_request_is_not_retried(#[case] behaviour: ReplicaBehaviour, #[case] timeout: Duration) {
    let deployment = start_with_two_replicas("risky");
    // An empty retry budget must not be the reason why no request is retried.
    fill_retry_budget(&deployment);
    deployment.replicas.iter().for_each(|replica| replica.set_behaviour(behaviour));
    thread::scope(|scope| {
        for number in 0..FAULTY_REQUESTS {
            let deployment = &deployment;
            scope.spawn(move || {
                let id = format!("faulty-{number}");
                let request =
                    ClientRequest { path: &route_path("echo"), attempt_id: &id, body: "", timeout };
                if let Ok(response) = deployment.send_request(0, &request) {
                    assert!(response.status() >= 500, "{}", response.status());
                }
            });
        }
    });
    deployment.replicas.iter().for_each(|replica| replica.set_behaviour(ReplicaBehaviour::Respond));
    let deliveries = deliveries_by_attempt(&deployment);
    let reached = deliveries.keys().filter(|id| id.starts_with("faulty-")).count();
    assert!(reached > 0, "no request reached a replica");
    let repeated: Vec<_> =
        deliveries.iter().filter(|(id, count)| !id.starts_with("a-") && **count > 1).collect();
    assert!(repeated.is_empty(), "sent more than once: {repeated:?}");
}

/// Shows that the faults of the previous test do cause retries of requests that may run twice.
#[test]
fn an_idempotent_request_is_retried_after_a_reset() {
    let deployment = start_with_two_replicas("harmless");
    fill_retry_budget(&deployment);
    deployment.replicas.iter().for_each(|replica| replica.set_behaviour(ReplicaBehaviour::Reset));
    let request = ClientRequest {
        path: &route_path("echo"),
        attempt_id: "faulty",
        body: "",
        timeout: REQUEST_TIMEOUT,
    };
    let _ = deployment.send_request(0, &request);
    assert_eq!(deliveries_by_attempt(&deployment).get("faulty"), Some(&2));
}
