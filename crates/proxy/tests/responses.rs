//! Responses are forwarded as they arrive, never look complete when they are not, and are resumed where that is allowed.

mod support;

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::AsyncReadExt;
use rstest::rstest;
use support::{Bench, LAST, Part, chunk, event, post, post_with, status, stream_head, transcript};

fn write(text: impl Into<String>) -> Part {
    Part::Write(text.into())
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    let bench = Bench::start(1);
    bench.next(&[write(stream_head() + &event(1)), Part::Wait, write(event(2) + LAST)]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/stream/", "t1")).await;
        client.wait_for("data: d1").await;
        bench.release();
        client.answer().await
    });
    insta::assert_snapshot!(transcript(&answer));
}

#[rstest]
#[case::length(
    "/risky/",
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nfour".to_owned(),
    "",
)]
#[case::between_chunks("/stream/", stream_head() + &event(1), "")]
#[case::amid_a_chunk("/stream/", stream_head() + &event(1) + "9\r\nid: 2\n", "")]
#[case::no_chunk("/stream/", stream_head() + &event(1), "what is this\r\n\r\n")]
#[case::longer_than_its_size("/stream/", stream_head() + &event(1), "2\r\nlonger\r\n0\r\n\r\n")]
#[case::amid_an_answer("/harmless/", stream_head() + &event(1), "")]
fn a_truncated_response_does_not_look_complete(
    #[case] path: &str,
    #[case] begun: String,
    #[case] then: &str,
) {
    let bench = Bench::start(2);
    bench.next(&[write(begun), Part::Wait, write(then), Part::Close]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post(path, "t1")).await;
        client.wait_for("200 OK").await;
        bench.release();
        client.answer().await
    });
    assert!(answer.ends_with("(cut)"), "{answer}");
    assert!(!answer.contains("0\r\n\r\n"), "{answer}");
    assert_eq!(bench.arrivals(), 1);
}

#[test]
fn a_stream_is_resumed_after_the_last_complete_event() {
    let bench = Bench::start(2);
    bench.next(&[write(stream_head() + &event(1) + &event(2) + &chunk("id: 3\ndata")), Part::Close]);
    bench.next(&[write(stream_head().replace("s.1", "s.2") + &event(3) + &event(4) + LAST)]);
    let answer = bench.run(bench.send_request(&post("/resumable/", "t1")));
    insta::assert_snapshot!(transcript(&answer));
    let second = bench.replicas.iter().flat_map(|replica| replica.requests.borrow().clone());
    let resumed: Vec<_> = second.filter(|request| request.contains("Last-Event-Id")).collect();
    assert_eq!(resumed.len(), 1);
    assert_eq!(support::header(&resumed[0], "Last-Event-Id").as_deref(), Some("2"));
}

#[rstest]
#[case::from_the_start("", None)]
#[case::from_the_clients_event("Last-Event-Id: 7\r\n", Some("7"))]
fn a_stream_without_a_complete_event_is_restarted_at_another_replica(
    #[case] headers: &str,
    #[case] resumed_at: Option<&str>,
) {
    let bench = Bench::start(2);
    bench.next(&[write(stream_head() + &chunk("id: 8\ndata")), Part::Close]);
    bench.next(&[write(stream_head().replace("s.1", "s.2") + &event(8) + LAST)]);
    let answer = bench.run(bench.send_request(&post_with("/resumable/", "t1", headers)));
    assert_eq!(support::header(&answer, "Server-Seal").as_deref(), Some("s.2"));
    assert!(answer.ends_with(LAST) && answer.matches("id: 8").count() == 1, "{answer}");
    let requests = bench.replicas.iter().flat_map(|replica| replica.requests.borrow().clone());
    let resumed_from: Vec<_> = requests.map(|request| support::header(&request, "Last-Event-Id")).collect();
    assert_eq!(resumed_from, vec![resumed_at.map(str::to_owned); 2]);
}

#[test]
fn a_resumed_stream_of_the_client_goes_on_behind_its_own_event() {
    let bench = Bench::start(2);
    bench.next(&[write(stream_head() + &event(8)), Part::Close]);
    bench.next(&[write(stream_head() + &event(9) + LAST)]);
    let answer = bench.run(bench.send_request(&post_with("/resumable/", "t1", "Last-Event-Id: 7\r\n")));
    assert!(answer.contains("d8") && answer.contains("d9") && answer.ends_with(LAST), "{answer}");
    let mut ids: Vec<_> = bench
        .replicas
        .iter()
        .flat_map(|replica| replica.requests.borrow().clone())
        .map(|request| support::header(&request, "Last-Event-Id"))
        .collect();
    ids.sort();
    assert_eq!(ids, [Some("7".to_owned()), Some("8".to_owned())]);
}

