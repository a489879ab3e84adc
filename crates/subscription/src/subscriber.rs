//! The asking end of the feed.

mod session;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use snafu::{ResultExt, Snafu};
use tulipridge_protocol::feed::{QueuedWork, Subscribe, SubscriberRole};
use tulipridge_protocol::frame::FrameError;

use crate::freshness::Freshness;
use crate::signal::Signal;
use crate::store::{Changed, FeedError, FeedStore};

/// Longest time for a connection to be made.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);
/// Pause after the first failure; each further one doubles it.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause between attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Who subscribes.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// The subscriber's machine name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// What it is.
    pub role: SubscriberRole,
}

/// What is known when a publisher is chosen.
#[derive(Debug, Default)]
pub struct Attempt {
    /// Attempts that have failed since the last publisher that answered with freshness.
    pub failures: u32,
    /// How the last connection, or the attempt at one, has ended; none at the first choice, and after a choice of
    /// no publisher.
    pub last: Option<Ended>,
}

/// A connection, or an attempt at one, that has ended.
#[derive(Debug)]
pub struct Ended {
    /// The publisher.
    pub address: SocketAddr,
    /// Why.
    pub reason: EndReason,
}

/// Why a connection to a publisher has ended, or was not made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EndReason {
    /// No connection was made.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// What the system says.
        source: io::Error,
    },
    /// No connection was made in time.
    #[snafu(display("no connection within {} ms", CONNECT_WITHIN.as_millis()))]
    ConnectTimeout,
    /// The publisher has closed the connection.
    #[snafu(display("the publisher has closed the connection"))]
    Closed,
    /// The connection has failed.
    #[snafu(display("the connection has failed: {source}"))]
    Failed {
        /// What the system says.
        source: io::Error,
    },
    /// The publisher does not answer pings.
    #[snafu(display("the publisher does not answer"))]
    Silent,
    /// The publisher answers, but does not know how fresh its state is.
    #[snafu(display("the publisher is not fresh"))]
    NotFresh,
    /// A message can't be taken.
    #[snafu(display("{source}"))]
    Malformed {
        /// What is wrong with it.
        source: FrameError,
    },
    /// An update can't be applied.
    #[snafu(display("{source}"))]
    Update {
        /// What is wrong with it.
        source: FeedError,
    },
    /// The subscriber itself was asked to choose again.
    #[snafu(display("another choice was asked for"))]
    Reselected,
}

/// Called after the state has changed.
type ChangeListener = Box<dyn Fn(&Changed)>;

/// Keeps a store up to date from a publisher, and knows how fresh it is.
pub struct Subscriber {
    tolerance: Tolerance,
    identity: Identity,
    store: Rc<RefCell<FeedStore>>,
    freshness: RefCell<Freshness>,
    gateways: Cell<u32>,
    next_ping: Cell<u64>,
    waiting: RefCell<QueuedWork>,
    waiting_changed: Signal,
    connected: Cell<Option<SocketAddr>>,
    reselect: Signal,
    listeners: RefCell<Vec<Rc<ChangeListener>>>,
}

/// How long a subscriber stays with a publisher whose state is not fresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// An answer of this age or older counts as not fresh.
    pub age: Duration,
    /// A publisher that gives no other answers for this long is left.
    pub time: Duration,
}

impl Tolerance {
    /// For a subscriber with one publisher to choose: any age will do.
    pub const ONE_PUBLISHER: Tolerance =
        Tolerance { age: Duration::MAX, time: Duration::from_millis(1500) };
    /// For a subscriber that may choose another publisher. With a ping a hop, one that is in touch with the primary
    /// answers with less than half of this age.
    pub const SEVERAL_PUBLISHERS: Tolerance =
        Tolerance { age: Duration::from_millis(800), time: Duration::from_millis(500) };
}

impl Subscriber {
    /// A subscriber that brings `store` up to date once it runs.
    pub fn new(identity: Identity, store: Rc<RefCell<FeedStore>>) -> Rc<Self> {
        Subscriber::with_tolerance(identity, store, Tolerance::ONE_PUBLISHER)
    }

