//! Starts a gateway, runs it until a signal stops it, and connects its parts.

use std::cell::{Cell, RefCell};
use std::env;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use snafu::{ResultExt, Snafu};

use tulipridge::config::{self, Config, ConfigError, Sources};
use tulipridge::engine::Engine;
use tulipridge::front::{Dialect, FrontContext};
use tulipridge::limits::Limits;
use tulipridge::list_schedule::{ListSchedule, PROPAGATION_DEADLINE};
use tulipridge::names::Names;
use tulipridge::net::discovery::Discovery;
use tulipridge::net::edge::EdgeServer;
use tulipridge::net::handover::Handover;
use tulipridge::net::lifecycle_monitor::LifecycleMonitor;
use tulipridge::net::listen::{self, ListenError};
use tulipridge::net::management::ManagementServer;
use tulipridge::net::peers;
use tulipridge::net::upstream::{Fleet, LoadReportReader};
use tulipridge::process::background::run_in_background;
use tulipridge::settings::Messages;
use tulipridge::store::Store;
use tulipridge::syslog;
use tulipridge::types::{Settings, SettingsError};

/// Nanoseconds in a millisecond, for log fields.
const NANOS_PER_MILLI: u64 = 1_000_000;

/// The executor of the single serving thread; it exists until the process exits.
type Executor = &'static LocalExecutor<'static>;

/// The reason why a gateway can't start. Each variant is fatal.
#[derive(Debug, Snafu)]
enum StartError {
    /// The signal handlers can't be installed.
    #[snafu(display("signals: {source}"))]
    Signals { source: io::Error },
    /// The platform's settings are invalid.
    #[snafu(display("settings: {source}"))]
    Settings { source: SettingsError },
    /// A listener can't be opened.
    #[snafu(context(false), display("{source}"))]
    Listen { source: ListenError },
}

/// Serves until a signal stops the process. `sources` are the files that SIGHUP reloads; `inherited` is the listener that
/// the platform passes to each process of this gateway, if there is one.
pub(crate) fn serve(config: Config, sources: Sources, inherited: Option<TcpListener>) -> ExitCode {
    let limits = config.limits();
    let limits = Rc::new(if inherited.is_some() { limits.with_overlapping_process() } else { limits });
    let executor: Executor = Box::leak(Box::default());
    async_io::block_on(executor.run(async {
        let collector = config.own.syslog.tcp;
        let (log_handle, lines) = match syslog::start(&config.name, collector.is_some(), &limits) {
            Ok(started) => started,
            Err(e) => {
                eprintln!(
                    "tulipridge: can't start the log thread: {e}; raise the limit on threads or memory"
                );
                return ExitCode::FAILURE;
            }
        };
        if let (Some(collector), Some(lines)) = (collector, lines) {
            let limits = limits.clone();
            executor.spawn(async move { syslog::to_collector(collector, lines, &limits).await }).detach();
        }
        let outcome = run(executor, config, sources, inherited, limits.clone()).await;
        if let Err(error) = &outcome {
            log::error!("start-failed: {error}");
        }
        log_handle.drain(&limits).await;
        if outcome.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }))
}

/// Builds the parts, starts their loops, and returns once a signal has stopped the gateway and all open requests have
/// their responses.
async fn run(
    executor: Executor,
    config: Config,
    sources: Sources,
    inherited: Option<TcpListener>,
    limits: Rc<Limits>,
) -> Result<(), StartError> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).context(SignalsSnafu)?;
    warn_of_late_lists(&config.settings);
    let push = config.settings.has_pushed_list;
    let (engine, fleet_actions) =
        Engine::new(config.settings, config.seed, &limits).context(SettingsSnafu)?;
    engine.set_stream_labels(config.names.classes.clone(), config.names.tenants.clone());
    let names = Rc::new(RefCell::new(config.names));
    let fleet = Rc::new(Fleet::new(limits.clone(), load_report_reader(names.clone())));
    let discovery = Rc::new(Discovery::new(
        config.discovery,
        engine.clone(),
        fleet.clone(),
        names.clone(),
        limits.clone(),
        push,
    ));
    discovery.apply_persisted(&config.known);
    let context = Rc::new(FrontContext::new(names.clone(), limits.clone(), config.messages));
    let is_shared = inherited.is_some();
    let readiness_check = readiness_check(&fleet, &discovery, &limits);
    let lifecycle =
        Rc::new(LifecycleMonitor::new(engine.clone(), limits.clone(), is_shared, readiness_check));
    // Without an inherited listener no other process of this gateway can serve at the same time.
    let handover = Rc::new(match is_shared {
        true => Handover::new(&env::temp_dir(), &config.name, config.own.handover, limits.clone()),
        false => Handover::disabled(limits.clone()),
    });
    let edge = Rc::new(EdgeServer::new(
        engine.clone(),
        fleet.clone(),
        context.clone(),
        limits.clone(),
        lifecycle.clone(),
        handover.successors(),
    ));
    handover.connect_to_older_process(executor, &edge);
    executor.spawn(handover.listen(executor, edge.clone(), lifecycle.clone())).detach();

    let parts = Parts { executor, engine, edge, lifecycle, names, limits };
    if let Some(address) = config.management {
        parts.listen_to_operators(address)?;
    }
    parts.listen_to_clients(config.listen, config.own.messages.listen, inherited)?;
    if let Some(address) = config.own.store.listen {
        parts.start_store(&config.name, address, config.own.store.peers, config.own.messages)?;
    }
    parts.spawn_loops();
    executor.spawn(async move { fleet.sweep().await }).detach();
    executor.spawn(discovery.clone().run(executor, fleet_actions)).detach();

    let reload = spawn_reloads(executor, discovery, sources, config.management);
    wait_until_stopped(executor, signals, &reload, &parts.edge).await;
    parts.engine.log_stream_statistics();
    context.omissions.log();
    log::info!("stopped: all requests have their responses");
    Ok(())
}

