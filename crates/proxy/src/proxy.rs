//! The state that the tasks of the proxy share: configuration, replicas, load balancers, connection pool and budgets.
//!
//! [`crate::updates`] applies changes from the control plane and the settings.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tulipridge_configuration::ClientLimits;
use tulipridge_http1::Http1Limits;
use tulipridge_http1::codec::Head;
use tulipridge_protocol::feed::ModelRevision;
use tulipridge_runtime::settings::Settings;

use crate::active_configuration::{ActiveConfiguration, ConfigurationAge};
use crate::admission::{self, Routing};
use crate::bounds::{BodyBytes, ClientPermit, ResourceLimits, ResourceUsage, replica_limits};
use crate::counters::Counters;
use crate::freshness::FreshnessGate;
use crate::kv_cache::TransferPlanner;
use crate::lifecycle::Stage;
use crate::notify::Notify;
use crate::placement::Placement;
use crate::placement::budget::RetryAllowance;
use crate::placement::queued_work::QueuedWorkTable;
use crate::placement::urgency::Urgency;
use crate::replica::pool::ConnectionPool;
use crate::replica::replicas::{ReplicaTable, ZoneIndex};
use crate::replica::weights_expiry::{WeightsExpiry, WeightsExpiryWatch};
use crate::retry_budgets::RetryBudgets;
use crate::shutdown::Shutdown;
use crate::timer_queue::TimerQueue;

/// The state that all tasks of the process share, with a field for each part that keeps state of its own. All tasks run
/// on a single thread.
pub struct Proxy {
    /// Timers.
    pub timers: TimerQueue,
    /// Counters of requests, attempts and connections.
    pub counters: Counters,
    /// Connections to replicas.
    pub pool: ConnectionPool,
    /// The load balancers of all services.
    pub placement: Rc<RefCell<Placement>>,
    /// Plans transfers of KV cache.
    pub transfer_planner: RefCell<TransferPlanner>,
    /// The replicas.
    pub replicas: RefCell<ReplicaTable>,
    /// Priorities of requests.
    pub urgency: RefCell<Urgency>,
    /// The work that is queued at replicas.
    pub queued_work: Rc<QueuedWorkTable>,
    /// Open connections of clients and bytes of bodies, with their limits.
    pub usage: Rc<ResourceUsage>,
    /// The retry budgets of all services.
    pub retry_budgets: RetryBudgets,
    pub(crate) configuration: ActiveConfiguration,
    pub(crate) weights_expiry: WeightsExpiryWatch,
    pub(crate) zones: RefCell<ZoneIndex>,
    shutdown: Shutdown,
    random: RefCell<fastrand::Rng>,
}

impl Proxy {
    /// A proxy without configuration and replicas. `seed` seeds its random choices.
    #[must_use]
    pub fn new(settings: &Settings, seed: u64, age: ConfigurationAge) -> Rc<Proxy> {
        let limits = &settings.time_limits;
        let resource_limits = ResourceLimits::for_file_handles(settings.caps.file_handles);
        let mut zones = ZoneIndex::new(settings.zones.keys().cloned());
        let zone = zones.number(&settings.area);
        Rc::new(Proxy {
            timers: TimerQueue::default(),
            counters: Counters::default(),
            pool: ConnectionPool::new(resource_limits.replicas, replica_limits()),
            placement: Rc::new(RefCell::new(Placement::new(zone, seed))),
            transfer_planner: RefCell::default(),
            replicas: RefCell::default(),
            urgency: RefCell::default(),
            queued_work: Rc::default(),
            usage: Rc::new(ResourceUsage::new(resource_limits)),
            retry_budgets: RetryBudgets::new(RetryAllowance::of(limits)),
            configuration: ActiveConfiguration::new(FreshnessGate::of(limits), age),
            weights_expiry: WeightsExpiryWatch::new(WeightsExpiry::new(limits.revision_term())),
            zones: RefCell::new(zones),
            shutdown: Shutdown::default(),
            random: RefCell::new(fastrand::Rng::with_seed(seed)),
        })
    }

    /// The newest configuration, if it is fresh enough to admit a request with this head.
    pub fn routing_for(&self, head: &Head) -> Option<Rc<Routing>> {
        self.configuration.routing(admission::credentials(head))
    }

    /// The HTTP limits of clients' connections.
    pub fn client_limits(&self) -> Rc<Http1Limits> {
        self.configuration.client_limits()
    }

    /// The operator's caps on clients.
    pub fn caps(&self) -> ClientLimits {
        self.configuration.caps()
    }

    /// Whether the platform should send clients to this process.
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving
            && self.replicas.borrow().ready_count() > 0
            && self.configuration.is_fresh()
    }

    /// The next random number, from 0 up to but not including 1.
    pub fn random_fraction(&self) -> f64 {
        self.random.borrow_mut().f64()
    }

    /// A random nonce.
    pub fn random_nonce(&self) -> u128 {
        self.random.borrow_mut().u128(..)
    }

    /// Waits until requests that have not started on these weights must be cancelled.
    pub async fn weights_expired(&self, weights: &ModelRevision) {
        self.weights_expiry.expired(&self.timers, weights).await;
    }

    /// Begins a graceful shutdown, as on SIGTERM; the platform kills the process after `grace_period`.
    pub fn stop(&self, grace_period: Duration) {
        self.shutdown.begin(grace_period);
    }

    /// The stage of the process.
    pub fn stage(&self) -> Stage {
        self.shutdown.stage()
    }

    /// Raised at each change of the stage.
    pub fn stage_changed(&self) -> &Notify {
        self.shutdown.stage_changed()
    }

    /// Whether a request that may last for `time_left` from now on is still accepted.
    pub fn accepts_request(&self, time_left: Duration) -> bool {
        self.shutdown.accepts_request(time_left)
    }

    /// Runs the stages of a graceful shutdown. Returns once the process may end.
    pub async fn run_lifecycle(&self) {
        self.shutdown.run(&self.timers, &self.usage).await;
    }

    /// Counts a client's connection until the permit is dropped.
    pub fn client_permit(&self) -> ClientPermit {
        ClientPermit::new(&self.usage)
    }

    /// Counts the bytes of a request body until the counter is dropped.
    pub fn count_body_bytes(&self) -> BodyBytes {
        BodyBytes::new(&self.usage)
    }
}
