//! Configurations that an earlier version accepted and that are invalid by the rules of today: they stay readable, and
//! are replaced like any other configuration.

mod common;
#[path = "../../../tests/support/stored_data.rs"]
mod stored_data;

use common::accepted;
use rstest::rstest;
use stored_data::from_hex;
use tulipridge_configuration::number::Revision;
use tulipridge_configuration::{ChangeEntry, ConfigurationState, Decision, Document, EntryOutcome};

/// A line per stored value: its name, and its bytes in hexadecimal digits (`tests/data/README.md`).
const STORED: &str = include_str!("../../../tests/data/f3469015/invalid-configurations.txt");

/// Entries of the replicated log in their order. Each builds on the one before.
const ENTRIES: [&str; 5] =
    ["document", "delta", "patch", "patch-of-the-revision", "patch-with-a-repeated-field"];

fn stored(name: &str) -> Vec<u8> {
    let mut lines = STORED.lines().filter_map(|line| line.split_once(' '));
    let (_, digits) = lines.find(|(found, _)| *found == name).expect("a stored value of this name");
    from_hex(digits)
}

fn stored_state() -> ConfigurationState {
    ConfigurationState::from_snapshot(&stored("snapshot")).expect("the snapshot was written intact")
}

fn violations(state: &ConfigurationState) -> String {
    state.document().map(Document::violations).expect("a configuration is in force").to_string()
}

/// A member that starts with the data of an earlier version would otherwise end with an error.
#[test]
fn a_stored_invalid_configuration_is_restored() {
    let state = stored_state();
    assert_eq!(state.revision(), Revision(13));
    assert_eq!(violations(&state), "routes[0].shares[1].backend: there is no service ''");
    assert_eq!(state.to_snapshot(), stored("snapshot"));
}

/// A member would otherwise end when it applies what an earlier version has committed.
#[test]
fn committed_invalid_changes_are_applied() {
    let mut state = ConfigurationState::default();
    for name in ENTRIES {
        let entry: ChangeEntry = musli::wire::from_slice(&stored(name)).expect("a stored entry");
        let outcome = state.apply_entry(&entry).expect("the entry was committed");
        assert_eq!(outcome, EntryOutcome::Applied, "{name}");
        assert_eq!(state.document().map(Document::version), Some(entry.result()), "{name}");
    }
    assert_eq!(state, stored_state());
}

#[test]
fn a_patch_that_leaves_the_invalid_value_is_rejected() {
    let patch = br#"{"revision":15,"upsert":{"backends":[{"label":"new"}]}}"#;
    let Decision::Invalid(errors) = stored_state().decide_patch(Some(Revision(13)), patch) else {
        panic!("the resulting configuration is invalid")
    };
    assert_eq!(errors.to_string(), "routes[0].shares[1].backend: there is no service ''");
}

#[rstest]
#[case::by_another_route(
    br#"{"revision":15,"upsert":{"routes":[
    {"label":"r","hostname":"h.example","pathStart":"/a/","timeLimitMs":900,"backend":"lm"}]}}"#
)]
#[case::by_its_removal(br#"{"revision":15,"remove":{"routes":["r"]}}"#)]
fn a_patch_replaces_the_invalid_value(#[case] patch: &[u8]) {
    let mut state = stored_state();
    let change = accepted(state.decide_patch(Some(Revision(13)), patch));
    state.apply_accepted(change).expect("the base is in force");
    assert_eq!(violations(&state), "");
}
