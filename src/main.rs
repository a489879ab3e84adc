//! The gateway's program; it only wires its parts together.

#![forbid(unsafe_code)]

use std::cell::RefCell;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use tulipridge::config::Config;
use tulipridge::engine::Engine;
use tulipridge::front::Dialect;
use tulipridge::limits::Limits;
use tulipridge::net::discovery::Discovery;
use tulipridge::net::edge::Edge;
use tulipridge::net::servers::Fleet;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    // One executor on one thread, which lives as long as the program.
    let ex: &'static LocalExecutor<'static> = Box::leak(Box::default());
    match async_io::block_on(ex.run(run(ex))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log::error!("start-failed: {what}");
            ExitCode::FAILURE
        }
    }
}

async fn run(ex: &'static LocalExecutor<'static>) -> Result<(), String> {
    let config = Config::load()?;
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
    let span = Duration::from_nanos;
    let limits = Rc::new(Limits::new(
        config.sockets,
        config.memory_mb,
        span(config.connect),
        span(config.conn_idle),
    ));
    let push = config.settings.push;
    let (engine, orders) =
        Engine::new(config.settings, config.seed, &limits).map_err(|e| format!("settings: {e}"))?;
    let names = Rc::new(RefCell::new(config.names));
    let gauges = {
        let names = names.clone();
        Box::new(move |text: &str| names.borrow().report(text))
    };
    let fleet = Rc::new(Fleet::new(limits.clone(), gauges));
    let discovery = Rc::new(Discovery::new(
        config.discovery,
        engine.clone(),
        fleet.clone(),
        names.clone(),
        limits.clone(),
    ));
    discovery.persisted(&config.known);
    let ready = {
        let (fleet, discovery, limits, from) =
            (fleet.clone(), discovery.clone(), limits.clone(), Instant::now());
        Box::new(move || fleet.any_ready() && (discovery.answered() || from.elapsed() > limits.list_wait))
    };
    let edge = Rc::new(Edge::new(engine.clone(), fleet.clone(), names, limits, ready));

    let bind = |addr| {
        let listener = TcpListener::bind(addr).and_then(Async::new);
        listener.map_err(|e| format!("listen {addr}: {e}"))
    };
    let mut fronts = vec![(config.listen, Dialect::Platform)];
    fronts.extend(config.daemon.messages.listen.map(|addr| (addr, Dialect::Messages)));
    for (addr, dialect) in fronts {
        let listener = bind(addr)?;
        let addr = listener.get_ref().local_addr().map_err(|e| format!("listen {addr}: {e}"))?;
        log::info!("listening name={} addr={addr} front={dialect:?}", config.name);
        ex.spawn(edge.clone().listen(ex, listener, dialect)).detach();
    }
    ex.spawn(async move { engine.run_timers().await }).detach();
    ex.spawn(async move { fleet.sweep().await }).detach();
    ex.spawn(discovery.run(ex, orders, push)).detach();

    let signal = signals.next().await;
    log::info!("stopping signal={signal:?} connections={}", edge.open());
    edge.stop().await;
    log::info!("stopped");
    Ok(())
}
