//! Parsing of the request headers that describe the prompt.

mod support;

use rstest::rstest;
use support::head;
use tulipridge_proxy::placement::prompt::{Prompt, PromptHeaders, PromptSegment};

fn prompt(segments: &str, count: &str) -> Prompt {
    let headers = [("Prompt-Start", segments), ("Token-Count", count)];
    PromptHeaders::read(&head(["POST", "/", "HTTP/1.1"], &headers)).prompt
}

#[test]
fn the_shared_segments_are_all_but_the_last() {
    let headers = [("Prompt-Start", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"), ("Token-Count", "1460,80")];
    let headers = PromptHeaders::read(&head(["POST", "/", "HTTP/1.1"], &headers));
    assert_eq!(
        headers.prefix_segments,
        [PromptSegment::new("5c1e07a2", 800), PromptSegment::new("91bd3f06", 410)]
    );
    assert_eq!(headers.prompt.shared, Some(headers.prefix_segments[1].hash));
    assert_eq!(headers.prompt.unshared_tokens(), 250);
}

#[test]
fn the_key_is_the_last_shared_segment() {
    let full = prompt("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "1460,80");
    assert_eq!((full.tokens, full.shared_tokens, full.max_output_tokens), (1460, 1210, 80));
    let same_prefix = prompt("91bd3f06:410,ffff:10", "420,80");
    assert_eq!(full.shared, same_prefix.shared);
    assert_ne!(full.session, same_prefix.session);
    assert_ne!(full.shared, prompt("5c1e07a2:800,e4402b7d:250", "1050,80").shared);
}

#[test]
fn a_single_segment_is_a_session() {
    let single = prompt("e4402b7d:250", "250,80");
    assert_eq!((single.shared, single.shared_tokens), (None, 0));
    assert!(single.session.is_some());
}

#[rstest]
#[case("", "", 0)]
#[case("a", "x", 0)]
#[case("a:x,b:7", "", 7)]
#[case(",,a:5,", "1", 5)]
fn invalid_values_are_treated_as_absent(#[case] segments: &str, #[case] count: &str, #[case] tokens: u32) {
    assert_eq!(prompt(segments, count).tokens, tokens);
}
