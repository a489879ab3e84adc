//! One exchange on a client connection, before and during its response.

use std::cell::RefCell;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use super::after_response::AfterResponse;
use super::buffered_bytes::BufferedBytes;
use super::charge::Charge;
use super::{BufferedStream, EdgeServer, within};
use crate::admission::pipelined::{Disposition, PipelinedInput};
use crate::front::{Responder, Response};
use crate::stream::Disconnect;

/// Data that a client has sent behind its open request.
pub(super) struct Pipelined {
    pub(super) input: PipelinedInput,
    /// Counts these bytes as buffered.
    pub(super) counted: BufferedBytes,
}

/// An exchange in progress.
pub(super) struct Exchange {
    pub(super) edge: Rc<EdgeServer>,
    pub(super) wire: BufferedStream,
    /// Data that the client sends behind its request.
    pub(super) pipelined: Pipelined,
    pub(super) responder: Responder,
    /// Whether the connection may carry another request after this one; a drain or shutdown can still prevent it.
    pub(super) keep_alive: bool,
    pub(super) model: String,
    pub(super) is_message: bool,
    /// Where the connection is returned after the response.
    pub(super) back: Rc<RefCell<Option<AfterResponse>>>,
    pub(super) started_at: Instant,
    pub(super) charge: Charge,
}

impl Exchange {
    /// Writes a final response.
    pub(super) async fn respond(mut self, response: Response) {
        let keep_alive = self.keep_alive && self.edge.lifecycle.keeps_connections();
        let bytes = response.bytes(keep_alive);
        let written = within(self.edge.limits.edge.write_timeout, self.wire.write(&bytes)).await;
        if matches!(written, Ok(Ok(()))) {
            self.give_back(keep_alive);
        }
    }

    /// Returns the connection; `keep_alive` tells whether it may carry another request.
    pub(super) fn give_back(self, keep_alive: bool) {
        *self.back.borrow_mut() = Some(if keep_alive {
            AfterResponse::KeepAlive(self.wire)
        } else {
            AfterResponse::Close(self.wire)
        });
    }

    /// Ready once the client has disconnected. Data behind the request is read to its end and buffered up to a limit, since
    /// the end of the connection arrives behind that data. A half-close counts as a disconnect: until something is
    /// written, it can't be told from a close.
    pub(super) fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<Disconnect> {
        let Exchange { edge, wire, pipelined: Pipelined { input, counted }, .. } = self;
        loop {
            let had = wire.buf.len();
            let received = match ready!(wire.poll_fill(cx, &edge.limits.wire)) {
                Ok(0) => return Poll::Ready(Disconnect::Closed),
                Err(_) => return Poll::Ready(Disconnect::Reset),
                Ok(count) => count,
            };
            // Pipelined data may use half of the memory for requests; the other half stays for requests that are being read.
            let has_memory = edge.buffered_bytes.get() + received
                <= edge.fleet.process_limits.memory_share(edge.limits.edge.buffered_bytes) / 2;
            match input.received(had, received, has_memory) {
                Disposition::Keep => counted.set_count(wire.buf.len()),
                Disposition::Drop => wire.buf.truncate(had),
                Disposition::Flood => return Poll::Ready(Disconnect::Reset),
            }
            wire.is_truncated = input.is_truncated();
            // The end of the connection may have arrived with these bytes.
            wire.recheck_readiness();
        }
    }
}
