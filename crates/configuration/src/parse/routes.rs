//! Parsing of routes and of their services and weights.

use std::collections::HashMap;

use super::{ItemPath, Parser, ServiceKind};
use crate::fields::{LABEL, ROUTES};
use crate::json::{JsonRoute, JsonServiceWeight, Object, UnsignedNumber};
use crate::model::{Route, RouteKind, ServiceWeight};
use crate::number::Priority;
use crate::validation_error::ValidationErrorKind;

/// Weight of a route's only service, given as `backend`.
const SOLE_SERVICE_WEIGHT: f64 = 1.0;

// Names of JSON fields of a route.
const HOSTNAME: &str = "hostname";
const PATH_START: &str = "pathStart";
const TIME_LIMIT: &str = "timeLimitMs";
const BACKEND: &str = "backend";
const SHARES: &str = "shares";
const SHARE: &str = "share";

impl Parser {
    pub(super) fn routes(&mut self, routes: Option<Vec<Object<JsonRoute>>>) -> Vec<Route> {
        let json_routes = self.required(routes, || ROUTES.to_owned());
        let routes = self.items(ROUTES, json_routes, Self::route);
        self.check_unique_prefixes(&routes);
        routes
    }

    fn route(&mut self, item: ItemPath, json: JsonRoute) -> Route {
        let time_limit_ms = self.time_limit(item, json.time_limit_ms);
        Route {
            label: self.non_empty_string(item, LABEL, json.label),
            host: self.host(item, json.hostname),
            path_prefix: self.path_prefix(item, json.path_start),
            kind: json.sort.map_or(RouteKind::NonIdempotent, |kind| kind.0),
            time_limit_ms,
            target_ms: json.target_ms.map_or(time_limit_ms, |target| target.0),
            rank: Priority(json.rank.unwrap_or_default().saturating_to_u8()),
            service_weights: self.service_weights(item, json.backend, json.shares),
            max_attempts: json.tries.map_or(1, |attempts| attempts.saturating_to_u32().max(1)),
            public: json.public.unwrap_or_default(),
            pinned: json.pinned.unwrap_or_default(),
            resumable: json.pick_up.unwrap_or_default(),
            gap_target_ms: json.gap_aim_ms.unwrap_or_default().0,
        }
    }

    fn host(&mut self, item: ItemPath, host: Option<String>) -> String {
        let mut host = self.non_empty_string(item, HOSTNAME, host);
        host.make_ascii_lowercase();
        host
    }

    fn time_limit(&mut self, item: ItemPath, limit: Option<UnsignedNumber>) -> u64 {
        let path = || item.field(TIME_LIMIT);
        if limit == Some(UnsignedNumber(0)) {
            self.errors.add(path(), ValidationErrorKind::ZeroTimeLimit);
        }
        self.required(limit, path).0
    }

    fn path_prefix(&mut self, item: ItemPath, prefix: Option<String>) -> String {
        let path = || item.field(PATH_START);
        if prefix.as_deref().is_some_and(|prefix| !(prefix.starts_with('/') && prefix.ends_with('/'))) {
            self.errors.add(path(), ValidationErrorKind::MissingSlash);
        }
        self.required(prefix, path)
    }

    /// A route's services with their weights. A non-empty list of `shares` takes precedence over `backend`.
    fn service_weights(
        &mut self,
        item: ItemPath,
        sole_service: Option<String>,
        shares: Option<Vec<Object<JsonServiceWeight>>>,
    ) -> Vec<ServiceWeight> {
        if let Some(service) = &sole_service {
            self.check_routable(service, || item.field(BACKEND));
        }
        match (sole_service, shares) {
            (_, Some(shares)) if !shares.is_empty() => self.traffic_split(item, shares),
            (Some(service), _) => vec![ServiceWeight { service, weight: SOLE_SERVICE_WEIGHT }],
            (None, Some(_)) => {
                self.errors.add(item.field(SHARES), ValidationErrorKind::ZeroWeights);
                Vec::new()
            }
            (None, None) => {
                self.errors.add(item.field(BACKEND), ValidationErrorKind::Missing);
                Vec::new()
            }
        }
    }

    fn traffic_split(
        &mut self,
        item: ItemPath,
        shares: Vec<Object<JsonServiceWeight>>,
    ) -> Vec<ServiceWeight> {
        let mut weights = Vec::with_capacity(shares.len());
        for (index, Object(share)) in shares.into_iter().enumerate() {
            weights.push(self.service_weight(item, index, share));
        }
        let sum: f64 = weights.iter().map(|entry| entry.weight).sum();
        if !(sum.is_finite() && sum > 0.0) {
            self.errors.add(item.field(SHARES), ValidationErrorKind::ZeroWeights);
        }
        weights
    }

    fn service_weight(&mut self, item: ItemPath, index: usize, json: JsonServiceWeight) -> ServiceWeight {
        let path = |name: &str| item.field(&format!("{SHARES}[{index}].{name}"));
        if let Some(service) = &json.backend {
            self.check_routable(service, || path(BACKEND));
        }
        let service = self.required(json.backend, || path(BACKEND));
        let weight = self.required(json.share, || path(SHARE));
        if !(weight.is_finite() && weight >= 0.0) {
            self.errors.add(path(SHARE), ValidationErrorKind::InvalidWeight);
        }
        ServiceWeight { service, weight }
    }

    /// Reports a route to an unknown service or to a KV cache store.
    fn check_routable(&mut self, service: &str, path: impl FnOnce() -> String) {
        let error = match self.service_kinds.get(service) {
            Some(ServiceKind::Replicas) => return,
            Some(ServiceKind::Store) => ValidationErrorKind::RoutedToStore { service: service.to_owned() },
            None => ValidationErrorKind::UnknownService { service: service.to_owned() },
        };
        self.errors.add(path(), error);
    }

    /// Reports routes with the same host and path prefix as an earlier one.
    fn check_unique_prefixes(&mut self, routes: &[Route]) {
        let mut first_index_by_prefix: HashMap<(&str, &str), usize> = HashMap::with_capacity(routes.len());
        for (index, route) in routes.iter().enumerate() {
            if route.host.is_empty() || route.path_prefix.is_empty() {
                continue;
            }
            let first = *first_index_by_prefix.entry((&route.host, &route.path_prefix)).or_insert(index);
            if first != index {
                let other = ItemPath { list: ROUTES, index: first }.path();
                let path = ItemPath { list: ROUTES, index }.path();
                self.errors.add(path, ValidationErrorKind::DuplicateRoute { other });
            }
        }
    }
}
