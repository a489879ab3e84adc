//! Ends of streams: one that breaks off within an event never looks complete, and is resumed where that is allowed; one
//! that is sound is forwarded to its end.

mod support;

use std::io::{self, ErrorKind};
use std::time::Duration;

use async_io::Timer;
use futures_lite::AsyncReadExt;
use rstest::rstest;
use support::{
    Harness, LAST_CHUNK, Step, chunk, decoded_body, event, event_text, post, stream_head,
    stream_head_with_length, unframed_stream_head,
};

/// A part of the second event of a stream.
const PARTIAL_EVENT: &str = "id: 2\ndata: ";
/// Length of an event that is not buffered.
const LONG_EVENT_BYTES: usize = 300 * 1024;

fn write(text: impl Into<String>) -> Step {
    Step::Write(text.into())
}

/// The first event of a stream and a part of the second one.
fn cut_stream() -> String {
    event_text(1) + PARTIAL_EVENT
}

/// The `Last-Event-Id` of each request that a replica has received, in ascending order.
fn resumed_from(harness: &Harness) -> Vec<Option<String>> {
    let requests = harness.replicas.iter().flat_map(|replica| replica.requests.borrow().clone());
    let mut ids: Vec<_> = requests.map(|request| support::header(&request, "Last-Event-Id")).collect();
    ids.sort();
    ids
}

/// Sends a request whose response is delimited by the end of the connection. Returns the body, and the result of the
/// read at its end: 0, or the error of a reset.
async fn read_unframed(harness: &Harness, request: &str) -> (String, io::Result<usize>) {
    let mut client = harness.connect().await;
    client.send(request).await;
    client.wait_for("\r\n\r\n").await;
    let mut body = client.received();
    body.drain(..body.find("\r\n\r\n").expect("a head") + 4);
    harness.release();
    loop {
        let mut fragment = [0; 256];
        match client.stream.read(&mut fragment).await {
            Ok(count @ 1..) => body.push_str(&String::from_utf8_lossy(&fragment[..count])),
            end => return (body, end),
        }
    }
}

/// Guards against the end of a killed replica's connection being taken for the end of its stream.
#[test]
fn a_stream_closed_within_an_event_is_resumed() {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(unframed_stream_head() + &cut_stream()), Step::Close]);
    harness.script_next_request(&[write(stream_head() + &event(2) + &event(3) + LAST_CHUNK)]);
    let response = harness.run(harness.send_request(&post("/resumable/", "t1")));
    let whole = event_text(1) + &event_text(2) + &event_text(3);
    assert_eq!(decoded_body(&response), (whole, true));
    assert_eq!(resumed_from(&harness), [None, Some("1".to_owned())]);
    let counters = &harness.proxy.counters;
    assert_eq!((counters.resumed.get(), counters.completed.get(), counters.unframed.get()), (1, 1, 0));
}

/// Guards against a half event that looks complete, wherever the replica's connection ends.
#[rstest]
fn a_stream_cut_at_any_byte_ends_between_events(#[values("\n", "\r\n", "\r")] line_end: &str) {
    let events: Vec<_> = (1..=3).map(|id| event_text(id).replace('\n', line_end)).collect();
    let whole = events.concat();
    let event_bytes = events[0].len();
    for cut in 1..=whole.len() {
        let harness = Harness::start(2);
        let complete_events = cut / event_bytes;
        let rest = events[complete_events..].concat();
        harness.script_next_request(&[write(unframed_stream_head() + &whole[..cut]), Step::Close]);
        harness.script_next_request(&[write(stream_head() + &chunk(&rest) + LAST_CHUNK)]);
        let response = harness.run(harness.send_request(&post("/resumable/", "t1")));
        // A stream that ends between two events can't be told from a whole one.
        let is_between_events = cut % event_bytes == 0;
        let expected = if is_between_events { whole[..cut].to_owned() } else { whole.clone() };
        assert_eq!(decoded_body(&response), (expected, true), "cut at {cut}");
        assert_eq!(harness.arrivals(), if is_between_events { 1 } else { 2 }, "cut at {cut}");
    }
}

#[rstest]
#[case::length(stream_head_with_length(999) + &cut_stream())]
#[case::chunked(stream_head() + &chunk(&cut_stream()))]
#[case::within_a_chunk(stream_head() + &event(1) + "63\r\n" + PARTIAL_EVENT)]
#[case::unframed(unframed_stream_head() + &cut_stream())]
fn a_stream_is_resumed_however_it_is_framed_and_breaks_off(
    #[case] first_part: String,
    #[values(Step::Close, Step::Reset)] end: Step,
    #[values(stream_head() + &event(2) + LAST_CHUNK, unframed_stream_head() + &event_text(2))] rest: String,
) {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(first_part), Step::Wait, end]);
    harness.script_next_request(&[write(rest), Step::Close]);
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&post("/resumable/", "t1")).await;
        client.wait_for("data: d1").await;
        harness.release();
        client.read_response().await
    });
    assert_eq!(decoded_body(&response), (event_text(1) + &event_text(2), true));
    assert_eq!(resumed_from(&harness), [None, Some("1".to_owned())]);
}

/// Guards against a client's connection that ends in order within an event: it is the end of the response there.
#[rstest]
#[case::stream("/stream/")]
#[case::idempotent("/harmless/")]
#[case::not_idempotent("/risky/")]
fn a_cut_stream_that_may_not_be_resumed_is_reset(#[case] path: &str) {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(unframed_stream_head() + &cut_stream()), Step::Wait, Step::Close]);
    let (body, end) = harness.run(read_unframed(&harness, &post(path, "t1")));
    assert_eq!(end.expect_err("a reset").kind(), ErrorKind::ConnectionReset, "{body}");
    let counters = &harness.proxy.counters;
    assert_eq!((counters.aborted.get(), counters.completed.get(), harness.arrivals()), (1, 0, 1));
}