/// Warns if the replica list is polled and there are so many gateways that a change of the list may arrive after the
/// propagation deadline.
fn warn_of_late_lists(settings: &Settings) {
    let bounds = ListSchedule::from_settings(settings).propagation_bounds();
    if settings.has_pushed_list || bounds.after_idle.max(bounds.after_refusal) <= PROPAGATION_DEADLINE {
        return;
    }
    let [after_idle, after_refusal] =
        [bounds.after_idle, bounds.after_refusal].map(|nanos| nanos / NANOS_PER_MILLI);
    log::warn!(silent_ms = after_idle, refused_ms = after_refusal; "list-late: in a group of this size, changes of the replica list may arrive after the propagation deadline; set list.calls_per_s to the rate that the list service can serve, or raise that rate");
}

/// Returns the parser for load reports of replicas. Only the first report with invalid values is logged.
fn load_report_reader(names: Rc<RefCell<Names>>) -> LoadReportReader {
    let has_logged = Cell::new(false);
    Box::new(move |text: &str| {
        let report = names.borrow().report(text);
        if report.iter().any(|value| value.is_nan()) && !has_logged.replace(true) {
            log::warn!(report = text; "bad-report: invalid values of load reports are ignored; only the first such report is logged");
        }
        report
    })
}

/// Returns the readiness check: a replica is ready, and discovery has returned a list or the fallback delay has elapsed.
fn readiness_check(
    fleet: &Rc<Fleet>,
    discovery: &Rc<Discovery>,
    limits: &Rc<Limits>,
) -> Box<dyn Fn() -> bool> {
    let (fleet, discovery, limits) = (fleet.clone(), discovery.clone(), limits.clone());
    let started = Instant::now();
    Box::new(move || {
        fleet.any_ready()
            && (discovery.has_list() || started.elapsed() > limits.discovery.list_fallback_delay)
    })
}

/// The parts of a gateway that its listeners and loops share.
struct Parts {
    executor: Executor,
    engine: Engine,
    edge: Rc<EdgeServer>,
    lifecycle: Rc<LifecycleMonitor>,
    names: Rc<RefCell<Names>>,
    limits: Rc<Limits>,
}

impl Parts {
    fn bind(
        &self,
        address: SocketAddr,
        inherited: Option<TcpListener>,
        purpose: &str,
    ) -> Result<Async<TcpListener>, StartError> {
        Ok(listen::open(address, inherited, purpose, &self.limits)?)
    }

    /// Opens the listener for operators, at the management address.
    fn listen_to_operators(&self, address: SocketAddr) -> Result<(), StartError> {
        let management = Rc::new(ManagementServer::new(
            self.engine.clone(),
            self.lifecycle.clone(),
            self.limits.clone(),
        ));
        self.executor.spawn(management.listen(self.executor, self.bind(address, None, "Mgmt")?)).detach();
        Ok(())
    }

    /// Opens the listeners for clients: the platform front, and the messages front if it has an address.
    fn listen_to_clients(
        &self,
        platform: SocketAddr,
        messages: Option<SocketAddr>,
        mut inherited: Option<TcpListener>,
    ) -> Result<(), StartError> {
        let mut fronts = vec![(platform, Dialect::Platform)];
        fronts.extend(messages.map(|address| (address, Dialect::Messages)));
        for (address, dialect) in fronts {
            // The inherited socket belongs to the platform front, which is opened first.
            let listener = self.bind(address, inherited.take(), &format!("{dialect:?}"))?;
            self.executor.spawn(self.edge.clone().listen(self.executor, listener, dialect)).detach();
        }
        Ok(())
    }

