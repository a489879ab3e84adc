//! Valid configurations, and the errors with their paths that are reported for invalid ones.

mod common;

use common::{body, sample, sample_with, sample_without};
use rstest::rstest;
use serde_json::{Value, json};
use tulipridge_configuration::number::{Priority, Revision};
use tulipridge_configuration::{
    ClientLimits, Document, RouteKind, Service, ServiceWeight, ValidationErrorKind,
};

/// The error report of an invalid document.
fn report_on(document: &Value) -> String {
    Document::parse(&body(document)).expect_err("the document is invalid").to_string()
}

#[test]
fn reads_all_fields() {
    let document = Document::parse(&body(&sample())).expect("a valid document");
    let configuration = document.configuration();
    insta::assert_debug_snapshot!(configuration);
}

#[test]
fn a_parsed_document_keeps_the_bytes_that_were_sent() {
    let sent = format!("  {}\n", serde_json::to_string_pretty(&sample()).expect("a value can be written"));
    let document = Document::parse(sent.as_bytes()).expect("a valid document");
    assert_eq!(&*document.to_bytes(), sent.as_bytes());
    assert_eq!(document.revision(), Revision(7));
}

#[rstest]
#[case::no_tenants("/customers")]
#[case::no_caps("/caps")]
#[case::no_rank("/routes/0/rank")]
#[case::no_kind("/routes/0/sort")]
#[case::no_target("/routes/0/targetMs")]
#[case::no_max_attempts("/routes/0/tries")]
#[case::no_public("/routes/0/public")]
#[case::no_pinned("/routes/0/pinned")]
#[case::no_resumable("/routes/0/pickUp")]
#[case::no_gap_target("/routes/0/gap_aim_ms")]
#[case::no_health_path("/backends/0/checkPath")]
#[case::no_connection_limit("/backends/0/connLimit")]
#[case::no_runtime("/backends/0/runtime")]
#[case::no_models("/backends/0/runtime/llms")]
#[case::no_keys("/customers/0/apiKeys")]
#[case::no_tenant_rank("/customers/0/rank")]
#[case::no_isolation("/customers/0/isolated")]
#[case::one_cap_missing("/caps/quietMs")]
fn accepts_a_document_without_an_optional_field(#[case] pointer: &str) {
    assert!(Document::parse(&body(&sample_without(pointer))).is_ok());
    assert!(Document::parse(&body(&sample_with(pointer, Value::Null))).is_ok());
}

#[rstest]
#[case::no_routes("/routes", json!([]))]
#[case::no_tenants("/customers", json!([]))]
#[case::a_weight_of_zero("/routes/0/shares/0/share", json!(0))]
#[case::one_service_twice("/routes/0/shares/1/backend", json!("alpha"))]
#[case::a_fractional_weight("/routes/0/shares/0/share", json!(0.25))]
#[case::a_fractional_time("/routes/0/targetMs", json!(250.5))]
#[case::an_unknown_kind("/routes/0/sort", json!("later"))]
#[case::a_large_rank("/routes/0/rank", json!(4_000_000_000_u64))]
#[case::one_key_twice_in_one_tenant("/customers/0/apiKeys", json!(["key-a1", "key-a1"]))]
#[case::same_prefix_at_another_host("/routes/0", json!({
    "label": "r", "hostname": "other.example", "pathStart": "/", "timeLimitMs": 1, "backend": "beta"
}))]
#[case::empty_shares_and_a_service("/routes/0", json!({
    "label": "r", "hostname": "h", "pathStart": "/", "timeLimitMs": 1, "backend": "beta", "shares": []
}))]
fn accepts_a_document_with(#[case] pointer: &str, #[case] value: Value) {
    assert!(Document::parse(&body(&sample_with(pointer, value))).is_ok());
}

#[test]
fn missing_fields_get_their_defaults() {
    let document = json!({
        "revision": 1,
        "routes": [{"label": "r", "hostname": "h", "pathStart": "/", "timeLimitMs": 50, "backend": "s"}],
        "backends": [{"label": "s"}]
    });
    let document = Document::parse(&body(&document)).expect("a valid document");
    let configuration = document.configuration();
    assert_eq!(configuration.caps, ClientLimits::default());
    assert!(configuration.tenants.is_empty());
    assert!(!configuration.requires_key);
    let route = &configuration.routes[0];
    assert_eq!((route.kind, route.max_attempts, route.rank), (RouteKind::NonIdempotent, 1, Priority(0)));
    assert_eq!(route.target_ms, 50);
    assert_eq!(route.service_weights, [ServiceWeight { service: "s".to_owned(), weight: 1.0 }]);
    let health_path = "/health".to_owned();
    assert_eq!(
        configuration.services,
        [Service { label: "s".to_owned(), health_path, ..Service::default() }]
    );
}

