//! The parts that decide without I/O and with the time handed in.

use std::time::{Duration, Instant};

use rstest::rstest;
use tulipridge_http1::codec::Head;
use tulipridge_proxy::alarms::Alarms;
use tulipridge_proxy::bounds::Bounds;
use tulipridge_proxy::downstream::event_tracker::EventTracker;
use tulipridge_proxy::freshness::FreshnessGate;
use tulipridge_proxy::lifecycle::{Lifecycle, Stage};
use tulipridge_proxy::placement::budget::{RetryAllowance, RetryBudget};
use tulipridge_proxy::placement::prompt::{Prompt, PromptHeaders, PromptPart};
use tulipridge_proxy::replica::classify::ResponseClass;
use tulipridge_proxy::replica::outcome::AttemptOutcome;

fn head(start: [&str; 3], headers: &[(&str, &str)]) -> Head {
    let owned = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    Head { start: start.map(str::to_owned), headers: headers.iter().map(owned).collect() }
}

// ---- the retry budget -------------------------------------------------------------------------------------

const RATIO: f64 = 0.2;
const SPARE: f64 = 58.0;
const WINDOW_S: usize = 10;

/// Requests and repeated sends of one second.
#[derive(Clone, Copy, Default)]
struct Second {
    requests: f64,
    repeats: f64,
}

/// Each gateway takes whatever its budget gives it, at a load that changes without pattern; some gateways are
/// restarted on the way, and as many again are there as each one knows of.
fn history(seed: u64, known: u32) -> Vec<Second> {
    let mut random = fastrand::Rng::with_seed(seed);
    let allowance = RetryAllowance { ratio: RATIO, spare: SPARE };
    let fresh = || {
        let mut budget = RetryBudget::new(allowance);
        budget.set_gateways(known);
        budget
    };
    let mut gateways: Vec<RetryBudget> = (0..2 * known).map(|_| fresh()).collect();
    let mut seconds = vec![Second::default(); 60];
    for second in &mut seconds {
        let load = random.u64(..40);
        for gateway in &mut gateways {
            if random.u8(..50) == 0 {
                *gateway = fresh();
            }
            for _ in 0..random.u64(..=load) {
                gateway.first_send();
                second.requests += 1.0;
                while random.u8(..4) > 0 && gateway.take() {
                    second.repeats += 1.0;
                }
            }
        }
    }
    seconds
}

#[rstest]
fn repeats_of_all_gateways_stay_within_the_fleets_budget(
    #[values(1, 2, 9, 40)] known: u32,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    for window in history(seed, known).windows(WINDOW_S) {
        let requests: f64 = window.iter().map(|second| second.requests).sum();
        let repeats: f64 = window.iter().map(|second| second.repeats).sum();
        assert!(repeats <= RATIO * requests + SPARE, "{repeats} repeats of {requests} requests");
    }
}

#[test]
fn a_budget_begins_empty_and_without_room() {
    let mut budget = RetryBudget::new(RetryAllowance { ratio: 1.0, spare: 100.0 });
    (0..10).for_each(|_| budget.first_send());
    assert!(!budget.take(), "nothing is known of other gateways");
    budget.set_gateways(10);
    assert!(!budget.take());
    (0..100).for_each(|_| budget.first_send());
    assert_eq!((0..100).filter(|_| budget.take()).count(), 5, "half of the spare, shared by ten");
    budget.first_send();
    assert!(!budget.has_token(), "0.9 of a token is none");
}

#[test]
fn more_gateways_leave_each_less_at_once() {
    let mut budget = RetryBudget::new(RetryAllowance { ratio: 1.0, spare: 100.0 });
    budget.set_gateways(1);
    (0..100).for_each(|_| budget.first_send());
    budget.set_gateways(50);
    assert!(budget.take());
    assert!(!budget.take());
}

// ---- freshness --------------------------------------------------------------------------------------------

#[rstest]
#[case(true, Some(0), true)]
#[case(true, Some(4500), true)]
#[case(true, Some(4501), false)]
#[case(false, Some(10_000), true)]
#[case(false, Some(10_001), false)]
#[case(true, None, false)]
#[case(false, None, false)]
fn keys_are_judged_only_while_that_is_safe(
    #[case] shut_tight: bool,
    #[case] age_ms: Option<u64>,
    #[case] is_open: bool,
) {
    let gate = FreshnessGate::new(shut_tight, Duration::from_secs(5));
    assert_eq!(gate.is_open(age_ms.map(Duration::from_millis)), is_open);
}

