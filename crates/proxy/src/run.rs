//! The process: settings, the feed, the listeners and the signals.

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
use tulipridge_subscription::{Changed, FeedStore, Identity, Subscriber, clock};

use crate::placement::held;
use crate::proxy::Proxy;
use crate::{downstream, ready};

/// Time between looks at idle connections to replicas.
const SWEEP: Duration = Duration::from_secs(5);
/// Time between lines of counters in the log.
const COUNTERS: Duration = Duration::from_secs(10);

/// Connections that wait to be accepted.
const ACCEPT_QUEUE: i32 = 1024;

/// Why the process can't serve.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings name no address.
    #[snafu(display("the settings have no listenOn.{field}"))]
    NoAddress {
        /// The field.
        field: &'static str,
    },
    /// An address can't be listened at.
    #[snafu(display("can't listen at {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The signals can't be awaited.
    #[snafu(context(false), display("{source}"))]
    Signals {
        /// What is wrong.
        source: tulipridge_runtime::signals::SignalError,
    },
}

/// Runs the proxy until the platform stops it.
#[must_use]
pub fn run(settings: Settings) -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    let outcome = async_io::block_on(executor.run(serve(settings, executor.clone())));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:% = error; "the proxy can't start");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: Settings, executor: Rc<LocalExecutor<'static>>) -> Result<(), StartError> {
    let front_door = listener(settings.listen_on.front_door, "frontDoor")?;
    let ready_check = listener(settings.listen_on.ready_check, "readyCheck")?;
    let signals = SignalStream::new()?;
    let store = Rc::new(RefCell::new(FeedStore::remembering(0)));
    let subscriber = Subscriber::new(identity(&settings), store.clone());
    let proxy = proxy(&settings, &subscriber);
    proxy.set_index(store.borrow().kept().clone());
    follow(&proxy, &subscriber, store);
    log::info!(seeds = settings.seed_nodes.len(); "the proxy starts");

    let publisher = settings.loopback_feed();
    executor.spawn(async move { subscriber.run(|_| Some(publisher)).await }).detach();
    let alarms = proxy.alarms.clone();
    executor.spawn(async move { alarms.drive().await }).detach();
    executor.spawn(held::run_timers(proxy.placement.clone(), proxy.alarms.clone())).detach();
    executor.spawn(housekeeping(proxy.clone())).detach();
    executor.spawn(ready::listen(proxy.clone(), executor.clone(), ready_check)).detach();
    executor.spawn(downstream::listener::listen(proxy.clone(), executor.clone(), front_door)).detach();
    executor.spawn(heed_signals(proxy.clone(), signals, settings)).detach();
    proxy.run_lifecycle().await;
    log::info!(open = proxy.usage.open_clients(); "the proxy ends");
    Ok(())
}

fn listener(address: Option<SocketAddr>, field: &'static str) -> Result<Async<TcpListener>, StartError> {
    let address = address.context(NoAddressSnafu { field })?;
    bind(address).context(ListenSnafu { address })
}

/// Listens with a longer queue than the library would: what finds it full tries again after seconds only.
fn bind(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_QUEUE)?;
    Async::new(TcpListener::from(socket))
}

fn identity(settings: &Settings) -> Identity {
    Identity { name: settings.node_name.clone(), zone: settings.area.clone(), role: SubscriberRole::Proxy }
}

fn proxy(settings: &Settings, subscriber: &Rc<Subscriber>) -> Rc<Proxy> {
    let subscriber = subscriber.clone();
    let seed = getrandom::u64().unwrap_or(1);
    Proxy::new(settings, seed, Box::new(move || subscriber.age(clock::now())))
}

/// Has the proxy take over each change of the feed.
fn follow(proxy: &Rc<Proxy>, subscriber: &Rc<Subscriber>, store: Rc<RefCell<FeedStore>>) {
    tell_work(proxy, subscriber, &store);
    let proxy = proxy.clone();
    subscriber.on_change(Box::new(move |changed| take_over(&proxy, &store.borrow(), changed)));
}

/// Has the agent told of the work that waits at replicas, each time it has changed.
fn tell_work(proxy: &Rc<Proxy>, subscriber: &Rc<Subscriber>, store: &Rc<RefCell<FeedStore>>) {
    let (store, subscriber) = (store.clone(), subscriber.clone());
    proxy.work.on_change(move |waiting| {
        let units = |id: &str| waiting.get(&ReplicaId::from(id)).copied();
        subscriber.set_waiting(store.borrow().waiting_work(units));
    });
}

fn take_over(proxy: &Proxy, store: &FeedStore, changed: &Changed) {
    if changed.group {
        proxy.set_gateways(store.group().gateways);
    }
    if changed.configuration
        && let Some(configuration) = store.configuration()
    {
        proxy.set_configuration(configuration);
    }
    if changed.fleet || changed.weights {
        proxy.set_fleet(store.fleet(), store.weights());
        proxy.work.announce();
    }
    if changed.loads
        && let Some(loads) = store.loads()
    {
        proxy.set_loads(loads);
    }
}

/// Closes old connections, and writes counters.
async fn housekeeping(proxy: Rc<Proxy>) {
    let mut since_counters = Duration::ZERO;
    loop {
        proxy.alarms.after(SWEEP).await;
        proxy.pool.close_expired();
        since_counters += SWEEP;
        if since_counters >= COUNTERS {
            since_counters = Duration::ZERO;
            proxy.counters.log();
        }
    }
}

async fn heed_signals(proxy: Rc<Proxy>, mut signals: SignalStream, mut settings: Settings) {
    loop {
        match signals.next().await {
            ProcessSignal::Stop => {
                log::info!(open = proxy.usage.open_clients(); "the proxy stops");
                proxy.stop(settings.time_limits.leeway());
            }
            ProcessSignal::Reload => match Settings::load() {
                Ok(newest) => settings = reload(&proxy, &settings, newest),
                Err(error) => log::warn!(error:% = error; "the settings can't be read again"),
            },
        }
        future::yield_now().await;
    }
}

/// Applies what takes effect at once of newer settings, and logs whether there is more. Returns what is in force
/// from now on.
pub fn reload(proxy: &Proxy, known: &Settings, newest: Settings) -> Settings {
    proxy.set_time_limits(&newest.time_limits);
    let applied = Settings {
        time_limits: newest.time_limits.clone(),
        // The agent's concern alone.
        seed_nodes: newest.seed_nodes.clone(),
        ..known.clone()
    };
    log::info!(
        others_wait_for_restart = applied != newest;
        "the settings are read again: timeLimits are in force"
    );
    applied
}
