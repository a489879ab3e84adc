//! Responses that have no body whatever their head states: the next response follows the head directly.

mod support;

use rstest::rstest;
use support::{Harness, SEAL, Step, header, ok, post};

/// A response with this status whose head states a body.
fn bodiless(status: &str, framing: &str) -> String {
    format!("HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nServer-Seal: {SEAL}\r\n{framing}\r\n\r\n")
}

#[rstest]
#[case::no_content("POST", "204 No Content", None)]
#[case::not_modified("POST", "304 Not Modified", Some("9"))]
#[case::head_success("HEAD", "200 OK", Some("9"))]
#[case::head_failure("HEAD", "404 Not Found", Some("9"))]
#[case::head_server_failure("HEAD", "500 Internal Server Error", Some("9"))]
fn the_next_response_follows_the_head_of_one_without_a_body(
    #[case] method: &str,
    #[case] status: &str,
    #[case] length: Option<&str>,
    #[values("Content-Length: 9", "Transfer-Encoding: chunked")] framing: &str,
) {
    let harness = Harness::start(1);
    harness.script_next_request(&[Step::Write(bodiless(status, framing))]);
    harness.script_next_request(&[Step::Write(ok("two"))]);
    let text = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&(post("/risky/", "t1").replace("POST", method) + &post("/risky/", "t2"))).await;
        client.wait_for("\r\n\r\ntwo").await;
        client.received()
    });
    let (first, second) = text.split_once("\r\n\r\n").expect("two responses");
    assert!(first.starts_with(&format!("HTTP/1.1 {status}\r\n")), "{text}");
    assert_eq!(header(&text, "Attempt-Id").as_deref(), Some("t1"));
    let is_length_stated = framing.starts_with("Content-Length");
    assert_eq!(header(first, "Content-Length").as_deref(), length.filter(|_| is_length_stated));
    assert_eq!(header(first, "Transfer-Encoding"), None, "the next byte belongs to the next response");
    assert!(second.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
    assert_eq!(header(second, "Attempt-Id").as_deref(), Some("t2"));
    assert_eq!(harness.arrivals(), 2);
}

#[test]
fn nothing_follows_an_aborted_response() {
    let harness = Harness::start(1);
    harness.script_next_request(&[Step::Write(ok("whole").replace("whole", "who")), Step::Close]);
    let text = harness.run(async {
        let mut client = harness.connect().await;
        client.send(&(post("/risky/", "t1") + &post("/risky/", "t2"))).await;
        client.read_response().await
    });
    assert!(text.ends_with("who(truncated)"), "{text}");
    assert_eq!(harness.arrivals(), 1);
}
