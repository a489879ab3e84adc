//! Delivery of the state to agents and to the other members.
//!
//! The primary writes the state; every other member is a home that follows the primary. All publish what they
//! hold, with the age at which it was known to be the newest.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use tulipridge_configuration::Configuration;
use tulipridge_prefix_cache_index::{CacheUpdate, SourceStatus};
use tulipridge_protocol::feed::{ControlNode, Group, ModelWeights, Replica, SubscriberRole};
use tulipridge_runtime::clock;
use tulipridge_subscription::{FeedStore, Identity, Publisher, Subscriber};

use crate::api::{IndexSize, ReplicaWeights};

/// What the delivery asks of the control plane.
pub trait Authority {
    /// This member is the primary within its lease, and has applied all that was agreed before.
    fn confirms_freshness(&self) -> bool;
    /// The machine of the primary, if another member is and was heard lately.
    fn primary(&self) -> Option<Ipv4Addr>;
}

/// The feed of one member.
pub struct Delivery {
    authority: Rc<dyn Authority>,
    feed_port: u16,
    store: Rc<RefCell<FeedStore>>,
    publisher: Rc<Publisher>,
    subscriber: Rc<Subscriber>,
    publisher_wanted: Cell<Option<SocketAddr>>,
}

impl Delivery {
    /// The feed of a member of this name and zone. All members serve theirs at the same port.
    pub fn new(name: String, zone: String, feed_port: u16, authority: Rc<dyn Authority>) -> Rc<Delivery> {
        let store = Rc::new(RefCell::new(FeedStore::new()));
        let identity = Identity { name, zone, role: SubscriberRole::Relay };
        let subscriber = Subscriber::new(identity, store.clone());
        let publisher = Publisher::new(store.clone(), age(authority.clone(), subscriber.clone()));
        let notified = publisher.clone();
        subscriber.on_change(Box::new(move |_| notified.notify()));
        let (told, passed_on) = (Rc::downgrade(&publisher), subscriber.clone());
        publisher.on_queued_work(move || {
            if let Some(publisher) = told.upgrade() {
                passed_on.set_queued_work(publisher.queued_work());
            }
        });
        let publisher_wanted = Cell::new(None);
        Rc::new(Delivery { authority, feed_port, store, publisher, subscriber, publisher_wanted })
    }

    /// Serves subscribers for ever.
    pub async fn serve(&self, listener: Async<TcpListener>, executor: &LocalExecutor<'_>) {
        self.publisher.clone().serve(listener, executor).await;
    }

    /// Follows the primary for ever, while that is another member.
    pub async fn follow(self: Rc<Self>) {
        let this = self.clone();
        self.subscriber.clone().run(move |_| this.choose()).await;
    }

    fn choose(&self) -> Option<SocketAddr> {
        let wanted = self.primary_feed();
        self.publisher_wanted.set(wanted);
        wanted
    }

    fn primary_feed(&self) -> Option<SocketAddr> {
        self.authority.primary().map(|ip| SocketAddr::from((ip, self.feed_port)))
    }

    /// Looks whether another member is the primary now, and tells the primary how many gateways are served here.
    pub fn review(&self) {
        self.subscriber.set_gateways(self.publisher.gateways());
        let wanted = self.primary_feed();
        // While no primary is known the last one is followed on: its answers tell how old they are.
        let left = wanted.is_some() || self.authority.confirms_freshness();
        if left && wanted != self.publisher_wanted.get() {
            self.subscriber.reselect();
        }
    }

    /// Delivers a configuration.
    pub fn set_configuration(&self, configuration: Arc<Configuration>) {
        let news = self.store.borrow_mut().set_configuration(configuration);
        self.notify_if(news);
    }

    /// Delivers the table of replicas, as primary of `epoch`.
    pub fn set_fleet(&self, epoch: u64, replicas: Vec<Replica>) {
        let news = self.store.borrow_mut().set_fleet(epoch, replicas);
        self.notify_if(news);
    }

    /// Delivers the table of weights, as primary of `epoch`.
    pub fn set_weights(&self, epoch: u64, lines: Vec<ModelWeights>) {
        let news = self.store.borrow_mut().set_weights(epoch, lines);
        self.notify_if(news);
    }

    /// Delivers changes of what sources keep of prompts, as primary of `epoch`.
    pub fn set_kept(&self, epoch: u64, updates: &[CacheUpdate]) {
        let news = self.store.borrow_mut().update_cache_index(epoch, updates);
        self.notify_if(news);
    }

    /// Delivers how much work waits at replicas, as the gateways have told it, as primary of `epoch`.
    pub fn deliver_loads(&self, epoch: u64) {
        let news = self.store.borrow_mut().set_loads(epoch, &self.publisher.queued_work());
        self.notify_if(news);
    }

    /// Work that waits at each replica, by id, as it was delivered last.
    pub fn waiting(&self) -> BTreeMap<String, u32> {
        let store = self.store.borrow();
        let loads = store.loads().into_iter().flatten();
        loads.map(|(replica, waiting)| (replica.id.clone(), waiting.into())).collect()
    }

    /// What is known of a source of KV cache.
    pub fn source_status(&self, source: SocketAddrV4) -> Option<SourceStatus> {
        self.store.borrow().cache_index().borrow().status(source)
    }

    /// The sources of KV cache of which something is known.
    pub fn known_sources(&self) -> Vec<SocketAddrV4> {
        self.store.borrow().cache_index().borrow().sources().collect()
    }

    /// Delivers who takes part, as primary.
    pub fn set_group(&self, control: Vec<ControlNode>) {
        let group = Group { gateways: self.publisher.gateways(), control };
        let news = self.store.borrow_mut().set_group(group);
        self.notify_if(news);
    }

    fn notify_if(&self, news: bool) {
        if news {
            self.publisher.notify();
        }
    }

    /// The weights that were delivered last.
    pub fn weights(&self) -> Vec<ModelWeights> {
        self.store.borrow().weights().models.clone()
    }

    /// Revision of the newest configuration that is delivered.
    pub fn revision(&self) -> u64 {
        self.store.borrow().known_positions().configuration
    }

    /// How many replicas are delivered.
    pub fn replicas(&self) -> usize {
        self.store.borrow().fleet().count()
    }

    /// Which of these replicas have which weights.
    pub fn replica_weights(&self) -> ReplicaWeights {
        let mut weights = ReplicaWeights::new();
        for replica in self.store.borrow().fleet() {
            for line in &replica.models {
                let revisions = weights.entry(line.model.clone()).or_default();
                revisions.entry(line.revision).or_default().push(replica.id.clone());
            }
        }
        weights
    }

    /// The size of the index of kept prompts.
    pub fn index_size(&self) -> IndexSize {
        let store = self.store.borrow();
        let index = store.cache_index().borrow();
        IndexSize { sources: index.sources().count(), entries: index.len() }
    }

    /// How many processes follow this feed.
    pub fn subscribers(&self) -> usize {
        self.publisher.subscribers().len()
    }

    /// Gateways that the control plane knows of.
    pub fn gateways(&self) -> u32 {
        self.store.borrow().group().gateways
    }

    /// How long ago what is delivered was known to be the newest.
    pub fn age(&self) -> Option<Duration> {
        age(self.authority.clone(), self.subscriber.clone())()
    }
}

fn age(authority: Rc<dyn Authority>, subscriber: Rc<Subscriber>) -> Rc<dyn Fn() -> Option<Duration>> {
    Rc::new(move || {
        if authority.confirms_freshness() {
            return Some(Duration::ZERO);
        }
        subscriber.age(clock::now())
    })
}
