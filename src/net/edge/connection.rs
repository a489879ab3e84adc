//! A client connection, which carries one exchange after the other until it ends.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future;

use super::after_response::AfterResponse;
use super::charge::Charge;
use super::exchange::Exchange;
use super::request::{IncomingRequest, request_id};
use super::waiting_client::WaitingClient;
use super::{BufferedStream, EdgeServer, within};
use crate::admission::connection_slots::ConnectionState;
use crate::engine;
use crate::front::{AcceptedRequest, Dialect, ForwardedRequest, FrontDecision, Responder, Response};
use crate::net::slot_pool::Slot;
use crate::net::upstream::Dispatch;
use tulipridge_http1::RequestError;

impl EdgeServer {
    /// Serves a connection until it ends.
    pub(super) async fn connection(
        self: Rc<Self>,
        mut wire: BufferedStream,
        from: SocketAddr,
        dialect: Dialect,
        mut slot: Slot,
    ) {
        loop {
            match self.clone().exchange(wire, dialect, from, &mut slot).await {
                Some(AfterResponse::KeepAlive(next)) => wire = next,
                Some(AfterResponse::Close(wire)) => return self.close(wire, slot).await,
                None => return,
            }
            // Frees the memory of a large request while the connection is idle.
            wire.buf.shrink_to(self.limits.wire.read_bytes);
            slot.set_state(ConnectionState::Idle);
        }
    }

    /// Closes a connection after its last response. Data that still arrives is read and dropped for a limited time, or until
    /// the slot is needed, since unread data would cause a reset, which could overtake the response.
    pub(super) async fn close(&self, mut wire: BufferedStream, mut slot: Slot) {
        slot.set_state(ConnectionState::Closing);
        let longest = match self.lifecycle.is_stopping() {
            true => self.limits.wire.linger_quiet,
            false => self.limits.edge.max_closing_time,
        };
        let left = async {
            slot.evicted().await;
            Ok(())
        };
        let _ = future::or(wire.linger(longest, &self.limits.wire), left).await;
    }

    /// Reads one request and sends its response. Returns the connection unless it has ended.
    async fn exchange(
        self: Rc<Self>,
        mut wire: BufferedStream,
        dialect: Dialect,
        from: SocketAddr,
        slot: &mut Slot,
    ) -> Option<AfterResponse> {
        let is_new = slot.silent_since().is_some();
        let IncomingRequest { mut head, body, bytes: _bytes } =
            match self.request(&mut wire, dialect, slot).await {
                Ok(Some(request)) => request,
                // On a new connection no response can be in flight.
                Ok(None) if is_new => return None,
                Ok(None) => return Some(AfterResponse::Close(wire)),
                Err(error) => return self.reject_malformed(wire, dialect, from, error).await,
            };
        slot.set_state(ConnectionState::Serving);
        let crowded = self.slots.is_crowded(self.connection_limit());
        let keep_alive = head.keeps_alive(&head.start[2]) && !crowded && self.lifecycle.keeps_connections();
        let id = self.resolve_request_id(dialect, &mut head);
        let now = self.engine.now();
        let decision = self.context.read_request(now, dialect, &head, &body, &id, self.fleet.dialects());
        let response = match decision {
            FrontDecision::Serve(mut accepted) => {
                let back = Rc::new(RefCell::new(None));
                let headers = std::mem::take(&mut accepted.headers);
                let responder = Responder { dialect, id, is_idempotent: accepted.is_idempotent, headers };
                let may_run = self.lifecycle.admits_requests();
                let charge = self.charge(&mut accepted, may_run);
                let forwarded = Rc::new(ForwardedRequest::from_accepted(
                    &self.context,
                    dialect,
                    head,
                    body,
                    &mut accepted,
                ));
                let client = WaitingClient(Exchange {
                    pipelined: self.pipelined(dialect, &wire),
                    edge: self.clone(),
                    wire,
                    responder,
                    keep_alive,
                    model: accepted.model,
                    is_message: accepted.is_message,
                    back: back.clone(),
                    started_at: Instant::now(),
                    charge,
                });
                if !may_run {
                    engine::Client::shed(client, Duration::ZERO).await;
                    return back.take();
                }
                let dispatch = Dispatch { fleet: self.fleet.clone(), forwarded };
                engine::serve(&self.engine, &accepted.placement, &dispatch, client, &*self).await;
                return back.take();
            }
            FrontDecision::Health if self.lifecycle.is_in_rotation() => {
                Responder::new(dialect, &id).text(200, "ready")
            }
            FrontDecision::Health => Responder::new(dialect, &id).text(503, "not ready"),
            FrontDecision::Respond(response) => {
                log::debug!(id = id, client:% = from, status = response.status; "answered: the front responded without a replica");
                response
            }
        };
        self.write_response(wire, &response, keep_alive).await
    }

    /// Responds to a request that can't be parsed, and closes its connection.
    async fn reject_malformed(
        &self,
        mut wire: BufferedStream,
        dialect: Dialect,
        from: SocketAddr,
        error: RequestError,
    ) -> Option<AfterResponse> {
        let id = request_id(self.engine.generate_id());
        log::info!(id = id, client:% = from, status = error.status(); "bad-request: {error}");
        let bytes = Responder::new(dialect, &id).malformed(error).bytes(false);
        let written = within(self.limits.edge.write_timeout, wire.write(&bytes)).await;
        matches!(written, Ok(Ok(()))).then_some(AfterResponse::Close(wire))
    }

    /// Creates the charge of an accepted request; `may_run` tells whether it will be sent to a replica.
    fn charge(self: &Rc<Self>, accepted: &mut AcceptedRequest, may_run: bool) -> Charge {
        Charge {
            edge: self.clone(),
            grant: accepted.grant.take(),
            prompt: accepted.prompt_tokens,
            output: 0,
            events: 0,
            may_have_run: may_run,
        }
    }

    /// Writes a response that is not a stream; `None` if the client did not take it in time.
    async fn write_response(
        &self,
        mut wire: BufferedStream,
        response: &Response,
        keep_alive: bool,
    ) -> Option<AfterResponse> {
        let bytes = response.bytes(keep_alive);
        match within(self.limits.edge.write_timeout, wire.write(&bytes)).await {
            Ok(Ok(())) if keep_alive => Some(AfterResponse::KeepAlive(wire)),
            Ok(Ok(())) => Some(AfterResponse::Close(wire)),
            _ => None,
        }
    }
}
