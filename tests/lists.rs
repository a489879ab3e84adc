//! Lists that lie, at the size of a large fleet.

use serde_json::json;

use tulipridge::config::Config;
use tulipridge::names::{Listing, Names, State};
use tulipridge::settings::Settings;

const NOW: f64 = 1.8e12;

/// Sixty good entries, and what is laid over some of them.
fn listing(lies: &[(usize, &str, serde_json::Value)]) -> Listing {
    let entry = |n| json!({"id": format!("s-{n}"), "addr": format!("10.1.0.{n}:8080"), "state": "ready", "weight": 4.0, "started_ms": 0});
    let mut servers: Vec<_> = (0..60).map(entry).collect();
    for (n, key, lie) in lies {
        servers[*n][key] = lie.clone();
    }
    serde_json::from_value(json!({"version": 7, "full": true, "servers": servers})).expect("it can be read")
}

#[test]
fn a_good_list_passes_completely() {
    let mut good = listing(&[(3, "state", json!("draining")), (4, "started_ms", json!(NOW))]);
    assert!(good.correct(NOW).is_empty());
    assert_eq!(good.servers.len(), 60);
}

#[test]
fn what_cannot_be_is_named_and_not_believed() {
    let lies = [
        (0, "weight", json!(1e300)),
        (1, "weight", json!(-4.0)),
        (2, "weight", json!(0.0)),
        (3, "started_ms", json!(NOW * 2.0)),
        (4, "started_ms", json!(-1.0)),
    ];
    let mut list = listing(&lies);
    let faults = list.correct(NOW);
    let named: Vec<&str> = faults.iter().map(|(server, _)| &**server).collect();
    assert_eq!(named, ["s-0", "s-1", "s-2", "s-3", "s-4"]);
    assert!(list.servers[..3].iter().all(|s| s.weight == 1.0));
    assert!(list.servers[3..5].iter().all(|s| s.started_ms == NOW));
    assert!(list.servers[5..].iter().all(|s| s.weight == 4.0 && s.started_ms == 0.0));
    assert!(list.correct(NOW).is_empty(), "nothing is left to find");
}

#[test]
fn of_two_words_on_one_server_the_one_that_wants_nothing_new_counts() {
    for (first, second) in
        [("ready", "draining"), ("draining", "ready"), ("gone", "draining"), ("ready", "ready")]
    {
        let mut list =
            listing(&[(8, "id", json!("s-40")), (8, "state", json!(first)), (40, "state", json!(second))]);
        assert_eq!(list.correct(NOW).len(), 1);
        let left: Vec<State> = list.servers.iter().filter(|s| s.id == "s-40").map(|s| s.state).collect();
        let expected = if [first, second].contains(&"gone") {
            State::Gone
        } else if first == second {
            State::Ready
        } else {
            State::Draining
        };
        assert_eq!(left, [expected]);
    }
}

#[test]
fn load_reports_out_of_range_say_nothing() {
    let names = Names { load_metrics: vec!["util".into(), "eps".into()], ..Names::default() };
    assert_eq!(names.report("TEXT util=0.61, eps=0"), [0.61, 0.0]);
    for lie in ["util=1e300, eps=-1", "util=inf, eps=NaN", "util=, eps=x", "", "noise"] {
        assert!(names.report(lie).iter().all(|value| value.is_nan()), "{lie}");
    }
}

#[test]
fn speeds_reach_the_module_by_the_names_of_kinds() {
    let mut platform: serde_json::Value =
        serde_json::from_str(include_str!("../examples/config.json")).expect("JSON");
    platform["settings"]["shapes"] = json!(["small", "large"]);
    let own = Settings::parse("made", "speeds = { large = 2.0, other = 3.0 }\n").expect("good");
    let config = Config::new(&platform, own).expect("good");
    assert_eq!(config.settings.speeds, [1.0, 2.0, 3.0]);
    assert_eq!(config.names.kinds, ["small", "large", "other"]);
}