#[test]
fn a_resumed_stream_ends_at_its_deadline_however_silent_its_second_replica_is() {
    let bench = Bench::start(2);
    bench.next(&[write(stream_head() + &event(1)), Part::Close]);
    bench.next(&[Part::Wait]);
    let request = post("/resumable/", "t1").replace("Time-Left-Ms: 6000", "Time-Left-Ms: 500");
    let by = Instant::now() + Duration::from_secs(9);
    let answer = bench.run(bench.proxy.alarms.by(by, bench.send_request(&request)));
    let answer = answer.expect("an answer that ends");
    assert!(answer.contains("d1") && answer.ends_with("(cut)"), "{answer}");
    assert_eq!(bench.arrivals(), 2);
}

#[rstest]
#[case::no_token(0.0, 0)]
#[case::no_spare(2.0, 1)]
fn a_stream_without_a_token_is_broken_off(#[case] ratio: f64, #[case] spare: u64) {
    let bench = Bench::with_budget(2, ratio, spare);
    bench.next(&[write(stream_head() + &event(1)), Part::Close]);
    let answer = bench.run(bench.send_request(&post("/resumable/", "t1")));
    assert!(answer.ends_with("(cut)"), "{answer}");
    assert_eq!(bench.arrivals(), 1);
}

#[test]
fn a_stream_is_resumed_by_no_more_replicas_than_its_route_allows() {
    let bench = Bench::start(3);
    for id in 1..=3 {
        bench.next(&[write(stream_head() + &event(id)), Part::Close]);
    }
    let answer = bench.run(bench.send_request(&post("/resumable/", "t1")));
    assert!(answer.ends_with("(cut)") && answer.contains("d2") && !answer.contains("d3"), "{answer}");
    assert_eq!(bench.arrivals(), 2);
}

#[rstest]
#[case::whole_answer(support::ok("surplus").replace("{id}", "t1"))]
#[case::noise("noise".to_owned())]
fn bytes_after_a_response_belong_to_no_request(#[case] surplus: String) {
    let bench = Bench::start(1);
    bench.next(&[write(support::ok("one") + &surplus)]);
    let answers = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        let first = client.answer().await;
        support::settle().await;
        client.send(&post("/risky/", "t2")).await;
        [first, client.answer().await]
    });
    assert!(answers[0].ends_with("one") && answers[1].ends_with("served"), "{answers:?}");
    assert_eq!(bench.replicas[0].connections.get(), 2);
}

#[test]
fn a_stale_response_is_skipped() {
    let bench = Bench::start(1);
    let late = support::ok("late").replace("{id}", "t0");
    bench.next(&[write(late + &support::ok("due"))]);
    let answers = bench.run(async {
        [bench.send_request(&post("/risky/", "t1")).await, bench.send_request(&post("/risky/", "t2")).await]
    });
    assert!(answers[0].ends_with("due") && answers[1].ends_with("served"), "{answers:?}");
    assert_eq!(bench.replicas[0].connections.get(), 2);
}

#[rstest]
#[case::continue_("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::with_the_attempt("HTTP/1.1 103 Early Hints\r\nAttempt-Id: {id}\r\n\r\n")]
fn interim_responses_are_skipped(#[case] interim: &str) {
    let bench = Bench::start(1);
    bench.next(&[write(interim.to_owned() + &support::ok("due"))]);
    assert!(bench.run(bench.send_request(&post("/risky/", "t1"))).ends_with("due"));
}

#[rstest]
#[case("Connection: close\r\n", 2)]
#[case("Keep-Alive: timeout=1\r\n", 2)]
fn a_connection_is_used_no_longer_than_its_replica_says(#[case] headers: &str, #[case] connections: usize) {
    let bench = Bench::start(1);
    bench.next(&[write(support::answer("200 OK", headers, "one"))]);
    bench.run(async {
        let first = bench.send_request(&post("/risky/", "t1")).await;
        assert_eq!(support::header(&first, "Keep-Alive").as_deref(), Some("timeout=14"));
        assert_eq!(support::header(&first, "Connection"), None);
        bench.send_request(&post("/risky/", "t2")).await;
    });
    assert_eq!(bench.replicas[0].connections.get(), connections);
}

/// A connection that its replica may close at any moment is not used, though the proxy has not closed it yet.
#[test]
fn an_idle_connection_is_not_used_shortly_before_its_replica_closes_it() {
    let bench = Bench::start(1);
    bench.next(&[write(support::answer("200 OK", "Keep-Alive: timeout=2\r\n", "one"))]);
    bench.run(async {
        bench.send_request(&post("/risky/", "t1")).await;
        Timer::after(Duration::from_millis(1_050)).await;
        bench.send_request(&post("/risky/", "t2")).await;
    });
    assert_eq!(bench.replicas[0].connections.get(), 2);
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let bench = Bench::start(1);
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\n";
    bench.next(&[write(head.to_owned() + "all"), Part::Close]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        client.wait_for("\r\n\r\nall").await;
        client.answer().await + &client.answer().await
    });
    assert!(answer.contains("Connection: close") && answer.ends_with("all(cut)"), "{answer}");
}