#[rstest]
#[case::events("id: 1\ndata: a\n\n")]
#[case::carriage_returns("id: 1\rdata: a\r\r")]
#[case::comments("id: 1\ndata: a\n\n: done\n")]
#[case::no_event("")]
fn a_sound_stream_without_a_length_is_complete(
    #[case] stream: &str,
    #[values("/stream/", "/resumable/")] path: &str,
) {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(unframed_stream_head() + stream), Step::Wait, Step::Close]);
    harness.release();
    let (body, end) = if path == "/stream/" {
        harness.run(read_unframed(&harness, &post(path, "t1")))
    } else {
        let response = harness.run(harness.send_request(&post(path, "t1")));
        let (body, is_complete) = decoded_body(&response);
        (body, if is_complete { Ok(0) } else { Err(ErrorKind::UnexpectedEof.into()) })
    };
    assert_eq!((body.as_str(), end.expect("a complete response")), (stream, 0));
    let counters = &harness.proxy.counters;
    assert_eq!((counters.completed.get(), counters.unframed.get(), harness.arrivals()), (1, 1, 1));
}

/// The framing proves that the body is the replica's, whatever the body ends with.
#[rstest]
#[case::length(stream_head_with_length(cut_stream().len()) + &cut_stream())]
#[case::chunked(stream_head() + &chunk(&cut_stream()) + LAST_CHUNK)]
fn a_framed_stream_is_complete_at_the_end_of_its_framing(
    #[case] response: String,
    #[values("/stream/", "/resumable/")] path: &str,
) {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(response)]);
    let received = harness.run(harness.send_request(&post(path, "t1")));
    assert!(!received.ends_with("(truncated)") && received.contains(PARTIAL_EVENT), "{received}");
    assert_eq!((harness.proxy.counters.completed.get(), harness.arrivals()), (1, 1));
}

#[rstest]
#[case::no_event_id(2, "data: a\n\ndata: b")]
#[case::no_other_replica(1, "id: 1\ndata: a\n\ndata: b")]
fn a_cut_stream_that_nobody_can_resume_is_truncated(#[case] replicas: usize, #[case] stream: &str) {
    let harness = Harness::start(replicas);
    harness.script_next_request(&[write(unframed_stream_head() + stream), Step::Close]);
    let response = harness.run(harness.send_request(&post("/resumable/", "t1")));
    assert!(response.ends_with("(truncated)") && response.contains("data: a"), "{response}");
    assert_eq!((harness.proxy.counters.aborted.get(), harness.arrivals()), (1, 1));
}

#[test]
fn a_cut_stream_past_its_deadline_is_truncated() {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(unframed_stream_head() + &cut_stream()), Step::Wait, Step::Close]);
    let request = post("/resumable/", "t1").replace("Time-Left-Ms: 6000", "Time-Left-Ms: 200");
    let response = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&request).await;
        client.wait_for("data: d1").await;
        Timer::after(Duration::from_millis(300)).await;
        harness.release();
        client.read_response().await
    });
    assert!(response.ends_with("(truncated)"), "{response}");
    assert_eq!(harness.arrivals(), 1);
}

/// Guards against a resumed stream that is cut in its turn: it has no more attempts.
#[rstest]
#[case::within_an_event(unframed_stream_head() + &event_text(2) + "id: 3\n", 2)]
#[case::within_the_same_event(unframed_stream_head() + PARTIAL_EVENT, 1)]
#[case::before_the_event_that_was_cut(unframed_stream_head(), 1)]
#[case::after_a_comment(unframed_stream_head() + ": on it\n\n", 1)]
fn a_resumed_stream_that_is_cut_does_not_look_complete(
    #[case] second_part: String,
    #[case] complete_events: usize,
) {
    let harness = Harness::start(3);
    harness.script_next_request(&[write(unframed_stream_head() + &cut_stream()), Step::Close]);
    harness.script_next_request(&[write(second_part), Step::Close]);
    let response = harness.run(harness.send_request(&post("/resumable/", "t1")));
    assert!(response.ends_with("(truncated)"), "{response}");
    assert_eq!(
        (response.matches("data: d").count(), harness.arrivals()),
        (complete_events, 2),
        "{response}"
    );
}

#[rstest]
#[case::cut_between_events(stream_head() + &event(1))]
#[case::cut_within_a_comment(unframed_stream_head() + &event_text(1) + ": on")]
fn a_resumed_stream_without_further_events_is_complete(#[case] first_part: String) {
    let harness = Harness::start(2);
    harness.script_next_request(&[write(first_part), Step::Close]);
    harness.script_next_request(&[write(unframed_stream_head()), Step::Close]);
    let response = harness.run(harness.send_request(&post("/resumable/", "t1")));
    assert_eq!((decoded_body(&response), harness.arrivals()), ((event_text(1), true), 2));
}

#[rstest]
#[case::whole("\n\n", true)]
#[case::cut("", false)]
fn a_long_event_is_followed_to_its_end(#[case] end: &str, #[case] is_whole: bool) {
    let harness = Harness::start(2);
    let stream = event_text(1) + "id: 2\ndata: " + &"~".repeat(LONG_EVENT_BYTES) + end;
    harness.script_next_request(&[write(unframed_stream_head() + &stream), Step::Close]);
    let response = harness.run(harness.send_request(&post("/resumable/", "t1")));
    assert_eq!((response.ends_with(LAST_CHUNK), harness.arrivals()), (is_whole, 1));
    let received = (response.matches("id: ").count(), response.matches('~').count());
    assert_eq!(received, (2, LONG_EVENT_BYTES));
}
