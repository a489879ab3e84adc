//! Random configurations and patches are accepted exactly if a second implementation of the rules finds nothing wrong,
//! and each violation is reported once. What was accepted reaches the other members and the data plane unchanged.

mod common;
mod support_validity;

use std::collections::{BTreeMap, BTreeSet, HashSet};

use common::{accepted, body, sample, state_with};
use serde_json::{Value, json};
use support_validity::generator::Generator;
use support_validity::patch_model::patched;
use support_validity::rules::{Violation, violations};
use tulipridge_configuration::number::Revision;
use tulipridge_configuration::{
    Configuration, ConfigurationState, Decision, Document, ValidationErrorKind, ValidationErrors,
    difference,
};

/// Number of seeds per test. Each gives one request.
const SEEDS: u64 = 10_000;
/// How often a value of a configuration is unusual, from 0 to 1, by seed in turn.
const UNUSUAL_RATES: [f64; 4] = [0.0, 0.02, 0.05, 0.15];
/// The same for a patch, which has fewer values.
const UNUSUAL_PATCH_RATES: [f64; 4] = [0.0, 0.06, 0.15, 0.3];
/// Requests that each rule has to refuse, and that have to be valid, so that the random values test what they should.
const MIN_REQUESTS: usize = 20;

/// Counts requests by the rules that they violate; the empty name stands for valid ones.
#[derive(Default)]
struct Coverage(BTreeMap<&'static str, usize>);

impl Coverage {
    fn record(&mut self, violations: &BTreeSet<Violation>) {
        let rules: BTreeSet<&str> = violations.iter().map(|(_, rule)| *rule).collect();
        if let [rule] = Vec::from_iter(rules)[..] {
            *self.0.entry(rule).or_default() += 1;
        }
        if violations.is_empty() {
            *self.0.entry("").or_default() += 1;
        }
    }

    fn check(&self, rules: &[&str]) {
        for rule in rules {
            let count = self.0.get(rule).copied().unwrap_or_default();
            assert!(count >= MIN_REQUESTS, "{count} requests violate only the rule '{rule}': {:?}", self.0);
        }
    }
}

fn generator(seed: u64, unusual_rates: [f64; 4]) -> Generator {
    Generator::new(seed, unusual_rates[(seed % 4) as usize])
}

/// The name of a rule, which is that of its error.
fn rule(kind: &ValidationErrorKind) -> &'static str {
    match kind {
        ValidationErrorKind::Missing => "Missing",
        ValidationErrorKind::Empty => "Empty",
        ValidationErrorKind::DuplicateLabel { .. } => "DuplicateLabel",
        ValidationErrorKind::DuplicateRoute { .. } => "DuplicateRoute",
        ValidationErrorKind::MissingSlash => "MissingSlash",
        ValidationErrorKind::UnknownService { .. } => "UnknownService",
        ValidationErrorKind::RoutedToStore { .. } => "RoutedToStore",
        ValidationErrorKind::ZeroWeights => "ZeroWeights",
        ValidationErrorKind::InvalidWeight => "InvalidWeight",
        ValidationErrorKind::ZeroTimeLimit => "ZeroTimeLimit",
        ValidationErrorKind::DuplicateApiKey { .. } => "DuplicateApiKey",
        other => panic!("not a rule on values: {other}"),
    }
}

/// The reported violations, each of which must be reported once.
fn reported(errors: &ValidationErrors) -> BTreeSet<Violation> {
    let reported: BTreeSet<Violation> =
        errors.iter().map(|error| (error.path.clone(), rule(&error.kind))).collect();
    assert_eq!(reported.len(), errors.len(), "reported twice: {errors}");
    reported
}

/// Checks a decision on a request that results in `document`, and what becomes of an accepted change.
fn check(state: &ConfigurationState, decision: Decision, document: &Value, expected: &BTreeSet<Violation>) {
    match decision {
        Decision::Invalid(errors) => assert_eq!(reported(&errors), *expected, "{document:#}"),
        Decision::Accept(change) => {
            assert!(expected.is_empty(), "accepted: {expected:?} {document:#}");
            check_accepted(state, Decision::Accept(change), document);
        }
        other => panic!("{other:?}"),
    }
}

/// Checks that a follower, a restored member and a subscriber have the accepted configuration.
fn check_accepted(base: &ConfigurationState, decision: Decision, document: &Value) {
    let change = accepted(decision);
    let mut follower = base.clone();
    follower.apply_entry(&change.entry).expect("the base is in force");
    let mut state = base.clone();
    state.apply_accepted(change).expect("the base is in force");
    assert_eq!(follower, state);
    let restored = ConfigurationState::from_snapshot(&state.to_snapshot()).expect("an intact snapshot");
    assert_eq!(restored, state);
    let in_force = state.document().expect("a configuration is in force");
    assert!(in_force.violations().is_empty());
    let value: Value = serde_json::from_slice(in_force.text()).expect("a document is JSON");
    assert_eq!(value, *document);
    let old = base.document().map(|document| document.configuration().as_ref().clone()).unwrap_or_default();
    let delivered = difference::apply(&old, &difference::difference(&old, in_force.configuration()));
    check_delivered(&delivered);
}

