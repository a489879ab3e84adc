//! Forwarding of responses: they are forwarded as they arrive, never appear complete when they are truncated, and are
//! resumed where that is allowed.

mod support;

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::AsyncReadExt;
use rstest::rstest;
use support::{Harness, LAST_CHUNK, Step, chunk, event, normalized, post, post_with, status, stream_head};

fn write(text: impl Into<String>) -> Step {
    Step::Write(text.into())
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    let harness = Harness::start(1);
    harness.script_next_request(&[
        write(stream_head() + &event(1)),
        Step::Wait,
        write(event(2) + LAST_CHUNK),
    ]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/stream/", "t1")).await;
        client.wait_for("data: d1").await;
        harness.release();
        client.read_response().await
    });
    insta::assert_snapshot!(normalized(&response));
}

#[rstest]
#[case::length(
    "/risky/",
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nfour".to_owned(),
    "",
)]
#[case::between_chunks("/stream/", stream_head() + &event(1), "")]
#[case::within_a_chunk("/stream/", stream_head() + &event(1) + "9\r\nid: 2\n", "")]
#[case::invalid_chunk("/stream/", stream_head() + &event(1), "what is this\r\n\r\n")]
#[case::chunk_longer_than_its_size("/stream/", stream_head() + &event(1), "2\r\nlonger\r\n0\r\n\r\n")]
#[case::idempotent_request("/harmless/", stream_head() + &event(1), "")]
fn a_truncated_response_does_not_look_complete(
    #[case] path: &str,
    #[case] first_part: String,
    #[case] rest: &str,
) {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(first_part), Step::Wait, write(rest), Step::Close]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post(path, "t1")).await;
        client.wait_for("200 OK").await;
        harness.release();
        client.read_response().await
    });
    assert!(response.ends_with("(truncated)"), "{response}");
    assert!(!response.contains("0\r\n\r\n"), "{response}");
    assert_eq!(harness.arrivals(), 1);
}

#[test]
fn a_stream_is_resumed_after_the_last_complete_event() {
    let harness = Harness::start(2);
    harness.script_next_request(&[
        write(stream_head() + &event(1) + &event(2) + &chunk("id: 3\ndata")),
        Step::Close,
    ]);
    harness.script_next_request(&[write(
        stream_head().replace("s.1", "s.2") + &event(3) + &event(4) + LAST_CHUNK,
    )]);
    let response = harness.run(harness.send_request(&post("/resumable/", "t1")));
    insta::assert_snapshot!(normalized(&response));
    let second = harness.replicas.iter().flat_map(|replica| replica.requests.borrow().clone());
    let resumed: Vec<_> = second.filter(|request| request.contains("Last-Event-Id")).collect();
    assert_eq!(resumed.len(), 1);
    assert_eq!(support::header(&resumed[0], "Last-Event-Id").as_deref(), Some("2"));
}

#[rstest]
#[case::from_the_start("", None)]
#[case::from_the_clients_event("Last-Event-Id: 7\r\n", Some("7"))]
fn a_stream_without_a_complete_event_is_restarted(#[case] headers: &str, #[case] resumed_at: Option<&str>) {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(stream_head() + &chunk("id: 8\ndata")), Step::Close]);
    harness.script_next_request(&[write(stream_head().replace("s.1", "s.2") + &event(8) + LAST_CHUNK)]);
    let response = harness.run(harness.send_request(&post_with("/resumable/", "t1", headers)));
    assert_eq!(support::header(&response, "Server-Seal").as_deref(), Some("s.2"));
    assert!(response.ends_with(LAST_CHUNK) && response.matches("id: 8").count() == 1, "{response}");
    let requests = harness.replicas.iter().flat_map(|replica| replica.requests.borrow().clone());
    let resumed_from: Vec<_> = requests.map(|request| support::header(&request, "Last-Event-Id")).collect();
    assert_eq!(resumed_from, vec![resumed_at.map(str::to_owned); 2]);
}

#[test]
fn a_stream_resumed_by_the_client_continues_after_its_event() {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(stream_head() + &event(8)), Step::Close]);
    harness.script_next_request(&[write(stream_head() + &event(9) + LAST_CHUNK)]);
    let response =
        harness.run(harness.send_request(&post_with("/resumable/", "t1", "Last-Event-Id: 7\r\n")));
    assert!(
        response.contains("d8") && response.contains("d9") && response.ends_with(LAST_CHUNK),
        "{response}"
    );
    let mut ids: Vec<_> = harness
        .replicas
        .iter()
        .flat_map(|replica| replica.requests.borrow().clone())
        .map(|request| support::header(&request, "Last-Event-Id"))
        .collect();
    ids.sort();
    assert_eq!(ids, [Some("7".to_owned()), Some("8".to_owned())]);
}

