//! The load balancers as the proxy drives them, on a simulated clock.

mod support;

use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use rstest::rstest;
use tulipridge_load_balancer::types::{ClassIndex, Member, Nanos, Phase, ReplicaId, RequestId, Verdict};
use tulipridge_proxy::placement::prompt::Prompt;
use tulipridge_proxy::placement::{self, AttemptReport, Placement, PlacementRequest, RequestAction};

const NANOS_PER_SECOND: Nanos = 1_000_000_000;
const START: Nanos = 5 * NANOS_PER_SECOND;

fn member(id: &str, phase: Phase) -> Member {
    Member { id: ReplicaId::from(id), units: 1.0, zone: 0, kind: 0, cell: 0, phase, started: None }
}

fn placement(members: &[Member]) -> Placement {
    let mut placement = Placement::new(0, 7);
    placement.configure(&support::configuration());
    placement.set_replicas(START, "service", Arc::from(members));
    placement
}

fn ready(count: usize) -> Vec<Member> {
    (0..count).map(|n| member(&format!("i-{n}"), Phase::Ready)).collect()
}

fn placement_request(placement: &Placement, route: &str, prompt: Prompt) -> PlacementRequest {
    let class = placement.class(route).expect("a class");
    PlacementRequest { class, expires_in: Duration::from_secs(6), prompt }
}

fn place(placement: &mut Placement, route: &str, prompt: Prompt) -> RequestId {
    let request = placement_request(placement, route, prompt);
    placement.place(START, "service", request).expect("a known service")
}

/// An outcome of the first attempt, with no time elapsed.
fn outcome(verdict: Verdict, ends_request: bool) -> AttemptReport {
    AttemptReport { attempt: 0, verdict, elapsed: Duration::ZERO, ends_request }
}

fn next_action(placement: &mut Placement, id: RequestId) -> Option<RequestAction> {
    match placement.poll_action(id, &mut Context::from_waker(Waker::noop())) {
        Poll::Ready(action) => Some(action),
        Poll::Pending => None,
    }
}

fn expect_send(action: Option<RequestAction>) -> (u32, ReplicaId) {
    match action {
        Some(RequestAction::Send { attempt, replica }) => (attempt, replica),
        other => panic!("no send: {other:?}"),
    }
}

#[rstest]
#[case::not_run("risky", Verdict::Full, true)]
#[case::unreachable("risky", Verdict::NoConnection, true)]
#[case::not_sent("risky", Verdict::NotSent, true)]
#[case::reset("risky", Verdict::Reset, false)]
#[case::failed("stream", Verdict::Error, false)]
#[case::cancelled("stream", Verdict::Cancelled, false)]
#[case::idempotent("harmless", Verdict::Reset, true)]
#[case::resumable("resumable", Verdict::Reset, true)]
fn a_retry_goes_to_another_replica(
    #[case] route: &str,
    #[case] verdict: Verdict,
    #[case] is_retried: bool,
) {
    let mut placement = placement(&ready(2));
    let id = place(&mut placement, route, Prompt::default());
    let (attempt, first) = expect_send(next_action(&mut placement, id));
    assert_eq!(attempt, 0);
    placement.record_outcome(START, id, outcome(verdict, false));
    let action = next_action(&mut placement, id);
    if is_retried {
        let (attempt, second) = expect_send(action);
        assert_eq!(attempt, 1);
        assert_ne!(first, second);
    } else {
        assert_eq!(action, Some(RequestAction::Fail));
    }
}

#[rstest]
#[case::may_have_run(None, RequestAction::Fail)]
#[case::has_not_run(Some(Verdict::Full), RequestAction::Fail)]
fn a_request_in_flight_fails_at_its_deadline(
    #[case] first: Option<Verdict>,
    #[case] expected: RequestAction,
) {
    let mut placement = placement(&ready(2));
    let id = place(&mut placement, "risky", Prompt::default());
    expect_send(next_action(&mut placement, id));
    if let Some(verdict) = first {
        placement.record_outcome(START, id, outcome(verdict, false));
        expect_send(next_action(&mut placement, id));
    }
    placement.run_timers(START + 6 * NANOS_PER_SECOND - 1);
    assert_eq!(next_action(&mut placement, id), None);
    placement.run_timers(START + 6 * NANOS_PER_SECOND);
    assert_eq!(next_action(&mut placement, id), Some(expected));
}

