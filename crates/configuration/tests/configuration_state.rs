//! Decisions on operators' requests, and the effect of accepted changes on the state.

mod common;

use common::{accepted, body, sample, sample_with, state_with};
use rstest::rstest;
use serde_json::{Value, json};
use tulipridge_configuration::number::Revision;
use tulipridge_configuration::{
    AcceptedChange, ChangeEntry, ConfigurationState, Decision, EntryOutcome, MAX_RECENT_REQUESTS,
};

/// Applies a change and checks that it takes effect.
fn apply(state: &mut ConfigurationState, change: AcceptedChange) {
    assert_eq!(state.apply_accepted(change).expect("the base is in force"), EntryOutcome::Applied);
}

fn put(state: &mut ConfigurationState, base: u64, document: &Value) {
    let change = accepted(state.decide_put(Some(Revision(base)), &body(document)));
    apply(state, change);
}

/// A state in which the sample (revision 7) is in force.
fn state_with_sample() -> ConfigurationState {
    state_with(&sample())
}

fn sample_at_revision(revision: u64) -> Value {
    sample_with("/revision", json!(revision))
}

fn outcome_of(decision: &Decision) -> &'static str {
    match decision {
        Decision::AlreadyAccepted => "already accepted",
        Decision::Stale { .. } => "stale",
        Decision::Invalid(_) => "invalid",
        Decision::Accept(_) => "accept",
    }
}

#[rstest]
#[case::on_base_0(Some(0), "accept")]
#[case::without_a_base(None, "accept")]
#[case::on_another_base(Some(5), "stale")]
fn a_first_put_is_accepted_unless_it_names_another_base(
    #[case] if_match: Option<u64>,
    #[case] expected: &str,
) {
    let state = ConfigurationState::default();
    assert_eq!(outcome_of(&state.decide_put(if_match.map(Revision), &body(&sample()))), expected);
}

#[rstest]
#[case::newer_on_the_current_base(Some(7), sample_at_revision(9), "accept")]
#[case::on_an_older_base(Some(6), sample_at_revision(9), "stale")]
#[case::on_a_newer_base(Some(8), sample_at_revision(9), "stale")]
#[case::without_a_base(None, sample_at_revision(9), "stale")]
#[case::on_base_0(Some(0), sample_at_revision(9), "stale")]
#[case::same_revision(Some(7), sample_with("/remark", json!("other")), "invalid")]
#[case::older_revision(Some(7), sample_at_revision(3), "invalid")]
#[case::same_document_on_its_own_revision(Some(7), sample(), "invalid")]
#[case::invalid(Some(7), json!({"revision": 9}), "invalid")]
#[case::retried(Some(0), sample(), "already accepted")]
#[case::retried_without_a_base(None, sample(), "already accepted")]
fn a_put_is_decided_by_its_base_and_validity(
    #[case] if_match: Option<u64>,
    #[case] document: Value,
    #[case] expected: &str,
) {
    let state = state_with_sample();
    assert_eq!(outcome_of(&state.decide_put(if_match.map(Revision), &body(&document))), expected);
}

/// `upsert` could set a revision other than the one that the patch states and that its response names.
#[rstest]
#[case::stated_one_is_not_above(json!({"revision": 3, "upsert": {"revision": 9}}), 3)]
#[case::both_are_above(json!({"revision": 9, "upsert": {"revision": 8}}), 9)]
fn a_patch_cannot_set_another_revision_by_upsert(#[case] patch: Value, #[case] stated: u64) {
    let Decision::Invalid(errors) = state_with_sample().decide_patch(Some(Revision(7)), &body(&patch))
    else {
        panic!("the patch was not rejected")
    };
    assert_eq!(errors.to_string(), format!("upsert.revision: is not the revision of the patch, {stated}"));
}

#[test]
fn a_patch_may_repeat_its_revision_in_upsert() {
    let patch = body(&json!({"revision": 9, "upsert": {"revision": 9}}));
    assert_eq!(outcome_of(&state_with_sample().decide_patch(Some(Revision(7)), &patch)), "accept");
}

