//! The management address: whether this process can serve requests, and calls that start and end a drain.
//!
//! Each connection carries one call. Callers have their own connection slots, so that client connections can't block a
//! call. When all of these slots are in use, the connection that needs its slot least is evicted, so that other
//! callers can't block one.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;

use super::codec::{self, Head, ParseError};
use super::lifecycle_monitor::LifecycleMonitor;
use super::slot_pool::{Slot, SlotPool};
use super::{BufferedStream, within};
use crate::admission::connection_slots::{ConnectionState, SlotTimeouts};
use crate::engine::Engine;
use crate::front::Response;
use crate::limits::Limits;

/// The state that all management connections share.
pub struct ManagementServer {
    lifecycle: Rc<LifecycleMonitor>,
    limits: Rc<Limits>,
    slots: Rc<SlotPool>,
}

impl ManagementServer {
    /// Creates the state, without connections yet.
    pub fn new(engine: Engine, lifecycle: Rc<LifecycleMonitor>, limits: Rc<Limits>) -> ManagementServer {
        let timeouts = SlotTimeouts {
            silent: limits.management.evict_silent_after,
            receiving: limits.management.evict_receiving_after,
            idle: limits.management.evict_silent_after,
            closing: limits.edge.evict_closing_after,
        };
        ManagementServer { lifecycle, limits, slots: Rc::new(SlotPool::new(engine, timeouts)) }
    }

    /// Accepts calls for the life of the process.
    pub async fn listen(self: Rc<Self>, ex: &'static LocalExecutor<'static>, listener: Async<TcpListener>) {
        loop {
            if self.slots.in_use() >= self.limits.management.connections {
                self.slots.evict_and_wait(self.limits.management.evict_silent_after).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, from)) => {
                    let (this, slot) = (self.clone(), self.slots.acquire());
                    ex.spawn(async move {
                        let evicted = slot.evicted();
                        future::or(this.call(stream, from, slot), evicted).await;
                    })
                    .detach();
                }
                Err(e) => {
                    log::warn!("mgmt-accept-failed: {e}");
                    Timer::after(self.limits.edge.accept_pause).await;
                }
            }
        }
    }

    /// Reads one call and responds to it, also if the call is invalid or incomplete at its time limit.
    async fn call(&self, stream: Async<TcpStream>, from: SocketAddr, mut slot: Slot) {
        let mut wire = BufferedStream::new(stream);
        let head = within(self.limits.management.read_timeout, self.head(&mut wire, &mut slot)).await;
        let response = match head {
            Ok(Ok(Some(head))) => self.respond(&head, from),
            Ok(Ok(None)) => return,
            Ok(Err(error)) => Response::text(error.status(), error.message()),
            Err(_) => Response::text(408, "the call took too long to arrive"),
        };
        slot.set_state(ConnectionState::Serving);
        let written =
            within(self.limits.management.write_timeout, wire.write(&response.bytes(false))).await;
        if matches!(written, Ok(Ok(()))) {
            // Reads a body that was sent with the call, since a reset could overtake the response.
            slot.set_state(ConnectionState::Closing);
            let _ = wire.linger(self.limits.edge.max_closing_time, &self.limits.wire).await;
        }
    }

    /// Reads the head of a call; the body is not used. `None`: the caller disconnected.
    async fn head(&self, wire: &mut BufferedStream, slot: &mut Slot) -> Result<Option<Head>, ParseError> {
        loop {
            if let Some(head) = codec::request_head(&mut wire.buf, &self.limits.wire)? {
                return Ok(Some(head));
            }
            if !wire.fill(&self.limits.wire).await.is_ok_and(|n| n > 0) {
                return Ok(None);
            }
            slot.set_state(ConnectionState::Receiving);
        }
    }

    fn respond(&self, head: &Head, from: SocketAddr) -> Response {
        let [method, target, _] = &head.start;
        let path = target.split('?').next().unwrap_or_default();
        let (expected_method, handler): (&str, fn(&ManagementServer) -> Response) = match path {
            "/ready" => ("GET", ManagementServer::ready),
            "/drain" => ("POST", ManagementServer::drain),
            "/undrain" => ("POST", ManagementServer::undrain),
            _ => return Response::text(404, "no such call: GET /ready, POST /drain, POST /undrain"),
        };
        if method != expected_method {
            return Response::text(405, "not that method").with_header("Allow", expected_method);
        }
        let response = handler(self);
        if expected_method == "POST" {
            log::info!(call = path, client:% = from, status = response.status; "mgmt-call: handled a management call");
        }
        response
    }

    fn ready(&self) -> Response {
        if self.lifecycle.can_serve() {
            Response::text(200, "ready")
        } else {
            Response::text(503, "not ready")
        }
    }

    fn drain(&self) -> Response {
        match self.lifecycle.drain() {
            Ok(()) => Response::text(200, "drained: clients go elsewhere"),
            Err(_) => Response::text(409, "stopping: it is emptied and ends"),
        }
    }

    fn undrain(&self) -> Response {
        match self.lifecycle.undrain() {
            Ok(()) => Response::text(200, "clients may come"),
            Err(_) => Response::text(409, "stopping: it takes no clients any more"),
        }
    }
}
