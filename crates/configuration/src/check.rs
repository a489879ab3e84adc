//! Reads the operator's configuration and checks it; all findings are reported together, each with its
//! place.
//!
//! The `schematic` crate was tried for this and left out: it stops at the first value of a wrong type,
//! can't check one list against another, and took about twice the time.

use std::collections::HashMap;

use crate::fields::{LABEL, REVISION, ROUTES, SERVICES, TENANTS};
use crate::findings::{Fault, Findings};
use crate::model::{
    Caps, Configuration, Labelled, Route, RouteKind, Service, ServiceRuntime, Share, Tenant,
};
use crate::wire::{
    Object, Whole, WireCaps, WireDocument, WireRoute, WireRuntime, WireService, WireShare, WireTenant,
};

const DEFAULT_HEALTH_PATH: &str = "/health";

/// The weight of a service that a route names alone.
const SOLE_WEIGHT: f64 = 1.0;

/// Reads and checks a whole configuration.
///
/// Values of a wrong type are reported before all else; what the values mean is checked once all have their
/// types.
pub fn configuration(bytes: &[u8]) -> Result<Configuration, Findings> {
    let document = WireDocument::read(bytes)?;
    let mut checker = Checker::default();
    let configuration = checker.configuration(document);
    checker.findings.or(configuration)
}

/// An item of one of the document's lists.
#[derive(Clone, Copy)]
struct ItemPlace {
    list: &'static str,
    index: usize,
}

impl ItemPlace {
    fn path(self) -> String {
        format!("{}[{}]", self.list, self.index)
    }

    fn field(self, name: &str) -> String {
        format!("{}[{}].{name}", self.list, self.index)
    }
}

/// What a route may meet under a service's label.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ServiceKind {
    Replicas,
    Store,
}

/// Turns the wire's form into the typed one and collects what is wrong. What it returns beside findings is
/// of no use.
#[derive(Default)]
struct Checker {
    findings: Findings,
    service_kinds: HashMap<String, ServiceKind>,
}

impl Checker {
    fn configuration(&mut self, document: WireDocument) -> Configuration {
        let revision = self.needed(document.revision, || REVISION.to_owned());
        let services = self.services(document.backends);
        let routes = self.routes(document.routes);
        let requires_key = document.customers.is_some();
        let tenants = self.tenants(document.customers);
        Configuration {
            revision,
            routes,
            services,
            caps: caps(document.caps.unwrap_or_default().0),
            requires_key,
            tenants,
        }
    }

    fn services(&mut self, services: Option<Vec<Object<WireService>>>) -> Vec<Service> {
        let wire = self.needed(services, || SERVICES.to_owned());
        let services = self.items(SERVICES, wire, Self::service);
        for service in &services {
            let kind = service.store_address.as_ref().map_or(ServiceKind::Replicas, |_| ServiceKind::Store);
            self.service_kinds.entry(service.label.clone()).or_insert(kind);
        }
        services
    }

    fn service(&mut self, place: ItemPlace, wire: WireService) -> Service {
        let event_calls =
            wire.max_calls.or(wire.runtime.as_ref().and_then(|Object(runtime)| runtime.max_calls));
        let default_health_path = || match wire.cache_store {
            Some(_) => String::new(),
            None => DEFAULT_HEALTH_PATH.to_owned(),
        };
        Service {
            label: self.text(place, LABEL, wire.label),
            health_path: wire.check_path.unwrap_or_else(default_health_path),
            connection_limit: wire.conn_limit.unwrap_or_default().to_u32(),
            runtime: wire.runtime.map(|Object(wire)| runtime(wire)),
            store_address: wire.cache_store,
            store_zone: wire.area,
            max_event_calls: event_calls.unwrap_or_default().to_u32(),
            store_tokens: wire.cache_tokens.unwrap_or_default().0,
        }
    }

    fn routes(&mut self, routes: Option<Vec<Object<WireRoute>>>) -> Vec<Route> {
        let wire = self.needed(routes, || ROUTES.to_owned());
        let routes = self.items(ROUTES, wire, Self::route);
        self.unique_places(&routes);
        routes
    }