// ---- the stages of a stop ---------------------------------------------------------------------------------

#[rstest]
#[case(0, Stage::NotReady)]
#[case(2499, Stage::NotReady)]
#[case(2500, Stage::Draining)]
#[case(7699, Stage::Draining)]
#[case(7700, Stage::Terminated)]
#[case(60_000, Stage::Terminated)]
fn a_stop_goes_through_its_stages(#[case] after_ms: u64, #[case] stage: Stage) {
    let mut life = Lifecycle::default();
    let stopped = Duration::from_secs(100);
    assert_eq!(life.stage(stopped), Stage::Serving);
    life.stop(stopped, Duration::from_secs(8));
    // A second signal changes nothing.
    life.stop(stopped + Duration::from_secs(1), Duration::from_secs(8));
    assert_eq!(life.stage(stopped + Duration::from_millis(after_ms)), stage);
}

#[test]
fn each_change_of_stage_is_told() {
    let mut life = Lifecycle::default();
    assert_eq!(life.next_change(Duration::ZERO), None);
    life.stop(Duration::ZERO, Duration::from_secs(8));
    let mut changes = Vec::new();
    let mut now = Duration::ZERO;
    while let Some(next) = life.next_change(now) {
        changes.push((next.as_millis(), life.stage(next)));
        now = next;
    }
    let expected = [(2500, Stage::Draining), (7700, Stage::Terminated)];
    assert_eq!(changes, expected);
}

#[rstest]
#[case(1000, 0, false)]
#[case(2500, 1, false)]
#[case(2500, 0, true)]
#[case(7000, 1, false)]
#[case(7700, 1, true)]
fn a_process_ends_once_nothing_is_open(#[case] at_ms: u64, #[case] open: usize, #[case] ends: bool) {
    let mut life = Lifecycle::default();
    assert!(!life.may_end(Duration::ZERO, 0));
    life.stop(Duration::ZERO, Duration::from_secs(8));
    assert_eq!(life.may_end(Duration::from_millis(at_ms), open), ends);
}

#[test]
fn a_short_leeway_shortens_every_stage() {
    let mut life = Lifecycle::default();
    life.stop(Duration::ZERO, Duration::from_secs(1));
    assert_eq!(life.stage(Duration::from_millis(499)), Stage::NotReady);
    assert_eq!(life.stage(Duration::from_millis(500)), Stage::Draining);
    assert_eq!(life.stage(Duration::from_millis(700)), Stage::Terminated);
}

#[rstest]
#[case::while_connections_are_taken(2499, 60_000, true)]
#[case::sure_to_end_in_time(2500, 5_199, true)]
#[case::may_outlast_the_process(2500, 5_200, false)]
#[case::late(3_400, 8_000, false)]
#[case::late_and_short(7_000, 699, true)]
#[case::over(7_700, 0, false)]
fn a_request_that_may_outlast_the_process_is_not_taken(
    #[case] at_ms: u64,
    #[case] lasts_ms: u64,
    #[case] expected: bool,
) {
    let mut life = Lifecycle::default();
    let now = Duration::from_millis(at_ms);
    let deadline = now + Duration::from_millis(lasts_ms);
    assert!(life.takes_request(now, deadline));
    life.stop(Duration::ZERO, Duration::from_secs(8));
    assert_eq!(life.takes_request(now, deadline), expected);
}

// ---- the prompt -------------------------------------------------------------------------------------------

fn prompt(parts: &str, count: &str) -> Prompt {
    let headers = [("Prompt-Start", parts), ("Token-Count", count)];
    PromptHeaders::read(&head(["POST", "/", "HTTP/1.1"], &headers)).prompt
}