#[rstest]
#[case::tenants(json!([{"label": "acme", "apiKeys": ["k"]}]), true)]
#[case::tenants_without_keys(json!([{"label": "acme"}]), true)]
#[case::empty_list(json!([]), true)]
#[case::no_list(json!(null), false)]
fn requests_need_a_key_if_the_document_has_a_list_of_tenants(
    #[case] tenants: Value,
    #[case] expected: bool,
) {
    let document = Document::parse(&body(&sample_with("/customers", tenants))).expect("a valid document");
    assert_eq!(document.configuration().requires_key, expected);
}

#[rstest]
#[case::revision("/revision", "revision: is missing")]
#[case::routes("/routes", "routes: is missing")]
#[case::route_label("/routes/1/label", "routes[1].label: is missing")]
#[case::host("/routes/1/hostname", "routes[1].hostname: is missing")]
#[case::prefix("/routes/1/pathStart", "routes[1].pathStart: is missing")]
#[case::time_limit("/routes/1/timeLimitMs", "routes[1].timeLimitMs: is missing")]
#[case::service_of_route("/routes/1/backend", "routes[1].backend: is missing")]
#[case::service_of_weight("/routes/0/shares/1/backend", "routes[0].shares[1].backend: is missing")]
#[case::weight("/routes/0/shares/1/share", "routes[0].shares[1].share: is missing")]
#[case::service_label("/backends/2/label", "backends[2].label: is missing")]
#[case::tenant_label("/customers/1/label", "customers[1].label: is missing")]
fn rejects_a_document_without(#[case] pointer: &str, #[case] report: &str) {
    assert_eq!(report_on(&sample_without(pointer)), report);
}

#[rstest]
#[case::empty_label("/routes/1/label", json!(""), "routes[1].label: is empty")]
#[case::empty_host("/routes/1/hostname", json!(""), "routes[1].hostname: is empty")]
#[case::prefix_without_end("/routes/0/pathStart", json!("/cart"),
    "routes[0].pathStart: does not start and end with '/'")]
#[case::prefix_without_start("/routes/0/pathStart", json!("cart/"),
    "routes[0].pathStart: does not start and end with '/'")]
#[case::empty_prefix("/routes/0/pathStart", json!(""),
    "routes[0].pathStart: does not start and end with '/'")]
#[case::time_limit_of_zero("/routes/1/timeLimitMs", json!(0), "routes[1].timeLimitMs: must be above 0")]
#[case::unknown_service("/routes/1/backend", json!("gamma"),
    "routes[1].backend: there is no service 'gamma'")]
#[case::unknown_service_in_shares("/routes/0/shares/1/backend", json!("gamma"),
    "routes[0].shares[1].backend: there is no service 'gamma'")]
#[case::empty_service("/routes/1/backend", json!(""), "routes[1].backend: there is no service ''")]
#[case::route_to_a_store("/routes/1/backend", json!("store"),
    "routes[1].backend: 'store' is a store of KV cache and takes no requests")]
#[case::store_in_shares("/routes/0/shares/0/backend", json!("store"),
    "routes[0].shares[0].backend: 'store' is a store of KV cache and takes no requests")]
#[case::weights_of_zero("/routes/0/shares", json!([{"backend": "alpha", "share": 0}]),
    "routes[0].shares: the weights sum to 0")]
#[case::negative_weight("/routes/0/shares/1/share", json!(-10),
    "routes[0].shares[1].share: the weight is not a number from 0 up")]
#[case::same_host_and_prefix("/routes/1/pathStart", json!("/cart/"),
    "routes[1]: host and prefix are also those of routes[0]")]
#[case::same_route_label("/routes/1/label", json!("r-first"),
    "routes[1].label: the label is also that of routes[0]")]
#[case::same_service_label("/backends/2/label", json!("beta"),
    "backends[2].label: the label is also that of backends[1]")]
#[case::same_tenant_label("/customers/1/label", json!("acme"),
    "customers[1].label: the label is also that of customers[0]")]
#[case::same_key_of_two_tenants("/customers/1/apiKeys", json!(["key-b1", "key-a2"]),
    "customers[1].apiKeys[1]: tenant 'acme' holds the same key")]
fn rejects_a_document_with(#[case] pointer: &str, #[case] value: Value, #[case] report: &str) {
    assert_eq!(report_on(&sample_with(pointer, value)), report);
}

/// An empty name of a service in `shares` was accepted, and most requests on the route were answered 503.
#[rstest]
#[case::first(0, json!({"backend": "", "share": 90}))]
#[case::last(1, json!({"backend": "", "share": 10}))]
#[case::without_weight(1, json!({"backend": "", "share": 0}))]
fn rejects_an_empty_service_in_shares(#[case] index: usize, #[case] share: Value) {
    let document = sample_with(&format!("/routes/0/shares/{index}"), share);
    let report = format!("routes[0].shares[{index}].backend: there is no service ''");
    assert_eq!(report_on(&document), report);
}

