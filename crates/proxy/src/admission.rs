//! Admission of requests according to the configuration: whether a request is served, and by which service.

use std::rc::Rc;
use std::sync::Arc;

use tulipridge_configuration::lookup::RoutingTable;
use tulipridge_configuration::number::{Priority, WeightsRevision};
use tulipridge_configuration::{Configuration, Route, ServiceWeight, Tenant};
use tulipridge_http1::codec::Head;

use crate::freshness::Credentials;
use crate::kv_cache::CacheSalt;

/// A configuration with lookup tables for routes and tenants.
#[derive(Debug)]
pub struct Routing {
    /// The configuration.
    pub configuration: Arc<Configuration>,
    table: RoutingTable,
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route matches the host and path of the request.
    NoRoute,
    /// The route needs a key, and the request presents none or an unknown one.
    NoValidKey,
}

impl Denial {
    /// The status of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Denial::NoRoute => 404,
            Denial::NoValidKey => 401,
        }
    }
}

/// A request that may be served, with the configuration that admitted it.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    routing: Rc<Routing>,
    matched: RouteMatch,
    /// The index of the service in `service_weights` of the route.
    service_weight_index: usize,
}

/// The route and the tenant of a request, as indexes into the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RouteMatch {
    route: usize,
    tenant: Option<usize>,
}

impl Routing {
    /// Builds the lookup tables of a configuration.
    #[must_use]
    pub fn new(configuration: Arc<Configuration>) -> Rc<Routing> {
        let table = RoutingTable::new(&configuration);
        Rc::new(Routing { configuration, table })
    }

    /// Admits a request. `random_fraction`, from 0 up to but not including 1, selects one of the route's services by
    /// weight.
    ///
    /// # Errors
    /// If no route matches the host and path, or if the route needs a key and the request presents no known one.
    pub fn admit(self: &Rc<Self>, head: &Head, random_fraction: f64) -> Result<AdmittedRequest, Denial> {
        let matched = self.resolve(head)?;
        let service_weight_index =
            self.table.pick_service(matched.route, random_fraction).ok_or(Denial::NoRoute)?;
        Ok(AdmittedRequest { routing: self.clone(), matched, service_weight_index })
    }

    /// Looks up the route and the tenant of a request.
    fn resolve(&self, head: &Head) -> Result<RouteMatch, Denial> {
        let host = head.get("host").unwrap_or_default();
        let route = self.table.route(host, &head.start[1]).ok_or(Denial::NoRoute)?;
        let tenant = client_key(head).and_then(|key| self.table.tenant(key));
        let is_public = !self.configuration.requires_key || self.configuration.routes[route].public;
        if tenant.is_none() && !is_public {
            return Err(Denial::NoValidKey);
        }
        Ok(RouteMatch { route, tenant })
    }
}

impl AdmittedRequest {
    /// The route.
    #[must_use]
    pub fn route(&self) -> &Route {
        &self.routing.configuration.routes[self.matched.route]
    }

    /// The tenant that the client's key belongs to, if the request presents a known key.
    #[must_use]
    pub fn tenant(&self) -> Option<&Tenant> {
        self.matched.tenant.map(|tenant| &self.routing.configuration.tenants[tenant])
    }

    /// The service that the request goes to.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.route().service_weights[self.service_weight_index].service
    }

    /// The operator-set rank, 0 first: that of the tenant if it has one, otherwise that of the route.
    #[must_use]
    pub fn rank(&self) -> Priority {
        let tenant_rank = self.tenant().and_then(|tenant| tenant.rank);
        tenant_rank.unwrap_or(self.route().rank)
    }

    /// The cache salt for a replica with this revision of the weights. Requests share cached prefixes only under the
    /// same salt.
    #[must_use]
    pub fn cache_salt(&self, revision: WeightsRevision) -> CacheSalt {
        let isolated_tenant = self.tenant().filter(|tenant| tenant.isolated);
        CacheSalt::shared(revision, isolated_tenant.map(|tenant| tenant.label.as_str()))
    }

    /// Whether the newest configuration still handles the request in the same way: the same route for the same tenant,
    /// with the service still listed at a weight above 0.
    #[must_use]
    pub fn is_equivalent_under(&self, newest: &Rc<Routing>, head: &Head) -> bool {
        if Rc::ptr_eq(&self.routing, newest) {
            return true;
        }
        let Ok(matched) = newest.resolve(head) else { return false };
        let (newest_route, admitted_route) = (&newest.configuration.routes[matched.route], self.route());
        let tenant = matched.tenant.map(|tenant| &newest.configuration.tenants[tenant]);
        let is_admitted_service =
            |entry: &ServiceWeight| entry.service == self.service() && entry.weight > 0.0;
        newest_route.label == admitted_route.label
            && newest_route.kind == admitted_route.kind
            && newest_route.resumable == admitted_route.resumable
            && newest_route.service_weights.iter().any(is_admitted_service)
            && tenant.map(|tenant| (&tenant.label, tenant.isolated))
                == self.tenant().map(|tenant| (&tenant.label, tenant.isolated))
    }
}

/// Whether a request presents a key, known or unknown.
#[must_use]
pub fn credentials(head: &Head) -> Credentials {
    if client_key(head).is_some() { Credentials::Key } else { Credentials::None }
}

/// The key in the `Authorization: Token KEY` header of a request.
fn client_key(head: &Head) -> Option<&str> {
    let (scheme, key) = head.get("authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("token").then_some(key.trim())
}
