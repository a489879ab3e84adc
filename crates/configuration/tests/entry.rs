//! Entries of the replicated log: their length, and errors if they don't match the state.

mod common;

use common::{accepted, body, large_configuration, large_route, sample, sample_with, state_with};
use rstest::rstest;
use serde_json::{Value, json};
use tulipridge_configuration::number::Revision;
use tulipridge_configuration::{ApplyError, ChangeEntry, ConfigurationState, EntryOutcome};

fn put_entry(state: &ConfigurationState, document: &Value) -> ChangeEntry {
    accepted(state.decide_put(Some(state.revision()), &body(document))).entry
}

fn patch_entry(state: &ConfigurationState, change: &Value) -> ChangeEntry {
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
fn an_entry_of_a_patch_is_about_as_long_as_the_patch() {
    let document = large_configuration();
    let (patch, _) = one_route_changed(&document);
    let length = encoded_length(&patch_entry(&state_with(&document), &patch));
    println!(
        "{} bytes of configuration, {} of the patch: an entry of {length}",
        body(&document).len(),
        body(&patch).len()
    );
    assert!(length <= body(&patch).len() + 100, "{length} bytes");
}

#[test]
fn a_put_that_changes_one_route_has_a_short_entry() {
    let document = large_configuration();
    let (_, complete) = one_route_changed(&document);
    let length = encoded_length(&put_entry(&state_with(&document), &complete));
    println!("{} bytes of configuration: an entry of {length}", body(&document).len());
    assert!(length <= 1_000, "{length} bytes");
}

#[test]
fn a_put_of_a_different_document_has_an_entry_of_its_length() {
    let other = json!({"revision": 9, "routes": [], "backends": []});
    let length = encoded_length(&put_entry(&state_with(&sample()), &other));
    assert!(length <= body(&other).len() + 100, "{length} bytes");
}

#[rstest]
#[case::with_a_patch(true)]
#[case::with_a_complete_document(false)]
fn a_follower_has_the_same_state_as_the_accepting_member(#[case] with_patch: bool) {
    let document = large_configuration();
    let (patch, complete) = one_route_changed(&document);
    let mut accepting = state_with(&document);
    let mut follower = accepting.clone();
    let change = match with_patch {
        true => accepted(accepting.decide_patch(Some(Revision(1)), &body(&patch))),
        false => accepted(accepting.decide_put(Some(Revision(1)), &body(&complete))),
    };
    assert_eq!(follower.apply_entry(&change.entry).expect("the base is in force"), EntryOutcome::Applied);
    accepting.apply_accepted(change).expect("the base is in force");
    assert_eq!(follower, accepting);
    let document_of_follower: Value =
        serde_json::from_slice(follower.document().expect("a document is in force").text())
            .expect("a document is JSON");
    assert_eq!(document_of_follower, complete);
}

#[test]
fn a_complete_document_keeps_its_bytes() {
    let mut follower = state_with(&sample());
    let pretty =
        serde_json::to_vec_pretty(&sample_with("/revision", json!(9))).expect("a value can be written");
    let entry = accepted(follower.decide_put(Some(Revision(7)), &pretty)).entry;
    follower.apply_entry(&entry).expect("the base is in force");
    assert_eq!(follower.document().expect("a document is in force").text(), pretty);
}

#[rstest]
#[case::a_patch(patch_entry(&state_with(&sample()), &json!({"revision": 9, "remove": {"routes": ["r-first"]}})))]
#[case::a_document(put_entry(&state_with(&sample()), &json!({"revision": 9, "routes": [], "backends": []})))]
#[case::a_delta(put_entry(&state_with(&sample()), &sample_with("/revision", json!(9))))]
fn a_base_of_equal_revision_but_other_content_is_an_error(#[case] entry: ChangeEntry) {
    let mut diverged = state_with(&sample_with("/remark", json!("another")));
    let before = diverged.clone();
    let error = diverged.apply_entry(&entry).expect_err("the base is different");
    assert!(matches!(error, ApplyError::BaseMismatch { .. }), "{error}");
    assert_eq!(diverged, before);
}

/// A change that was accepted on another base than the document in force is not applied.
#[test]
fn an_accepted_change_on_another_base_is_an_error() {
    let accepting = state_with(&sample());
    let change =
        accepted(accepting.decide_put(Some(Revision(7)), &body(&sample_with("/revision", json!(9)))));
    let mut diverged = state_with(&sample_with("/remark", json!("another")));
    assert!(matches!(diverged.apply_accepted(change), Err(ApplyError::BaseMismatch { .. })));
}

/// The content of an encoded entry is replaced, so that applying it does not give the accepted document.
#[rstest]
#[case::another_document("blue", "gray", "ResultMismatch")]
#[case::an_invalid_document("\"tries\":1", "\"tries\":x", "InvalidResult")]
fn a_result_other_than_the_accepted_one_is_an_error(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let mut state = ConfigurationState::default();
    let entry = accepted(state.decide_put(None, &body(&sample()))).entry;
    let mut bytes = musli::wire::to_vec(&entry).expect("an entry can be encoded");
    let offset = bytes
        .windows(from.len())
        .position(|window| window == from.as_bytes())
        .expect("the entry contains the text");
    bytes[offset..offset + to.len()].copy_from_slice(to.as_bytes());
    let entry: ChangeEntry = musli::wire::from_slice(&bytes).expect("an entry can be decoded");
    let error = state.apply_entry(&entry).expect_err("the result is different");
    assert!(format!("{error:?}").starts_with(expected), "{error:?}");
    assert_eq!(state, ConfigurationState::default());
}

#[test]
fn an_entry_is_applied_once() {
    let mut state = state_with(&sample());
    let first = put_entry(&state, &sample_with("/revision", json!(9)));
    let concurrent = put_entry(&state, &sample_with("/revision", json!(10)));
    assert_eq!(state.apply_entry(&first).expect("the base is in force"), EntryOutcome::Applied);
    assert_eq!(state.apply_entry(&first).expect("it was applied"), EntryOutcome::Duplicate);
    assert_eq!(state.apply_entry(&concurrent).expect("its base was replaced"), EntryOutcome::Superseded);
    assert_eq!(state.revision(), Revision(9));
}
