//! What all requests share: the routing table, the replicas, the decision modules and the connections to replicas.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tulipridge_configuration::{Caps, Configuration};
use tulipridge_http1::Http1Limits;
use tulipridge_load_balancer::types::{ReplicaId, ReplicaWork};
use tulipridge_protocol::feed::{ModelRevision, Replica, WeightsTable};
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::{Settings, TimeLimits};

use crate::admission::Routing;
use crate::alarms::Alarms;
use crate::bounds::{Bounds, ClientPlace, HeldBytes, Usage, client_limits, replica_limits};
use crate::counters::Counters;
use crate::freshness::FreshnessGate;
use crate::kv_cache::KvDirectory;
use crate::lifecycle::{Lifecycle, Stage};
use crate::notice::Notice;
use crate::placement::Placement;
use crate::placement::budget::{RetryAllowance, RetryBudget};
use crate::placement::placed_request;
use crate::placement::urgency::Urgency;
use crate::placement::work::WorkLedger;
use crate::replica::expiry::Expiry;
use crate::replica::pool::Pool;
use crate::replica::replicas::{Replicas, ZoneIndex};

/// Tells how long ago the configuration was known to be the newest.
pub type Age = Box<dyn Fn() -> Option<Duration>>;

/// The state of the proxy, which all tasks of its one thread share.
pub struct Proxy {
    /// Time-outs.
    pub alarms: Alarms,
    /// Counts of what was done.
    pub counters: Counters,
    /// Connections to replicas.
    pub pool: Pool,
    /// The decision modules.
    pub placement: Rc<RefCell<Placement>>,
    /// Where KV cache may be taken from.
    pub kv: RefCell<KvDirectory>,
    /// The replicas.
    pub replicas: RefCell<Replicas>,
    /// Raised when the stage of life changes.
    pub stage_changed: Notice,
    /// The urgency that replicas are told.
    pub urgency: RefCell<Urgency>,
    /// The work that waits at replicas.
    pub work: Rc<WorkLedger>,
    /// What is in use of what the process may use.
    pub usage: Rc<Usage>,
    routing: RefCell<Option<Rc<Routing>>>,
    client_limits: RefCell<Rc<Http1Limits>>,
    budgets: RefCell<BTreeMap<String, RetryBudget>>,
    expiry: RefCell<Expiry>,
    expiry_changed: Notice,
    gateways: Cell<u32>,
    allowance: Cell<RetryAllowance>,
    zones: RefCell<ZoneIndex>,
    lifecycle: RefCell<Lifecycle>,
    gate: Cell<FreshnessGate>,
    age: Age,
    random: RefCell<fastrand::Rng>,
}

impl Proxy {
    /// A proxy that knows nothing yet. `seed` makes its chances its own.
    #[must_use]
    pub fn new(settings: &Settings, seed: u64, age: Age) -> Rc<Proxy> {
        let limits = &settings.time_limits;
        let bounds = Bounds::of(settings.caps.file_handles);
        let mut zones = ZoneIndex::new(settings.zones.keys().cloned());
        let zone = zones.number(&settings.area);
        Rc::new(Proxy {
            alarms: Alarms::default(),
            counters: Counters::default(),
            pool: Pool::new(bounds.replicas, replica_limits()),
            placement: Rc::new(RefCell::new(Placement::new(zone, seed))),
            kv: RefCell::default(),
            urgency: RefCell::default(),
            work: Rc::default(),
            replicas: RefCell::default(),
            stage_changed: Notice::default(),
            usage: Rc::new(Usage::new(bounds)),
            routing: RefCell::default(),
            client_limits: RefCell::new(Rc::new(client_limits(&Caps::default()))),
            budgets: RefCell::default(),
            expiry: RefCell::new(Expiry::new(limits.revision_term())),
            expiry_changed: Notice::default(),
            gateways: Cell::new(0),
            allowance: Cell::new(RetryAllowance::of(limits)),
            zones: RefCell::new(zones),
            lifecycle: RefCell::default(),
            gate: Cell::new(FreshnessGate::of(limits)),
            age,
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
        })
    }

