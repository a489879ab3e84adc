//! Publishes the delivered state to agents and to the other members.
//!
//! The primary writes the state, and every other member is a relay that subscribes to the primary's feed. All members
//! publish their state together with its age: the time since it was last known to be the newest.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use tulipridge_configuration::Configuration;
use tulipridge_configuration::number::Revision;
use tulipridge_prefix_cache_index::{CacheUpdate, SourceStatus};
use tulipridge_protocol::feed::{ClusterMembership, ControlNode, ModelWeights, Replica, SubscriberRole};
use tulipridge_protocol::number::Epoch;
use tulipridge_runtime::clock;
use tulipridge_subscription::{FeedStore, Publisher, Subscriber, SubscriberIdentity};

use crate::api::{IndexSize, ReplicaWeights};
use crate::tenure::Tenure;

/// The member's knowledge of who is primary.
pub trait PrimaryTracker {
    /// Whether this member is the primary within its lease and has applied everything committed before its current
    /// epoch.
    fn confirms_freshness(&self) -> bool;
    /// The address of the primary, if it is another member from which a heartbeat was received recently.
    fn primary(&self) -> Option<Ipv4Addr>;
}

/// The feed of a member: the state, the publisher that serves it, and the subscription to the primary's feed.
pub struct MemberFeed {
    primary_tracker: Rc<dyn PrimaryTracker>,
    feed_port: u16,
    store: Rc<RefCell<FeedStore>>,
    publisher: Rc<Publisher>,
    subscriber: Rc<Subscriber>,
    /// The feed that was selected last: that of the primary, or `None` if no other member was known to be primary.
    selected_feed: Cell<Option<SocketAddr>>,
}

impl MemberFeed {
    /// Creates the feed of the member `name` in `zone`. All members serve their feeds at the same port, `feed_port`.
    pub fn new(
        name: String,
        zone: String,
        feed_port: u16,
        primary_tracker: Rc<dyn PrimaryTracker>,
    ) -> Rc<MemberFeed> {
        let store = Rc::new(RefCell::new(FeedStore::new()));
        let identity = SubscriberIdentity { name, zone, role: SubscriberRole::Relay };
        let subscriber = Subscriber::new(identity, store.clone());
        let publisher =
            Publisher::new(store.clone(), state_age(primary_tracker.clone(), subscriber.clone()));
        let notified_publisher = publisher.clone();
        subscriber.on_change(Box::new(move |_| notified_publisher.notify_subscribers()));
        // The publisher owns this callback, so a strong reference would be a cycle and leak the publisher.
        let weak_publisher = Rc::downgrade(&publisher);
        let reporting_subscriber = subscriber.clone();
        publisher.on_queued_work(move || {
            if let Some(publisher) = weak_publisher.upgrade() {
                reporting_subscriber.set_queued_work(publisher.queued_work());
            }
        });
        let selected_feed = Cell::new(None);
        Rc::new(MemberFeed { primary_tracker, feed_port, store, publisher, subscriber, selected_feed })
    }

    /// Serves subscribers on `listener`; does not return.
    pub async fn serve(&self, listener: Async<TcpListener>, executor: &LocalExecutor<'_>) {
        self.publisher.clone().serve(listener, executor).await;
    }

    /// Subscribes to the primary's feed while the primary is another member; does not return.
    pub async fn follow(self: Rc<Self>) {
        let member_feed = self.clone();
        self.subscriber.clone().run(move |_| member_feed.select_feed()).await;
    }

    fn select_feed(&self) -> Option<SocketAddr> {
        let feed = self.primary_feed();
        self.selected_feed.set(feed);
        feed
    }

    fn primary_feed(&self) -> Option<SocketAddr> {
        self.primary_tracker.primary().map(|ip| SocketAddr::from((ip, self.feed_port)))
    }

    /// Reports the number of gateways served here to the primary, and selects another feed if the primary has
    /// changed.
    pub fn review(&self) {
        self.subscriber.set_gateway_count(self.publisher.gateway_count());
        let feed = self.primary_feed();
        // While no primary is known, the subscription to the last one is kept, because its messages contain the age
        // of the state.
        let knows_primary = feed.is_some() || self.primary_tracker.confirms_freshness();
        if knows_primary && feed != self.selected_feed.get() {
            self.subscriber.reselect();
        }
    }

    /// Delivers a configuration.
    pub fn set_configuration(&self, configuration: Arc<Configuration>) {
        let has_changed = self.store.borrow_mut().set_configuration(configuration);
        self.notify_if_changed(has_changed);
    }

    /// Delivers the table of replicas, as primary of `epoch`.
    pub fn set_fleet(&self, epoch: Epoch, replicas: Vec<Replica>) {
        let has_changed = self.store.borrow_mut().set_fleet(epoch, replicas);
        self.notify_if_changed(has_changed);
    }

