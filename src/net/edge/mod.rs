//! Edge connections: the listeners, and the clients' side of each request.

mod after_response;
mod buffered_bytes;
mod charge;
mod connection;
mod exchange;
mod handover;
mod request;
mod responding_client;
mod waiting_client;

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use rustix::io::Errno;
use tulipridge_http1::Http1Limits;

use super::lifecycle_monitor::LifecycleMonitor;
use super::slot_pool::SlotPool;
use super::successors::Successors;
use super::upstream::Fleet;
use super::{BufferedStream, within};
use crate::admission::connection_slots::SlotTimeouts;
use crate::engine::Engine;
use crate::front::{Dialect, FrontContext};
use crate::limits::Limits;
use crate::process::overlap::{ConnectionCounts, ConnectionReport, Overlap};

/// What all edge connections share.
pub struct Edge {
    engine: Engine,
    fleet: Rc<Fleet>,
    context: Rc<FrontContext>,
    limits: Rc<Limits>,
    /// A connection's limits, with the bounds of the messages front's bodies.
    messages_wire: Http1Limits,
    lifecycle: Rc<LifecycleMonitor>,
    /// Where streams that outlast this process go, if they may.
    successors: Rc<Successors>,
    slots: Rc<SlotPool>,
    buffered_bytes: Cell<usize>,
    /// Listeners that are open.
    listeners: Cell<usize>,
}

impl Edge {
    /// Without connections yet.
    pub fn new(
        engine: Engine,
        fleet: Rc<Fleet>,
        context: Rc<FrontContext>,
        limits: Rc<Limits>,
        lifecycle: Rc<LifecycleMonitor>,
        successors: Rc<Successors>,
    ) -> Edge {
        let timeouts = SlotTimeouts {
            silent: limits.edge.evict_silent_after,
            receiving: limits.edge.evict_receiving_after,
            idle: limits.edge.evict_idle_after,
            closing: limits.edge.evict_closing_after,
        };
        let slots = Rc::new(SlotPool::new(engine.clone(), timeouts));
        let body_bytes = limits.messages.body_bytes;
        let messages_wire = Http1Limits { body_bytes, ..limits.wire.clone() };
        Edge {
            engine,
            fleet,
            context,
            limits,
            messages_wire,
            lifecycle,
            successors,
            slots,
            buffered_bytes: Cell::new(0),
            listeners: Cell::new(0),
        }
    }

    /// Takes connections for as long as the lifecycle has them accepted, then returns with the listener closed.
    pub async fn listen(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        listener: Async<TcpListener>,
        dialect: Dialect,
    ) {
        self.listeners.set(self.listeners.get() + 1);
        let take = |(stream, from)| {
            let (wire, slot) = (BufferedStream::new(stream), self.slots.acquire());
            ex.spawn(self.clone().connection(wire, from, dialect, slot)).detach();
        };
        while self.lifecycle.accepting().await {
            let next = async {
                // Guards against a crowd that connects and says nothing, or asks once and stays, while others
                // wait to be accepted.
                if self.open() >= self.connection_limit() {
                    return self.slots.evict_and_wait(self.limits.edge.slot_check_interval).await;
                }
                match listener.accept().await {
                    Ok(taken) => take(taken),
                    Err(e) => {
                        // Guards against dying, or spinning, when no descriptor is free.
                        log::warn!("accept-failed: {e}");
                        // None is free in this process. Guards against accepting, and failing, on and on,
                        // while discovery, replicas and operators find none either.
                        if Errno::from_io_error(&e) == Some(Errno::MFILE) {
                            self.run_out();
                        }
                        Timer::after(self.limits.edge.accept_pause).await;
                    }
                }
            };
            future::or(next, self.lifecycle.closed()).await;
        }
        // Guards against a reset of what the system has accepted by now: it is told that this process takes no more.
        while self.lifecycle.owns_accept_queue()
            && self.open() < self.connection_limit()
            && let Some(Ok(taken)) = future::poll_once(listener.accept()).await
        {
            take(taken);
        }
        self.listeners.set(self.listeners.get() - 1);
    }

    /// Stops: requests are still taken for the grace, on the connections that clients have too, since another
    /// gateway may not be there to take them; then listeners and idle edge connections close, and
    /// open requests get their responses.
    pub async fn stop(&self) {
        self.lifecycle.stop();
        self.engine.shut_down_streams(self.limits.stream.shutdown_timeout);
        while !self.lifecycle.is_finished(self.open()) || self.listeners.get() > 0 {
            // Looks again by itself: the listeners wait for the same word, and only one of all hears it.
            let word = future::or(self.slots.freed(), self.lifecycle.changed());
            let _ = within(self.limits.edge.slot_check_interval, word).await;
        }
    }

    /// Takes fewer connections from now on, since there are fewer descriptors than the configuration says.
    fn run_out(&self) {
        let overlap = &self.fleet.overlap;
        if overlap.reduce_limits(self.report().open, self.limits.reserved_descriptors) {
            let ConnectionCounts { edge, replicas } = overlap.limits();
            log::warn!(edge = edge, replicas = replicas; "descriptors-short: raise this process's limit to what limits.sockets says; until then it holds fewer connections");
        }
    }

    /// ConnectionCounts of this process.
    fn connection_limit(&self) -> usize {
        self.fleet.overlap.limits().edge
    }

    /// What this process holds, for the one that follows.
    pub fn report(&self) -> ConnectionReport {
        let open = ConnectionCounts { edge: self.open(), replicas: self.fleet.open() };
        ConnectionReport { open, stopping: self.lifecycle.is_stopping() }
    }

    /// Notes what has become of another process, and what of the memory is this one's since then.
    pub fn overlap(&self, change: impl FnOnce(&Overlap)) {
        let overlap = &self.fleet.overlap;
        change(overlap);
        self.engine.set_stream_budget(overlap.share(self.limits.stream.budget));
    }

    /// Edge connections that are open.
    pub fn open(&self) -> usize {
        self.slots.in_use()
    }
}
