//! The handling of a request after each outcome of its first attempt, by the kind of its route: whether it may be
//! retried, and the status that the client receives.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{Harness, Step, post, response, status, stream_head};

fn write(text: &str) -> Vec<Step> {
    vec![Step::Write(text.to_owned())]
}

fn not_run(status: &str) -> Vec<Step> {
    write(&response(status, "Not-Run: 1\r\n", ""))
}

/// The status of the response and the number of requests that reached the two replicas.
fn outcome(path: &str, first: &[Step]) -> (String, usize) {
    let harness = Harness::start(2);
    harness.script_next_request(first);
    let response = harness.run(harness.send_request(&post(path, "t1")));
    (status(&response).to_owned(), harness.arrivals())
}

#[rstest]
#[case::full(not_run("503 Service Unavailable"))]
#[case::too_many(not_run("429 Too Many Requests"))]
#[case::wrong_revision(write(
    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
))]
#[case::wrong_replica(write(
    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nServer-Id: i-9\r\nContent-Length: 0\r\n\r\n"
))]
fn a_request_that_has_not_run_is_retried_elsewhere(
    #[case] first: Vec<Step>,
    #[values("/harmless/", "/risky/", "/stream/", "/resumable/")] path: &str,
) {
    assert_eq!(outcome(path, &first), ("200".to_owned(), 2));
}

#[rstest]
#[case::reset(vec![Step::Reset])]
#[case::closed(vec![Step::Close])]
#[case::invalid_response(write("SSH-2.0-server\r\n\r\n"))]
#[case::truncated_head(vec![Step::Write("HTTP/1.1 200 OK\r\nAttempt-Id".into()), Step::Close])]
#[case::head_alone(vec![Step::Write(stream_head()), Step::Close])]
#[case::stale_response(vec![Step::Write(support::ok("x").replace("{id}", "t0")), Step::Close])]
#[case::no_seal(write("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 1\r\n\r\nx"))]
#[case::encoded(write(&response("200 OK", "Content-Encoding: gzip\r\n", "x")))]
#[case::no_id(vec![Step::Write("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx".into()), Step::Close])]
#[case::refusal_without_not_run(write(&response("503 Service Unavailable", "Retry-After: 1\r\n", "")))]
#[case::refusal_with_408(write(&response("408 Request Timeout", "", "")))]
#[case::truncated_error(vec![
    Step::Write("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\nContent-Length: 9\r\n\r\nab".into()),
    Step::Close,
])]
fn a_request_that_may_have_run_is_retried_only_if_idempotent(
    #[case] first: Vec<Step>,
    #[values(("/harmless/", true), ("/resumable/", true), ("/risky/", false), ("/stream/", false))]
    (path, is_idempotent): (&str, bool),
) {
    let expected = if is_idempotent { ("200", 2) } else { ("502", 1) };
    let (status, arrivals) = outcome(path, &first);
    assert_eq!((status.as_str(), arrivals), expected);
}

#[rstest]
#[case("/harmless/", "200", 2)]
#[case("/resumable/", "200", 2)]
#[case("/risky/", "500", 1)]
#[case("/stream/", "500", 1)]
fn an_error_is_forwarded_unless_a_retry_is_safe(
    #[case] path: &str,
    #[case] expected: &str,
    #[case] arrivals: usize,
) {
    let failure = write(&response("500 Internal Server Error", "", "no"));
    assert_eq!(outcome(path, &failure), (expected.to_owned(), arrivals));
}

#[rstest]
#[case("404 Not Found")]
#[case("400 Bad Request")]
#[case("302 Found")]
#[case("504 Gateway Timeout")]
fn other_errors_of_a_replica_are_forwarded_unchanged(#[case] line: &str) {
    let harness = Harness::start(2);
    harness.script_next_request(&write(&response(line, "", "why")));
    let response = harness.run(harness.send_request(&post("/harmless/", "t1")));
    assert!(response.starts_with(&format!("HTTP/1.1 {line}\r\n")), "{response}");
    assert_eq!(support::header(&response, "Server-Seal").as_deref(), Some(support::SEAL));
    assert!(response.ends_with("why"), "{response}");
    assert_eq!(harness.arrivals(), 1);
}