#[test]
fn a_resumed_stream_on_a_silent_replica_ends_at_its_deadline() {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(stream_head() + &event(1)), Step::Close]);
    harness.script_next_request(&[Step::Wait]);
    let request = post("/resumable/", "t1").replace("Time-Left-Ms: 6000", "Time-Left-Ms: 500");
    let timeout_at = Instant::now() + Duration::from_secs(9);
    let response = harness.run(harness.proxy.timers.timeout_at(timeout_at, harness.send_request(&request)));
    let response = response.expect("a response before the timeout");
    assert!(response.contains("d1") && response.ends_with("(truncated)"), "{response}");
    assert_eq!(harness.arrivals(), 2);
}

#[rstest]
#[case::no_token(0.0, 0)]
#[case::no_spare_attempts(2.0, 1)]
fn a_stream_without_a_retry_token_is_aborted(#[case] ratio: f64, #[case] spare: u64) {
    let harness = Harness::with_budget(2, ratio, spare);
    harness.script_next_request(&[write(stream_head() + &event(1)), Step::Close]);
    let response = harness.run(harness.send_request(&post("/resumable/", "t1")));
    assert!(response.ends_with("(truncated)"), "{response}");
    assert_eq!(harness.arrivals(), 1);
}

#[test]
fn a_stream_uses_no_more_replicas_than_its_route_allows() {
    let harness = Harness::start(3);
    for id in 1..=3 {
        harness.script_next_request(&[write(stream_head() + &event(id)), Step::Close]);
    }
    let response = harness.run(harness.send_request(&post("/resumable/", "t1")));
    assert!(
        response.ends_with("(truncated)") && response.contains("d2") && !response.contains("d3"),
        "{response}"
    );
    assert_eq!(harness.arrivals(), 2);
}

#[rstest]
#[case::complete_response(support::ok("surplus").replace("{id}", "t1"))]
#[case::invalid_bytes("noise".to_owned())]
fn bytes_after_a_response_belong_to_no_request(#[case] surplus: String) {
    let harness = Harness::start(1);
    harness.script_next_request(&[write(support::ok("one") + &surplus)]);
    let responses = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        let first = client.read_response().await;
        support::settle().await;
        client.send(&post("/risky/", "t2")).await;
        [first, client.read_response().await]
    });
    assert!(responses[0].ends_with("one") && responses[1].ends_with("served"), "{responses:?}");
    assert_eq!(harness.replicas[0].connections.get(), 2);
}

#[test]
fn a_stale_response_is_skipped() {
    let harness = Harness::start(1);
    let late = support::ok("late").replace("{id}", "t0");
    harness.script_next_request(&[write(late + &support::ok("due"))]);
    let responses = harness.run(async {
        [
            harness.send_request(&post("/risky/", "t1")).await,
            harness.send_request(&post("/risky/", "t2")).await,
        ]
    });
    assert!(responses[0].ends_with("due") && responses[1].ends_with("served"), "{responses:?}");
    assert_eq!(harness.replicas[0].connections.get(), 2);
}

#[rstest]
#[case::continue_response("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::with_attempt_id("HTTP/1.1 103 Early Hints\r\nAttempt-Id: {id}\r\n\r\n")]
fn interim_responses_are_skipped(#[case] interim: &str) {
    let harness = Harness::start(1);
    harness.script_next_request(&[write(interim.to_owned() + &support::ok("due"))]);
    assert!(harness.run(harness.send_request(&post("/risky/", "t1"))).ends_with("due"));
}

#[rstest]
#[case("Connection: close\r\n", 2)]
#[case("Keep-Alive: timeout=1\r\n", 2)]
fn a_connection_is_reused_only_as_its_replica_allows(#[case] headers: &str, #[case] connections: usize) {
    let harness = Harness::start(1);
    harness.script_next_request(&[write(support::response("200 OK", headers, "one"))]);
    harness.run(async {
        let first = harness.send_request(&post("/risky/", "t1")).await;
        assert_eq!(support::header(&first, "Keep-Alive").as_deref(), Some("timeout=14"));
        assert_eq!(support::header(&first, "Connection"), None);
        harness.send_request(&post("/risky/", "t2")).await;
    });
    assert_eq!(harness.replicas[0].connections.get(), connections);
}

/// A connection that its replica may close at any moment is not used, even if the proxy has not closed it yet.
#[test]
fn an_idle_connection_is_not_used_close_to_its_timeout() {
    let harness = Harness::start(1);
    harness.script_next_request(&[write(support::response("200 OK", "Keep-Alive: timeout=2\r\n", "one"))]);
    harness.run(async {
        harness.send_request(&post("/risky/", "t1")).await;
        Timer::after(Duration::from_millis(1_050)).await;
        harness.send_request(&post("/risky/", "t2")).await;
    });
    assert_eq!(harness.replicas[0].connections.get(), 2);
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let harness = Harness::start(1);
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\n";
    harness.script_next_request(&[write(head.to_owned() + "all"), Step::Close]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        client.wait_for("\r\n\r\nall").await;
        client.read_response().await + &client.read_response().await
    });
    assert!(response.contains("Connection: close") && response.ends_with("all(truncated)"), "{response}");
}

