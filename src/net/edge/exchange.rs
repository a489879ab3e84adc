//! A client that waits for its answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures_lite::future;

use super::answering::Answering;
use super::charge::Charge;
use super::connection::AfterReply;
use super::held_bytes::HeldBytes;
use super::{BufferedStream, Edge, within};
use crate::admission::pipelined::{Disposition, PipelinedInput};
use crate::engine::{self, FailureReason};
use crate::front::{Reply, Responder, ResponseEncoder};
use crate::net::codec::ParseError;
use crate::net::servers::Batch;
use crate::stream::Leaving;

/// A client waiting for its answer. Each way to answer takes it, so that it gets one.
pub(super) struct Exchange {
    pub(super) edge: Rc<Edge>,
    pub(super) wire: BufferedStream,
    /// What comes behind its request, and the bytes of it that are counted.
    pub(super) pipelined: (PipelinedInput, HeldBytes),
    pub(super) responder: Responder,
    pub(super) keep: bool,
    pub(super) model: String,
    pub(super) whole: bool,
    /// Where the connection goes once it has been answered.
    pub(super) back: Rc<RefCell<Option<AfterReply>>>,
    pub(super) from: Instant,
    pub(super) charge: Charge,
}

impl Exchange {
    async fn reply(mut self, reply: Reply) {
        let keep = self.keep && self.edge.lifecycle.keeps_connections();
        let bytes = reply.bytes(keep);
        let written = within(self.edge.limits.edge_write, self.wire.write(&bytes)).await;
        if matches!(written, Ok(Ok(()))) {
            self.give_back(keep);
        }
    }

    /// Gives the connection back, which may carry another request or not.
    pub(super) fn give_back(self, keep: bool) {
        *self.back.borrow_mut() =
            Some(if keep { AfterReply::KeepAlive(self.wire) } else { AfterReply::Close(self.wire) });
    }
}

impl Exchange {
    /// Ready once the client has left. What comes behind its request is read to its end, since the client's own end
    /// comes behind that; it waits in the buffer, up to its bound. A half-close counts as leaving: until something is
    /// written, nobody can tell it from a close.
    pub(super) fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<Leaving> {
        let Exchange { edge, wire, pipelined: (pipelined, counted), .. } = self;
        loop {
            let had = wire.buf.len();
            let came = match ready!(wire.poll_fill(cx, &edge.limits.wire)) {
                Ok(0) => return Poll::Ready(Leaving::Ended),
                Err(_) => return Poll::Ready(Leaving::Reset),
                Ok(count) => count,
            };
            // Guards against crowding out requests that are on their way in: half of their memory stays theirs.
            let has_memory =
                edge.held_bytes.get() + came <= edge.fleet.overlap.part(edge.limits.held_bytes) / 2;
            match pipelined.received(had, came, has_memory) {
                Disposition::Keep => counted.grow_to(wire.buf.len()),
                Disposition::Drop => wire.buf.truncate(had),
                Disposition::Flood => return Poll::Ready(Leaving::Reset),
            }
            wire.is_truncated = pipelined.is_truncated();
            // Its end may have come with these bytes.
            wire.recheck_readiness();
        }
    }
}

impl engine::Client<Batch> for Exchange {
    type Answer = Answering;

    async fn gone(&mut self) {
        future::poll_fn(|cx| self.poll_gone(cx)).await;
    }

    async fn has_left(&mut self) -> bool {
        self.wire.recheck_readiness();
        future::poll_once(self.gone()).await.is_some()
    }

    async fn left(mut self) {
        if !self.pipelined.0.is_flood() {
            log::debug!(id = self.responder.id, after:? = self.from.elapsed(); "client-gone: before its answer");
            return;
        }
        let what = "more was sent behind this request than is read";
        log::info!(id = self.responder.id, after:? = self.from.elapsed(); "flooded: {what}");
        self.keep = false;
        let reply = self.responder.malformed(ParseError { status: 413, what });
        self.reply(reply).await;
    }

    async fn turn_down(mut self, wait: Duration) {
        log::debug!(id = self.responder.id, after:? = self.from.elapsed(), wait:? = wait; "turn-down: by the module, or for want of time");
        self.charge.ran = false;
        let reply = self.responder.turn_down(wait);
        self.reply(reply).await;
    }

    async fn reject(mut self, status: u16, what: &str) {
        log::info!(id = self.responder.id, status = status; "rejected: {what}");
        self.charge.ran = false;
        let reply = self.responder.bad(status, what);
        self.reply(reply).await;
    }

    async fn fail(mut self, why: FailureReason) {
        log::debug!(id = self.responder.id, after:? = self.from.elapsed(), why:? = why; "failed: by the module");
        if why == FailureReason::TurnedAway {
            self.charge.ran = false;
        }
        let reply = self.responder.failed(why);
        self.reply(reply).await;
    }

    fn begin(self) -> Answering {
        let context = &self.edge.context;
        let encoder = ResponseEncoder::new(
            self.responder.clone(),
            &self.model,
            self.whole,
            context.omissions.clone(),
            &self.edge.limits,
        );
        Answering { exchange: self, encoder, line: Vec::new(), written: 0 }
    }
}
