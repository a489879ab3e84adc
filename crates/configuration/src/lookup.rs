//! Routing: finds a request's route by host and path, its tenant by API key, and a service by weighted random choice.
//!
//! The time of a look-up depends on the length of the path, not on the number of routes.

use std::collections::HashMap;

use crate::model::{Configuration, Route};

/// An index of a configuration's routes and keys. All results are indices into the configuration's own lists.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    hosts: HashMap<String, HostRoutes>,
    traffic_splits: Vec<TrafficSplit>,
    tenants_by_key: HashMap<String, usize>,
}

impl RoutingTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = RoutingTable::default();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = table.hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(&route.path_prefix, index);
            table.traffic_splits.push(TrafficSplit::new(route));
        }
        for (index, tenant) in configuration.tenants.iter().enumerate() {
            for key in &tenant.api_keys {
                table.tenants_by_key.insert(key.clone(), index);
            }
        }
        table
    }

    /// The index of a request's route: of the host's routes, the one with the longest prefix of the path.
    ///
    /// `host` is the `Host` header's value, in any case and with or without a port. `target` is the request target; its
    /// query is ignored.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<usize> {
        self.routes_of(without_port(host))?.longest_prefix(path_of(target))
    }

    /// The index of the tenant with an API key.
    #[must_use]
    pub fn tenant(&self, key: &str) -> Option<usize> {
        self.tenants_by_key.get(key).copied()
    }

    /// Picks one of a route's services by their weights, as an index into the route's `service_weights`.
    ///
    /// `fraction` is a random number from 0 up to 1, exclusive; equal numbers pick equal services. None if the route is
    /// unknown or has no service.
    #[must_use]
    pub fn pick_service(&self, route: usize, fraction: f64) -> Option<usize> {
        self.traffic_splits.get(route)?.pick(fraction)
    }

    fn routes_of(&self, host: &str) -> Option<&HostRoutes> {
        match self.hosts.get(host) {
            Some(routes) => Some(routes),
            None => self.hosts.get(&host.to_ascii_lowercase()),
        }
    }
}

/// The routes of one host by their prefixes.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, usize>,
    longest_prefix_bytes: usize,
}

impl HostRoutes {
    fn insert(&mut self, prefix: &str, index: usize) {
        self.longest_prefix_bytes = self.longest_prefix_bytes.max(prefix.len());
        self.by_prefix.insert(prefix.to_owned(), index);
    }

    /// Looks up the path's prefixes that end with a slash, the longest first. Those longer than every route's prefix are
    /// skipped, so that a long path of slashes costs no more than a short one.
    fn longest_prefix(&self, path: &str) -> Option<usize> {
        let mut rest = &path.as_bytes()[..path.len().min(self.longest_prefix_bytes)];
        while let Some(slash) = rest.iter().rposition(|byte| *byte == b'/') {
            if let Some(index) = self.by_prefix.get(&path[..=slash]) {
                return Some(*index);
            }
            rest = &rest[..slash];
        }
        None
    }
}

/// The cumulative weights of a route's services.
#[derive(Clone, Debug, Default)]
struct TrafficSplit {
    cumulative_weights: Vec<f64>,
}

impl TrafficSplit {
    fn new(route: &Route) -> Self {
        let mut sum = 0.0;
        let sums = route.service_weights.iter().map(|entry| {
            sum += entry.weight;
            sum
        });
        TrafficSplit { cumulative_weights: sums.collect() }
    }

    fn pick(&self, fraction: f64) -> Option<usize> {
        let total = *self.cumulative_weights.last()?;
        let wanted = fraction * total;
        let picked = self.cumulative_weights.partition_point(|sum| *sum <= wanted);
        // Rounding may lead past the end; the service that reaches the total first is the last one with a weight above
        // 0.
        let last_weighted = self.cumulative_weights.partition_point(|sum| *sum < total);
        Some(picked.min(last_weighted))
    }
}

/// A `Host` header's value without its port.
fn without_port(host: &str) -> &str {
    let host = host.trim();
    if host.starts_with('[') {
        return host.find(']').map_or(host, |end| &host[..=end]);
    }
    host.split_once(':').map_or(host, |(name, _port)| name)
}

/// A request target's path, without its query.
fn path_of(target: &str) -> &str {
    let end = target.find(['?', '#']).unwrap_or(target.len());
    &target[..end]
}