#[test]
fn a_retried_request_is_recognised_in_any_layout() {
    let state = state_with_sample();
    let pretty = serde_json::to_vec_pretty(&sample()).expect("a value can be written");
    assert_eq!(state.decide_put(Some(Revision(0)), &pretty), Decision::AlreadyAccepted);
    let sent = br#"{"b":[1,{"y":2,"x":"a"}],"revision":9,"routes":[],"backends":[]}"#;
    let reordered = br#"{"backends":[],"revision":9,"routes":[],"b":[1,{"x":"a","y":2}]}"#;
    let mut state = state;
    let change = accepted(state.decide_put(Some(Revision(7)), sent));
    apply(&mut state, change);
    assert_eq!(state.decide_put(Some(Revision(7)), reordered), Decision::AlreadyAccepted);
}

#[rstest]
#[case::another_value(br#"{"revision":9,"routes":[],"backends":[],"b":[2,1]}"#)]
#[case::another_type(br#"{"revision":9,"routes":[],"backends":[],"b":["1",2]}"#)]
#[case::another_field(br#"{"revision":9,"routes":[],"backends":[],"c":[1,2]}"#)]
#[case::one_more_field(br#"{"revision":9,"routes":[],"backends":[],"b":[1,2],"c":null}"#)]
#[case::different_nesting(br#"{"revision":9,"routes":[],"backends":[],"b":[[1,2]]}"#)]
fn a_request_with_another_body_is_another_request(#[case] body: &[u8]) {
    let mut state = state_with_sample();
    let accepted_body = br#"{"revision":9,"routes":[],"backends":[],"b":[1,2]}"#;
    let change = accepted(state.decide_put(Some(Revision(7)), accepted_body));
    apply(&mut state, change);
    assert_eq!(state.decide_put(Some(Revision(7)), body), Decision::Stale { current: Revision(9) });
}

#[test]
fn of_two_requests_on_one_revision_one_wins() {
    let mut state = state_with_sample();
    let (first, second) = (body(&sample_at_revision(9)), body(&sample_with("/revision", json!(10))));
    let change = accepted(state.decide_put(Some(Revision(7)), &first));
    assert_eq!(outcome_of(&state.decide_put(Some(Revision(7)), &second)), "accept");
    apply(&mut state, change);
    assert_eq!(state.decide_put(Some(Revision(7)), &second), Decision::Stale { current: Revision(9) });
    assert_eq!(state.decide_put(Some(Revision(7)), &first), Decision::AlreadyAccepted);
}

#[test]
fn a_rejected_request_leaves_the_state_unchanged() {
    let state = state_with_sample();
    let before = state.clone();
    let invalid = body(&json!({"revision": 9}));
    assert_eq!(outcome_of(&state.decide_put(Some(Revision(7)), &invalid)), "invalid");
    assert_eq!(state, before);
    assert_eq!(outcome_of(&state.decide_put(Some(Revision(7)), &invalid)), "invalid");
}

#[test]
fn a_change_is_accepted_once_and_recognised_after_newer_ones() {
    let mut state = state_with_sample();
    let first = body(&json!({"revision": 9, "remove": {"routes": ["r-first"]}}));
    let second = body(&json!({"revision": 12, "remove": {"routes": ["r-second"]}}));
    let change = accepted(state.decide_patch(Some(Revision(7)), &first));
    apply(&mut state, change);
    let change = accepted(state.decide_patch(Some(Revision(9)), &second));
    apply(&mut state, change);
    assert_eq!(state.revision(), Revision(12));
    assert_eq!(state.decide_patch(Some(Revision(7)), &first), Decision::AlreadyAccepted);
    assert_eq!(state.decide_patch(Some(Revision(9)), &second), Decision::AlreadyAccepted);
    assert_eq!(state.decide_put(Some(Revision(7)), &first), Decision::Stale { current: Revision(12) });
    assert_eq!(state.decide_put(Some(Revision(0)), &body(&sample())), Decision::AlreadyAccepted);
}

#[rstest]
#[case::no_configuration(ConfigurationState::default(), Some(0), json!({"revision": 9}), "invalid")]
#[case::no_configuration_on_another_base(ConfigurationState::default(), Some(3), json!({"revision": 9}),
    "stale")]
