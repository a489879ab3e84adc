//! Computation and application of the changes between two configurations.

use tulipridge_configuration::difference::{apply, difference};
use tulipridge_configuration::number::{Priority, Revision};
use tulipridge_configuration::{
    ClientLimits, Configuration, ConfigurationChanges, Route, RouteKind, Service, ServiceWeight, Tenant,
};

const LABEL_COUNT: usize = 12;
const VARIANT_COUNT: u64 = 3;

fn route(label: usize, variant: u64) -> Route {
    Route {
        label: format!("r{label}"),
        host: "h".to_owned(),
        path_prefix: format!("/{label}/"),
        kind: RouteKind::Idempotent,
        time_limit_ms: 1 + variant,
        target_ms: 1,
        rank: Priority(0),
        service_weights: vec![ServiceWeight { service: "s0".to_owned(), weight: 1.0 }],
        max_attempts: 1,
        public: false,
        pinned: false,
        resumable: false,
        gap_target_ms: 0,
    }
}

fn service(label: usize, variant: u64) -> Service {
    Service { label: format!("s{label}"), store_tokens: variant, ..Service::default() }
}

fn tenant(label: usize, variant: u64) -> Tenant {
    Tenant {
        label: format!("t{label}"),
        api_keys: vec![format!("k{variant}")],
        rank: None,
        isolated: false,
    }
}

/// Items with a random subset of the labels, in random order and of random variants.
fn random_items<T>(random: &mut fastrand::Rng, new_item: fn(usize, u64) -> T) -> Vec<T> {
    let mut labels: Vec<usize> = (0..LABEL_COUNT).filter(|_| random.bool()).collect();
    random.shuffle(&mut labels);
    labels.into_iter().map(|label| new_item(label, random.u64(0..VARIANT_COUNT))).collect()
}

fn random_configuration(random: &mut fastrand::Rng, revision: u64) -> Configuration {
    Configuration {
        revision: Revision(revision),
        routes: random_items(random, route),
        services: random_items(random, service),
        caps: ClientLimits { idle_ms: random.u64(0..VARIANT_COUNT), ..ClientLimits::default() },
        requires_key: random.bool(),
        tenants: random_items(random, tenant),
    }
}

fn sorted_by_label(mut configuration: Configuration) -> Configuration {
    configuration.routes.sort_by(|a, b| a.label.cmp(&b.label));
    configuration.services.sort_by(|a, b| a.label.cmp(&b.label));
    configuration.tenants.sort_by(|a, b| a.label.cmp(&b.label));
    configuration
}

#[test]
fn applying_a_difference_gives_the_new_configuration() {
    let mut random = fastrand::Rng::with_seed(3);
    for revision in 0..2000 {
        let old = random_configuration(&mut random, revision);
        let new = random_configuration(&mut random, revision + 1);
        let changes = difference(&old, &new);
        assert_eq!(sorted_by_label(apply(&old, &changes)), sorted_by_label(new));
    }
}

#[test]
fn changes_contain_only_items_that_differ() {
    let old = Configuration {
        revision: Revision(3),
        routes: vec![route(0, 0), route(1, 0), route(2, 0)],
        services: vec![service(0, 0)],
        caps: ClientLimits::default(),
        requires_key: true,
        tenants: vec![tenant(0, 0)],
    };
    let new = Configuration {
        revision: Revision(5),
        routes: vec![route(2, 0), route(1, 1), route(3, 0)],
        services: vec![service(0, 0), service(1, 0)],
        caps: ClientLimits::default(),
        requires_key: true,
        tenants: Vec::new(),
    };
    let expected = ConfigurationChanges {
        base: Revision(3),
        revision: Revision(5),
        routes: vec![route(1, 1), route(3, 0)],
        removed_routes: vec!["r0".to_owned()],
        services: vec![service(1, 0)],
        removed_services: Vec::new(),
        tenants: Vec::new(),
        removed_tenants: vec!["t0".to_owned()],
        caps: None,
        requires_key: None,
    };
    assert_eq!(difference(&old, &new), expected);
}

#[test]
fn equal_configurations_have_no_changes() {
    let configuration = random_configuration(&mut fastrand::Rng::with_seed(5), 4);
    let no_changes = ConfigurationChanges {
        base: Revision(4),
        revision: Revision(4),
        ..ConfigurationChanges::default()
    };
    assert_eq!(difference(&configuration, &configuration), no_changes);
    assert_eq!(apply(&configuration, &no_changes), configuration);
}

#[test]
fn changes_contain_changed_caps() {
    let old = Configuration::default();
    let caps = ClientLimits { idle_ms: 1, ..ClientLimits::default() };
    let new = Configuration { caps, ..Configuration::default() };
    let changes = difference(&old, &new);
    assert_eq!(changes.caps, Some(caps));
    assert_eq!(apply(&old, &changes).caps, caps);
}

#[test]
fn changes_contain_a_changed_requirement_of_keys() {
    for requires_key in [false, true] {
        let old = Configuration { requires_key: !requires_key, ..Configuration::default() };
        let new = Configuration { requires_key, ..Configuration::default() };
        let changes = difference(&old, &new);
        assert_eq!(changes.requires_key, Some(requires_key));
        assert_eq!(apply(&old, &changes), new);
    }
}

#[test]
fn changes_are_decoded_as_they_were_encoded() {
    let mut random = fastrand::Rng::with_seed(9);
    let changes = difference(&random_configuration(&mut random, 1), &random_configuration(&mut random, 2));
    let bytes = musli::wire::to_vec(&changes).expect("changes can be encoded");
    let decoded: ConfigurationChanges = musli::wire::from_slice(&bytes).expect("changes can be decoded");
    assert_eq!(decoded, changes);
}
