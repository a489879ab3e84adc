//! Answers go to those who asked, and what must not run twice is not sent twice.

mod support;

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use rstest::rstest;
use support::{CHANGE_LIMIT, start, wait_for_route};
use tulipridge_fault_injection::deployment::{ClientRequest, Deployment, Plan};
use tulipridge_fault_injection::operator::{Change, path};
use tulipridge_fault_injection::replica::Behaviour;

/// Clients that ask at the same time.
const CLIENTS: usize = 16;
/// Requests of each client.
const REQUESTS: usize = 60;
/// Requests that meet a fault.
const FAULTY_REQUESTS: usize = 12;
/// How long a client waits.
const TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client waits for a replica that is silent.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);

fn two_replicas(kind: &str) -> Deployment {
    let deployment = start(Plan { members: 1, seeds: 1, replicas: 2, losses: 0, edges: 1 });
    let change = Change::upsert_route_of_kind(1, "asked", kind);
    deployment.operator().apply(&change, CHANGE_LIMIT).expect("a route");
    wait_for_route(&deployment, 0, "asked");
    deployment
}

/// How often the replicas together saw each try.
fn times_seen(deployment: &Deployment) -> BTreeMap<String, usize> {
    let mut times = BTreeMap::new();
    for seen in deployment.replicas.iter().flat_map(tulipridge_fault_injection::replica::Replica::seen) {
        *times.entry(seen.attempt_id).or_default() += 1;
    }
    times
}

#[test]
fn each_caller_gets_the_answer_to_its_own_request() {
    let deployment = two_replicas("harmless");
    let ask_often = |client: usize| {
        for number in 0..REQUESTS {
            let id = format!("c{client}-{number}");
            let path = format!("{}{id}", path("asked"));
            let body = format!("body of {id}");
            let request = ClientRequest { path: &path, attempt_id: &id, body: &body, timeout: TIMEOUT };
            let answer = deployment.ask(0, &request).expect("an answer");
            assert_eq!(answer.status(), 200, "{}", answer.text());
            assert_eq!(answer.text(), format!("{path} {id} {body}"));
            assert_eq!(answer.head.get("attempt-id"), Some(id.as_str()));
        }
    };
    thread::scope(|scope| {
        (0..CLIENTS).for_each(|client| {
            scope.spawn(move || ask_often(client));
        });
    });
}

#[rstest]
#[case::silence(Behaviour::Silence, SHORT_TIMEOUT)]
#[case::reset(Behaviour::Reset, TIMEOUT)]
#[case::reset_amid_the_head(Behaviour::ResetAmidHead, TIMEOUT)]
fn a_risky_request_is_sent_once(#[case] behaviour: Behaviour, #[case] timeout: Duration) {
    let deployment = two_replicas("risky");
    // Fills the budget of repeated sends, so that it is not this that keeps a request from being sent again.
    for number in 0..CLIENTS {
        let id = format!("calm-{number}");
        let request = ClientRequest { path: &path("asked"), attempt_id: &id, body: "", timeout: TIMEOUT };
        assert_eq!(deployment.ask(0, &request).expect("an answer").status(), 200);
    }
    deployment.replicas.iter().for_each(|replica| replica.behave(behaviour));
    thread::scope(|scope| {
        for number in 0..FAULTY_REQUESTS {
            let deployment = &deployment;
            scope.spawn(move || {
                let id = format!("faulty-{number}");
                let request = ClientRequest { path: &path("asked"), attempt_id: &id, body: "", timeout };
                if let Ok(answer) = deployment.ask(0, &request) {
                    assert!(answer.status() >= 500, "{}", answer.status());
                }
            });
        }
    });
    deployment.replicas.iter().for_each(|replica| replica.behave(Behaviour::Answer));
    let times = times_seen(&deployment);
    let reached = times.keys().filter(|id| id.starts_with("faulty-")).count();
    assert!(reached > 0, "no request reached a replica");
    let twice: Vec<_> = times.iter().filter(|(id, count)| !id.starts_with("a-") && **count > 1).collect();
    assert!(twice.is_empty(), "sent more than once: {twice:?}");
}

/// The counterpart: where a request may run twice, it is sent again, so the check above has something to see.
#[test]
fn a_harmless_request_is_sent_again_after_a_reset() {
    let deployment = two_replicas("harmless");
    for number in 0..CLIENTS {
        let id = format!("calm-{number}");
        let request = ClientRequest { path: &path("asked"), attempt_id: &id, body: "", timeout: TIMEOUT };
        assert_eq!(deployment.ask(0, &request).expect("an answer").status(), 200);
    }
    deployment.replicas.iter().for_each(|replica| replica.behave(Behaviour::Reset));
    let request = ClientRequest { path: &path("asked"), attempt_id: "faulty", body: "", timeout: TIMEOUT };
    let _ = deployment.ask(0, &request);
    assert_eq!(times_seen(&deployment).get("faulty"), Some(&2));
}