    fn route(&mut self, place: ItemPlace, wire: WireRoute) -> Route {
        let time_limit_ms = self.time_limit(place, wire.time_limit_ms);
        Route {
            label: self.text(place, LABEL, wire.label),
            host: self.host(place, wire.hostname),
            path_prefix: self.path_prefix(place, wire.path_start),
            kind: wire.sort.map_or(RouteKind::Risky, |sort| sort.0),
            time_limit_ms,
            target_ms: wire.target_ms.map_or(time_limit_ms, |target| target.0),
            rank: wire.rank.unwrap_or_default().to_u8(),
            shares: self.shares(place, wire.backend, wire.shares),
            max_attempts: wire.tries.map_or(1, |tries| tries.to_u32().max(1)),
            public: wire.public.unwrap_or_default(),
            pinned: wire.pinned.unwrap_or_default(),
            resumable: wire.pick_up.unwrap_or_default(),
            gap_target_ms: wire.gap_aim_ms.unwrap_or_default().0,
        }
    }

    fn host(&mut self, place: ItemPlace, host: Option<String>) -> String {
        let mut host = self.text(place, "hostname", host);
        host.make_ascii_lowercase();
        host
    }

    fn time_limit(&mut self, place: ItemPlace, limit: Option<Whole>) -> u64 {
        let field = || place.field("timeLimitMs");
        if limit == Some(Whole(0)) {
            self.findings.add(field(), Fault::NoTime);
        }
        self.needed(limit, field).0
    }

    fn path_prefix(&mut self, place: ItemPlace, prefix: Option<String>) -> String {
        let field = || place.field("pathStart");
        if prefix.as_deref().is_some_and(|prefix| !(prefix.starts_with('/') && prefix.ends_with('/'))) {
            self.findings.add(field(), Fault::NoSlash);
        }
        self.needed(prefix, field)
    }

    /// A route's services: its `shares`, or else its `backend` alone.
    fn shares(
        &mut self,
        place: ItemPlace,
        sole: Option<String>,
        wire: Option<Vec<Object<WireShare>>>,
    ) -> Vec<Share> {
        if let Some(service) = &sole {
            self.target(service, || place.field("backend"));
        }
        match (sole, wire) {
            (_, Some(shares)) if !shares.is_empty() => self.split(place, shares),
            (Some(service), _) => vec![Share { service, weight: SOLE_WEIGHT }],
            (None, Some(_)) => {
                self.findings.add(place.field("shares"), Fault::NoWeight);
                Vec::new()
            }
            (None, None) => {
                self.findings.add(place.field("backend"), Fault::Missing);
                Vec::new()
            }
        }
    }

    fn split(&mut self, place: ItemPlace, wire: Vec<Object<WireShare>>) -> Vec<Share> {
        let mut shares = Vec::with_capacity(wire.len());
        for (index, Object(share)) in wire.into_iter().enumerate() {
            let field = |name: &str| place.field(&format!("shares[{index}].{name}"));
            let service = self.needed(share.backend, || field("backend"));
            if !service.is_empty() {
                self.target(&service, || field("backend"));
            }
            let weight = self.needed(share.share, || field("share"));
            if !(weight.is_finite() && weight >= 0.0) {
                self.findings.add(field("share"), Fault::BadWeight);
            }
            shares.push(Share { service, weight });
        }
        let sum: f64 = shares.iter().map(|share| share.weight).sum();
        if !(sum.is_finite() && sum > 0.0) {
            self.findings.add(place.field("shares"), Fault::NoWeight);
        }
        shares
    }

    /// A route may lead only to a service that has replicas.
    fn target(&mut self, service: &str, place: impl FnOnce() -> String) {
        let service_name = || service.to_owned();
        let fault = match self.service_kinds.get(service) {
            Some(ServiceKind::Replicas) => return,
            Some(ServiceKind::Store) => Fault::StoreAsTarget { service: service_name() },
            None => Fault::UnknownService { service: service_name() },
        };
        self.findings.add(place(), fault);
    }

    fn unique_places(&mut self, routes: &[Route]) {
        let mut first_at: HashMap<(&str, &str), usize> = HashMap::with_capacity(routes.len());
        for (index, route) in routes.iter().enumerate() {
            if route.host.is_empty() || route.path_prefix.is_empty() {
                continue;
            }
            let first = *first_at.entry((&route.host, &route.path_prefix)).or_insert(index);
            if first != index {
                let other = ItemPlace { list: ROUTES, index: first }.path();
                self.findings.add(ItemPlace { list: ROUTES, index }.path(), Fault::SamePlace { other });
            }
        }
    }

