//! Applies updates from the control plane and from reloaded settings to the proxy.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use tulipridge_configuration::Configuration;
use tulipridge_load_balancer::types::{ReplicaId, ReplicaWork};
use tulipridge_prefix_cache_index::Index;
use tulipridge_protocol::feed::{Replica, WeightsTable};
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::TimeLimits;

use crate::freshness::FreshnessGate;
use crate::placement::budget::RetryAllowance;
use crate::placement::placed_request;
use crate::proxy::Proxy;

impl Proxy {
    /// Applies the time limits of reloaded settings. If the retry allowance changes, all retry budgets are emptied.
    pub fn set_time_limits(&self, limits: &TimeLimits) {
        self.configuration.set_gate(FreshnessGate::of(limits));
        self.weights_expiry.set_term(limits.revision_term());
        self.retry_budgets.set_allowance(RetryAllowance::of(limits));
    }

    /// Applies a new version of the configuration.
    pub fn set_configuration(&self, configuration: Arc<Configuration>) {
        log::info!(
            revision = configuration.revision.0, routes = configuration.routes.len(),
            tenants = configuration.tenants.len();
            "configuration applied"
        );
        self.placement.borrow_mut().configure(&configuration);
        for service in &configuration.services {
            self.update_placement(&service.label);
        }
        let stores = configuration.services.iter().filter_map(|service| service.store_address.as_deref());
        self.transfer_planner
            .borrow_mut()
            .set_stores(stores.filter_map(|address| address.parse().ok()).collect());
        self.configuration.set(configuration);
    }

    /// Applies a new replica list. `weights` states which revisions of the model weights may still be used.
    pub fn set_fleet<'a>(&self, listed: impl IntoIterator<Item = &'a Replica>, weights: &WeightsTable) {
        let changed_services = {
            let mut zones = self.zones.borrow_mut();
            self.replicas.borrow_mut().update(listed, weights, &mut zones)
        };
        let replicas = self.replicas.borrow();
        self.pool.retain_replicas(|id| replicas.ready(id).is_some());
        drop(replicas);
        changed_services.iter().for_each(|service| self.update_placement(service));
        self.weights_expiry.update(weights, clock::now());
    }

    /// Applies a report of the work that all proxies together have queued at each replica.
    pub fn set_loads<'a>(&self, loads: impl IntoIterator<Item = (&'a Replica, u8)>) {
        let mut loads_by_service: BTreeMap<&str, Vec<ReplicaWork>> = BTreeMap::new();
        for (replica, work) in loads {
            let replica_work =
                ReplicaWork { replica: ReplicaId::from(replica.id.as_str()), work: work.into() };
            loads_by_service.entry(&replica.service).or_default().push(replica_work);
        }
        let mut placement = self.placement.borrow_mut();
        loads_by_service
            .into_iter()
            .for_each(|(service, loads)| placement.set_loads(placed_request::now(), service, loads));
    }

    /// Sets the number of proxies that share the fleet.
    pub fn set_proxy_count(&self, proxy_count: u32) {
        self.placement.borrow_mut().set_group_size(proxy_count);
        self.retry_budgets.set_proxy_count(proxy_count);
    }

    /// Stops sending requests to an incarnation whose address another incarnation has taken over.
    pub fn displace(&self, id: &ReplicaId) {
        let service = self.replicas.borrow_mut().displace(id);
        if let Some(service) = service {
            log::info!(replica = &*id.0; "a replica's address has gone to another one");
            self.pool.retain_replicas(|other| other != id);
            self.update_placement(&service);
        }
    }

    /// Sets the index of cached prefixes.
    pub fn set_index(&self, index: Rc<RefCell<Index>>) {
        self.transfer_planner.borrow_mut().set_index(index);
    }

    fn update_placement(&self, service: &str) {
        let members = self.replicas.borrow().members(service);
        self.placement.borrow_mut().set_replicas(placed_request::now(), service, members);
    }
}