    /// Starts the replicated store, its exchange with the peers, and the loop that applies its settings.
    fn start_store(
        &self,
        name: &str,
        address: SocketAddr,
        peers: Vec<SocketAddr>,
        file_settings: Messages,
    ) -> Result<(), StartError> {
        let store = Rc::new(Store::new(name, &self.limits));
        let listener = self.bind(address, None, "Store")?;
        self.executor
            .spawn(peers::serve(self.executor, listener, store.clone(), self.limits.clone()))
            .detach();
        for peer in peers {
            self.executor.spawn(peers::exchange(peer, store.clone(), self.limits.clone())).detach();
        }
        self.executor.spawn(self.follow_store(store, format!("state/{name}"), file_settings)).detach();
        Ok(())
    }

    /// Applies the store's settings and writes this gateway's state to the store, at `limits.store.state_interval`.
    fn follow_store(
        &self,
        store: Rc<Store>,
        state_key: String,
        file_settings: Messages,
    ) -> impl Future<Output = ()> + use<> {
        let (engine, edge) = (self.engine.clone(), self.edge.clone());
        let (names, limits) = (self.names.clone(), self.limits.clone());
        let initial_log_level = log::max_level();
        async move {
            loop {
                config::follow(&store, &mut names.borrow_mut(), &file_settings, initial_log_level);
                store.set(&state_key, serde_json::json!({"held": engine.request_count(), "connections": edge.open_connections(), "places": engine.replica_slots()}));
                Timer::after(limits.store.state_interval).await;
            }
        }
    }

    /// Starts the loops of the engine and of the lifecycle monitor.
    fn spawn_loops(&self) {
        let engine = self.engine.clone();
        self.executor.spawn(async move { engine.maintain_streams().await }).detach();
        let engine = self.engine.clone();
        self.executor.spawn(async move { engine.run_timers().await }).detach();
        let lifecycle = self.lifecycle.clone();
        self.executor.spawn(async move { lifecycle.run().await }).detach();
    }
}

/// Starts the loop that reloads the files at each request of the returned channel. A request is dropped if another one
/// is waiting for its reload to start.
///
/// `management` is the management address in use; a reload does not change it.
fn spawn_reloads(
    executor: Executor,
    discovery: Rc<Discovery>,
    sources: Sources,
    management: Option<SocketAddr>,
) -> Sender<()> {
    let (reload, reload_requests) = async_channel::bounded(1);
    executor
        .spawn(async move {
            // One reload at a time, so that the result of the last one remains in force.
            while reload_requests.recv().await.is_ok() {
                match read_files(sources.clone()).await {
                    Ok(config) => apply_reload(&discovery, &config, management),
                    Err(error) => {
                        log::error!("reload-failed: the previous configuration stays in force: {error}");
                    }
                }
            }
        })
        .detach();
    reload
}

/// Reads the files on a separate thread, since a slow disk must not delay requests.
async fn read_files(sources: Sources) -> Result<Config, ConfigError> {
    let read = run_in_background(move || Config::reload(&sources)).await;
    read.unwrap_or_else(|e| Err(ConfigError::NoThread { source: e }))
}

fn apply_reload(discovery: &Discovery, config: &Config, management: Option<SocketAddr>) {
    // The environment variable takes precedence over the file and can't change while the process runs.
    if config.management != management && env::var_os("EDGE_MGMT").is_none() {
        log::warn!(told:? = config.management, kept:? = management; "mgmt-kept: a changed management address takes effect at the next start");
    }
    discovery.set_address(config.discovery);
}

/// Handles signals, and returns once one has stopped the gateway and all open requests have their responses.
async fn wait_until_stopped(
    executor: Executor,
    mut signals: Signals,
    reload: &Sender<()>,
    edge: &Rc<EdgeServer>,
) {
    // SIGHUP remains handled while the gateway stops, since its default action would terminate the process.
    let mut is_stopping = false;
    let (done, stopped) = async_channel::bounded::<()>(1);
    loop {
        let signal = future::or(async { signals.next().await.and_then(Result::ok) }, async {
            let _ = stopped.recv().await;
            None
        });
        match signal.await {
            // If the channel is full, the pending reload has not started and will read the same files.
            Some(Signal::Hup) => drop(reload.try_send(())),
            Some(signal) if !is_stopping => {
                is_stopping = true;
                log::info!(signal:? = signal, connections = edge.open_connections(); "stopping: completing the open requests");
                spawn_stop(executor, edge.clone(), done.clone());
            }
            Some(_) => {}
            None => return,
        }
    }
}

/// Stops accepting connections, and sends to `done` once all open requests have their responses.
fn spawn_stop(executor: Executor, edge: Rc<EdgeServer>, done: Sender<()>) {
    executor
        .spawn(async move {
            edge.stop().await;
            let _ = done.send(()).await;
        })
        .detach();
}