/// A reset is the only sign to a client that a response without a length is incomplete.
#[test]
fn a_reset_response_without_a_length_is_not_complete() {
    let harness = Harness::start(1);
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\n";
    harness.script_next_request(&[write(head.to_owned() + "part"), Step::Wait, Step::Reset]);
    let end = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        client.wait_for("\r\n\r\npart").await;
        harness.release();
        client.stream.read(&mut [0]).await
    });
    assert_eq!(end.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
    assert_eq!((harness.proxy.counters.aborted.get(), harness.proxy.counters.completed.get()), (1, 0));
}

#[test]
fn a_retry_states_the_remaining_time() {
    let harness = Harness::start(2);
    harness.script_next_request(&[
        Step::Wait,
        write(support::response("503 Service Unavailable", "Not-Run: 1\r\n", "")),
    ]);
    let waited = Duration::from_millis(300);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/risky/", "t1")).await;
        harness.wait_until(|| harness.arrivals() == 1).await;
        Timer::after(waited).await;
        harness.release();
        client.read_response().await
    });
    assert_eq!(status(&response), "200");
    let requests = harness.replicas.iter().flat_map(|replica| replica.requests.borrow().clone());
    let time_left = |request: String| support::header(&request, "Time-Left-Ms")?.parse::<u64>().ok();
    let mut times: Vec<u64> = requests.filter_map(time_left).collect();
    times.sort_unstable();
    let [retry, first] = times[..] else { panic!("two attempts: {times:?}") };
    assert!(first <= 6_000 && retry + waited.as_millis() as u64 <= first, "{times:?}");
}

#[test]
fn a_client_disconnect_ends_its_stream_at_the_replica() {
    let harness = Harness::start(1);
    harness.script_next_request(&[write(stream_head() + &event(1)), Step::Wait]);
    let timeout_at = Instant::now() + Duration::from_secs(5);
    let ended = harness.run(harness.proxy.timers.timeout_at(timeout_at, async {
        let mut client = harness.connect().await;
        client.send(&post("/stream/", "t1")).await;
        client.wait_for("data: d1").await;
        drop(client);
        harness.wait_until(|| harness.replicas[0].closed_connections.get() == 1).await;
    }));
    assert!(ended.is_some(), "the replica still processes a request of a client that has disconnected");
}

#[test]
fn a_response_to_head_has_no_body() {
    let harness = Harness::start(1);
    harness.script_next_request(&[write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 99\r\n\r\n",
    )]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        let request = post("/harmless/", "t1").replace("POST", "HEAD");
        client.send(&request).await;
        client.wait_for("\r\n\r\n").await;
        drop(client);
        harness.wait_until(|| harness.proxy.usage.open_clients() == 0).await;
        harness.proxy.counters.completed.get()
    });
    assert_eq!(response, 1);
}

#[test]
fn pipelined_requests_are_served_in_their_order() {
    let harness = Harness::start(1);
    for body in ["one", "two"] {
        harness.script_next_request(&[write(support::ok(body))]);
    }
    let responses = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&(post("/risky/", "t1") + &post("/risky/", "t2"))).await;
        [client.read_response().await, client.read_response().await]
    });
    assert!(responses[0].ends_with("one") && responses[1].ends_with("two"), "{responses:?}");
}

#[test]
fn a_chunked_request_body_reaches_the_replica_completely() {
    let harness = Harness::start(1);
    let request = post("/risky/", "t1")
        .replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n");
    let request = request + &chunk("bo") + &chunk("dy!") + LAST_CHUNK;
    assert_eq!(status(&harness.run(harness.send_request(&request))), "200");
    insta::assert_snapshot!(normalized(&harness.replicas[0].requests.borrow()[0]));
}

#[rstest]
#[case::no_host("GET / HTTP/1.1\r\n\r\n", "400")]
#[case::two_lengths("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400")]
#[case::length_and_chunked(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "400"
)]
#[case::large_body("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194305\r\n\r\n", "413")]
fn an_invalid_request_is_rejected_and_its_connection_closed(#[case] request: &str, #[case] expected: &str) {
    let harness = Harness::start(1);
    let response = harness.run(harness.send_request(request));
    assert_eq!(status(&response), expected);
    assert_eq!(support::header(&response, "Connection").as_deref(), Some("close"));
    assert_eq!(harness.arrivals(), 0);
}

#[test]
fn a_head_over_the_limit_is_refused() {
    let harness = Harness::start(1);
    let request = format!("GET / HTTP/1.1\r\nHost: a\r\nX-Long: {}\r\n\r\n", "x".repeat(17_000));
    assert_eq!(status(&harness.run(harness.send_request(&request))), "431");
}