/// The client of a response without a length learns only from a reset that it is not complete.
#[test]
fn a_reset_response_without_a_length_is_not_complete() {
    let bench = Bench::start(1);
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\n\r\n";
    bench.next(&[write(head.to_owned() + "part"), Part::Wait, Part::Reset]);
    let end = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        client.wait_for("\r\n\r\npart").await;
        bench.release();
        client.stream.read(&mut [0]).await
    });
    assert_eq!(end.expect_err("a reset").kind(), ErrorKind::ConnectionReset);
    assert_eq!((bench.proxy.counters.aborted.get(), bench.proxy.counters.completed.get()), (1, 0));
}

#[test]
fn a_retry_states_the_time_that_is_left() {
    let bench = Bench::start(2);
    bench.next(&[Part::Wait, write(support::answer("503 Service Unavailable", "Not-Run: 1\r\n", ""))]);
    let waited = Duration::from_millis(300);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&post("/risky/", "t1")).await;
        bench.until(|| bench.arrivals() == 1).await;
        Timer::after(waited).await;
        bench.release();
        client.answer().await
    });
    assert_eq!(status(&answer), "200");
    let requests = bench.replicas.iter().flat_map(|replica| replica.requests.borrow().clone());
    let time_left = |request: String| support::header(&request, "Time-Left-Ms")?.parse::<u64>().ok();
    let mut times: Vec<u64> = requests.filter_map(time_left).collect();
    times.sort_unstable();
    let [retry, first] = times[..] else { panic!("two sends: {times:?}") };
    assert!(first <= 6_000 && retry + waited.as_millis() as u64 <= first, "{times:?}");
}

#[test]
fn a_client_that_leaves_a_stream_ends_it_at_the_replica() {
    let bench = Bench::start(1);
    bench.next(&[write(stream_head() + &event(1)), Part::Wait]);
    let by = Instant::now() + Duration::from_secs(5);
    let ended = bench.run(bench.proxy.alarms.by(by, async {
        let mut client = bench.connect().await;
        client.send(&post("/stream/", "t1")).await;
        client.wait_for("data: d1").await;
        drop(client);
        bench.until(|| bench.replicas[0].ended.get() == 1).await;
    }));
    assert!(ended.is_some(), "the replica still works for a client that has left");
}

#[test]
fn a_response_to_head_has_no_body() {
    let bench = Bench::start(1);
    bench.next(&[write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 99\r\n\r\n",
    )]);
    let answer = bench.run(async {
        let mut client = bench.connect().await;
        let request = post("/harmless/", "t1").replace("POST", "HEAD");
        client.send(&request).await;
        client.wait_for("\r\n\r\n").await;
        drop(client);
        bench.until(|| bench.proxy.usage.open_clients() == 0).await;
        bench.proxy.counters.completed.get()
    });
    assert_eq!(answer, 1);
}

#[test]
fn pipelined_requests_are_served_in_their_order() {
    let bench = Bench::start(1);
    for body in ["one", "two"] {
        bench.next(&[write(support::ok(body))]);
    }
    let answers = bench.run(async {
        let mut client = bench.connect().await;
        client.send(&(post("/risky/", "t1") + &post("/risky/", "t2"))).await;
        [client.answer().await, client.answer().await]
    });
    assert!(answers[0].ends_with("one") && answers[1].ends_with("two"), "{answers:?}");
}

#[test]
fn a_chunked_request_body_reaches_the_replica_completely() {
    let bench = Bench::start(1);
    let request = post("/risky/", "t1")
        .replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n");
    let request = request + &chunk("bo") + &chunk("dy!") + LAST;
    assert_eq!(status(&bench.run(bench.send_request(&request))), "200");
    insta::assert_snapshot!(transcript(&bench.replicas[0].requests.borrow()[0]));
}

#[rstest]
#[case::no_host("GET / HTTP/1.1\r\n\r\n", "400")]
#[case::two_lengths("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400")]
#[case::both(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "400"
)]
#[case::large_body("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194305\r\n\r\n", "413")]
fn bytes_that_are_no_request_are_refused_and_the_connection_is_closed(
    #[case] request: &str,
    #[case] expected: &str,
) {
    let bench = Bench::start(1);
    let answer = bench.run(bench.send_request(request));
    assert_eq!(status(&answer), expected);
    assert_eq!(support::header(&answer, "Connection").as_deref(), Some("close"));
    assert_eq!(bench.arrivals(), 0);
}

#[test]
fn a_head_beyond_the_cap_is_refused() {
    let bench = Bench::start(1);
    let request = format!("GET / HTTP/1.1\r\nHost: a\r\nX-Long: {}\r\n\r\n", "x".repeat(17_000));
    assert_eq!(status(&bench.run(bench.send_request(&request))), "431");
}
