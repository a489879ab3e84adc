//! Classification of responses by status and headers, and by the attempt id that they state.

mod support;

use rstest::rstest;
use support::head;
use tulipridge_proxy::replica::classify::ResponseClass;
use tulipridge_proxy::replica::outcome::AttemptOutcome;

#[rstest]
#[case(200, &[("Server-Seal", "s")], ResponseClass::Current(AttemptOutcome::Success))]
#[case(200, &[], ResponseClass::Current(AttemptOutcome::Unsealed))]
#[case(200, &[("Server-Seal", "s\nX: y")], ResponseClass::Current(AttemptOutcome::Unsealed))]
#[case(204, &[("Server-Seal", "s")], ResponseClass::Current(AttemptOutcome::Success))]
#[case(200, &[("Server-Seal", "s"), ("Not-Run", "1")], ResponseClass::Current(AttemptOutcome::Unsealed))]
#[case(200, &[("Server-Seal", "s"), ("Content-Encoding", "gzip")], ResponseClass::Current(AttemptOutcome::Encoded))]
#[case(200, &[("Server-Seal", "s"), ("Content-Encoding", "identity")], ResponseClass::Current(AttemptOutcome::Success))]
#[case(503, &[("Not-Run", "1")], ResponseClass::Current(AttemptOutcome::NotRun))]
#[case(429, &[("Not-Run", "1")], ResponseClass::Current(AttemptOutcome::NotRun))]
#[case(500, &[("Not-Run", "1")], ResponseClass::Current(AttemptOutcome::NotRun))]
#[case(400, &[("Not-Run", "1")], ResponseClass::Current(AttemptOutcome::Rejected))]
#[case(421, &[], ResponseClass::Current(AttemptOutcome::WrongRevision))]
#[case(421, &[("Server-Id", "i-1")], ResponseClass::Current(AttemptOutcome::WrongRevision))]
#[case(421, &[("Server-Id", "i-2")], ResponseClass::Current(AttemptOutcome::WrongReplica))]
#[case(503, &[], ResponseClass::Current(AttemptOutcome::UnconfirmedRefusal))]
#[case(429, &[], ResponseClass::Current(AttemptOutcome::UnconfirmedRefusal))]
#[case(408, &[], ResponseClass::Current(AttemptOutcome::UnconfirmedRefusal))]
#[case(400, &[], ResponseClass::Current(AttemptOutcome::OtherError))]
#[case(500, &[("Server-Seal", "s")], ResponseClass::Current(AttemptOutcome::ServerError))]
#[case(504, &[], ResponseClass::Current(AttemptOutcome::OtherError))]
#[case(302, &[], ResponseClass::Current(AttemptOutcome::OtherError))]
fn a_response_is_classified_by_its_head(
    #[case] status: u16,
    #[case] headers: &[(&str, &str)],
    #[case] expected: ResponseClass,
) {
    let status = status.to_string();
    let mut all_headers = vec![("Attempt-Id", "t1")];
    all_headers.extend_from_slice(headers);
    let head = head(["HTTP/1.1", &status, ""], &all_headers);
    assert_eq!(ResponseClass::of(&head, Some("t1"), "i-1"), expected);
    assert_eq!(ResponseClass::of(&head, Some("t2"), "i-1"), ResponseClass::Stale);
    assert_eq!(ResponseClass::of(&head, None, "i-1"), ResponseClass::Stale);
    let mut without_id = head.clone();
    without_id.headers.remove(0);
    assert_eq!(ResponseClass::of(&without_id, None, "i-1"), expected);
    assert_eq!(ResponseClass::of(&without_id, Some("t1"), "i-1"), ResponseClass::Stale);
}
