//! The publishing end of the feed: serves the state of a store to subscribers.

mod batch_cache;
mod connection;
mod subscription;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use tulipridge_protocol::feed::QueuedWork;
use tulipridge_runtime::clock;

use crate::queued_work;
use crate::store::FeedStore;
use batch_cache::BatchCache;
use subscription::Subscription;

pub use subscription::ConnectedSubscriber;

/// Delay after accepting a connection has failed, for instance because no file descriptor was free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a publisher's connections.
#[derive(Clone, Copy, Debug)]
pub struct PublisherSettings {
    /// Maximum number of simultaneous connections; the publisher closes further ones as soon as they are accepted.
    pub max_connections: usize,
    /// A connection with unsent data that accepts no bytes for this long is closed.
    pub write_stall_timeout: Duration,
    /// A connection without a message from the subscriber for this long is closed.
    pub idle_timeout: Duration,
}

impl Default for PublisherSettings {
    fn default() -> Self {
        PublisherSettings {
            max_connections: 512,
            write_stall_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(3),
        }
    }
}

/// Serves the state of a store to subscribers.
///
/// Keeps no queue per subscriber, only the position up to which the state was sent: once a connection has sent all its
/// bytes, the difference from that position to the newest state is written. A slow subscriber skips intermediate
/// states.
pub struct Publisher {
    store: Rc<RefCell<FeedStore>>,
    state_age: Rc<dyn Fn() -> Option<Duration>>,
    settings: PublisherSettings,
    subscriptions: RefCell<BTreeMap<u64, Rc<Subscription>>>,
    next_subscription_id: Cell<u64>,
    batch_cache: RefCell<BatchCache>,
    queued_work_listener: RefCell<Option<Rc<dyn Fn()>>>,
}

impl Publisher {
    /// Creates a publisher of `store` with the default limits. `state_age` returns the time since the store's state was
    /// last known to be the newest; `None` while that is unknown.
    pub fn new(store: Rc<RefCell<FeedStore>>, state_age: Rc<dyn Fn() -> Option<Duration>>) -> Rc<Self> {
        Self::with_settings(store, state_age, PublisherSettings::default())
    }

    /// Creates a publisher with the given limits.
    pub fn with_settings(
        store: Rc<RefCell<FeedStore>>,
        state_age: Rc<dyn Fn() -> Option<Duration>>,
        settings: PublisherSettings,
    ) -> Rc<Self> {
        Rc::new(Publisher {
            store,
            state_age,
            settings,
            subscriptions: RefCell::default(),
            next_subscription_id: Cell::new(0),
            batch_cache: RefCell::default(),
            queued_work_listener: RefCell::default(),
        })
    }

    /// Accepts connections without end, and spawns a task for each.
    pub async fn serve(self: Rc<Self>, listener: Async<TcpListener>, executor: &LocalExecutor<'_>) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => self.start_connection(stream, address, executor),
                Err(error) => {
                    log::warn!(error:% = error; "failed to accept a subscriber's connection");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Wakes all connections, so that each sends the changes of the store to its subscriber.
    pub fn notify_subscribers(&self) {
        self.batch_cache.borrow_mut().clear();
        for subscription in self.subscriptions.borrow().values() {
            subscription.store_changed.raise();
        }
    }

    /// Returns the number of gateways that the connected subscribers serve, by their latest pings. Subscribers whose
    /// last message is more than two seconds old are not counted.
    pub fn gateway_count(&self) -> u32 {
        let now = clock::now();
        let subscriptions = self.subscriptions.borrow();
        let live = subscriptions.values().filter(|subscription| subscription.is_live(now));
        live.fold(0, |sum, subscription| sum.saturating_add(subscription.gateway_count()))
    }

    /// Returns the sum of the work that the connected subscribers have reported as queued at replicas.
    pub fn queued_work(&self) -> QueuedWork {
        let subscriptions = self.subscriptions.borrow();
        let statuses: Vec<_> =
            subscriptions.values().map(|subscription| subscription.status.borrow()).collect();
        queued_work::sum(statuses.iter().map(|status| &status.queued_work))
    }

    /// Sets a function that is called each time a subscriber has reported queued work or has disconnected.
    pub fn on_queued_work(&self, listener: impl Fn() + 'static) {
        *self.queued_work_listener.borrow_mut() = Some(Rc::new(listener));
    }

    fn notify_queued_work(&self) {
        let listener = self.queued_work_listener.borrow().clone();
        if let Some(listener) = listener {
            listener();
        }
    }

    /// Lists the connected subscribers whose first message has arrived.
    pub fn subscribers(&self) -> Vec<ConnectedSubscriber> {
        let now = clock::now();
        self.subscriptions.borrow().values().filter_map(|subscription| subscription.describe(now)).collect()
    }

    fn start_connection(
        self: &Rc<Self>,
        stream: Async<TcpStream>,
        address: SocketAddr,
        executor: &LocalExecutor<'_>,
    ) {
        if self.subscriptions.borrow().len() >= self.settings.max_connections {
            log::warn!(peer:% = address; "connection limit reached: a subscriber's connection is closed");
            return;
        }
        let id = self.next_subscription_id.replace(self.next_subscription_id.get() + 1);
        let subscription = Rc::new(Subscription::new(address));
        self.subscriptions.borrow_mut().insert(id, Rc::clone(&subscription));
        let publisher = Rc::clone(self);
        let serving = async move {
            let end = connection::serve(&publisher, &subscription, &stream).await;
            publisher.subscriptions.borrow_mut().remove(&id);
            publisher.notify_queued_work();
            log::info!(peer:% = address, reason:% = end; "a connection of a subscriber ended");
        };
        executor.spawn(serving).detach();
    }
}