#[test]
fn the_shared_parts_are_all_but_the_last() {
    let headers = [("Prompt-Start", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"), ("Token-Count", "1460,80")];
    let headers = PromptHeaders::read(&head(["POST", "/", "HTTP/1.1"], &headers));
    assert_eq!(headers.shared_parts, [PromptPart::new("5c1e07a2", 800), PromptPart::new("91bd3f06", 410)]);
    assert_eq!(headers.prompt.shared, Some(headers.shared_parts[1].hash));
    assert_eq!(headers.prompt.own_tokens(), 250);
}

#[test]
fn the_key_is_the_last_shared_part() {
    let whole = prompt("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "1460,80");
    assert_eq!((whole.tokens, whole.shared_tokens, whole.answer_tokens), (1460, 1210, 80));
    let same_subject = prompt("91bd3f06:410,ffff:10", "420,80");
    assert_eq!(whole.shared, same_subject.shared);
    assert_ne!(whole.session, same_subject.session);
    assert_ne!(whole.shared, prompt("5c1e07a2:800,e4402b7d:250", "1050,80").shared);
}

#[test]
fn a_single_part_is_a_session() {
    let single = prompt("e4402b7d:250", "250,80");
    assert_eq!((single.shared, single.shared_tokens), (None, 0));
    assert!(single.session.is_some());
}

#[rstest]
#[case("", "", 0)]
#[case("a", "x", 0)]
#[case("a:x,b:7", "", 7)]
#[case(",,a:5,", "1", 5)]
fn what_can_not_be_read_is_taken_as_absent(#[case] parts: &str, #[case] count: &str, #[case] tokens: u32) {
    assert_eq!(prompt(parts, count).tokens, tokens);
}

// ---- what an answer's head says ---------------------------------------------------------------------------

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
fn a_reply_is_read(#[case] status: u16, #[case] headers: &[(&str, &str)], #[case] expected: ResponseClass) {
    let status = status.to_string();
    let mut all = vec![("Attempt-Id", "t1")];
    all.extend_from_slice(headers);
    let head = head(["HTTP/1.1", &status, ""], &all);
    assert_eq!(ResponseClass::of(&head, Some("t1"), "i-1"), expected);
    assert_eq!(ResponseClass::of(&head, Some("t2"), "i-1"), ResponseClass::Stale);
    assert_eq!(ResponseClass::of(&head, None, "i-1"), ResponseClass::Stale);
    let mut without_id = head.clone();
    without_id.headers.remove(0);
    assert_eq!(ResponseClass::of(&without_id, None, "i-1"), expected);
    assert_eq!(ResponseClass::of(&without_id, Some("t1"), "i-1"), ResponseClass::Stale);
}

// ---- events -----------------------------------------------------------------------------------------------

/// Passes pieces; what came out, and the id behind which another replica may go on.
fn track(pieces: &[&str]) -> (String, Option<String>) {
    let (mut tracker, mut out) = (EventTracker::default(), Vec::new());
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
fn whole_events_are_passed_and_the_last_id_is_known(
    #[case] pieces: &[&str],
    #[case] out: &str,
    #[case] id: Option<&str>,
) {
    assert_eq!(track(pieces), (out.to_owned(), id.map(str::to_owned)));
}

#[test]
fn a_stream_in_any_pieces_comes_out_alike() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n";
    for size in 1..text.len() {
        let pieces: Vec<_> = text.as_bytes().chunks(size).collect();
        let pieces: Vec<_> =
            pieces.iter().map(|piece| std::str::from_utf8(piece).expect("ASCII")).collect();
        assert_eq!(track(&pieces), (text.to_owned(), Some("3".to_owned())));
    }
}

#[test]
fn an_event_without_end_is_not_held_for_ever() {
    let long = "x".repeat(300 * 1024);
    let (out, id) = track(&["id: 1\n\n", &long, "more"]);
    assert_eq!(out.len(), 7 + long.len() + 4);
    assert_eq!(id, None);
}

// ---- time-outs and bounds ---------------------------------------------------------------------------------

#[test]
fn a_time_out_ends_what_takes_too_long_and_nothing_else() {
    let past = Instant::now();
    let alarms = Alarms::default();
    futures_lite::future::block_on(async {
        assert_eq!(alarms.by(past, std::future::pending::<()>()).await, None);
        assert_eq!(alarms.by(past + Duration::from_secs(9), async { 1 }).await, Some(1));
    });
}

#[test]
fn connections_leave_the_reserved_descriptors_alone() {
    let bounds = Bounds::of(4100);
    assert!(bounds.clients + bounds.replicas <= 3800, "{bounds:?}");
    assert!(bounds.clients > 2 * bounds.replicas - 10, "{bounds:?}");
    assert!(Bounds::of(0).clients > 0 && Bounds::of(0).replicas > 0);
}
