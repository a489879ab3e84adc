//! Routing: finds the route by host and path, the tenant by API key, and a service by weighted random choice.
//!
//! The time of a look-up depends on the length of the path but not on the number of routes.

use std::collections::HashMap;

use crate::model::{Configuration, Route};

/// Hash tables of a configuration's routes and API keys. Look-ups return indices into the configuration's lists.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    hosts: HashMap<String, HostRoutes>,
    traffic_splits: Vec<TrafficSplit>,
    tenants_by_key: HashMap<String, usize>,
}

impl RoutingTable {
    /// Builds the tables of a configuration.
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

    /// The index of a request's route: the one with the longest matching path prefix among the routes of the host.
    ///
    /// `host` is the value of the `Host` header, in any case and with or without a port. `target` is the request
    /// target, whose query is ignored. `None` if no route matches.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<usize> {
        self.routes_of(without_port(host))?.route_with_longest_prefix(path_of(target))
    }

    /// The index of the tenant that an API key belongs to; `None` for an unknown key. Keys are case-sensitive.
    #[must_use]
    pub fn tenant(&self, key: &str) -> Option<usize> {
        self.tenants_by_key.get(key).copied()
    }

    /// Picks a service of a route by weight. Returns its index in the route's `service_weights`.
    ///
    /// `fraction` is a random number from 0 to below 1; equal numbers pick the same service. `None` if the route is
    /// unknown or has no services.
    #[must_use]
    pub fn pick_service(&self, route_index: usize, fraction: f64) -> Option<usize> {
        self.traffic_splits.get(route_index)?.pick(fraction)
    }

    fn routes_of(&self, host: &str) -> Option<&HostRoutes> {
        match self.hosts.get(host) {
            Some(routes) => Some(routes),
            None => self.hosts.get(&host.to_ascii_lowercase()),
        }
    }
}

/// The routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    index_by_prefix: HashMap<String, usize>,
    max_prefix_bytes: usize,
}

impl HostRoutes {
    fn insert(&mut self, prefix: &str, index: usize) {
        self.max_prefix_bytes = self.max_prefix_bytes.max(prefix.len());
        self.index_by_prefix.insert(prefix.to_owned(), index);
    }

    /// Looks up the path's prefixes that end with a slash, longest first. Prefixes longer than those of all routes are
    /// skipped, so that a long path of slashes takes no more time than a short one.
    fn route_with_longest_prefix(&self, path: &str) -> Option<usize> {
        let mut rest = &path.as_bytes()[..path.len().min(self.max_prefix_bytes)];
        while let Some(slash) = rest.iter().rposition(|byte| *byte == b'/') {
            if let Some(index) = self.index_by_prefix.get(&path[..=slash]) {
                return Some(*index);
            }
            rest = &rest[..slash];
        }
        None
    }
}

/// The weights by which a route's requests are split among its services.
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
        let target_sum = fraction * total;
        let picked = self.cumulative_weights.partition_point(|sum| *sum <= target_sum);
        // Rounding may give an index past the end. The service at which the total is reached is the last one with a
        // weight above 0.
        let last_weighted = self.cumulative_weights.partition_point(|sum| *sum < total);
        Some(picked.min(last_weighted))
    }
}

/// Removes the port from the value of a `Host` header.
fn without_port(host: &str) -> &str {
    let host = host.trim();
    if host.starts_with('[') {
        return host.find(']').map_or(host, |end| &host[..=end]);
    }
    host.split_once(':').map_or(host, |(name, _port)| name)
}

/// The path of a request target, without query and fragment.
fn path_of(target: &str) -> &str {
    let end = target.find(['?', '#']).unwrap_or(target.len());
    &target[..end]
}
