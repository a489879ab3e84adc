//! Validation of replica lists and load reports that have invalid values, and the assignment of speeds to
//! kinds of replicas.

use serde_json::json;

use tulipridge::config::Config;
use tulipridge::names::{Listing, Names, ReplicaState};
use tulipridge::settings::Settings;

const NOW: f64 = 1.8e12;

/// A list of sixty valid entries in which `overrides` replaces fields: index of the entry, field, value.
fn listing(overrides: &[(usize, &str, serde_json::Value)]) -> Listing {
    let entry = |n| json!({"id": format!("s-{n}"), "addr": format!("10.1.0.{n}:8080"), "state": "ready", "weight": 4.0, "started_ms": 0});
    let mut servers: Vec<_> = (0..60).map(entry).collect();
    for (n, key, value) in overrides {
        servers[*n][key] = value.clone();
    }
    serde_json::from_value(json!({"version": 7, "full": true, "servers": servers})).expect("a valid list")
}

#[test]
fn a_valid_list_is_accepted_unchanged() {
    let mut valid = listing(&[(3, "state", json!("draining")), (4, "started_ms", json!(NOW))]);
    assert!(valid.correct(NOW).is_empty());
    assert_eq!(valid.entries.len(), 60);
}

#[test]
fn invalid_values_are_reported_and_replaced() {
    let overrides = [
        (0, "weight", json!(1e300)),
        (1, "weight", json!(-4.0)),
        (2, "weight", json!(0.0)),
        (3, "started_ms", json!(NOW * 2.0)),
        (4, "started_ms", json!(-1.0)),
    ];
    let mut list = listing(&overrides);
    let faults = list.correct(NOW);
    let faulty_ids: Vec<&str> = faults.iter().map(|(server, _)| &**server).collect();
    assert_eq!(faulty_ids, ["s-0", "s-1", "s-2", "s-3", "s-4"]);
    assert!(list.entries[..3].iter().all(|s| s.weight == 1.0));
    assert!(list.entries[3..5].iter().all(|s| s.started_ms == NOW));
    assert!(list.entries[5..].iter().all(|s| s.weight == 4.0 && s.started_ms == 0.0));
    assert!(list.correct(NOW).is_empty(), "a corrected list is valid");
}

#[test]
fn of_duplicate_entries_the_more_restrictive_state_is_used() {
    for (first, second) in
        [("ready", "draining"), ("draining", "ready"), ("gone", "draining"), ("ready", "ready")]
    {
        let mut list =
            listing(&[(8, "id", json!("s-40")), (8, "state", json!(first)), (40, "state", json!(second))]);
        assert_eq!(list.correct(NOW).len(), 1);
        let states: Vec<ReplicaState> =
            list.entries.iter().filter(|s| s.id == "s-40").map(|s| s.state).collect();
        let expected = if [first, second].contains(&"gone") {
            ReplicaState::Gone
        } else if first == second {
            ReplicaState::Ready
        } else {
            ReplicaState::Draining
        };
        assert_eq!(states, [expected]);
    }
}

#[test]
fn load_reports_out_of_range_are_ignored() {
    let names = Names { load_metrics: vec!["util".into(), "eps".into()], ..Names::default() };
    assert_eq!(names.report("TEXT util=0.61, eps=0"), [0.61, 0.0]);
    for value in ["util=1e300, eps=-1", "util=inf, eps=NaN", "util=, eps=x", "", "noise"] {
        assert!(names.report(value).iter().all(|load| load.is_nan()), "{value}");
    }
}

#[test]
fn speeds_are_assigned_by_the_names_of_kinds() {
    let mut platform: serde_json::Value =
        serde_json::from_str(include_str!("../examples/config.json")).expect("JSON");
    platform["settings"]["shapes"] = json!(["small", "large"]);
    let own = Settings::parse("test settings", "speeds = { large = 2.0, other = 3.0 }\n").expect("valid");
    let config = Config::new(&platform, own).expect("valid");
    assert_eq!(config.settings.speeds, [1.0, 2.0, 3.0]);
    assert_eq!(config.names.kinds, ["small", "large", "other"]);
}
