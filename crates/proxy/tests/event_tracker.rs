//! Tracking of complete server-sent events, and of the id after which a stream can be resumed.

use rstest::rstest;
use tulipridge_proxy::downstream::event_tracker::EventTracker;

/// Feeds `pieces` to a tracker. Returns its output and the id after which another replica may resume the stream.
fn track(pieces: &[&str]) -> (String, Option<String>) {
    let (mut tracker, mut out) = (EventTracker::resumable(), Vec::new());
    for piece in pieces {
        tracker.push(&mut piece.as_bytes().to_vec(), &mut out);
    }
    let resumes = tracker.discard_partial();
    let id = tracker.last_id().filter(|_| resumes).map(str::to_owned);
    (String::from_utf8_lossy(&out).into_owned(), id)
}

#[rstest]
#[case(&["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", Some("1"))]
#[case(&["id: 1\nda", "ta: a\n", "\nid: 2"], "id: 1\ndata: a\n\n", Some("1"))]
#[case(&["id:1\r\n\r\nid:2\r\n\r\nid:3\r\n"], "id:1\r\n\r\nid:2\r\n\r\n", Some("2"))]
#[case(&["versions: 2\nid: 7\ndata: id: 9\n\n"], "versions: 2\nid: 7\ndata: id: 9\n\n", Some("7"))]
#[case(&["id: 1\n\n", "data: no id\n\n"], "id: 1\n\ndata: no id\n\n", Some("1"))]
#[case(&["data: no id\n\n"], "data: no id\n\n", None)]
#[case(&["id: 1\n"], "", None)]
fn complete_events_are_forwarded_and_the_last_id_is_known(
    #[case] pieces: &[&str],
    #[case] out: &str,
    #[case] id: Option<&str>,
) {
    assert_eq!(track(pieces), (out.to_owned(), id.map(str::to_owned)));
}

#[test]
fn chunk_boundaries_do_not_change_a_stream() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n";
    for size in 1..text.len() {
        let pieces: Vec<_> = text.as_bytes().chunks(size).collect();
        let pieces: Vec<_> =
            pieces.iter().map(|piece| std::str::from_utf8(piece).expect("ASCII")).collect();
        assert_eq!(track(&pieces), (text.to_owned(), Some("3".to_owned())));
    }
}

#[test]
fn an_unterminated_event_is_not_buffered_without_limit() {
    let long = "x".repeat(300 * 1024);
    let (out, id) = track(&["id: 1\n\n", &long, "more"]);
    assert_eq!(out.len(), 7 + long.len() + 4);
    assert_eq!(id, None);
}
