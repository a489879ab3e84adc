//! Responses that arrive while their request is still being written.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{
    Harness, LAST_CHUNK, LONG_BODY, Step, event, ok, post, post_with_long_body, response, status,
    stream_head,
};

fn write(text: impl Into<String>) -> Step {
    Step::Write(text.into())
}

/// The body lengths of the requests received. Checks that no body contains bytes of another message.
fn body_lengths(harness: &Harness) -> Vec<usize> {
    let requests = harness.replicas.iter().flat_map(|replica| replica.requests.borrow().clone());
    let bodies = requests.map(|request| request.split_once("\r\n\r\n").expect("a head").1.to_owned());
    let check = |body: String| {
        assert!(body == "body" || body.bytes().all(|byte| byte == b'x'), "other bytes in a body");
        body.len()
    };
    bodies.map(check).collect()
}

#[test]
fn an_early_response_reaches_the_client_at_once() {
    let harness = Harness::start(1);
    harness.script_next_request(&[Step::AwaitHead, write(ok("early")), Step::Wait, Step::ReadBody]);
    let responses = harness.run(async {
        let first = harness.send_request(&post_with_long_body("/risky/", "t1")).await;
        let second = harness.send_request(&post("/risky/", "t2")).await;
        harness.release();
        harness.wait_until(|| harness.replicas[0].closed_connections.get() == 1).await;
        [first, second]
    });
    assert!(responses[0].ends_with("early") && responses[1].ends_with("served"), "{responses:?}");
    // The first connection still has to carry the rest of the first body, so the second request uses another one.
    assert_eq!(harness.replicas[0].connections.get(), 2);
    let lengths = body_lengths(&harness);
    assert!(lengths.contains(&4) && lengths.iter().all(|length| *length < LONG_BODY), "{lengths:?}");
}

#[test]
fn a_request_body_is_written_while_its_response_is_forwarded() {
    let harness = Harness::start(1);
    let early = stream_head() + &event(1);
    harness.script_next_request(&[
        Step::AwaitHead,
        write(early),
        Step::Wait,
        Step::ReadBody,
        write(event(2) + LAST_CHUNK),
    ]);
    let responses = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post_with_long_body("/stream/", "t1")).await;
        client.wait_for("data: d1").await;
        harness.release();
        let first = client.read_response().await;
        support::settle().await;
        [first, harness.send_request(&post("/risky/", "t2")).await]
    });
    assert!(responses[0].contains("d2") && responses[0].ends_with(LAST_CHUNK), "{}", responses[0]);
    assert!(responses[1].ends_with("served"), "{}", responses[1]);
    assert_eq!((harness.replicas[0].connections.get(), body_lengths(&harness)), (1, vec![LONG_BODY, 4]));
}

/// The replica would read later bytes on such a connection as the rest of the body.
#[test]
fn a_connection_with_an_incomplete_request_is_not_reused() {
    let harness = Harness::start(1);
    harness.script_next_request(&[Step::AwaitHead, write(response("200 OK", "", "early")), Step::Wait]);
    let timeout_at = Instant::now() + Duration::from_secs(5);
    let responses = harness.run(harness.proxy.timers.timeout_at(timeout_at, async {
        let first = harness.send_request(&post_with_long_body("/risky/", "t1")).await;
        support::settle().await;
        [first, harness.send_request(&post("/risky/", "t2")).await]
    }));
    let responses = responses.expect("two responses in time");
    assert!(responses[0].ends_with("early") && responses[1].ends_with("served"), "{responses:?}");
    assert_eq!(harness.replicas[0].connections.get(), 2);
}

#[rstest]
#[case::not_run("503 Service Unavailable", "Not-Run: 1\r\n", "200", 2)]
#[case::failed("500 Internal Server Error", "", "500", 1)]
#[case::too_large("413 Content Too Large", "", "413", 1)]
#[case::sealed("200 OK", "", "200", 1)]
fn an_early_response_counts_even_if_its_connection_is_reset(
    #[case] line: &str,
    #[case] headers: &str,
    #[case] expected: &str,
    #[case] arrivals: usize,
) {
    let harness = Harness::start(2);
    harness.script_next_request(&[Step::AwaitHead, write(response(line, headers, "early")), Step::Reset]);
    let response = harness.run(harness.send_request(&post_with_long_body("/risky/", "t1")));
    assert_eq!((status(&response), harness.arrivals()), (expected, arrivals));
}

#[rstest]
#[case("/risky/", "502", 1)]
#[case("/stream/", "502", 1)]
#[case("/harmless/", "200", 2)]
#[case("/resumable/", "200", 2)]
fn a_replica_that_has_read_a_head_may_have_run_the_request(
    #[case] path: &str,
    #[case] expected: &str,
    #[case] arrivals: usize,
    #[values(Step::Reset, Step::Close)] end: Step,
) {
    let harness = Harness::start(2);
    harness.script_next_request(&[Step::AwaitHead, end]);
    let response = harness.run(harness.send_request(&post_with_long_body(path, "t1")));
    assert_eq!((status(&response), harness.arrivals()), (expected, arrivals));
}
