//! One exchange on a client's connection, before and during its response.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use super::after_response::AfterResponse;
use super::buffered_bytes::BufferedBytes;
use super::charge::Charge;
use super::{BufferedStream, Edge, within};
use crate::admission::pipelined::{Disposition, PipelinedInput};
use crate::front::{Responder, Response};
use crate::stream::Disconnect;

/// What a client has sent behind its open request.
pub(super) struct Pipelined {
    pub(super) input: PipelinedInput,
    /// The bytes of it that are accounted for.
    pub(super) counted: BufferedBytes,
}

/// An exchange that has not ended.
pub(super) struct Exchange {
    pub(super) edge: Rc<Edge>,
    pub(super) wire: BufferedStream,
    /// What the client sends behind its request.
    pub(super) pipelined: Pipelined,
    pub(super) responder: Responder,
    pub(super) keep: bool,
    pub(super) model: String,
    pub(super) is_message: bool,
    /// Where the connection is returned after the response.
    pub(super) back: Rc<RefCell<Option<AfterResponse>>>,
    pub(super) from: Instant,
    pub(super) charge: Charge,
}

impl Exchange {
    /// Writes a final response.
    pub(super) async fn respond(mut self, response: Response) {
        let keep = self.keep && self.edge.lifecycle.keeps_connections();
        let bytes = response.bytes(keep);
        let written = within(self.edge.limits.edge.write_timeout, self.wire.write(&bytes)).await;
        if matches!(written, Ok(Ok(()))) {
            self.give_back(keep);
        }
    }

    /// Gives the connection back, which may carry another request or not.
    pub(super) fn give_back(self, keep: bool) {
        *self.back.borrow_mut() =
            Some(if keep { AfterResponse::KeepAlive(self.wire) } else { AfterResponse::Close(self.wire) });
    }

    /// Ready once the client has left. What comes behind its request is read to its end, since the client's own end
    /// comes behind that; it waits in the buffer, up to its bound. A half-close counts as leaving: until something is
    /// written, nobody can tell it from a close.
    pub(super) fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<Disconnect> {
        let Exchange { edge, wire, pipelined: Pipelined { input, counted }, .. } = self;
        loop {
            let had = wire.buf.len();
            let came = match ready!(wire.poll_fill(cx, &edge.limits.wire)) {
                Ok(0) => return Poll::Ready(Disconnect::Closed),
                Err(_) => return Poll::Ready(Disconnect::Reset),
                Ok(count) => count,
            };
            // Guards against crowding out requests that are on their way in: half of their memory stays theirs.
            let has_memory = edge.buffered_bytes.get() + came
                <= edge.fleet.overlap.share(edge.limits.edge.buffered_bytes) / 2;
            match input.received(had, came, has_memory) {
                Disposition::Keep => counted.grow_to(wire.buf.len()),
                Disposition::Drop => wire.buf.truncate(had),
                Disposition::Flood => return Poll::Ready(Disconnect::Reset),
            }
            wire.is_truncated = input.is_truncated();
            // Its end may have come with these bytes.
            wire.recheck_readiness();
        }
    }
}
