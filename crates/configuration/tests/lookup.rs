//! Look-up of routes by host and path, of tenants by key, and of services by weight.

mod common;

use common::{body, sample};
use rstest::rstest;
use tulipridge_configuration::number::Priority;
use tulipridge_configuration::{
    Configuration, Document, Route, RouteKind, RoutingTable, ServiceWeight, Tenant,
};

fn route(host: &str, path_prefix: &str, weights: &[f64]) -> Route {
    let service_weight =
        |weight: &f64| ServiceWeight { service: format!("service-{weight}"), weight: *weight };
    Route {
        label: format!("{host}{path_prefix}"),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::NonIdempotent,
        time_limit_ms: 1000,
        target_ms: 100,
        rank: Priority(0),
        service_weights: weights.iter().map(service_weight).collect(),
        max_attempts: 1,
        public: true,
        pinned: false,
        resumable: false,
        gap_target_ms: 0,
    }
}

fn table() -> RoutingTable {
    let routes = vec![
        route("shop.example", "/", &[1.0]),
        route("shop.example", "/cart/", &[1.0]),
        route("shop.example", "/cart/old/items/", &[1.0]),
        route("api.example", "/v1/", &[1.0]),
        route("[::1]", "/", &[1.0]),
    ];
    RoutingTable::new(&Configuration { routes, ..Configuration::default() })
}

#[rstest]
#[case::root("shop.example", "/", Some(0))]
#[case::below_the_root("shop.example", "/about", Some(0))]
#[case::a_prefix("shop.example", "/cart/", Some(1))]
#[case::a_prefix_without_its_slash("shop.example", "/cart", Some(0))]
#[case::a_longer_segment("shop.example", "/cartoon/x", Some(0))]
#[case::below_a_prefix("shop.example", "/cart/7", Some(1))]
#[case::between_two_prefixes("shop.example", "/cart/old/7", Some(1))]
#[case::the_longest("shop.example", "/cart/old/items/7", Some(2))]
#[case::several_segments_below_a_prefix("shop.example", "/cart/old/items/a/b/c/d/", Some(2))]
#[case::other_case_of_path("shop.example", "/CART/7", Some(0))]
#[case::any_case_of_host("SHOP.Example", "/cart/7", Some(1))]
#[case::a_port("shop.example:8080", "/cart/7", Some(1))]
#[case::a_query("shop.example", "/cart?then=/cart/old/items/", Some(0))]
#[case::a_query_after_a_prefix("shop.example", "/cart/?q=1", Some(1))]
#[case::another_host("api.example", "/v1/x", Some(3))]
#[case::no_matching_prefix("api.example", "/v2/x", None)]
#[case::no_root("api.example", "/", None)]
#[case::asterisk_form("shop.example", "*", None)]
#[case::empty_path("shop.example", "", None)]
#[case::unknown_host("nowhere.example", "/", None)]
#[case::empty_host("", "/", None)]
#[case::an_ipv6_address("[::1]:80", "/x", Some(4))]
#[case::non_ascii_path("shop.example", "/cart/ö/ü", Some(1))]
fn a_route_is_found_by_host_and_longest_path_prefix(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<usize>,
) {
    assert_eq!(table().route(host, path), expected);
}

/// A linear search implements the rule directly: the route of the host whose prefix is the longest that the path starts
/// with.
#[test]
fn finds_the_same_route_as_a_linear_search() {
    let mut random = fastrand::Rng::with_seed(11);
    let segments = ["a", "b", "ab", "ö", ""];
    let random_path = |random: &mut fastrand::Rng| {
        let depth = random.usize(0..6);
        (0..depth).map(|_| format!("/{}", segments[random.usize(0..segments.len())])).collect::<String>()
    };
    let prefixes: std::collections::BTreeSet<String> =
        (0..200).map(|_| format!("{}/", random_path(&mut random))).collect();
    let routes: Vec<Route> = prefixes.iter().map(|prefix| route("h", prefix, &[1.0])).collect();
    let table = RoutingTable::new(&Configuration { routes: routes.clone(), ..Configuration::default() });
    for _ in 0..5000 {
        let path = random_path(&mut random);
        let matching = routes.iter().enumerate().filter(|(_, route)| path.starts_with(&route.path_prefix));
        let expected = matching.max_by_key(|(_, route)| route.path_prefix.len()).map(|(index, _)| index);
        assert_eq!(table.route("h", &path), expected, "path {path}");
    }
}

#[test]
fn a_tenant_is_found_by_its_exact_key() {
    let tenant = |label: &str, keys: &[&str]| Tenant {
        label: label.to_owned(),
        api_keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rank: None,
        isolated: false,
    };
    let tenants = vec![tenant("acme", &["k1", "k2"]), tenant("umbrella", &["k3"])];
    let table = RoutingTable::new(&Configuration { tenants, ..Configuration::default() });
    assert_eq!(table.tenant("k2"), Some(0));
    assert_eq!(table.tenant("k3"), Some(1));
    assert_eq!(table.tenant("K3"), None);
    assert_eq!(table.tenant(""), None);
}

#[rstest]
#[case::zero(0.0, 0)]
#[case::within_the_first(0.89, 0)]
#[case::at_the_boundary(0.9, 2)]
#[case::near_one(0.999_999_999, 2)]
#[case::rounded_to_one(1.0, 2)]
fn picks_a_service_by_weight(#[case] fraction: f64, #[case] expected: usize) {
    let routes = vec![route("h", "/", &[90.0, 0.0, 10.0, 0.0])];
    let table = RoutingTable::new(&Configuration { routes, ..Configuration::default() });
    assert_eq!(table.pick_service(0, fraction), Some(expected));
}

#[test]
fn a_service_of_weight_0_is_not_picked_at_fraction_0() {
    let routes = vec![route("h", "/", &[0.0, 1.0])];
    let table = RoutingTable::new(&Configuration { routes, ..Configuration::default() });
    assert_eq!(table.pick_service(0, 0.0), Some(1));
    assert_eq!(table.pick_service(1, 0.0), None);
}

#[test]
fn routes_and_keys_of_a_parsed_document_are_found() {
    let document = Document::parse(&body(&sample())).expect("a valid document");
    let table = RoutingTable::new(document.configuration());
    assert_eq!(table.route("shop.example", "/cart/1"), Some(0));
    assert_eq!(table.route("shop.example", "/other"), Some(1));
    assert_eq!(table.tenant("key-b1"), Some(1));
}
