//! Patches: parsing, application to a document, and errors.

mod common;

use std::collections::BTreeMap;

use common::{body, sample};
use rstest::rstest;
use serde_json::{Value, json};
use tulipridge_configuration::{Document, Patch};

fn sample_document() -> Document {
    Document::parse(&body(&sample())).expect("a valid document")
}

fn patch(value: &Value) -> Patch {
    Patch::parse(&body(value)).expect("a valid patch")
}

/// The sample after a patch, as JSON.
fn patched_sample(change: &Value) -> Value {
    let document = sample_document().apply(&patch(change)).expect("the patch is valid");
    serde_json::from_slice(&document.to_bytes()).expect("a document is JSON")
}

fn labels(list: &Value) -> Vec<&str> {
    list.as_array().expect("a list").iter().map(|item| item["label"].as_str().expect("a label")).collect()
}

fn new_route(label: &str, prefix: &str) -> Value {
    json!({
        "label": label, "hostname": "h", "pathStart": prefix, "timeLimitMs": 9,
        "backend": "beta", "extra": [1]
    })
}

#[test]
fn replaces_items_at_their_position_and_appends_new_ones() {
    let routes = [new_route("r-new", "/n/"), new_route("r-first", "/f/")];
    let change = json!({"revision": 9, "upsert": {"routes": routes}});
    let document = patched_sample(&change);
    let mut expected = sample();
    expected["revision"] = json!(9);
    expected["routes"][0] = new_route("r-first", "/f/");
    expected["routes"].as_array_mut().expect("a list").push(new_route("r-new", "/n/"));
    assert_eq!(document, expected);
}

#[test]
fn removes_by_label_and_ignores_unknown_labels() {
    let remove = json!({"routes": ["r-first", "r-none"], "customers": ["acme"], "notices": ["n"]});
    let document = patched_sample(&json!({"revision": 9, "remove": remove}));
    assert_eq!(labels(&document["routes"]), ["r-second"]);
    assert_eq!(labels(&document["customers"]), ["umbrella"]);
    assert_eq!(document.get("notices"), None);
    assert_eq!(document["remark"], sample()["remark"]);
}

#[test]
fn requests_need_a_key_after_the_last_tenant_is_removed() {
    let removal = patch(&json!({"revision": 9, "remove": {"customers": ["acme", "umbrella"]}}));
    let document = sample_document().apply(&removal).expect("the patch is valid");
    assert_eq!(document.configuration().tenants, []);
    assert!(document.configuration().requires_key);
}

#[test]
fn an_item_that_is_removed_and_upserted_moves_to_the_end() {
    let change = json!({
        "revision": 9,
        "upsert": {"routes": [new_route("r-first", "/f/")]},
        "remove": {"routes": ["r-first"]}
    });
    assert_eq!(labels(&patched_sample(&change)["routes"]), ["r-second", "r-first"]);
}

#[rstest]
#[case::in_upsert(json!({"revision": 9, "upsert": {"caps": {"quietMs": 5}}}))]
#[case::at_the_top_level(json!({"revision": 9, "caps": {"quietMs": 5}}))]
fn replaces_caps_completely(#[case] change: Value) {
    let document = sample_document().apply(&patch(&change)).expect("the patch is valid");
    assert_eq!(document.configuration().caps.idle_ms, 5);
    assert_eq!(
        document.configuration().caps.head_bytes,
        tulipridge_configuration::ClientLimits::default().head_bytes
    );
}

#[test]
fn unknown_lists_are_merged_by_label() {
    let first =
        json!({"revision": 9, "upsert": {"notices": [{"label": "a", "n": 1}, {"label": "b", "n": 2}]}});
    let second = json!({
        "revision": 11,
        "upsert": {"notices": [{"label": "b", "n": 3}], "mode": "strict"},
        "remove": {"notices": ["a"]}
    });
    let document = sample_document().apply(&patch(&first)).expect("the patch is valid");
    let document = document.apply(&patch(&second)).expect("the patch is valid");
    let value: Value = serde_json::from_slice(&document.to_bytes()).expect("a document is JSON");
    assert_eq!(value["notices"], json!([{"label": "b", "n": 3}]));
    assert_eq!(value["mode"], json!("strict"));
}

#[test]
fn an_upsert_adds_a_missing_list() {
    let mut without = sample();
    without.as_object_mut().expect("an object").remove("customers");
    let document = Document::parse(&body(&without)).expect("a valid document");
    let change =
        patch(&json!({"revision": 9, "upsert": {"customers": [{"label": "new", "apiKeys": ["k"]}]}}));
    let document = document.apply(&change).expect("the patch is valid");
    assert_eq!(document.configuration().tenants[0].label, "new");
    assert!(document.configuration().requires_key);
}

