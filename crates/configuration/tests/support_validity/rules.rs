//! The rules on what makes a configuration invalid, checked on its JSON value.
//!
//! Each rule is written as the protocol states it, without the parser's types and tables: the loops are quadratic.

use std::collections::BTreeSet;

use serde_json::Value;

/// A value that violates a rule: the value's path and the name of the rule.
pub(crate) type Violation = (String, &'static str);

/// All violations of a configuration whose values have the right types.
pub(crate) fn violations(document: &Value) -> BTreeSet<Violation> {
    let mut found = BTreeSet::new();
    let mut add = |path: String, rule| {
        found.insert((path, rule));
    };
    if document["revision"].is_null() {
        add("revision".to_owned(), "Missing");
    }
    for list in ["routes", "backends", "customers"] {
        check_labels(list, items(document, list), &mut add);
    }
    for (index, route) in items(document, "routes").iter().enumerate() {
        check_route(&format!("routes[{index}]"), route, document, &mut add);
        let is_same = |other: &Value| {
            host(other) == host(route) && text(other, "pathStart") == text(route, "pathStart")
        };
        let is_complete = host(route).is_some_and(|host| !host.is_empty())
            && text(route, "pathStart").is_some_and(|prefix| !prefix.is_empty());
        if is_complete && items(document, "routes")[..index].iter().any(is_same) {
            add(format!("routes[{index}]"), "DuplicateRoute");
        }
    }
    check_keys(items(document, "customers"), &mut add);
    found
}

fn check_labels(list: &str, items: &[Value], add: &mut impl FnMut(String, &'static str)) {
    for (index, item) in items.iter().enumerate() {
        let path = format!("{list}[{index}].label");
        match text(item, "label") {
            None => add(path, "Missing"),
            Some("") => add(path, "Empty"),
            label if items[..index].iter().any(|other| text(other, "label") == label) => {
                add(path, "DuplicateLabel");
            }
            Some(_) => {}
        }
    }
}

fn check_route(path: &str, route: &Value, document: &Value, add: &mut impl FnMut(String, &'static str)) {
    match host(route).as_deref() {
        None => add(format!("{path}.hostname"), "Missing"),
        Some("") => add(format!("{path}.hostname"), "Empty"),
        Some(_) => {}
    }
    match text(route, "pathStart") {
        None => add(format!("{path}.pathStart"), "Missing"),
        Some(prefix) if prefix.starts_with('/') && prefix.ends_with('/') => {}
        Some(_) => add(format!("{path}.pathStart"), "MissingSlash"),
    }
    match route["timeLimitMs"].as_f64() {
        None => add(format!("{path}.timeLimitMs"), "Missing"),
        Some(0.0) => add(format!("{path}.timeLimitMs"), "ZeroTimeLimit"),
        Some(_) => {}
    }
    check_service(&format!("{path}.backend"), text(route, "backend"), document, add);
    match (text(route, "backend"), route["shares"].as_array()) {
        (_, Some(shares)) if !shares.is_empty() => check_shares(path, shares, document, add),
        (Some(_), _) => {}
        (None, Some(_)) => add(format!("{path}.shares"), "ZeroWeights"),
        (None, None) => add(format!("{path}.backend"), "Missing"),
    }
}

fn check_shares(
    path: &str,
    shares: &[Value],
    document: &Value,
    add: &mut impl FnMut(String, &'static str),
) {
    for (index, share) in shares.iter().enumerate() {
        let path = format!("{path}.shares[{index}]");
        if share["backend"].is_null() {
            add(format!("{path}.backend"), "Missing");
        }
        check_service(&format!("{path}.backend"), text(share, "backend"), document, add);
        match share["share"].as_f64() {
            None => add(format!("{path}.share"), "Missing"),
            Some(weight) if weight < 0.0 => add(format!("{path}.share"), "InvalidWeight"),
            Some(_) => {}
        }
    }
    let sum: f64 = shares.iter().filter_map(|share| share["share"].as_f64()).sum();
    if sum <= 0.0 || sum.is_infinite() {
        add(format!("{path}.shares"), "ZeroWeights");
    }
}

/// A route may name each service of the document that is not a store.
fn check_service(
    path: &str,
    name: Option<&str>,
    document: &Value,
    add: &mut impl FnMut(String, &'static str),
) {
    let Some(name) = name else { return };
    let service = items(document, "backends")
        .iter()
        .find(|service| text(service, "label").unwrap_or_default() == name);
    match service {
        None => add(path.to_owned(), "UnknownService"),
        Some(service) if service["cacheStore"].is_string() => add(path.to_owned(), "RoutedToStore"),
        Some(_) => {}
    }
}

fn check_keys(tenants: &[Value], add: &mut impl FnMut(String, &'static str)) {
    for (index, tenant) in tenants.iter().enumerate() {
        for (key_index, key) in items(tenant, "apiKeys").iter().enumerate() {
            if tenants[..index].iter().any(|other| items(other, "apiKeys").contains(key)) {
                add(format!("customers[{index}].apiKeys[{key_index}]"), "DuplicateApiKey");
            }
        }
    }
}

fn items<'a>(object: &'a Value, list: &str) -> &'a [Value] {
    object[list].as_array().map_or(&[], Vec::as_slice)
}

fn text<'a>(object: &'a Value, field: &str) -> Option<&'a str> {
    object[field].as_str()
}

/// Hosts are equal in any case.
fn host(route: &Value) -> Option<String> {
    text(route, "hostname").map(str::to_lowercase)
}
