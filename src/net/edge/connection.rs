//! A client's connection: one exchange after the other until it ends.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future;

use super::charge::Charge;
use super::exchange::Exchange;
use super::request::{IncomingRequest, request_id};
use super::{BufferedStream, Edge, within};
use crate::admission::connection_slots::ConnectionState;
use crate::engine;
use crate::front::{AcceptedRequest, Call, Dialect, ForwardedRequest, Reply, Responder};
use crate::net::codec::ParseError;
use crate::net::servers::Dispatch;
use crate::net::slot_pool::Slot;

/// What becomes of a connection once it has been answered.
pub(super) enum AfterReply {
    /// It may carry another request.
    KeepAlive(BufferedStream),
    /// That was its last answer, which may still be on its way.
    Close(BufferedStream),
}

impl Edge {
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
                Some(AfterReply::KeepAlive(next)) => wire = next,
                Some(AfterReply::Close(wire)) => return self.close(wire, slot).await,
                None => return,
            }
            // What a large request needed is not kept while the connection rests.
            wire.buf.shrink_to(self.limits.wire.read_bytes);
            slot.set_state(ConnectionState::Idle);
        }
    }

    /// Ends a connection that was answered. Guards against a reset that overtakes the answer: what still comes is
    /// read and dropped for a while, unless the slot is needed sooner.
    pub(super) async fn close(&self, mut wire: BufferedStream, mut slot: Slot) {
        slot.set_state(ConnectionState::Closing);
        let longest = match self.lifecycle.is_stopping() {
            true => self.limits.wire.linger_quiet,
            false => self.limits.linger,
        };
        let left = async {
            slot.evicted().await;
            Ok(())
        };
        let _ = future::or(wire.linger(longest, &self.limits.wire), left).await;
    }

    /// One request and its answer; the connection comes back unless there is nothing more to be done for it.
    async fn exchange(
        self: Rc<Self>,
        mut wire: BufferedStream,
        dialect: Dialect,
        from: SocketAddr,
        slot: &mut Slot,
    ) -> Option<AfterReply> {
        let is_new = slot.silent_since().is_some();
        let IncomingRequest { mut head, body, bytes: _bytes } =
            match self.request(&mut wire, dialect, slot).await {
                Ok(Some(request)) => request,
                // On one that has carried nothing no answer can be on its way.
                Ok(None) if is_new => return None,
                Ok(None) => return Some(AfterReply::Close(wire)),
                Err(error) => return self.reject_malformed(wire, dialect, from, error).await,
            };
        slot.set_state(ConnectionState::Serving);
        let crowded = self.slots.is_crowded(self.places());
        let keep = head.keeps_alive(&head.start[2]) && !crowded && self.lifecycle.keeps_connections();
        let id = self.name(dialect, &mut head);
        let now = self.engine.now();
        let call = self.context.call(now, dialect, &head, &body, &id, self.fleet.dialects());
        let reply = match call {
            Call::Serve(mut accepted) => {
                let back = Rc::new(RefCell::new(None));
                let headers = std::mem::take(&mut accepted.headers);
                let responder = Responder { dialect, id, safe: accepted.safe, headers };
                let placed = self.lifecycle.takes_requests();
                let charge = self.charge(&mut accepted, placed);
                let forwarded =
                    Rc::new(ForwardedRequest::ordered(&self.context, dialect, head, body, &mut accepted));
                let client = Exchange {
                    pipelined: self.pipelined(dialect, &wire),
                    edge: self.clone(),
                    wire,
                    responder,
                    keep,
                    model: accepted.model,
                    whole: accepted.whole,
                    back: back.clone(),
                    from: Instant::now(),
                    charge,
                };
                if !placed {
                    engine::Client::turn_down(client, Duration::ZERO).await;
                    return back.take();
                }
                let servers = Dispatch { fleet: self.fleet.clone(), forwarded };
                engine::serve(&self.engine, &accepted.ask, &servers, client, &*self).await;
                return back.take();
            }
            Call::Health if self.lifecycle.wants_clients() => {
                Responder::new(dialect, &id).note(200, "ready")
            }
            Call::Health => Responder::new(dialect, &id).note(503, "not ready"),
            Call::Reply(reply) => {
                log::debug!(id = id, client:% = from, status = reply.status; "answered: by the front alone");
                reply
            }
        };
        self.write_reply(wire, &reply, keep).await
    }

    /// Answers a request that can't be read, and closes its connection.
    async fn reject_malformed(
        &self,
        mut wire: BufferedStream,
        dialect: Dialect,
        from: SocketAddr,
        error: ParseError,
    ) -> Option<AfterReply> {
        let id = request_id(self.engine.fresh_id());
        log::info!(id = id, client:% = from, status = error.status; "bad-request: {}", error.what);
        let bytes = Responder::new(dialect, &id).malformed(error).bytes(false);
        let written = within(self.limits.edge_write, wire.write(&bytes)).await;
        matches!(written, Ok(Ok(()))).then_some(AfterReply::Close(wire))
    }

    /// What an accepted request is charged with, from its tenant's grant; `ran` says whether it will be placed.
    fn charge(self: &Rc<Self>, accepted: &mut AcceptedRequest, ran: bool) -> Charge {
        Charge {
            edge: self.clone(),
            grant: accepted.grant.take(),
            prompt: accepted.prompt,
            answer: 0,
            events: 0,
            ran,
        }
    }

    /// Writes an answer that is no stream; `None` if the client did not take it in time.
    async fn write_reply(&self, mut wire: BufferedStream, reply: &Reply, keep: bool) -> Option<AfterReply> {
        let bytes = reply.bytes(keep);
        match within(self.limits.edge_write, wire.write(&bytes)).await {
            Ok(Ok(())) if keep => Some(AfterReply::KeepAlive(wire)),
            Ok(Ok(())) => Some(AfterReply::Close(wire)),
            _ => None,
        }
    }
}