#[case::on_an_older_base(state_with_sample(), Some(5), json!({"revision": 9}), "stale")]
#[case::without_a_base(state_with_sample(), None, json!({"revision": 9}), "stale")]
#[case::same_revision(state_with_sample(), Some(7), json!({"revision": 7}), "invalid")]
#[case::older_revision(state_with_sample(), Some(7), json!({"revision": 6}), "invalid")]
#[case::service_in_use(state_with_sample(), Some(7),
    json!({"revision": 9, "remove": {"backends": ["beta"]}}), "invalid")]
#[case::only_a_revision(state_with_sample(), Some(7), json!({"revision": 9}), "accept")]
fn a_patch_is_decided_by_its_base_and_validity(
    #[case] state: ConfigurationState,
    #[case] if_match: Option<u64>,
    #[case] change: Value,
    #[case] expected: &str,
) {
    assert_eq!(outcome_of(&state.decide_patch(if_match.map(Revision), &body(&change))), expected);
}

#[rstest]
#[case::empty(b"")]
#[case::truncated(b"{\"revision\":9,")]
#[case::trailing_text(b"{\"revision\":9} x")]
#[case::invalid_utf8(b"{\"revision\":9,\"x\":\"\xff\"}")]
fn rejects_what_is_not_json(#[case] bytes: &[u8]) {
    let state = state_with_sample();
    assert_eq!(outcome_of(&state.decide_put(Some(Revision(7)), bytes)), "invalid");
    assert_eq!(outcome_of(&state.decide_patch(Some(Revision(7)), bytes)), "invalid");
}

#[test]
fn deep_nesting_is_rejected() {
    let bytes = [b"{\"revision\":9,\"x\":".to_vec(), vec![b'['; 100_000]].concat();
    assert_eq!(outcome_of(&state_with_sample().decide_put(Some(Revision(7)), &bytes)), "invalid");
}

#[test]
fn a_snapshot_restores_the_state() {
    let mut state = state_with_sample();
    put(&mut state, 7, &sample_at_revision(9));
    let restored = ConfigurationState::from_snapshot(&state.to_snapshot()).expect("a complete snapshot");
    assert_eq!(restored, state);
    assert_eq!(restored.decide_put(Some(Revision(0)), &body(&sample())), Decision::AlreadyAccepted);
    let empty = ConfigurationState::default();
    assert_eq!(
        ConfigurationState::from_snapshot(&empty.to_snapshot()).expect("a complete snapshot"),
        empty
    );
}

#[test]
fn a_truncated_snapshot_is_an_error() {
    let bytes = state_with_sample().to_snapshot();
    for length in 0..bytes.len() {
        assert!(ConfigurationState::from_snapshot(&bytes[..length]).is_err(), "truncated at {length}");
    }
}

#[test]
fn an_accepted_change_is_restored_from_its_log_entry() {
    let mut state = state_with_sample();
    let change = accepted(state.decide_put(Some(Revision(7)), &body(&sample_at_revision(9))));
    let bytes = musli::wire::to_vec(&change.entry).expect("an entry can be encoded");
    let restored: ChangeEntry = musli::wire::from_slice(&bytes).expect("an entry can be decoded");
    assert_eq!(restored, change.entry);
    assert_eq!(state.apply_entry(&restored).expect("the base is in force"), EntryOutcome::Applied);
    assert_eq!(state.document(), Some(&change.document));
    assert!(musli::wire::from_slice::<ChangeEntry>(b"").is_err());
}

#[test]
fn only_the_newest_requests_are_recognised() {
    let mut state = ConfigurationState::default();
    let document = |revision: u64| json!({"revision": revision, "routes": [], "backends": []});
    let newest = MAX_RECENT_REQUESTS as u64 + 44;
    for revision in 1..=newest {
        put(&mut state, revision - 1, &document(revision));
    }
    let oldest_recent = newest - MAX_RECENT_REQUESTS as u64 + 1;
    let decide = |revision: u64| state.decide_put(Some(Revision(revision - 1)), &body(&document(revision)));
    assert_eq!(decide(oldest_recent), Decision::AlreadyAccepted);
    assert_eq!(decide(oldest_recent - 1), Decision::Stale { current: Revision(newest) });
}
