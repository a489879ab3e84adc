//! The subscribing end of the feed: keeps a store up to date from one publisher at a time.

mod connect;
mod end;
mod liveness;
mod report_schedule;
mod session;
mod staleness;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use tulipridge_protocol::feed::{QueuedWork, Subscribe, SubscriberRole};

use crate::freshness::Freshness;
use crate::signal::Signal;
use crate::store::{FeedStore, StateChanges};
use connect::{MAX_BACKOFF, backoff, connect};
use end::ReselectedSnafu;

pub use end::{EndReason, PreviousConnection};
pub use staleness::StalenessTolerance;

/// Name, zone and role that a subscriber sends to its publishers.
#[derive(Clone, Debug, PartialEq)]
pub struct SubscriberIdentity {
    /// Machine name of the subscriber.
    pub name: String,
    /// Zone of the subscriber's machine.
    pub zone: String,
    /// Role of the process: relay, agent or proxy.
    pub role: SubscriberRole,
}

/// Outcome of the previous attempts, passed to the function that selects a publisher.
#[derive(Debug, Default)]
pub struct SelectionContext {
    /// Consecutive failed attempts, connection losses included; 0 after a pong with a known, tolerated age.
    pub failure_count: u32,
    /// The previous connection or failed attempt; `None` at the first selection, and after a selection that returned
    /// no publisher.
    pub previous: Option<PreviousConnection>,
}

/// Function that is called after the state has changed.
type ChangeListener = Box<dyn Fn(&StateChanges)>;

/// Keeps a store up to date from a publisher, and tracks the freshness of the state.
///
/// Only one connection exists at a time. The subscriber closes it when the connection fails, the publisher is
/// unresponsive or its state is stale, and selects the next publisher after an exponential backoff.
pub struct Subscriber {
    tolerance: StalenessTolerance,
    identity: SubscriberIdentity,
    store: Rc<RefCell<FeedStore>>,
    freshness: RefCell<Freshness>,
    gateway_count: Cell<u32>,
    next_ping_id: Cell<u64>,
    queued_work: RefCell<QueuedWork>,
    queued_work_changed: Signal,
    connected_publisher: Cell<Option<SocketAddr>>,
    reselect_signal: Signal,
    listeners: RefCell<Vec<Rc<ChangeListener>>>,
}

impl Subscriber {
    /// Creates a subscriber that keeps `store` up to date while [`Subscriber::run`] is polled, with
    /// [`StalenessTolerance::ONE_PUBLISHER`].
    pub fn new(identity: SubscriberIdentity, store: Rc<RefCell<FeedStore>>) -> Rc<Self> {
        Subscriber::with_tolerance(identity, store, StalenessTolerance::ONE_PUBLISHER)
    }

    /// Creates a subscriber with the given tolerance for stale publishers.
    pub fn with_tolerance(
        identity: SubscriberIdentity,
        store: Rc<RefCell<FeedStore>>,
        tolerance: StalenessTolerance,
    ) -> Rc<Self> {
        Rc::new(Subscriber {
            identity,
            tolerance,
            store,
            freshness: RefCell::default(),
            gateway_count: Cell::new(0),
            next_ping_id: Cell::new(1),
            queued_work: RefCell::default(),
            queued_work_changed: Signal::default(),
            connected_publisher: Cell::new(None),
            reselect_signal: Signal::default(),
            listeners: RefCell::default(),
        })
    }