#[test]
fn a_request_that_was_never_sent_is_refused_at_its_deadline() {
    let mut placement = placement(&[member("i-0", Phase::Draining)]);
    let id = place(&mut placement, "risky", Prompt::default());
    assert_eq!(next_action(&mut placement, id), None);
    placement.run_timers(START + 7 * NANOS_PER_SECOND);
    assert!(matches!(next_action(&mut placement, id), Some(RequestAction::Refuse(_))));
}

#[test]
fn a_started_response_outlasts_the_deadline() {
    let mut placement = placement(&ready(2));
    let id = place(&mut placement, "stream", Prompt::default());
    expect_send(next_action(&mut placement, id));
    placement.record_first_token(START, id, 0, Duration::ZERO);
    placement.run_timers(START + 7 * NANOS_PER_SECOND);
    assert_eq!(next_action(&mut placement, id), None);
}

#[test]
fn a_request_that_has_ended_leaves_no_timer() {
    let mut placement = placement(&ready(2));
    let id = place(&mut placement, "risky", Prompt::default());
    assert!(placement.next_timer().is_some());
    placement.record_outcome(START, id, outcome(Verdict::Ok, true));
    placement.end_request(START, id);
    assert_eq!((placement.next_timer(), placement.active_request_count()), (None, 0));
}

#[test]
fn requests_with_a_shared_prefix_go_to_few_replicas() {
    let mut placement = placement(&ready(10));
    let prompt = |shared, session| Prompt {
        shared: Some(shared),
        session: Some(session),
        tokens: 1000,
        shared_tokens: 900,
        max_output_tokens: 80,
    };
    // Requests with other prefixes keep the share of each prefix small.
    let mut replicas = std::collections::BTreeSet::new();
    for n in 0..400 {
        let prefix = n % 40;
        let id = place(&mut placement, "stream", prompt(prefix, 1000 + n));
        let (_, replica) = expect_send(next_action(&mut placement, id));
        placement.record_outcome(START, id, outcome(Verdict::Ok, true));
        placement.end_request(START, id);
        if prefix == 3 && n > 200 {
            replicas.insert(replica);
        }
    }
    assert!(replicas.len() <= 3, "{replicas:?}");
}

#[test]
fn a_changed_route_keeps_its_class_and_a_new_one_gets_the_next() {
    let mut placement = placement(&ready(2));
    let before = placement.class("risky").expect("a class");
    let mut configuration = support::configuration();
    configuration.routes.remove(0);
    let risky = configuration.routes.iter_mut().find(|route| route.label == "risky").expect("a route");
    // Requests of this route are idempotent from now on.
    risky.kind = tulipridge_configuration::RouteKind::Idempotent;
    configuration.routes.push(support::route(
        "new",
        "/new/",
        tulipridge_configuration::RouteKind::NonIdempotent,
    ));
    placement.configure(&configuration);
    assert_eq!(placement.class("risky"), Some(before));
    assert_eq!(placement.class("harmless"), Some(ClassIndex(0)));
    assert_eq!(placement.class("new"), Some(ClassIndex(5)));
    let id = place(&mut placement, "risky", Prompt::default());
    expect_send(next_action(&mut placement, id));
    placement.record_outcome(START, id, outcome(Verdict::Reset, false));
    expect_send(next_action(&mut placement, id));
}

#[rstest]
#[case::stated(400, 400)]
#[case::derived_from_the_time_limit(0, 2_000)]
fn a_route_without_a_target_gets_a_latency_target(#[case] stated_ms: u64, #[case] expected_ms: u64) {
    let route = support::route("risky", "/risky/", tulipridge_configuration::RouteKind::NonIdempotent);
    let route = tulipridge_configuration::Route { target_ms: stated_ms, ..route };
    assert_eq!(placement::latency_target(&route), Duration::from_millis(expected_ms));
}

#[test]
fn a_request_for_an_unknown_service_is_not_placed() {
    let mut placement = placement(&ready(2));
    let request = placement_request(&placement, "risky", Prompt::default());
    assert_eq!(placement.place(START, "nowhere", request), None);
}
