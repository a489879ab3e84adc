//! Entries of the log: how large they are, and what happens where they don't fit.

mod common;

use common::{accepted, body, large_configuration, large_route, sample, sample_with, state_with};
use rstest::rstest;
use serde_json::{Value, json};
use tulipridge_configuration::number::Revision;
use tulipridge_configuration::{ApplyError, ChangeEntry, ConfigurationState, EntryOutcome};

fn put_of(state: &ConfigurationState, document: &Value) -> ChangeEntry {
    accepted(state.decide_put(Some(state.revision()), &body(document))).entry
}

fn patch_of(state: &ConfigurationState, change: &Value) -> ChangeEntry {
    accepted(state.decide_patch(Some(state.revision()), &body(change))).entry
}

fn encoded_length(entry: &ChangeEntry) -> usize {
    musli::wire::to_vec(entry).expect("an entry can be encoded").len()
}

/// A change of one route of the large configuration, as a patch and as the complete document.
fn one_route_changed(document: &Value) -> (Value, Value) {
    let route = large_route(2_000, "moved.example");
    let patch = json!({"revision": 2, "upsert": {"routes": [&route]}});
    let mut complete = document.clone();
    complete["revision"] = json!(2);
    complete["routes"][2_000] = route;
    (patch, complete)
}

#[test]
fn a_patch_of_one_route_takes_the_bytes_of_the_patch() {
    let document = large_configuration();
    let (patch, _) = one_route_changed(&document);
    let length = encoded_length(&patch_of(&state_with(&document), &patch));
    println!(
        "{} bytes of configuration, {} of the patch: an entry of {length}",
        body(&document).len(),
        body(&patch).len()
    );
    assert!(length <= body(&patch).len() + 100, "{length} bytes");
}

#[test]
fn a_put_that_changes_one_route_takes_the_bytes_of_little_more_than_the_route() {
    let document = large_configuration();
    let (_, complete) = one_route_changed(&document);
    let length = encoded_length(&put_of(&state_with(&document), &complete));
    println!("{} bytes of configuration: an entry of {length}", body(&document).len());
    assert!(length <= 1_000, "{length} bytes");
}

#[test]
fn a_put_of_something_else_takes_the_bytes_of_the_document() {
    let other = json!({"revision": 9, "routes": [], "backends": []});
    let length = encoded_length(&put_of(&state_with(&sample()), &other));
    assert!(length <= body(&other).len() + 100, "{length} bytes");
}

#[rstest]
#[case::with_a_patch(true)]
#[case::with_a_whole_document(false)]
fn a_following_member_has_the_bytes_of_the_accepting_one(#[case] with_patch: bool) {
    let document = large_configuration();
    let (patch, complete) = one_route_changed(&document);
    let mut deciding = state_with(&document);
    let mut following = deciding.clone();
    let change = match with_patch {
        true => accepted(deciding.decide_patch(Some(Revision(1)), &body(&patch))),
        false => accepted(deciding.decide_put(Some(Revision(1)), &body(&complete))),
    };
    assert_eq!(following.apply_entry(&change.entry).expect("its base is in force"), EntryOutcome::Applied);
    deciding.apply_accepted(change).expect("its base is in force");
    assert_eq!(following, deciding);
    let read_back: Value =
        serde_json::from_slice(following.document().expect("there is one").text()).expect("it is JSON");
    assert_eq!(read_back, complete);
}

#[test]
fn a_complete_document_keeps_its_bytes() {
    let mut following = state_with(&sample());
    let pretty = serde_json::to_vec_pretty(&sample_with("/revision", json!(9))).expect("it can be written");
    let entry = accepted(following.decide_put(Some(Revision(7)), &pretty)).entry;
    following.apply_entry(&entry).expect("its base is in force");
    assert_eq!(following.document().expect("there is one").text(), pretty);
}

#[rstest]
#[case::a_patch(patch_of(&state_with(&sample()), &json!({"revision": 9, "remove": {"routes": ["r-first"]}})))]
#[case::a_document(put_of(&state_with(&sample()), &json!({"revision": 9, "routes": [], "backends": []})))]
#[case::a_delta(put_of(&state_with(&sample()), &sample_with("/revision", json!(9))))]
fn a_base_with_the_same_revision_and_another_content_is_an_error(#[case] entry: ChangeEntry) {
    let mut diverged = state_with(&sample_with("/remark", json!("another")));
    let before = diverged.clone();
    let error = diverged.apply_entry(&entry).expect_err("the base is another");
    assert!(matches!(error, ApplyError::BaseMismatch { .. }), "{error}");
    assert_eq!(diverged, before);
}

/// A change that a member made on another base than the one in force isn't put in force either.
#[test]
fn an_accepted_change_is_checked_against_its_base() {
    let decided_on = state_with(&sample());
    let change =
        accepted(decided_on.decide_put(Some(Revision(7)), &body(&sample_with("/revision", json!(9)))));
    let mut diverged = state_with(&sample_with("/remark", json!("another")));
    assert!(matches!(diverged.apply_accepted(change), Err(ApplyError::BaseMismatch { .. })));
}

/// An encoded entry whose content was exchanged leads to another document, which is noticed.
#[rstest]
#[case::another_document("blue", "gray", "ResultMismatch")]
#[case::an_invalid_document("\"tries\":1", "\"tries\":x", "InvalidResult")]
fn another_result_is_an_error(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let mut state = ConfigurationState::default();
    let entry = accepted(state.decide_put(None, &body(&sample()))).entry;
    let mut bytes = musli::wire::to_vec(&entry).expect("an entry can be encoded");
    let offset =
        bytes.windows(from.len()).position(|window| window == from.as_bytes()).expect("it is there");
    bytes[offset..offset + to.len()].copy_from_slice(to.as_bytes());
    let entry: ChangeEntry = musli::wire::from_slice(&bytes).expect("an entry can be decoded");
    let error = state.apply_entry(&entry).expect_err("the result is another");
    assert!(format!("{error:?}").starts_with(expected), "{error:?}");
    assert_eq!(state, ConfigurationState::default());
}

#[test]
fn an_entry_is_applied_once() {
    let mut state = state_with(&sample());
    let first = put_of(&state, &sample_with("/revision", json!(9)));
    let rival = put_of(&state, &sample_with("/revision", json!(10)));
    assert_eq!(state.apply_entry(&first).expect("its base is in force"), EntryOutcome::Applied);
    assert_eq!(state.apply_entry(&first).expect("it is known"), EntryOutcome::Repeated);
    assert_eq!(state.apply_entry(&rival).expect("its base is gone"), EntryOutcome::Superseded);
    assert_eq!(state.revision(), Revision(9));
}
