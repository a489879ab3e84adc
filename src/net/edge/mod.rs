//! Client connections: the listeners, and the client side of each request.

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
use crate::process::overlap::{ConnectionCounts, ConnectionReport, ProcessLimits};

/// The state that all client connections share.
pub struct EdgeServer {
    engine: Engine,
    fleet: Rc<Fleet>,
    context: Rc<FrontContext>,
    limits: Rc<Limits>,
    /// The HTTP limits of the messages front, which has its own limit on bodies.
    messages_wire: Http1Limits,
    lifecycle: Rc<LifecycleMonitor>,
    /// The processes to which streams that outlast this one may be handed over.
    successors: Rc<Successors>,
    slots: Rc<SlotPool>,
    buffered_bytes: Cell<usize>,
    /// The number of open listeners.
    listeners: Cell<usize>,
}

impl EdgeServer {
    /// Creates the shared state, without connections yet.
    pub fn new(
        engine: Engine,
        fleet: Rc<Fleet>,
        context: Rc<FrontContext>,
        limits: Rc<Limits>,
        lifecycle: Rc<LifecycleMonitor>,
        successors: Rc<Successors>,
    ) -> EdgeServer {
        let timeouts = SlotTimeouts {
            silent: limits.edge.evict_silent_after,
            receiving: limits.edge.evict_receiving_after,
            idle: limits.edge.evict_idle_after,
            closing: limits.edge.evict_closing_after,
        };
        let slots = Rc::new(SlotPool::new(engine.clone(), timeouts));
        let body_bytes = limits.messages.body_bytes;
        let messages_wire = Http1Limits { body_bytes, ..limits.wire.clone() };
        EdgeServer {
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

    /// Accepts connections for as long as the lifecycle allows, then closes the listener and returns.
    pub async fn listen(
        self: Rc<Self>,
        ex: &'static LocalExecutor<'static>,
        listener: Async<TcpListener>,
        dialect: Dialect,
    ) {
        self.listeners.set(self.listeners.get() + 1);
        let accept = |(stream, from)| {
            let (wire, slot) = (BufferedStream::new(stream), self.slots.acquire());
            ex.spawn(self.clone().connection(wire, from, dialect, slot)).detach();
        };
        while self.lifecycle.accepting().await {
            let next = async {
                // Silent and idle connections must not hold all slots while other clients wait to be accepted.
                if self.open_connections() >= self.connection_limit() {
                    return self.slots.evict_and_wait(self.limits.edge.slot_check_interval).await;
                }
                match listener.accept().await {
                    Ok(accepted) => accept(accepted),
                    Err(e) => {
                        // Without a free descriptor, the loop goes on after a pause, and neither ends nor spins.
                        log::warn!("accept-failed: {e}");
                        // No descriptor is free in this process. Lower limits leave some for discovery, replicas
                        // and operators; otherwise accepting would fail again and again, and so would these.
                        if Errno::from_io_error(&e) == Some(Errno::MFILE) {
                            self.lower_connection_limits();
                        }
                        Timer::after(self.limits.edge.accept_pause).await;
                    }
                }
            };
            future::or(next, self.lifecycle.closed()).await;
        }
        // Closing the listener resets connections in its queue. So these are accepted first, and told that this process
        // serves no more requests.
        while self.lifecycle.owns_accept_queue()
            && self.open_connections() < self.connection_limit()
            && let Some(Ok(accepted)) = future::poll_once(listener.accept()).await
        {
            accept(accepted);
        }
        self.listeners.set(self.listeners.get() - 1);
    }

    /// Shuts down gracefully. Requests are still accepted for the grace period, also on open connections, since no other
    /// gateway may be available yet. Then listeners and idle client connections close, and open requests get their
    /// responses.
    pub async fn stop(&self) {
        self.lifecycle.stop();
        self.engine.shut_down_streams(self.limits.stream.shutdown_timeout);
        while !self.lifecycle.is_finished(self.open_connections()) || self.listeners.get() > 0 {
            // Polls as well: the listeners wait for the same notification, which wakes only one waiting task.
            let notification = future::or(self.slots.freed(), self.lifecycle.changed());
            let _ = within(self.limits.edge.slot_check_interval, notification).await;
        }
    }

    /// Lowers the connection limits after a lack of descriptors: fewer are available than the configuration requires.
    fn lower_connection_limits(&self) {
        let process_limits = &self.fleet.process_limits;
        if process_limits.reduce_limits(self.report().open, self.limits.reserved_descriptors) {
            let ConnectionCounts { edge, replicas } = process_limits.limits();
            log::warn!(edge = edge, replicas = replicas; "descriptors-short: lowered the connection limits; raise the descriptor limit of this process to limits.sockets");
        }
    }

    /// The limit on client connections of this process.
    fn connection_limit(&self) -> usize {
        self.fleet.process_limits.limits().edge
    }

    /// The open connections of this process, for its successor.
    pub fn report(&self) -> ConnectionReport {
        let open = ConnectionCounts { edge: self.open_connections(), replicas: self.fleet.open() };
        ConnectionReport { open, stopping: self.lifecycle.is_stopping() }
    }

    /// Records a change of another process, and adjusts this process's share of the stream memory.
    pub fn update_process_limits(&self, change: impl FnOnce(&ProcessLimits)) {
        let process_limits = &self.fleet.process_limits;
        change(process_limits);
        self.engine.set_stream_budget(process_limits.memory_share(self.limits.stream.budget));
    }

    /// The number of open client connections.
    pub fn open_connections(&self) -> usize {
        self.slots.in_use()
    }
}