    /// Subscribes to one publisher after the other, without end. `select` returns the next one; if it returns `None`,
    /// it is called again after a delay, or when [`Subscriber::reselect`] is called.
    pub async fn run(self: Rc<Self>, mut select: impl FnMut(SelectionContext) -> Option<SocketAddr>) {
        let mut failure_count = 0;
        let mut previous = None;
        loop {
            self.reselect_signal.clear();
            let selected = select(SelectionContext { failure_count, previous: previous.take() });
            let Some(address) = selected else {
                self.sleep_unless_reselected(MAX_BACKOFF).await;
                continue;
            };
            let reason = self.subscribe_to(address, &mut failure_count).await;
            let level = if failure_count == 0 { log::Level::Info } else { log::Level::Debug };
            log::log!(level, publisher:% = address, reason:% = reason; "a connection to a publisher ended");
            let is_reselection = matches!(reason, EndReason::Reselected);
            previous = Some(PreviousConnection { address, reason });
            if !is_reselection {
                self.sleep_unless_reselected(backoff(failure_count)).await;
                failure_count = failure_count.saturating_add(1);
            }
        }
    }

    /// Adds a function that is called each time the state has changed. The store is not borrowed during the call.
    pub fn on_change(&self, listener: ChangeListener) {
        self.listeners.borrow_mut().push(Rc::new(listener));
    }

    /// Sets the number of gateways that this subscriber serves, which is reported with the next ping.
    pub fn set_gateway_count(&self, gateway_count: u32) {
        self.gateway_count.set(gateway_count);
    }

    /// Sets the work queued at replicas by the gateways that this subscriber serves. A difference is reported to the
    /// publisher within about 20 ms.
    pub fn set_queued_work(&self, queued_work: QueuedWork) {
        if *self.queued_work.borrow() != queued_work {
            *self.queued_work.borrow_mut() = queued_work;
            self.queued_work_changed.raise();
        }
    }

    /// Closes the connection, if any, and selects a publisher again at once, without a backoff.
    pub fn reselect(&self) {
        self.reselect_signal.raise();
    }

    /// Returns the address of the connected publisher; `None` while there is no connection.
    pub fn connected_to(&self) -> Option<SocketAddr> {
        self.connected_publisher.get()
    }

    /// Returns the latest time, by [`crate::clock`], at which the state was certainly the newest; `None` while that
    /// time is unknown or before the clock's origin.
    pub fn fresh_as_of(&self) -> Option<Duration> {
        self.freshness.borrow().fresh_as_of()
    }

    /// Returns the staleness of the state: the time from when the state was last certainly the newest to `now`. `None`
    /// while that is unknown.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.freshness.borrow().age(now)
    }

    async fn subscribe_to(&self, address: SocketAddr, failure_count: &mut u32) -> EndReason {
        let reselected = async {
            poll_fn(|context| self.reselect_signal.poll_raised(context)).await;
            ReselectedSnafu.fail()
        };
        let stream = match connect(address).or(reselected).await {
            Ok(stream) => stream,
            Err(reason) => return reason,
        };
        let _connected = ConnectedGuard::new(self, address);
        session::run(self, &stream, failure_count).await
    }

    async fn sleep_unless_reselected(&self, duration: Duration) {
        let timer = async {
            Timer::after(duration).await;
        };
        poll_fn(|context| self.reselect_signal.poll_raised(context)).or(timer).await;
    }

    fn subscribe_message(&self) -> Subscribe {
        let SubscriberIdentity { name, zone, role } = self.identity.clone();
        Subscribe { name, zone, role, known: self.store.borrow().known_positions() }
    }

    fn notify_listeners(&self, changes: &StateChanges) {
        if !changes.has_changes() {
            return;
        }
        let listeners: Vec<_> = self.listeners.borrow().iter().map(Rc::clone).collect();
        for listener in listeners {
            listener(changes);
        }
    }
}

/// Marks the subscriber as connected to an address until the guard is dropped.
struct ConnectedGuard<'a> {
    subscriber: &'a Subscriber,
}

impl<'a> ConnectedGuard<'a> {
    fn new(subscriber: &'a Subscriber, address: SocketAddr) -> Self {
        subscriber.connected_publisher.set(Some(address));
        ConnectedGuard { subscriber }
    }
}

impl Drop for ConnectedGuard<'_> {
    fn drop(&mut self) {
        self.subscriber.connected_publisher.set(None);
        self.subscriber.freshness.borrow_mut().drop_pending_pings();
    }
}
