//! Answers that come while their request is still being written.

mod support;

use std::time::{Duration, Instant};

use rstest::rstest;
use support::{Bench, LAST, LONG_BODY, Part, answer, event, ok, post, post_long, status, stream_head};

fn write(text: impl Into<String>) -> Part {
    Part::Write(text.into())
}

/// The requests that came, by the length of their bodies; no body holds a byte of another message.
fn body_lengths(bench: &Bench) -> Vec<usize> {
    let requests = bench.replicas.iter().flat_map(|replica| replica.requests.borrow().clone());
    let bodies = requests.map(|request| request.split_once("\r\n\r\n").expect("a head").1.to_owned());
    let check = |body: String| {
        assert!(body == "body" || body.bytes().all(|byte| byte == b'x'), "other bytes in a body");
        body.len()
    };
    bodies.map(check).collect()
}

#[test]
fn an_early_response_reaches_the_client_at_once() {
    let bench = Bench::start(1);
    bench.next(&[Part::BeforeBody, write(ok("early")), Part::Wait, Part::ReadBody]);
    let answers = bench.run(async {
        let first = bench.send_request(&post_long("/risky/", "t1")).await;
        let second = bench.send_request(&post("/risky/", "t2")).await;
        bench.release();
        bench.until(|| bench.replicas[0].ended.get() == 1).await;
        [first, second]
    });
    assert!(answers[0].ends_with("early") && answers[1].ends_with("served"), "{answers:?}");
    // The rest of the first body is due on its connection, so the second request comes on another one.
    assert_eq!(bench.replicas[0].connections.get(), 2);
    let lengths = body_lengths(&bench);
    assert!(lengths.contains(&4) && lengths.iter().all(|length| *length < LONG_BODY), "{lengths:?}");
}

#[test]
fn the_rest_of_a_request_is_written_while_its_response_is_forwarded() {
    let bench = Bench::start(1);
    let early = stream_head() + &event(1);
    bench.next(&[Part::BeforeBody, write(early), Part::Wait, Part::ReadBody, write(event(2) + LAST)]);
    let answers = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post_long("/stream/", "t1")).await;
        client.wait_for("data: d1").await;
        bench.release();
        let first = client.answer().await;
        support::settle().await;
        [first, bench.send_request(&post("/risky/", "t2")).await]
    });
    assert!(answers[0].contains("d2") && answers[0].ends_with(LAST), "{}", answers[0]);
    assert!(answers[1].ends_with("served"), "{}", answers[1]);
    assert_eq!((bench.replicas[0].connections.get(), body_lengths(&bench)), (1, vec![LONG_BODY, 4]));
}

/// What follows on such a connection would be read as the rest of the body.
#[test]
fn the_connection_of_a_request_that_was_not_written_completely_is_not_reused() {
    let bench = Bench::start(1);
    bench.next(&[Part::BeforeBody, write(answer("200 OK", "", "early")), Part::Wait]);
    let by = Instant::now() + Duration::from_secs(5);
    let answers = bench.run(bench.proxy.alarms.by(by, async {
        let first = bench.send_request(&post_long("/risky/", "t1")).await;
        support::settle().await;
        [first, bench.send_request(&post("/risky/", "t2")).await]
    }));
    let answers = answers.expect("two responses in time");
    assert!(answers[0].ends_with("early") && answers[1].ends_with("served"), "{answers:?}");
    assert_eq!(bench.replicas[0].connections.get(), 2);
}

#[rstest]
#[case::not_run("503 Service Unavailable", "Not-Run: 1\r\n", "200", 2)]
#[case::failed("500 Internal Server Error", "", "500", 1)]
#[case::too_long("413 Content Too Large", "", "413", 1)]
#[case::sealed("200 OK", "", "200", 1)]
fn an_early_response_counts_even_if_its_connection_is_reset(
    #[case] line: &str,
    #[case] headers: &str,
    #[case] expected: &str,
    #[case] arrivals: usize,
) {
    let bench = Bench::start(2);
    bench.next(&[Part::BeforeBody, write(answer(line, headers, "early")), Part::Reset]);
    let answer = bench.run(bench.send_request(&post_long("/risky/", "t1")));
    assert_eq!((status(&answer), bench.arrivals()), (expected, arrivals));
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
    #[values(Part::Reset, Part::Close)] end: Part,
) {
    let bench = Bench::start(2);
    bench.next(&[Part::BeforeBody, end]);
    let answer = bench.run(bench.send_request(&post_long(path, "t1")));
    assert_eq!((status(&answer), bench.arrivals()), (expected, arrivals));
}