#[test]
fn the_text_of_unchanged_and_new_items_is_preserved() {
    let item = r#"{"label":"s\u0031","big":123456789012345678901234567890,"x":1.50}"#;
    let sent = format!(r#"{{"revision":1,"routes":[],"backends":[{item}]}}"#);
    let document = Document::parse(sent.as_bytes()).expect("a valid document");
    let change =
        br#"{"revision":2,"upsert":{"backends":[{"label":"t","x":1e3}]},"remove":{"backends":["none"]}}"#;
    let change = Patch::parse(change).expect("a valid patch");
    let document = document.apply(&change).expect("the patch is valid");
    let expected = format!(r#"{{"backends":[{item},{{"label":"t","x":1e3}}],"revision":2,"routes":[]}}"#);
    assert_eq!(String::from_utf8_lossy(&document.to_bytes()), expected);
    let removal = Patch::parse(br#"{"revision":3,"remove":{"backends":["s1"]}}"#).expect("a valid patch");
    let document = document.apply(&removal).expect("the patch is valid");
    assert_eq!(document.configuration().services.len(), 1);
}

#[test]
fn reports_all_errors_of_a_patch() {
    let change = json!({
        "upsert": {
            "routes": [new_route("r", "/a/"), new_route("r", "/b/"), {"hostname": "h"}, 7],
            "backends": {"label": "alpha"},
        },
        "remove": {"routes": "r-first", "customers": [1]}
    });
    let errors = Patch::parse(&body(&change)).expect_err("the patch is invalid");
    insta::assert_snapshot!(errors.to_string(), @r#"
    revision: is missing
    upsert.backends: invalid type: map, expected a sequence
    upsert.routes[1].label: the label is also that of upsert.routes[0]
    upsert.routes[2].label: is missing
    upsert.routes[3].label: is missing
    remove.customers: invalid type: integer `1`, expected a string
    remove.routes: invalid type: string "r-first", expected a sequence
    "#);
}

#[rstest]
#[case::empty(b"")]
#[case::truncated(b"{\"revision\":9,\"upsert\":{\"routes\":[")]
#[case::a_list(b"[]")]
#[case::upsert_is_not_an_object(b"{\"revision\":9,\"upsert\":[]}")]
#[case::remove_is_not_an_object(b"{\"revision\":9,\"remove\":\"r\"}")]
#[case::revision_is_negative(b"{\"revision\":-9}")]
#[case::revision_is_missing(b"{\"upsert\":{}}")]
#[case::revision_is_null(b"{\"revision\":null}")]
fn rejects_what_is_not_a_patch(#[case] bytes: &[u8]) {
    assert!(Patch::parse(bytes).is_err());
}

/// Of two fields with one name the first one was dropped, and the patch was accepted as if all of it had been applied.
#[rstest]
#[case::revision(r#"{"revision":8,"revision":9}"#, "revision")]
#[case::caps(r#"{"revision":9,"caps":{"quietMs":5},"caps":{"quietMs":6}}"#, "caps")]
#[case::upsert(r#"{"revision":9,"upsert":{"routes":[]},"upsert":{"backends":[]}}"#, "upsert")]
#[case::remove(r#"{"revision":9,"remove":{"routes":["r-first"]},"remove":{}}"#, "remove")]
#[case::list_in_upsert(r#"{"revision":9,"upsert":{"routes":[],"routes":[]}}"#, "upsert.routes")]
#[case::list_in_remove(r#"{"revision":9,"remove":{"routes":["r-first"],"routes":[]}}"#, "remove.routes")]
#[case::escaped_name(r#"{"revision":9,"remove":{"routes":[],"route\u0073":[]}}"#, "remove.routes")]
fn rejects_a_patch_with_a_repeated_field(#[case] patch: &str, #[case] path: &str) {
    let errors = Patch::parse(patch.as_bytes()).expect_err("a field is given twice");
    assert_eq!(errors.to_string(), format!("{path}: is given more than once"));
}

#[test]
fn a_patch_may_repeat_fields_that_have_no_effect() {
    assert!(Patch::parse(br#"{"revision":9,"remark":1,"remark":2}"#).is_ok());
}

#[rstest]
#[case::service_in_use(json!({"revision": 9, "remove": {"backends": ["alpha"]}}),
    "routes[0].shares[0].backend: there is no service 'alpha'\n\
     routes[1].backend: there is no service 'alpha'")]
#[case::duplicate_host_and_prefix(json!({"revision": 9, "upsert": {"routes": [{
    "label": "r", "hostname": "shop.example", "pathStart": "/cart/", "timeLimitMs": 1, "backend": "beta"
}]}}),
    "routes[2]: host and prefix are also those of routes[0]")]
#[case::key_of_another_tenant(json!({"revision": 9, "upsert": {"customers": [
    {"label": "c", "apiKeys": ["key-a1"]}
]}}),
    "customers[2].apiKeys[0]: tenant 'acme' holds the same key")]
fn rejects_a_patch_that_results_in_an_invalid_document(#[case] change: Value, #[case] report: &str) {
    let errors = sample_document().apply(&patch(&change)).expect_err("the patch is invalid");
    assert_eq!(errors.to_string(), report);
}

/// Random patches give the same document as a linear model of upserts and removals.
#[test]
fn random_patches_follow_the_model() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut document = Document::parse(&body(&json!({"revision": 0, "routes": [], "backends": []})))
        .expect("a valid document");
    let mut model: Vec<Value> = Vec::new();
    for revision in 1..300 {
        let upserts: BTreeMap<usize, usize> =
            (0..random.usize(0..6)).map(|_| (random.usize(0..30), random.usize(0..1000))).collect();
        let items: Vec<Value> = upserts
            .iter()
            .map(|(label, size)| json!({"label": format!("s{label}"), "connLimit": size}))
            .collect();
        let removals: Vec<String> =
            (0..random.usize(0..4)).map(|_| format!("s{}", random.usize(0..30))).collect();
        let (upsert, remove) = (json!({"backends": &items}), json!({"backends": &removals}));
        let change = json!({"revision": revision, "upsert": upsert, "remove": remove});
        document = document.apply(&patch(&change)).expect("the patch is valid");
        model.retain(|item| !removals.iter().any(|label| item["label"] == json!(label)));
        for item in items {
            match model.iter_mut().find(|existing| existing["label"] == item["label"]) {
                Some(existing) => *existing = item,
                None => model.push(item),
            }
        }
        let value: Value = serde_json::from_slice(&document.to_bytes()).expect("a document is JSON");
        assert_eq!(value, json!({"revision": revision, "routes": [], "backends": &model}));
    }
}
