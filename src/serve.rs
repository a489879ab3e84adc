//! One gateway, from its start to its end: wires the parts together.

use std::cell::{Cell, RefCell};
use std::env;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};

use tulipridge::config::{self, Config, Sources};
use tulipridge::engine::Engine;
use tulipridge::front::{Dialect, FrontContext};
use tulipridge::limits::Limits;
use tulipridge::list_schedule::{ListSchedule, PROPAGATION_DEADLINE};
use tulipridge::net::discovery::Discovery;
use tulipridge::net::edge::Edge;
use tulipridge::net::handover::Handover;
use tulipridge::net::lifecycle_monitor::LifecycleMonitor;
use tulipridge::net::listen;
use tulipridge::net::mgmt::Mgmt;
use tulipridge::net::peers;
use tulipridge::net::servers::Fleet;
use tulipridge::process::background::run_in_background;
use tulipridge::store::Store;
use tulipridge::syslog;

/// Serves until a signal ends it; `sources` is what SIGHUP reads again, `inherited` the platform's own listener.
pub(crate) fn serve(config: Config, sources: Sources, inherited: Option<TcpListener>) -> ExitCode {
    let limits = config.limits();
    let limits = Rc::new(if inherited.is_some() { limits.for_two() } else { limits });
    // One executor on one thread, which lives as long as the program.
    let ex: &'static LocalExecutor<'static> = Box::leak(Box::default());
    async_io::block_on(ex.run(async {
        let collector = config.own.syslog.tcp;
        let (log, lines) = match syslog::start(&config.name, collector.is_some(), &limits) {
            Ok(started) => started,
            Err(e) => {
                eprintln!("tulipridge: no thread for the log: {e}; raise the limit on threads or memory");
                return ExitCode::FAILURE;
            }
        };
        if let (Some(collector), Some(lines)) = (collector, lines) {
            let limits = limits.clone();
            ex.spawn(async move { syslog::to_collector(collector, lines, &limits).await }).detach();
        }
        let outcome = run(ex, config, sources, inherited, limits.clone()).await;
        if let Err(what) = &outcome {
            log::error!("start-failed: {what}");
        }
        log.drain(&limits).await;
        if outcome.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }))
}

