//! The ends of server-sent events, as the grammar of `text/event-stream` has them.

use rstest::rstest;
use tulipridge_proxy::downstream::event_scanner::EventScanner;

/// Scans a stream in fragments of `fragment_bytes`. Returns the part up to the end of the last complete event, and
/// whether the rest is a part of an event.
fn scan(stream: &str, fragment_bytes: usize) -> (&str, bool) {
    let mut scanner = EventScanner::default();
    let mut complete_bytes = 0;
    for (index, fragment) in stream.as_bytes().chunks(fragment_bytes).enumerate() {
        if let Some(end) = scanner.scan(fragment) {
            complete_bytes = index * fragment_bytes + end;
        }
    }
    (&stream[..complete_bytes], scanner.is_within_event())
}

#[rstest]
#[case::empty("", "", false)]
#[case::line_feeds("id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", false)]
#[case::carriage_returns("id: 1\rdata: a\r\r", "id: 1\rdata: a\r\r", false)]
#[case::both("id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", false)]
#[case::mixed_line_ends("id: 1\rdata: a\n\r\n", "id: 1\rdata: a\n\r\n", false)]
#[case::blank_line_with_carriage_return("data: a\n\r", "data: a\n\r", false)]
#[case::half_of_the_blank_line("data: a\r\n\r", "", true)]
#[case::blank_line_with_carriage_return_after_both("data: a\r\n\rdata: b\n", "data: a\r\n\r", true)]
#[case::no_blank_line("data: a\n\nid: 2\ndata: b\n", "data: a\n\n", true)]
#[case::no_blank_line_after_carriage_return("id: 2\rdata: b\r", "", true)]
#[case::within_a_line("data: a\n\nid", "data: a\n\n", true)]
#[case::additional_blank_lines("data: a\n\n\n\n", "data: a\n\n\n\n", false)]
#[case::blank_lines_first("\n\r\n\rdata: a\n\n", "\n\r\n\rdata: a\n\n", false)]
#[case::comments("data: a\n\n: b\n:\n\n", "data: a\n\n: b\n:\n\n", false)]
#[case::comments_without_blank_line("data: a\n\n: b\n:\n", "data: a\n\n", false)]
#[case::comment_with_both("data: a\r\n\r\n: b\r\n\r", "data: a\r\n\r\n", false)]
#[case::comment_without_line_end("data: a\n\n: b", "data: a\n\n", true)]
#[case::comment_within_an_event("id: 1\n: b\n", "", true)]
fn an_event_ends_at_a_blank_line(
    #[case] stream: &str,
    #[case] complete: &str,
    #[case] is_within_event: bool,
) {
    for fragment_bytes in 1..=stream.len().max(1) {
        assert_eq!(scan(stream, fragment_bytes), (complete, is_within_event), "{fragment_bytes}");
    }
}

#[rstest]
#[case::event("id: 1\n\n", true)]
#[case::part_of_an_event("id: 1\n", false)]
#[case::comments(": a\n\n\n\r\r", false)]
fn only_an_event_with_a_field_counts_as_one(#[case] stream: &str, #[case] has_complete_event: bool) {
    let mut scanner = EventScanner::default();
    scanner.scan(stream.as_bytes());
    assert_eq!(scanner.has_complete_event(), has_complete_event);
}
