//! What becomes of a request after each outcome of its first attempt, by the kind of its route: which may be sent
//! again, and what the client is told.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{Bench, Part, answer, post, status, stream_head};

fn write(text: &str) -> Vec<Part> {
    vec![Part::Write(text.to_owned())]
}

fn not_run(status: &str) -> Vec<Part> {
    write(&answer(status, "Not-Run: 1\r\n", ""))
}

/// The status of the response, and the requests that arrived at two replicas.
fn outcome(path: &str, first: &[Part]) -> (String, usize) {
    let bench = Bench::start(2);
    bench.next(first);
    let answer = bench.run(bench.send_request(&post(path, "t1")));
    (status(&answer).to_owned(), bench.arrivals())
}

#[rstest]
#[case::full(not_run("503 Service Unavailable"))]
#[case::too_many(not_run("429 Too Many Requests"))]
#[case::other_version(write(
    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
))]
#[case::other_replica(write(
    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nServer-Id: i-9\r\nContent-Length: 0\r\n\r\n"
))]
fn what_has_not_run_is_sent_to_another_replica(
    #[case] first: Vec<Part>,
    #[values("/harmless/", "/risky/", "/stream/", "/resumable/")] path: &str,
) {
    assert_eq!(outcome(path, &first), ("200".to_owned(), 2));
}

#[rstest]
#[case::reset(vec![Part::Reset])]
#[case::closed(vec![Part::Close])]
#[case::no_answer(write("SSH-2.0-server\r\n\r\n"))]
#[case::half_a_head(vec![Part::Write("HTTP/1.1 200 OK\r\nAttempt-Id".into()), Part::Close])]
#[case::head_alone(vec![Part::Write(stream_head()), Part::Close])]
#[case::another_request(vec![Part::Write(support::ok("x").replace("{id}", "t0")), Part::Close])]
#[case::no_stamp(write("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 1\r\n\r\nx"))]
#[case::encoded(write(&answer("200 OK", "Content-Encoding: gzip\r\n", "x")))]
#[case::no_id(vec![Part::Write("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx".into()), Part::Close])]
#[case::promise_without_a_word(write(&answer("503 Service Unavailable", "Retry-After: 1\r\n", "")))]
#[case::promise_of_408(write(&answer("408 Request Timeout", "", "")))]
#[case::cut_failure(vec![
    Part::Write("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\nContent-Length: 9\r\n\r\nab".into()),
    Part::Close,
])]
fn what_may_have_run_is_sent_again_only_if_idempotent(
    #[case] first: Vec<Part>,
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
    let failure = write(&answer("500 Internal Server Error", "", "no"));
    assert_eq!(outcome(path, &failure), (expected.to_owned(), arrivals));
}

#[rstest]
#[case("404 Not Found")]
#[case("400 Bad Request")]
#[case("302 Found")]
#[case("504 Gateway Timeout")]
fn other_errors_of_a_replica_are_forwarded_unchanged(#[case] line: &str) {
    let bench = Bench::start(2);
    bench.next(&write(&answer(line, "", "why")));
    let answer = bench.run(bench.send_request(&post("/harmless/", "t1")));
    assert!(answer.starts_with(&format!("HTTP/1.1 {line}\r\n")), "{answer}");
    assert_eq!(support::header(&answer, "Server-Seal").as_deref(), Some(support::SEAL));
    assert!(answer.ends_with("why"), "{answer}");
    assert_eq!(bench.arrivals(), 1);
}

#[test]
fn a_rejection_that_all_replicas_would_give_is_forwarded_at_once() {
    assert_eq!(outcome("/risky/", &not_run("400 Bad Request")), ("400".to_owned(), 1));
}

#[rstest]
fn a_replica_that_can_not_be_reached_has_not_run_anything(
    #[values("/harmless/", "/risky/", "/stream/")] path: &str,
) {
    let bench = Bench::start(2);
    bench.set_fleet(|lines| lines[0].address = "127.0.0.1:1".to_owned());
    // Whichever replica each of them is meant for first, the one that listens gets it.
    for n in 0..8 {
        let answer = bench.run(bench.send_request(&post(path, &format!("t{n}"))));
        assert_eq!(status(&answer), "200");
    }
    assert_eq!(bench.arrivals(), 8);
}

#[rstest]
#[case("/risky/", not_run("503 Service Unavailable"), "503")]
#[case("/harmless/", vec![Part::Reset], "503")]
#[case("/harmless/", write(&answer("500 Internal Server Error", "", "no")), "500")]
fn nothing_is_sent_again_without_a_token(
    #[case] path: &str,
    #[case] first: Vec<Part>,
    #[case] expected: &str,
) {
    let bench = Bench::with_budget(2, 0.0, 0);
    bench.next(&first);
    let answer = bench.run(bench.send_request(&post(path, "t1")));
    assert_eq!((status(&answer), bench.arrivals()), (expected, 1));
    assert_eq!(support::header(&answer, "Retry-After").is_some(), expected == "503");
}

#[rstest]
fn a_request_that_a_replica_holds_beyond_its_deadline_gets_no_promise(
    #[values("/risky/", "/stream/")] path: &str,
) {
    let bench = Bench::start(1);
    bench.next(&[Part::Wait]);
    let request = post(path, "t1").replace("Time-Left-Ms: 6000", "Time-Left-Ms: 300");
    let answer = bench.run(bench.send_request(&request));
    assert_eq!((status(&answer), bench.arrivals()), ("504", 1));
}

#[test]
fn what_was_risky_when_it_was_sent_gets_no_promise_once_it_may_have_run() {
    let bench = Bench::start(1);
    bench.next(&[Part::Wait, Part::Reset]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        bench.until(|| bench.arrivals() == 1).await;
        // From now on the module takes the request for one that may be repeated, and finds nobody for it.
        let mut configuration = support::configuration();
        configuration.routes.iter_mut().for_each(|route| {
            route.kind = tulipridge_configuration::RouteKind::Harmless;
            route.target_ms = 50;
        });
        bench.proxy.set_configuration(configuration.into());
        bench.release();
        client.answer().await
    });
    assert_eq!((status(&answer), bench.arrivals()), ("502", 1));
}

#[rstest]
#[case(1)]
#[case(2)]
fn a_request_goes_to_no_more_replicas_than_its_route_allows(#[case] attempts: u32) {
    let bench = Bench::start(4);
    let mut configuration = support::configuration();
    configuration.routes.iter_mut().for_each(|route| route.max_attempts = attempts);
    bench.proxy.set_configuration(configuration.into());
    for _ in 0..4 {
        bench.next(&not_run("503 Service Unavailable"));
    }
    let answer = bench.run(bench.send_request(&post("/risky/", "t1")));
    assert_eq!((status(&answer), bench.arrivals()), ("503", attempts as usize));
}

#[test]
fn a_client_that_leaves_takes_its_request_with_it() {
    let bench = Bench::start(1);
    bench.next(&[Part::Wait]);
    // Long before the request's deadline.
    let by = Instant::now() + Duration::from_secs(3);
    let ended = bench.run(bench.proxy.alarms.by(by, async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        bench.until(|| bench.arrivals() == 1).await;
        drop(client);
        bench.until(|| bench.replicas[0].ended.get() == 1).await;
    }));
    assert!(ended.is_some(), "the replica still works for a client that has left");
    assert_eq!(bench.proxy.placement.borrow().active_request_count(), 0);
}