async fn run(
    ex: &'static LocalExecutor<'static>,
    config: Config,
    sources: Sources,
    mut inherited: Option<TcpListener>,
    limits: Rc<Limits>,
) -> Result<(), String> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
    let push = config.settings.has_pushed_list;
    let bounds = ListSchedule::from_settings(&config.settings).propagation_bounds();
    if !push && bounds.after_idle.max(bounds.after_refusal) > PROPAGATION_DEADLINE {
        let [silent, refused] = [bounds.after_idle, bounds.after_refusal].map(|nanos| nanos / 1_000_000);
        log::warn!(silent_ms = silent, refused_ms = refused; "list-late: a group of this size may have its list later than its news count as told; state what the list service can serve in list.calls_per_s, or make it faster");
    }
    let (engine, orders) =
        Engine::new(config.settings, config.seed, &limits).map_err(|e| format!("settings: {e}"))?;
    engine.name_streams(config.names.classes.clone(), config.names.tenants.clone());
    let names = Rc::new(RefCell::new(config.names));
    let gauges = {
        let names = names.clone();
        let noted = Cell::new(false);
        Box::new(move |text: &str| {
            let report = names.borrow().report(text);
            if report.iter().any(|value| value.is_nan()) && !noted.replace(true) {
                log::warn!(report = text; "bad-report: what can't be read of load reports is passed over");
            }
            report
        })
    };
    let fleet = Rc::new(Fleet::new(limits.clone(), gauges));
    let discovery = Rc::new(Discovery::new(
        config.discovery,
        engine.clone(),
        fleet.clone(),
        names.clone(),
        limits.clone(),
        push,
    ));
    discovery.persisted(&config.known);
    let able = {
        let (fleet, discovery, limits, from) =
            (fleet.clone(), discovery.clone(), limits.clone(), Instant::now());
        Box::new(move || fleet.any_ready() && (discovery.answered() || from.elapsed() > limits.list_wait))
    };
    let context = Rc::new(FrontContext::new(names.clone(), limits.clone(), config.messages));
    let shared = inherited.is_some();
    let lifecycle = Rc::new(LifecycleMonitor::new(engine.clone(), limits.clone(), shared, able));
    // Without a listener that the platform keeps, no process ever serves beside this one.
    let handover = Rc::new(match shared {
        true => Handover::new(&env::temp_dir(), &config.name, config.own.handover, limits.clone()),
        false => Handover::never(limits.clone()),
    });
    let edge = Rc::new(Edge::new(
        engine.clone(),
        fleet.clone(),
        context.clone(),
        limits.clone(),
        lifecycle.clone(),
        handover.followers(),
    ));
    handover.join(ex, &edge);
    ex.spawn(handover.listen(ex, edge.clone(), lifecycle.clone())).detach();

    let bind = |addr, inherited, port: &str| listen::open(addr, inherited, port, &limits);
    let mut fronts = vec![(config.listen, Dialect::Platform)];
    fronts.extend(config.own.messages.listen.map(|addr| (addr, Dialect::Messages)));
    let mgmt_told = config.mgmt;
    if let Some(addr) = config.mgmt {
        let mgmt = Rc::new(Mgmt::new(engine.clone(), lifecycle.clone(), limits.clone()));
        ex.spawn(mgmt.listen(ex, bind(addr, None, "Mgmt")?)).detach();
    }
    for (addr, dialect) in fronts {
        // What the platform keeps is the socket of its own front, which comes first.
        let listener = bind(addr, inherited.take(), &format!("{dialect:?}"))?;
        ex.spawn(edge.clone().listen(ex, listener, dialect)).detach();
    }
    if let Some(addr) = config.own.store.listen {
        let store = Rc::new(Store::new(&config.name, &limits));
        ex.spawn(peers::serve(ex, bind(addr, None, "Store")?, store.clone(), limits.clone())).detach();
        for peer in config.own.store.peers {
            ex.spawn(peers::exchange(peer, store.clone(), limits.clone())).detach();
        }
        let (engine, edge, names, limits) = (engine.clone(), edge.clone(), names.clone(), limits.clone());
        let (level, file, state) =
            (log::max_level(), config.own.messages, format!("state/{}", config.name));
        let follow = async move {
            loop {
                config::follow(&store, &mut names.borrow_mut(), &file, level);
                store.set(&state, serde_json::json!({"held": engine.held(), "connections": edge.open(), "places": engine.places()}));
                Timer::after(limits.state_every).await;
            }
        };
        ex.spawn(follow).detach();
    }
    let figures = engine.clone();
    ex.spawn({
        let engine = engine.clone();
        async move { engine.run_streams().await }
    })
    .detach();
    ex.spawn(async move { engine.run_timers().await }).detach();
    ex.spawn(async move { lifecycle.run().await }).detach();
    ex.spawn(async move { fleet.sweep().await }).detach();
    ex.spawn(discovery.clone().run(ex, orders)).detach();

    // One reading at a time, so that the last order is the one that counts; several that wait are one.
    let (reload, asked) = async_channel::bounded(1);
    ex.spawn(async move {
        while asked.recv().await.is_ok() {
            let sources = sources.clone();
            // Guards against a disk that keeps all requests waiting for a file.
            let read = run_in_background(move || Config::reload(&sources)).await;
            match read.unwrap_or_else(|e| Err(format!("no thread to read the files: {e}"))) {
                Ok(config) => {
                    // What the environment says goes first, and can't have changed.
                    if config.mgmt != mgmt_told && env::var_os("EDGE_MGMT").is_none() {
                        log::warn!(told:? = config.mgmt, kept:? = mgmt_told; "mgmt-kept: a second address counts from the next start");
                    }
                    discovery.move_to(config.discovery);
                }
                Err(what) => log::error!("reload-failed: all stays as it was: {what}"),
            }
        }
    })
    .detach();

    // Guards against a SIGHUP that ends the program, also one that comes while it stops.
    let mut stopping = false;
    let stopped = async_channel::bounded::<()>(1);
    loop {
        let signal = future::or(async { signals.next().await.and_then(Result::ok) }, async {
            let _ = stopped.1.recv().await;
            None
        });
        match signal.await {
            // A full channel has an order that is not begun yet and will see what this one would.
            Some(Signal::Hup) => drop(reload.try_send(())),
            Some(signal) if !stopping => {
                stopping = true;
                log::info!(signal:? = signal, connections = edge.open(); "stopping: finishing what is held");
                let (edge, done) = (edge.clone(), stopped.0.clone());
                ex.spawn(async move {
                    edge.stop().await;
                    let _ = done.send(()).await;
                })
                .detach();
            }
            Some(_) => {}
            None => break,
        }
    }
    figures.log_figures();
    context.omissions.log();
    log::info!("stopped: all is answered");
    Ok(())
}