#[test]
fn rejects_weights_without_a_finite_sum() {
    let shares = json!([{"backend": "alpha", "share": 1e308}, {"backend": "beta", "share": 1e308}]);
    assert_eq!(
        report_on(&sample_with("/routes/0/shares", shares)),
        "routes[0].shares: the weights sum to 0"
    );
}

#[rstest]
#[case::empty(b"")]
#[case::not_json(b"revision: 7")]
#[case::a_list(b"[]")]
#[case::a_list_of_field_values(b"[7, [], []]")]
#[case::null(b"null")]
#[case::a_number(b"7")]
#[case::invalid_utf8(b"{\"revision\": 7, \"routes\": [], \"backends\": [], \"remark\": \"\xff\"}")]
#[case::two_documents(b"{\"revision\":7,\"routes\":[],\"backends\":[]}{}")]
#[case::a_duplicate_field(b"{\"revision\":7,\"revision\":8,\"routes\":[],\"backends\":[]}")]
fn rejects_what_is_not_a_document(#[case] bytes: &[u8]) {
    assert!(Document::parse(bytes).is_err());
}

#[test]
fn rejects_each_truncation_of_a_document() {
    let complete = body(&sample());
    for length in 0..complete.len() {
        let errors = Document::parse(&complete[..length]).expect_err("a truncated document is invalid");
        let unreadable =
            errors.iter().all(|error| matches!(error.kind, ValidationErrorKind::Unreadable { .. }));
        assert!(unreadable, "truncated at {length}: {errors}");
    }
}

#[test]
fn reports_wrong_types_of_all_items() {
    let mut document = sample_with("/revision", json!("seven"));
    document["routes"][0]["shares"][1]["share"] = json!("ten");
    document["routes"][1]["timeLimitMs"] = json!(-4);
    document["backends"][0]["runtime"]["llms"] = json!({"label": "model-a"});
    document["backends"][1] = json!(["beta"]);
    document["caps"] = json!(12);
    document["customers"][0]["apiKeys"][1] = json!(5);
    document["customers"][1] = json!("umbrella");
    insta::assert_snapshot!(report_on(&document), @r#"
    revision: invalid type: string "seven", expected u64
    routes[0].shares[1].share: invalid type: string "ten", expected f64
    routes[1].timeLimitMs: invalid value: integer `-4`, expected a number from 0 up
    backends[0].runtime.llms: invalid type: map, expected a sequence
    backends[1]: invalid type: sequence, expected an object
    caps: invalid type: integer `12`, expected an object
    customers[0].apiKeys[1]: invalid type: integer `5`, expected a string
    customers[1]: invalid type: string "umbrella", expected an object
    "#);
}

#[test]
fn reports_all_errors_together() {
    let mut document = sample();
    document["routes"][0]["shares"][0]["backend"] = json!("gamma");
    document["routes"][0]["timeLimitMs"] = json!(0);
    document["routes"][1]["label"] = json!("r-first");
    document["customers"][1]["apiKeys"][0] = json!("key-a1");
    let errors = Document::parse(&body(&document)).expect_err("the document is invalid");
    insta::assert_snapshot!(errors.to_string(), @"
    routes[0].timeLimitMs: must be above 0
    routes[0].shares[0].backend: there is no service 'gamma'
    routes[1].label: the label is also that of routes[0]
    customers[1].apiKeys[0]: tenant 'acme' holds the same key
    ");
    let report: Value = serde_json::from_slice(&errors.to_json()).expect("the report is JSON");
    insta::assert_snapshot!(format!("{report:#}"), @r#"
    {
      "count": 4,
      "findings": [
        {
          "message": "must be above 0",
          "place": "routes[0].timeLimitMs"
        },
        {
          "message": "there is no service 'gamma'",
          "place": "routes[0].shares[0].backend"
        },
        {
          "message": "the label is also that of routes[0]",
          "place": "routes[1].label"
        },
        {
          "message": "tenant 'acme' holds the same key",
          "place": "customers[1].apiKeys[0]"
        }
      ],
      "problem": "the configuration is invalid"
    }
    "#);
}

#[test]
fn a_long_report_is_shortened_and_counted() {
    let routes: Vec<Value> = (0..60).map(|_| json!({})).collect();
    let errors = Document::parse(&body(&sample_with("/routes", json!(routes))))
        .expect_err("the document is invalid");
    assert_eq!(errors.len(), 60 * 5);
    assert_eq!(errors.to_string().lines().last(), Some("and 250 more"));
    let report: Value = serde_json::from_slice(&errors.to_json()).expect("the report is JSON");
    assert_eq!(report["count"], json!(300));
    assert_eq!(
        report["findings"].as_array().map(Vec::len),
        Some(tulipridge_configuration::validation_error::MAX_REPORTED_ERRORS)
    );
}