#[test]
fn a_400_rejection_is_forwarded_without_a_retry() {
    assert_eq!(outcome("/risky/", &not_run("400 Bad Request")), ("400".to_owned(), 1));
}

#[rstest]
fn an_unreachable_replica_has_not_run_the_request(
    #[values("/harmless/", "/risky/", "/stream/")] path: &str,
) {
    let harness = Harness::start(2);
    harness.set_fleet(|entries| entries[0].address = "127.0.0.1:1".to_owned());
    // The load balancer may choose the unreachable replica first; the retry reaches the other one.
    for n in 0..8 {
        let response = harness.run(harness.send_request(&post(path, &format!("t{n}"))));
        assert_eq!(status(&response), "200");
    }
    assert_eq!(harness.arrivals(), 8);
}

#[rstest]
#[case("/risky/", not_run("503 Service Unavailable"), "503")]
#[case("/harmless/", vec![Step::Reset], "503")]
#[case("/harmless/", write(&response("500 Internal Server Error", "", "no")), "500")]
fn nothing_is_retried_without_a_token(
    #[case] path: &str,
    #[case] first: Vec<Step>,
    #[case] expected: &str,
) {
    let harness = Harness::with_budget(2, 0.0, 0);
    harness.script_next_request(&first);
    let response = harness.run(harness.send_request(&post(path, "t1")));
    assert_eq!((status(&response), harness.arrivals()), (expected, 1));
    assert_eq!(support::header(&response, "Retry-After").is_some(), expected == "503");
}

#[rstest]
fn an_unsafe_request_pending_past_its_deadline_gets_504(#[values("/risky/", "/stream/")] path: &str) {
    let harness = Harness::start(1);
    harness.script_next_request(&[Step::Wait]);
    let request = post(path, "t1").replace("Time-Left-Ms: 6000", "Time-Left-Ms: 300");
    let response = harness.run(harness.send_request(&request));
    assert_eq!((status(&response), harness.arrivals()), ("504", 1));
}

#[test]
fn a_request_keeps_the_kind_that_it_was_sent_with() {
    let harness = Harness::start(1);
    harness.script_next_request(&[Step::Wait, Step::Reset]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        // From now on the load balancer regards the request as idempotent, and finds no replica for it.
        let mut configuration = support::configuration();
        configuration.routes.iter_mut().for_each(|route| {
            route.kind = tulipridge_configuration::RouteKind::Idempotent;
            route.target_ms = 50;
        });
        harness.proxy.set_configuration(configuration.into());
        harness.release();
        client.read_response().await
    });
    assert_eq!((status(&response), harness.arrivals()), ("502", 1));
}

#[rstest]
#[case(1)]
#[case(2)]
fn a_request_goes_to_no_more_replicas_than_its_route_allows(#[case] attempts: u32) {
    let harness = Harness::start(4);
    let mut configuration = support::configuration();
    configuration.routes.iter_mut().for_each(|route| route.max_attempts = attempts);
    harness.proxy.set_configuration(configuration.into());
    for _ in 0..4 {
        harness.script_next_request(&not_run("503 Service Unavailable"));
    }
    let response = harness.run(harness.send_request(&post("/risky/", "t1")));
    assert_eq!((status(&response), harness.arrivals()), ("503", attempts as usize));
}

#[test]
fn a_client_disconnect_cancels_its_request() {
    let harness = Harness::start(1);
    harness.script_next_request(&[Step::Wait]);
    // Well before the request's deadline.
    let timeout_at = Instant::now() + Duration::from_secs(3);
    let ended = harness.run(harness.proxy.timers.timeout_at(timeout_at, async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        drop(client);
        harness.wait_until(|| harness.replicas[0].closed_connections.get() == 1).await;
    }));
    assert!(ended.is_some(), "the replica still processes a request of a client that has disconnected");
    assert_eq!(harness.proxy.placement.borrow().active_request_count(), 0);
}