/// Checks the typed form of a valid configuration, as a proxy has it.
fn check_delivered(configuration: &Configuration) {
    let mut prefixes = HashSet::new();
    for route in &configuration.routes {
        assert!(prefixes.insert((&route.host, &route.path_prefix)));
        assert!(route.time_limit_ms > 0);
        assert!(route.service_weights.iter().map(|entry| entry.weight).sum::<f64>() > 0.0);
        for entry in &route.service_weights {
            let mut services = configuration.services.iter();
            let service = services.find(|service| service.label == entry.service).expect("a known service");
            assert_eq!(service.store_address, None);
        }
    }
    for (index, tenant) in configuration.tenants.iter().enumerate() {
        let mut others = configuration.tenants[..index].iter();
        assert!(!others.any(|other| other.api_keys.iter().any(|key| tenant.api_keys.contains(key))));
    }
}

#[test]
fn a_put_is_accepted_exactly_if_it_violates_no_rule() {
    let state = state_with(&sample());
    let mut coverage = Coverage::default();
    for seed in 0..SEEDS {
        let document = generator(seed, UNUSUAL_RATES).document(9);
        let expected = violations(&document);
        coverage.record(&expected);
        check(&state, state.decide_put(Some(Revision(7)), &body(&document)), &document, &expected);
    }
    coverage.check(&[
        "",
        "Missing",
        "Empty",
        "DuplicateLabel",
        "DuplicateRoute",
        "MissingSlash",
        "UnknownService",
        "RoutedToStore",
        "ZeroWeights",
        "InvalidWeight",
        "ZeroTimeLimit",
        "DuplicateApiKey",
    ]);
}

/// Removals that leave a route without its service, and services that become stores, are among the patches.
#[test]
fn a_patch_is_accepted_exactly_if_its_result_is_valid() {
    let mut coverage = Coverage::default();
    for seed in 0..SEEDS {
        let base = Generator::new(seed, 0.0).document(7);
        let state = state_with(&base);
        let patch = generator(seed, UNUSUAL_PATCH_RATES).patch(9);
        let document = patched(&base, &patch);
        let expected = violations(&document);
        coverage.record(&expected);
        check(&state, state.decide_patch(Some(Revision(7)), &body(&patch)), &document, &expected);
    }
    coverage.check(&[
        "",
        "UnknownService",
        "RoutedToStore",
        "DuplicateRoute",
        "ZeroTimeLimit",
        "DuplicateApiKey",
    ]);
}

#[test]
fn a_valid_configuration_needs_a_revision_above_the_current() {
    for seed in 0..100 {
        let state = state_with(&Generator::new(seed, 0.0).document(7));
        for (revision, is_above) in [(0, false), (6, false), (7, false), (8, true), (u64::MAX, true)] {
            let document = body(&Generator::new(seed + 1, 0.0).document(revision));
            let patch = body(&json!({"revision": revision}));
            for decision in [
                state.decide_put(Some(Revision(7)), &document),
                state.decide_patch(Some(Revision(7)), &patch),
            ] {
                assert_eq!(matches!(decision, Decision::Accept(_)), is_above, "seed {seed}, {revision}");
            }
        }
    }
}

/// Fields of the sample that the system does not know, and that may have any type.
const UNKNOWN_FIELDS: [&str; 5] = ["remark", "colour", "protocol", "encryption", "stride"];

#[test]
fn a_value_of_another_type_is_rejected_anywhere() {
    let mut pointers = Vec::new();
    collect_pointers(&sample(), "", &mut pointers);
    for pointer in pointers {
        for value in [json!("text"), json!(-1), json!(true), json!([7]), json!({"a": [7]})] {
            let mut document = sample();
            let found = document.pointer_mut(&pointer).expect("the sample has the value");
            if std::mem::discriminant(found) == std::mem::discriminant(&value) && *found != json!([]) {
                continue;
            }
            *found = value;
            let errors = Document::parse(&body(&document)).expect_err(&pointer);
            let is_type_error =
                |kind: &ValidationErrorKind| matches!(kind, ValidationErrorKind::WrongType { .. });
            assert!(errors.iter().all(|error| is_type_error(&error.kind)), "{pointer}: {errors}");
        }
    }
}

/// The JSON pointers of all values below known fields.
fn collect_pointers(value: &Value, pointer: &str, pointers: &mut Vec<String>) {
    let mut add = |name: &str, value: &Value| {
        let pointer = format!("{pointer}/{name}");
        pointers.push(pointer.clone());
        collect_pointers(value, &pointer, pointers);
    };
    match value {
        Value::Object(fields) => {
            let is_store = fields.contains_key("cacheStore");
            let is_unknown =
                |name: &str| UNKNOWN_FIELDS.contains(&name) || (is_store && name == "bandwidthMbps");
            fields.iter().filter(|(name, _)| !is_unknown(name)).for_each(|(name, value)| add(name, value));
        }
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(index, item)| add(&index.to_string(), item));
        }
        _ => {}
    }
}
