//! The serving end of the feed.

mod batches;
mod connection;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use tulipridge_protocol::feed::{QueuedWork, Subscribe, SubscriberRole};
use tulipridge_runtime::clock;

use crate::signal::Signal;
use crate::store::FeedStore;
use crate::waiting;
use batches::Batches;

/// A subscriber that has said nothing for this long does not count among the gateways.
const COUNTED_SILENCE: Duration = Duration::from_secs(2);
/// Pause after the listener has failed, as where descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct PublisherSettings {
    /// Connections at once; more are closed as they come.
    pub max_connections: usize,
    /// Longest time for which a connection may take no bytes.
    pub write_stall: Duration,
    /// Longest time for which a subscriber may say nothing.
    pub silence: Duration,
}

impl Default for PublisherSettings {
    fn default() -> Self {
        PublisherSettings {
            max_connections: 512,
            write_stall: Duration::from_secs(2),
            silence: Duration::from_secs(3),
        }
    }
}

/// A subscriber that is connected, for reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ConnectedSubscriber {
    /// Where it comes from.
    pub peer: SocketAddr,
    /// Its machine name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// What it is.
    pub role: SubscriberRole,
    /// Gateways that it serves, by its latest ping.
    pub gateways: u32,
    /// Revision of the configuration that it was sent last, or holds.
    pub revision: u64,
    /// How long ago it said something.
    pub silence: Duration,
}

/// Serves the state of a store to subscribers.
///
/// For each of them it keeps only how far it was sent the state. When a connection takes bytes, the difference to
/// the newest state is written, so a slow subscriber skips what is no longer the newest.
pub struct Publisher {
    store: Rc<RefCell<FeedStore>>,
    age: Rc<dyn Fn() -> Option<Duration>>,
    settings: PublisherSettings,
    peers: RefCell<BTreeMap<u64, Rc<Peer>>>,
    next_peer: Cell<u64>,
    batches: RefCell<Batches>,
    waiting_listener: RefCell<Option<Rc<dyn Fn()>>>,
}

/// What the publisher knows of a connection beside the task that serves it.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    store_changed: Signal,
    status: RefCell<PeerStatus>,
}

#[derive(Debug)]
struct PeerStatus {
    subscriber: Option<Subscribe>,
    heard: Duration,
    gateways: u32,
    revision: u64,
    waiting: QueuedWork,
}

impl Publisher {
    /// A publisher of `store`; `age` tells how long ago its state was known to be the newest.
    pub fn new(store: Rc<RefCell<FeedStore>>, age: Rc<dyn Fn() -> Option<Duration>>) -> Rc<Self> {
        Self::with_settings(store, age, PublisherSettings::default())
    }

    /// A publisher with bounds of its own.
    pub fn with_settings(
        store: Rc<RefCell<FeedStore>>,
        age: Rc<dyn Fn() -> Option<Duration>>,
        settings: PublisherSettings,
    ) -> Rc<Self> {
        Rc::new(Publisher {
            store,
            age,
            settings,
            peers: RefCell::default(),
            next_peer: Cell::new(0),
            batches: RefCell::default(),
            waiting_listener: RefCell::default(),
        })
    }

    /// Takes connections for ever; each is served by a task of its own.
    pub async fn serve(self: Rc<Self>, listener: Async<TcpListener>, executor: &LocalExecutor<'_>) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => self.admit(stream, address, executor),
                Err(error) => {
                    log::warn!(error:% = error; "can't take a connection");
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Says that the store has changed.
    pub fn notify(&self) {
        self.batches.borrow_mut().clear();
        for peer in self.peers.borrow().values() {
            peer.store_changed.raise();
        }
    }

    /// Gateways that the connected subscribers serve, by their latest pings.
    pub fn gateways(&self) -> u32 {
        let now = clock::now();
        let peers = self.peers.borrow();
        let counted = peers.values().map(|peer| peer.status.borrow()).filter(|status| status.counts(now));
        counted.fold(0, |sum, status| sum.saturating_add(status.gateways))
    }

    /// The work that waits at replicas of the gateways that the connected subscribers serve.
    pub fn waiting(&self) -> QueuedWork {
        let peers = self.peers.borrow();
        let told: Vec<_> = peers.values().map(|peer| peer.status.borrow()).collect();
        waiting::sum(told.iter().map(|status| &status.waiting))
    }

    /// Sets a function that is called each time a subscriber has told of work that waits.
    pub fn on_waiting(&self, listener: impl Fn() + 'static) {
        *self.waiting_listener.borrow_mut() = Some(Rc::new(listener));
    }

    fn announce_waiting(&self) {
        let listener = self.waiting_listener.borrow().clone();
        if let Some(listener) = listener {
            listener();
        }
    }

    /// The subscribers that are connected.
    pub fn subscribers(&self) -> Vec<ConnectedSubscriber> {
        let now = clock::now();
        self.peers.borrow().values().filter_map(|peer| peer.report(now)).collect()
    }

    fn admit(self: &Rc<Self>, stream: Async<TcpStream>, address: SocketAddr, executor: &LocalExecutor<'_>) {
        if self.peers.borrow().len() >= self.settings.max_connections {
            log::warn!(peer:% = address; "a connection over the bound is closed");
            return;
        }
        let id = self.next_peer.replace(self.next_peer.get() + 1);
        let peer = Rc::new(Peer::new(address));
        self.peers.borrow_mut().insert(id, Rc::clone(&peer));
        let publisher = Rc::clone(self);
        let serving = async move {
            let end = connection::serve(&publisher, &peer, &stream).await;
            publisher.peers.borrow_mut().remove(&id);
            publisher.announce_waiting();
            log::info!(peer:% = address, reason:% = end; "a subscriber's connection ends");
        };
        executor.spawn(serving).detach();
    }
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        let status = PeerStatus {
            subscriber: None,
            heard: clock::now(),
            gateways: 0,
            revision: 0,
            waiting: QueuedWork::default(),
        };
        Peer { address, store_changed: Signal::default(), status: RefCell::new(status) }
    }

    fn report(&self, now: Duration) -> Option<ConnectedSubscriber> {
        let status = self.status.borrow();
        let subscriber = status.subscriber.as_ref()?;
        Some(ConnectedSubscriber {
            peer: self.address,
            name: subscriber.name.clone(),
            zone: subscriber.zone.clone(),
            role: subscriber.role,
            gateways: status.gateways,
            revision: status.revision,
            silence: now.saturating_sub(status.heard),
        })
    }
}

impl PeerStatus {
    fn counts(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard) <= COUNTED_SILENCE
    }
}
