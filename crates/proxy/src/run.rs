//! The process: starts the tasks, applies changes of the control plane's feed, and handles signals.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use snafu::{OptionExt, ResultExt, Snafu};
use socket2::{Domain, Protocol, Socket, Type};
use tulipridge_load_balancer::types::ReplicaId;
use tulipridge_protocol::feed::SubscriberRole;
use tulipridge_runtime::settings::Settings;
use tulipridge_runtime::signals::{ProcessSignal, SignalStream};
use tulipridge_subscription::{FeedStore, StateChanges, Subscriber, SubscriberIdentity, clock};

use crate::placement::placed_request;
use crate::proxy::Proxy;
use crate::{downstream, ready};

/// Interval at which expired idle connections to replicas are closed.
const EXPIRED_CONNECTIONS_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the counters are logged.
const COUNTERS_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum length of the accept queue. The default of the standard library is shorter, and a client that finds the
/// queue full retries only after seconds.
const ACCEPT_BACKLOG: i32 = 1024;

/// Why the process can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings lack an address.
    #[snafu(display("the settings have no listenOn.{field}"))]
    NoAddress {
        /// The missing field of `listenOn`.
        field: &'static str,
    },
    /// The process can't listen on an address.
    #[snafu(display("can't listen at {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The signal handlers can't be installed.
    #[snafu(context(false), display("{source}"))]
    Signals {
        /// The cause.
        source: tulipridge_runtime::signals::SignalError,
    },
}

/// Runs the proxy until the platform stops it.
#[must_use]
pub fn run(settings: Settings) -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    let outcome = async_io::block_on(executor.run(run_tasks(settings, executor.clone())));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:% = error; "the proxy failed to start");
            ExitCode::FAILURE
        }
    }
}

/// Starts all tasks, and returns once the process has drained.
async fn run_tasks(settings: Settings, executor: Rc<LocalExecutor<'static>>) -> Result<(), StartError> {
    let client_listener = listener(settings.listen_on.front_door, "frontDoor")?;
    let ready_listener = listener(settings.listen_on.ready_check, "readyCheck")?;
    let signals = SignalStream::new()?;
    let store = Rc::new(RefCell::new(FeedStore::with_earlier_configurations(0)));
    let subscriber = Subscriber::new(identity(&settings), store.clone());
    let proxy = new_proxy(&settings, &subscriber);
    proxy.set_index(store.borrow().cache_index().clone());
    subscribe(&proxy, &subscriber, store);
    log::info!(seeds = settings.seed_nodes.len(); "the proxy is starting");

    let publisher = settings.loopback_feed();
    executor.spawn(async move { subscriber.run(|_| Some(publisher)).await }).detach();
    let timers = proxy.timers.clone();
    executor.spawn(async move { timers.drive().await }).detach();
    executor.spawn(placed_request::run_timers(proxy.placement.clone(), proxy.timers.clone())).detach();
    executor.spawn(run_periodic_tasks(proxy.clone())).detach();
    executor.spawn(ready::listen(proxy.clone(), executor.clone(), ready_listener)).detach();
    executor.spawn(downstream::listener::listen(proxy.clone(), executor.clone(), client_listener)).detach();
    executor.spawn(handle_signals(proxy.clone(), signals, settings)).detach();
    proxy.run_lifecycle().await;
    log::info!(open = proxy.usage.open_clients(); "the proxy exits");
    Ok(())
}

fn listener(address: Option<SocketAddr>, field: &'static str) -> Result<Async<TcpListener>, StartError> {
    let address = address.context(NoAddressSnafu { field })?;
    bind(address).context(ListenSnafu { address })
}

/// Binds a listener whose accept queue has the length [`ACCEPT_BACKLOG`].
fn bind(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Async::new(TcpListener::from(socket))
}

fn identity(settings: &Settings) -> SubscriberIdentity {
    SubscriberIdentity {
        name: settings.node_name.clone(),
        zone: settings.area.clone(),
        role: SubscriberRole::Proxy,
    }
}

fn new_proxy(settings: &Settings, subscriber: &Rc<Subscriber>) -> Rc<Proxy> {
    let subscriber = subscriber.clone();
    let seed = getrandom::u64().unwrap_or(1);
    Proxy::new(settings, seed, Box::new(move || subscriber.age(clock::now())))
}

/// Applies each change of the feed to the proxy.
fn subscribe(proxy: &Rc<Proxy>, subscriber: &Rc<Subscriber>, store: Rc<RefCell<FeedStore>>) {
    publish_queued_work(proxy, subscriber, &store);
    let proxy = proxy.clone();
    subscriber.on_change(Box::new(move |changed| apply_change(&proxy, &store.borrow(), changed)));
}

/// Publishes the work that is queued at replicas through the subscriber, each time it changes.
fn publish_queued_work(proxy: &Rc<Proxy>, subscriber: &Rc<Subscriber>, store: &Rc<RefCell<FeedStore>>) {
    let (store, subscriber) = (store.clone(), subscriber.clone());
    proxy.queued_work.on_change(move |queued| {
        let units = |id: &str| queued.get(&ReplicaId::from(id)).copied();
        subscriber.set_queued_work(store.borrow().queued_work(units));
    });
}

fn apply_change(proxy: &Proxy, store: &FeedStore, changed: &StateChanges) {
    if changed.cluster_membership {
        proxy.set_proxy_count(store.cluster_membership().gateways);
    }
    if changed.configuration {
        if let Some(configuration) = store.configuration() {
            proxy.set_configuration(configuration);
        }
    }
    if changed.fleet || changed.weights {
        proxy.set_fleet(store.fleet(), store.weights());
        proxy.queued_work.publish();
    }
    if changed.loads {
        if let Some(loads) = store.loads() {
            proxy.set_loads(loads);
        }
    }
}

/// Closes expired connections and logs counters; never returns.
async fn run_periodic_tasks(proxy: Rc<Proxy>) {
    let mut since_counters_log = Duration::ZERO;
    loop {
        proxy.timers.sleep(EXPIRED_CONNECTIONS_INTERVAL).await;
        proxy.pool.close_expired();
        since_counters_log += EXPIRED_CONNECTIONS_INTERVAL;
        if since_counters_log >= COUNTERS_LOG_INTERVAL {
            since_counters_log = Duration::ZERO;
            proxy.counters.log();
        }
    }
}

async fn handle_signals(proxy: Rc<Proxy>, mut signals: SignalStream, mut settings: Settings) {
    loop {
        match signals.next().await {
            ProcessSignal::Stop => {
                log::info!(open = proxy.usage.open_clients(); "the proxy begins a graceful shutdown");
                proxy.stop(settings.time_limits.leeway());
            }
            ProcessSignal::Reload => match Settings::load() {
                Ok(newest) => settings = reload(&proxy, &settings, newest),
                Err(error) => log::warn!(error:% = error; "failed to reload the settings"),
            },
        }
        future::yield_now().await;
    }
}

/// Applies the changed settings that need no restart, and logs whether others changed as well. Returns the settings in
/// force.
pub fn reload(proxy: &Proxy, known: &Settings, newest: Settings) -> Settings {
    proxy.set_time_limits(&newest.time_limits);
    let applied = Settings {
        time_limits: newest.time_limits.clone(),
        // Not used by the proxy, only by the agent.
        seed_nodes: newest.seed_nodes.clone(),
        ..known.clone()
    };
    log::info!(
        others_wait_for_restart = applied != newest;
        "settings reloaded; timeLimits are in force"
    );
    applied
}
