//! Composes the agent from its tasks.

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
use tulipridge_subscription::{FeedStore, StalenessTolerance, Subscriber, SubscriberIdentity};

use crate::discovery::Discovery;
use crate::proxy_feed::ProxyFeed;
use crate::relay_follower::RelayFollower;

/// Maximum number of earlier configurations kept as bases for deltas. The single proxy rarely falls behind.
const MAX_EARLIER_CONFIGURATIONS: usize = 2;
/// Number of gateways that an agent serves: only the proxy on the same machine.
const GATEWAYS_SERVED: u32 = 1;

/// An error that prevents the agent from running.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The signal handler could not be installed.
    #[snafu(transparent)]
    Signals {
        /// The error of the signal handler.
        source: SignalError,
    },
}

/// The agent that runs on one machine.
pub struct Agent {
    settings: Settings,
    subscriber: Rc<Subscriber>,
    discovery: Rc<Discovery>,
    relay_follower: Rc<RelayFollower>,
    proxy_feed: ProxyFeed,
}

impl Agent {
    /// Creates an agent; its tasks run after [`Agent::start`].
    #[must_use]
    pub fn new(settings: Settings) -> Rc<Self> {
        let store =
            Rc::new(RefCell::new(FeedStore::with_earlier_configurations(MAX_EARLIER_CONFIGURATIONS)));
        let subscriber = subscriber(&settings, &store);
        let proxy_feed = ProxyFeed::new(&store, &subscriber);
        let discovery = Rc::new(Discovery::new(store));
        let relay_follower =
            RelayFollower::new(settings.clone(), Rc::clone(&discovery), Rc::clone(&subscriber));
        Rc::new(Agent { settings, subscriber, discovery, relay_follower, proxy_feed })
    }

    /// Spawns the agent's tasks on `executor`.
    pub fn start(self: &Rc<Self>, executor: &'static LocalExecutor<'static>) {
        executor.spawn(Rc::clone(&self.relay_follower).follow()).detach();
        executor.spawn(Rc::clone(&self.relay_follower).check_for_better_relay()).detach();
        executor.spawn(Rc::clone(self).exchange_views()).detach();
        executor.spawn(Rc::clone(self).serve_proxy(executor)).detach();
    }

    /// Reloads the settings on each reload signal. On a stop signal, waits until the agent may exit.
    pub async fn run_until_stopped(&self, mut signals: SignalStream) {
        while signals.next().await == ProcessSignal::Reload {
            self.reload(Settings::load());
        }
        log::info!("stopping");
        self.proxy_feed.drain(self.settings.time_limits.leeway()).await;
    }

    /// Applies the reloadable settings, which are the seeds. On an error the previous settings stay in use.
    pub fn reload(&self, result: Result<Settings, SettingsError>) {
        let settings = match result {
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

    /// The time since the agent's state was last known to be the newest; `None` while that is unknown.
    #[must_use]
    pub fn state_age(&self) -> Option<Duration> {
        self.subscriber.age(clock::now())
    }

    /// The address of the connected relay.
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

/// Runs the agent until a stop signal arrives and the shutdown is complete.
///
/// # Errors
/// Returns [`AgentError::Signals`] if the signal handler can't be installed.
pub fn run(settings: Settings) -> Result<(), AgentError> {
    // The single-threaded executor is leaked because its tasks borrow it for the lifetime of the process.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::default());
    let signals = SignalStream::new()?;
    let agent = Agent::new(settings);
    agent.start(executor);
    async_io::block_on(executor.run(agent.run_until_stopped(signals)));
    Ok(())
}

fn subscriber(settings: &Settings, store: &Rc<RefCell<FeedStore>>) -> Rc<Subscriber> {
    let identity = SubscriberIdentity {
        name: settings.node_name.clone(),
        zone: settings.area.clone(),
        role: SubscriberRole::Agent,
    };
    let tolerance = StalenessTolerance::SEVERAL_PUBLISHERS;
    let subscriber = Subscriber::with_tolerance(identity, Rc::clone(store), tolerance);
    subscriber.set_gateway_count(GATEWAYS_SERVED);
    subscriber
}