    /// The same, with a tolerance of its own for publishers that are not fresh.
    pub fn with_tolerance(
        identity: Identity,
        store: Rc<RefCell<FeedStore>>,
        tolerance: Tolerance,
    ) -> Rc<Self> {
        Rc::new(Subscriber {
            identity,
            tolerance,
            store,
            freshness: RefCell::default(),
            gateways: Cell::new(0),
            next_ping: Cell::new(1),
            waiting: RefCell::default(),
            waiting_changed: Signal::default(),
            connected: Cell::new(None),
            reselect: Signal::default(),
            listeners: RefCell::default(),
        })
    }

    /// Follows one publisher after the other, for ever. `choose` names the next; with none it is asked again after
    /// a pause, or when [`Subscriber::reselect`] is called.
    pub async fn run(self: Rc<Self>, mut choose: impl FnMut(Attempt) -> Option<SocketAddr>) {
        let mut failures = 0;
        let mut last = None;
        loop {
            self.reselect.lower();
            let choice = choose(Attempt { failures, last: last.take() });
            let Some(address) = choice else {
                self.pause(MAX_BACKOFF).await;
                continue;
            };
            let reason = self.follow(address, &mut failures).await;
            let level = if failures == 0 { log::Level::Info } else { log::Level::Debug };
            log::log!(level, publisher:% = address, reason:% = reason; "a publisher is left");
            let wanted = matches!(reason, EndReason::Reselected);
            last = Some(Ended { address, reason });
            if !wanted {
                self.pause(backoff(failures)).await;
                failures = failures.saturating_add(1);
            }
        }
    }

    /// Adds a function that is called each time the state has changed; the store is not borrowed then.
    pub fn on_change(&self, listener: ChangeListener) {
        self.listeners.borrow_mut().push(Rc::new(listener));
    }

    /// Sets how many gateways this subscriber serves; the next ping tells it.
    pub fn set_gateways(&self, gateways: u32) {
        self.gateways.set(gateways);
    }

    /// Sets the work that waits at replicas of the gateways that this subscriber serves; the publisher is told soon.
    pub fn set_waiting(&self, waiting: QueuedWork) {
        if *self.waiting.borrow() != waiting {
            *self.waiting.borrow_mut() = waiting;
            self.waiting_changed.raise();
        }
    }

    /// Leaves the publisher, if any, and chooses again at once.
    pub fn reselect(&self) {
        self.reselect.raise();
    }

    /// The publisher that is connected.
    pub fn connected_to(&self) -> Option<SocketAddr> {
        self.connected.get()
    }

    /// The latest moment at which the state was certainly the newest, by [`crate::clock`].
    pub fn fresh_as_of(&self) -> Option<Duration> {
        self.freshness.borrow().fresh_as_of()
    }

    /// How long ago that was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.freshness.borrow().age(now)
    }

    async fn follow(&self, address: SocketAddr, failures: &mut u32) -> EndReason {
        let reselected = async {
            poll_fn(|context| self.reselect.poll_raised(context)).await;
            ReselectedSnafu.fail()
        };
        let stream = match connect(address).or(reselected).await {
            Ok(stream) => stream,
            Err(reason) => return reason,
        };
        self.connected.set(Some(address));
        let reason = session::run(self, &stream, failures).await;
        self.connected.set(None);
        self.freshness.borrow_mut().forget_pending();
        reason
    }

    async fn pause(&self, duration: Duration) {
        let timer = async {
            Timer::after(duration).await;
        };
        poll_fn(|context| self.reselect.poll_raised(context)).or(timer).await;
    }

    fn subscribe(&self) -> Subscribe {
        let Identity { name, zone, role } = self.identity.clone();
        Subscribe { name, zone, role, holds: self.store.borrow().holdings() }
    }

    fn announce(&self, changed: &Changed) {
        if !changed.any() {
            return;
        }
        let listeners: Vec<_> = self.listeners.borrow().iter().map(Rc::clone).collect();
        for listener in listeners {
            listener(changed);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Async<TcpStream>, EndReason> {
    let connecting = async { Async::<TcpStream>::connect(address).await.context(ConnectSnafu) };
    let timeout = async {
        Timer::after(CONNECT_WITHIN).await;
        ConnectTimeoutSnafu.fail()
    };
    let stream = connecting.or(timeout).await?;
    stream.get_ref().set_nodelay(true).context(ConnectSnafu)?;
    Ok(stream)
}

fn backoff(failures: u32) -> Duration {
    FIRST_BACKOFF.saturating_mul(1 << failures.min(8)).min(MAX_BACKOFF)
}
