//! Finds what a request is about: its route by host and path, its tenant by key, and the service that it
//! goes to.
//!
//! A look-up takes time by the length of the path, whatever the number of routes.

use std::collections::HashMap;

use crate::model::{Configuration, Route};

/// Routes and keys of a configuration, indexed. Indices are positions in the configuration's own lists.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    hosts: HashMap<String, HostRoutes>,
    shares: Vec<ShareTable>,
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
            table.shares.push(ShareTable::new(route));
        }
        for (index, tenant) in configuration.tenants.iter().enumerate() {
            for key in &tenant.api_keys {
                table.tenants_by_key.insert(key.clone(), index);
            }
        }
        table
    }

    /// The route of a request: of the host's routes, the one with the longest prefix that begins the path.
    ///
    /// `host` is the `Host` header's value, in any case and with or without a port. `target` is the path; a
    /// query behind it is left out.
    #[must_use]
    pub fn route(&self, host: &str, target: &str) -> Option<usize> {
        self.routes_of(without_port(host))?.longest_prefix(path_of(target))
    }

    /// The tenant that holds a key.
    #[must_use]
    pub fn tenant(&self, key: &str) -> Option<usize> {
        self.tenants_by_key.get(key).copied()
    }

    /// Picks one of a route's shares by their weights. `u` is a number from 0 up to 1; equal numbers pick
    /// equal shares. The result is a position in the route's `shares`; none if the route is unknown or has
    /// no share.
    #[must_use]
    pub fn pick_share(&self, route: usize, u: f64) -> Option<usize> {
        self.shares.get(route)?.pick(u)
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
    longest: usize,
}

impl HostRoutes {
    fn insert(&mut self, prefix: &str, index: usize) {
        self.longest = self.longest.max(prefix.len());
        self.by_prefix.insert(prefix.to_owned(), index);
    }

    /// Tries the path's beginnings that end with a slash, the longest first. What is longer than every
    /// prefix is not tried, so that a long path of slashes costs no more than a short one.
    fn longest_prefix(&self, path: &str) -> Option<usize> {
        let mut rest = &path.as_bytes()[..path.len().min(self.longest)];
        while let Some(slash) = rest.iter().rposition(|byte| *byte == b'/') {
            if let Some(index) = self.by_prefix.get(&path[..=slash]) {
                return Some(*index);
            }
            rest = &rest[..slash];
        }
        None
    }
}

/// The sums of a route's weights, share by share.
#[derive(Clone, Debug, Default)]
struct ShareTable {
    sums: Vec<f64>,
}

impl ShareTable {
    fn new(route: &Route) -> Self {
        let mut sum = 0.0;
        let sums = route.shares.iter().map(|share| {
            sum += share.weight;
            sum
        });
        ShareTable { sums: sums.collect() }
    }

    fn pick(&self, u: f64) -> Option<usize> {
        let total = *self.sums.last()?;
        let wanted = u * total;
        let picked = self.sums.partition_point(|sum| *sum <= wanted);
        // Rounding may lead past the end; the share that reaches the total first is the last one with a
        // weight.
        let last_weighted = self.sums.partition_point(|sum| *sum < total);
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
