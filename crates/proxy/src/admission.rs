//! Whether a request may be served, and by which service, according to the configuration.

use std::rc::Rc;
use std::sync::Arc;

use tulipridge_configuration::lookup::RoutingTable;
use tulipridge_configuration::{Configuration, Route, Tenant};
use tulipridge_http1::codec::Head;

/// A configuration with its index.
#[derive(Debug)]
pub struct Routing {
    /// The configuration.
    pub configuration: Arc<Configuration>,
    table: RoutingTable,
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route has its host and path.
    NoRoute,
    /// It has no key that is known, and needs one.
    NoKey,
}

impl Denial {
    /// The status that says so.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Denial::NoRoute => 404,
            Denial::NoKey => 401,
        }
    }
}

/// A request that may be served.
#[derive(Clone, Debug)]
pub struct Admitted {
    routing: Rc<Routing>,
    route: usize,
    tenant: Option<usize>,
    share: usize,
}

impl Routing {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(configuration: Arc<Configuration>) -> Rc<Routing> {
        let table = RoutingTable::new(&configuration);
        Rc::new(Routing { configuration, table })
    }

    /// Judges a request; `chance` is a number from 0 up to 1 that picks the service by the route's shares.
    pub fn admit(self: &Rc<Self>, head: &Head, chance: f64) -> Result<Admitted, Denial> {
        let (route, tenant) = self.judge(head)?;
        let share = self.table.pick_service(route, chance).ok_or(Denial::NoRoute)?;
        Ok(Admitted { routing: self.clone(), route, tenant, share })
    }

    /// The route and the tenant of a request.
    fn judge(&self, head: &Head) -> Result<(usize, Option<usize>), Denial> {
        let host = head.get("host").unwrap_or_default();
        let route = self.table.route(host, &head.start[1]).ok_or(Denial::NoRoute)?;
        let tenant = key(head).and_then(|key| self.table.tenant(key));
        let is_open = !self.configuration.requires_key || self.configuration.routes[route].public;
        if tenant.is_none() && !is_open {
            return Err(Denial::NoKey);
        }
        Ok((route, tenant))
    }
}

impl Admitted {
    /// The route.
    #[must_use]
    pub fn route(&self) -> &Route {
        &self.routing.configuration.routes[self.route]
    }

    /// The tenant that holds the client's key.
    #[must_use]
    pub fn tenant(&self) -> Option<&Tenant> {
        self.tenant.map(|tenant| &self.routing.configuration.tenants[tenant])
    }

    /// The service that the request goes to.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.route().service_weights[self.share].service
    }

    /// The urgency that the operator has set, 0 first: the tenant's goes before the route's.
    #[must_use]
    pub fn rank(&self) -> u8 {
        let tenants = self.tenant().and_then(|tenant| tenant.rank);
        tenants.unwrap_or(self.route().rank)
    }

    /// Under which text a replica keeps what it reads for this request, at this revision of its weights.
    #[must_use]
    pub fn salt(&self, revision: u64) -> String {
        match self.tenant().filter(|tenant| tenant.isolated) {
            Some(tenant) => format!("m{revision}-t-{}", tenant.label),
            None => format!("m{revision}"),
        }
    }

    /// Whether a newer configuration still has the request handled alike: the same route and service for the same
    /// tenant.
    #[must_use]
    pub fn holds_under(&self, newest: &Rc<Routing>, head: &Head) -> bool {
        if Rc::ptr_eq(&self.routing, newest) {
            return true;
        }
        let Ok((route, tenant)) = newest.judge(head) else { return false };
        let (route, own) = (&newest.configuration.routes[route], self.route());
        let tenant = tenant.map(|tenant| &newest.configuration.tenants[tenant]);
        let leads_there = |share: &tulipridge_configuration::ServiceWeight| {
            share.service == self.service() && share.weight > 0.0
        };
        route.label == own.label
            && route.kind == own.kind
            && route.resumable == own.resumable
            && route.service_weights.iter().any(leads_there)
            && tenant.map(|tenant| (&tenant.label, tenant.isolated))
                == self.tenant().map(|tenant| (&tenant.label, tenant.isolated))
    }
}

/// The key that a client sent.
fn key(head: &Head) -> Option<&str> {
    let (scheme, key) = head.get("authorization")?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("token").then_some(key.trim())
}