    fn tenants(&mut self, tenants: Option<Vec<Object<WireTenant>>>) -> Vec<Tenant> {
        let tenants = self.items(TENANTS, tenants.unwrap_or_default(), Self::tenant);
        self.unique_keys(&tenants);
        tenants
    }

    fn tenant(&mut self, place: ItemPlace, wire: WireTenant) -> Tenant {
        Tenant {
            label: self.text(place, LABEL, wire.label),
            api_keys: wire.api_keys.unwrap_or_default(),
            rank: wire.rank.map(Whole::to_u8),
            isolated: wire.isolated.unwrap_or_default(),
        }
    }

    /// No two tenants may hold the same key. The findings don't show keys.
    fn unique_keys(&mut self, tenants: &[Tenant]) {
        let mut holders: HashMap<&str, usize> = HashMap::new();
        for (index, tenant) in tenants.iter().enumerate() {
            for (key_index, key) in tenant.api_keys.iter().enumerate() {
                let first = *holders.entry(key).or_insert(index);
                if first != index {
                    let place = ItemPlace { list: TENANTS, index }.field(&format!("apiKeys[{key_index}]"));
                    self.findings.add(place, Fault::SharedKey { other: tenants[first].label.clone() });
                }
            }
        }
    }

    /// Reads the items of a list, whose labels must be unique.
    fn items<W, T: Labelled>(
        &mut self,
        list: &'static str,
        wire: Vec<Object<W>>,
        read: fn(&mut Self, ItemPlace, W) -> T,
    ) -> Vec<T> {
        let mut items = Vec::with_capacity(wire.len());
        for (index, Object(item)) in wire.into_iter().enumerate() {
            items.push(read(self, ItemPlace { list, index }, item));
        }
        self.unique_labels(list, &items);
        items
    }

    fn unique_labels<T: Labelled>(&mut self, list: &'static str, items: &[T]) {
        let mut first_at: HashMap<&str, usize> = HashMap::new();
        let labels = items.iter().map(Labelled::label).enumerate();
        for (index, label) in labels.filter(|(_, label)| !label.is_empty()) {
            let first = *first_at.entry(label).or_insert(index);
            if first != index {
                let other = ItemPlace { list, index: first }.path();
                self.findings.add(ItemPlace { list, index }.field(LABEL), Fault::SameLabel { other });
            }
        }
    }

    /// A text that must be there and not be empty.
    fn text(&mut self, place: ItemPlace, field: &str, value: Option<String>) -> String {
        if value.as_deref() == Some("") {
            self.findings.add(place.field(field), Fault::Empty);
        }
        self.needed(value, || place.field(field))
    }

    fn needed<T: Default>(&mut self, value: Option<T>, place: impl FnOnce() -> String) -> T {
        if value.is_none() {
            self.findings.add(place(), Fault::Missing);
        }
        value.unwrap_or_default()
    }
}

fn runtime(wire: WireRuntime) -> ServiceRuntime {
    let models = wire.llms.unwrap_or_default();
    ServiceRuntime {
        capacity: wire.capacity.unwrap_or_default().to_u32(),
        cache_tokens: wire.cache_tokens.unwrap_or_default().0,
        cache_token_bytes: wire.cache_token_bytes.unwrap_or_default().0,
        bandwidth_mbps: wire.bandwidth_mbps.unwrap_or_default(),
        models: models.into_iter().filter_map(|Object(model)| model.label).collect(),
    }
}

fn caps(wire: WireCaps) -> Caps {
    let default = Caps::default();
    let or = |value: Option<Whole>, default: u64| value.map_or(default, |value| value.0);
    Caps {
        head_bytes: or(wire.head_size_bytes, default.head_bytes),
        body_bytes: or(wire.body_size_bytes, default.body_bytes),
        head_wait_ms: or(wire.head_wait_ms, default.head_wait_ms),
        idle_ms: or(wire.quiet_ms, default.idle_ms),
    }
}