    // ---- what the settings and the control plane tell ---------------------------------------------------

    /// Takes over the figures of the rules from newer settings. Budgets begin anew if their allowance has
    /// changed.
    pub fn set_time_limits(&self, limits: &TimeLimits) {
        self.gate.set(FreshnessGate::of(limits));
        self.expiry.borrow_mut().set_term(limits.revision_term());
        let allowance = RetryAllowance::of(limits);
        if self.allowance.replace(allowance) != allowance {
            self.budgets.borrow_mut().clear();
        }
    }

    /// Takes over a configuration.
    pub fn set_configuration(&self, configuration: Arc<Configuration>) {
        log::info!(
            revision = configuration.revision, routes = configuration.routes.len(),
            tenants = configuration.tenants.len();
            "configuration applied"
        );
        self.placement.borrow_mut().configure(&configuration);
        for service in &configuration.services {
            self.set_members(&service.label);
        }
        let stores = configuration.services.iter().filter_map(|service| service.store_address.as_deref());
        self.kv.borrow_mut().set_stores(stores.filter_map(|address| address.parse().ok()).collect());
        *self.client_limits.borrow_mut() = Rc::new(client_limits(&configuration.caps));
        *self.routing.borrow_mut() = Some(Routing::new(configuration));
    }

    /// Takes over the table of replicas, judged by the table of weights.
    pub fn set_fleet<'a>(&self, lines: impl IntoIterator<Item = &'a Replica>, weights: &WeightsTable) {
        let changed = {
            let mut zones = self.zones.borrow_mut();
            self.replicas.borrow_mut().update(lines, weights, &mut zones)
        };
        let replicas = self.replicas.borrow();
        self.pool.keep_only(|id| replicas.ready(id).is_some());
        drop(replicas);
        changed.iter().for_each(|service| self.set_members(service));
        if self.expiry.borrow_mut().take(weights, clock::now()) {
            self.expiry_changed.raise();
        }
    }

    /// Takes over how much work of all gateways waits at replicas.
    pub fn set_loads<'a>(&self, loads: impl IntoIterator<Item = (&'a Replica, u8)>) {
        let mut by_service: BTreeMap<&str, Vec<ReplicaWork>> = BTreeMap::new();
        for (replica, work) in loads {
            let load = ReplicaWork { replica: ReplicaId::from(replica.id.as_str()), work: work.into() };
            by_service.entry(&replica.service).or_default().push(load);
        }
        let mut placement = self.placement.borrow_mut();
        by_service
            .into_iter()
            .for_each(|(service, loads)| placement.set_loads(placed_request::now(), service, loads));
    }

    /// Ready once requests that have not begun on these weights are to be called off.
    pub async fn outdated(&self, weights: &ModelRevision) {
        loop {
            let changed = self.expiry_changed.changed();
            let call_off_at = self.expiry.borrow().call_off_at(weights);
            match call_off_at {
                Some(at) => return self.alarms.after(at.saturating_sub(clock::now())).await,
                None => changed.await,
            }
        }
    }

    /// Takes over how many gateways there are.
    pub fn set_gateways(&self, gateways: u32) {
        self.gateways.set(gateways);
        self.placement.borrow_mut().set_group_size(gateways);
        self.budgets.borrow_mut().values_mut().for_each(|budget| budget.set_gateways(gateways));
    }

    /// A replica's address has gone to another one.
    pub fn displace(&self, id: &tulipridge_load_balancer::types::ReplicaId) {
        let service = self.replicas.borrow_mut().displace(id);
        if let Some(service) = service {
            log::info!(replica = &*id.0; "a replica's address has gone to another one");
            self.pool.keep_only(|other| other != id);
            self.set_members(&service);
        }
    }

    fn set_members(&self, service: &str) {
        let members = self.replicas.borrow().members(service);
        self.placement.borrow_mut().set_members(placed_request::now(), service, members);
    }

    /// Looks into this index of kept prompts from now on.
    pub fn set_index(&self, index: Rc<RefCell<tulipridge_prefix_cache_index::Index>>) {
        self.kv.borrow_mut().set_index(index);
    }

    // ---- judgements ---------------------------------------------------------------------------------------

    /// The newest configuration, if it is fresh enough to judge requests by.
    pub fn routing(&self) -> Option<Rc<Routing>> {
        let routing = self.routing.borrow();
        routing.as_ref().filter(|_| self.gate.get().is_open((self.age)())).cloned()
    }

    /// Whether the platform should send clients here.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving
            && self.replicas.borrow().ready_count() > 0
            && self.routing().is_some()
    }

    /// A random number from 0 up to 1, another one each time.
    pub fn chance(&self) -> f64 {
        self.random.borrow_mut().f64()
    }

    /// The limits that connections of clients keep to.
    pub fn client_limits(&self) -> Rc<Http1Limits> {
        self.client_limits.borrow().clone()
    }

    /// The caps on clients.
    pub fn caps(&self) -> Caps {
        self.routing.borrow().as_ref().map_or_else(Caps::default, |routing| routing.configuration.caps)
    }

    // ---- the budget of repeated sends ---------------------------------------------------------------------

    /// Whether a service's budget allows a repeated send.
    pub fn may_repeat(&self, service: &str) -> bool {
        self.budgets.borrow().get(service).is_some_and(RetryBudget::has_token)
    }

    /// Takes a repeated send from a service's budget; false if there is none left.
    pub fn take_repeat(&self, service: &str) -> bool {
        self.budgets.borrow_mut().get_mut(service).is_some_and(RetryBudget::take)
    }

    /// Counts a request's first send.
    pub fn count_first_send(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            return budget.first_send();
        }
        let mut budget = RetryBudget::new(self.allowance.get());
        if self.gateways.get() > 0 {
            budget.set_gateways(self.gateways.get());
        }
        budget.first_send();
        budgets.insert(service.to_owned(), budget);
    }

    // ---- life ---------------------------------------------------------------------------------------------

    /// SIGTERM came.
    pub fn stop(&self, leeway: Duration) {
        self.lifecycle.borrow_mut().stop(clock::now(), leeway);
        self.stage_changed.raise();
    }

    /// The stage of life.
    pub fn stage(&self) -> Stage {
        self.lifecycle.borrow().stage(clock::now())
    }

    /// Whether a request that has come whole is still taken, given how long it may last from now.
    pub fn takes_request(&self, time_left: Duration) -> bool {
        let now = clock::now();
        self.lifecycle.borrow().takes_request(now, now + time_left)
    }

    /// Tells of each change of the stage; ends once the process may end.
    pub async fn run_lifecycle(&self) {
        loop {
            let now = clock::now();
            if self.lifecycle.borrow().may_end(now, self.usage.open_clients()) {
                return;
            }
            let next = self.lifecycle.borrow().next_change(now);
            let change = async {
                match next {
                    Some(at) => self.alarms.after(at.saturating_sub(now)).await,
                    None => self.stage_changed.changed().await,
                }
            };
            let client_left = async {
                match next {
                    Some(_) => self.usage.client_left.changed().await,
                    None => futures_lite::future::pending().await,
                }
            };
            futures_lite::future::or(change, client_left).await;
            if next.is_some_and(|at| clock::now() >= at) {
                self.stage_changed.raise();
            }
        }
    }

    // ---- bounds -------------------------------------------------------------------------------------------

    /// A place for a client's connection, given back when it is dropped.
    pub fn client_place(&self) -> ClientPlace {
        ClientPlace::new(&self.usage)
    }

    /// Bytes of a body, counted until they are dropped.
    pub fn held_bytes(&self) -> HeldBytes {
        HeldBytes::new(&self.usage)
    }
}
