//! The agent as a composition of its tasks.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use snafu::Snafu;
use tulipridge_protocol::feed::SubscriberRole;
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::{Settings, SettingsError};
use tulipridge_runtime::signals::{ProcessSignal, SignalError, SignalStream};
use tulipridge_subscription::{FeedStore, Identity, StalenessTolerance, Subscriber};

use crate::discovery::Discovery;
use crate::proxy_feed::ProxyFeed;
use crate::relay_follower::RelayFollower;

/// Earlier configurations that are kept as bases of deltas; the one proxy is rarely behind.
const REMEMBERED_CONFIGURATIONS: usize = 2;
/// Gateways that an agent serves: the proxy beside it.
const GATEWAYS: u32 = 1;

/// Why an agent can't run.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The process's signals can't be received.
    #[snafu(transparent)]
    Signals {
        /// The error of the signal handler.
        source: SignalError,
    },
}

/// The agent of one machine.
pub struct Agent {
    settings: Settings,
    subscriber: Rc<Subscriber>,
    discovery: Rc<Discovery>,
    relay_follower: Rc<RelayFollower>,
    proxy_feed: ProxyFeed,
}

impl Agent {
    /// An agent that does nothing before it is started.
    #[must_use]
    pub fn new(settings: Settings) -> Rc<Self> {
        let store = Rc::new(RefCell::new(FeedStore::remembering(REMEMBERED_CONFIGURATIONS)));
        let subscriber = subscriber(&settings, &store);
        let proxy_feed = ProxyFeed::new(&store, &subscriber);
        let discovery = Rc::new(Discovery::new(store));
        let relay_follower =
            RelayFollower::new(settings.clone(), Rc::clone(&discovery), Rc::clone(&subscriber));
        Rc::new(Agent { settings, subscriber, discovery, relay_follower, proxy_feed })
    }

    /// Starts the agent's tasks.
    pub fn start(self: &Rc<Self>, executor: &'static LocalExecutor<'static>) {
        executor.spawn(Rc::clone(&self.relay_follower).follow()).detach();
        executor.spawn(Rc::clone(&self.relay_follower).review()).detach();
        executor.spawn(Rc::clone(self).exchange_views()).detach();
        executor.spawn(Rc::clone(self).serve_proxy(executor)).detach();
    }

    /// Handles the process's signals until the agent may end.
    pub async fn run_until_stopped(&self, mut signals: SignalStream) {
        while signals.next().await == ProcessSignal::Reload {
            self.reload(Settings::load());
        }
        log::info!("stopping");
        self.proxy_feed.drain(self.settings.time_limits.leeway()).await;
    }

    /// Applies the settings that may change while the agent runs: the seeds.
    pub fn reload(&self, outcome: Result<Settings, SettingsError>) {
        let settings = match outcome {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(error:% = error; "the settings stay as they were");
                return;
            }
        };
        let seeds = settings.seed_ips();
        log::info!(seeds = seeds.len(); "the settings were read again");
        self.discovery.set_seeds(seeds.clone());
        self.relay_follower.set_seeds(seeds);
    }

    /// How long ago the agent's state was known to be the newest; none while that is not known.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.subscriber.age(clock::now())
    }

    /// The relay to which a connection is open.
    #[must_use]
    pub fn relay(&self) -> Option<SocketAddr> {
        self.relay_follower.relay()
    }

    async fn exchange_views(self: Rc<Self>) {
        self.discovery.exchange_views(&self.settings).await;
    }

    async fn serve_proxy(self: Rc<Self>, executor: &LocalExecutor<'static>) {
        self.proxy_feed.serve(self.settings.loopback_feed(), executor).await;
    }
}

/// Runs the agent until the platform ends it.
///
/// # Errors
/// [`AgentError::Signals`] if signals can't be received.
pub fn run(settings: Settings) -> Result<(), AgentError> {
    // One executor on one thread, which lives as long as the program.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let signals = SignalStream::new()?;
    let agent = Agent::new(settings);
    agent.start(executor);
    async_io::block_on(executor.run(agent.run_until_stopped(signals)));
    Ok(())
}

fn subscriber(settings: &Settings, store: &Rc<RefCell<FeedStore>>) -> Rc<Subscriber> {
    let identity = Identity {
        name: settings.node_name.clone(),
        zone: settings.area.clone(),
        role: SubscriberRole::Agent,
    };
    let tolerance = StalenessTolerance::SEVERAL_PUBLISHERS;
    let subscriber = Subscriber::with_tolerance(identity, Rc::clone(store), tolerance);
    subscriber.set_gateways(GATEWAYS);
    subscriber
}