    /// The table of replicas that an earlier primary delivered, or `None` once a table was delivered in `tenure`.
    pub fn inherited_fleet(&self, tenure: Tenure) -> Option<Vec<Replica>> {
        let store = self.store.borrow();
        (store.fleet_position().epoch < tenure.0).then(|| store.fleet().cloned().collect())
    }

    /// Delivers the table of weights, as primary of `epoch`.
    pub fn set_weights(&self, epoch: Epoch, weights: Vec<ModelWeights>) {
        let has_changed = self.store.borrow_mut().set_weights(epoch, weights);
        self.notify_if_changed(has_changed);
    }

    /// Delivers updates of the prefix-cache index, as primary of `epoch`.
    pub fn update_cache_index(&self, epoch: Epoch, updates: &[CacheUpdate]) {
        let has_changed = self.store.borrow_mut().update_cache_index(epoch, updates);
        self.notify_if_changed(has_changed);
    }

    /// Delivers the work queued at replicas that the gateways have reported, as primary of `epoch`.
    pub fn deliver_loads(&self, epoch: Epoch) {
        let has_changed = self.store.borrow_mut().set_loads(epoch, &self.publisher.queued_work());
        self.notify_if_changed(has_changed);
    }

    /// The work queued at each replica, by replica id, as last delivered. The unit is
    /// [`WORK_UNIT_TOKENS`](tulipridge_protocol::feed::WORK_UNIT_TOKENS); each request counts as at least one.
    pub fn queued_work(&self) -> BTreeMap<String, u32> {
        let store = self.store.borrow();
        let loads = store.loads().into_iter().flatten();
        loads.map(|(replica, waiting)| (replica.id.clone(), waiting.into())).collect()
    }

    /// The status of a source of cache events, or `None` if it is not in the index.
    pub fn source_status(&self, source: SocketAddrV4) -> Option<SourceStatus> {
        self.store.borrow().cache_index().borrow().status(source)
    }

    /// The sources of cache events that are in the index.
    pub fn known_sources(&self) -> Vec<SocketAddrV4> {
        self.store.borrow().cache_index().borrow().sources().collect()
    }

    /// Delivers the members of the control plane and the number of gateways. Only the primary calls this.
    pub fn set_cluster_membership(&self, control: Vec<ControlNode>) {
        let membership = ClusterMembership { gateways: self.publisher.gateway_count(), control };
        let has_changed = self.store.borrow_mut().set_cluster_membership(membership);
        self.notify_if_changed(has_changed);
    }

    fn notify_if_changed(&self, has_changed: bool) {
        if has_changed {
            self.publisher.notify_subscribers();
        }
    }

    /// The table of weights that was last delivered.
    pub fn weights(&self) -> Vec<ModelWeights> {
        self.store.borrow().weights().models.clone()
    }

    /// The revision of the newest delivered configuration.
    pub fn configuration_revision(&self) -> Revision {
        self.store.borrow().known_positions().configuration
    }

    /// The number of replicas in the delivered table.
    pub fn replica_count(&self) -> usize {
        self.store.borrow().fleet().count()
    }

    /// The ids of the replicas that have each revision, by model.
    pub fn replica_weights(&self) -> ReplicaWeights {
        let mut weights = ReplicaWeights::new();
        for replica in self.store.borrow().fleet() {
            for served in &replica.models {
                let revisions = weights.entry(served.model.clone()).or_default();
                revisions.entry(served.revision).or_default().push(replica.id.clone());
            }
        }
        weights
    }

    /// The size of the prefix-cache index.
    pub fn index_size(&self) -> IndexSize {
        let store = self.store.borrow();
        let index = store.cache_index().borrow();
        IndexSize { sources: index.sources().count(), entries: index.len() }
    }

    /// The number of processes that subscribe to this feed.
    pub fn subscriber_count(&self) -> usize {
        self.publisher.subscribers().len()
    }

    /// The number of gateways that the control plane knows of.
    pub fn gateway_count(&self) -> u32 {
        self.store.borrow().cluster_membership().gateways
    }

    /// The time since the delivered state was last known to be the newest, or `None` if it never was.
    pub fn age(&self) -> Option<Duration> {
        state_age(self.primary_tracker.clone(), self.subscriber.clone())()
    }
}

fn state_age(
    primary_tracker: Rc<dyn PrimaryTracker>,
    subscriber: Rc<Subscriber>,
) -> Rc<dyn Fn() -> Option<Duration>> {
    Rc::new(move || {
        if primary_tracker.confirms_freshness() {
            return Some(Duration::ZERO);
        }
        subscriber.age(clock::now())
    })
}
