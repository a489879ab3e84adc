//! A client that is receiving its response.

use std::os::fd::BorrowedFd;
use std::task::{Context, Poll, ready};

use super::exchange::Exchange;
use crate::engine;
use crate::front::ResponseEncoder;
use crate::net::handover_message::StreamSnapshot;
use crate::net::upstream::Batch;
use crate::stream::{Cause, Disconnect};

/// Upper bound of the bytes that frame a batch of events.
const FRAMING_BYTES: usize = 256;

/// A client that is receiving its response.
pub(super) struct RespondingClient {
    pub(super) exchange: Exchange,
    pub(super) encoder: ResponseEncoder,
    /// Queued bytes for the client, of which `written` are written.
    pub(super) out: Vec<u8>,
    pub(super) written: usize,
}

impl RespondingClient {
    /// Queues the bytes that `add` appends; returns their number.
    fn add(&mut self, add: impl FnOnce(&mut ResponseEncoder, &mut Vec<u8>)) -> usize {
        if self.written > 0 {
            self.out.drain(..std::mem::take(&mut self.written));
        }
        let length_before = self.out.len();
        add(&mut self.encoder, &mut self.out);
        self.out.len() - length_before
    }

    /// Writes the client's state into a snapshot and returns its connection; `None` if it has state that can't be handed
    /// over.
    pub(super) fn write_snapshot(&self, snapshot: &mut StreamSnapshot) -> Option<BorrowedFd<'_>> {
        if !self.encoder.is_plain() || self.exchange.charge.grant.is_some() {
            return None;
        }
        snapshot.name.clone_from(&self.exchange.responder.id);
        snapshot.buffers.to_client = self.out[self.written..].to_vec();
        // Pipelined bytes beyond a head are not handed over, so that the snapshot stays small; the connection then ends
        // with the stream.
        let Exchange { wire, edge, keep_alive, .. } = &self.exchange;
        let is_small = !wire.is_truncated && wire.buf.len() <= edge.limits.wire.head_bytes;
        snapshot.keep_client = *keep_alive && is_small;
        if is_small {
            snapshot.buffers.from_client.clone_from(&wire.buf);
        }
        Some(self.exchange.wire.fd())
    }

    fn record_written(&mut self, bytes: usize) {
        self.written += bytes;
        if self.written == self.out.len() {
            self.written = 0;
            self.out.clear();
            // Frees the memory of a burst.
            self.out.shrink_to(self.exchange.edge.limits.wire.read_bytes);
        }
    }
}

impl engine::ResponseSink<Batch> for RespondingClient {
    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<Disconnect> {
        self.exchange.poll_disconnect(cx)
    }

    fn is_assembled(&self) -> bool {
        self.encoder.is_message()
    }

    fn buffered_bytes(&self) -> usize {
        self.encoder.buffered_bytes()
    }

    fn is_full(&self) -> bool {
        self.encoder.is_full()
    }

    fn queue(&mut self, batch: Batch) -> usize {
        self.exchange.charge.record(&batch);
        if !self.encoder.is_message() {
            // Reserves no more than the events need, since the queue of a slow client may exist for a long time.
            self.out.reserve_exact(batch.bytes.len() + FRAMING_BYTES);
        }
        let keep_alive = self.exchange.keep_alive;
        self.add(|encoder, out| encoder.events(batch.dialect, &batch.bytes, keep_alive, out))
    }

    fn queue_end(&mut self, cause: Cause) -> usize {
        if cause == Cause::Complete {
            self.exchange.charge.complete();
        }
        let keep_alive = self.exchange.keep_alive;
        self.add(|encoder, out| encoder.end(cause, keep_alive, out))
    }

    fn poll_write(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize, Disconnect>> {
        let written = ready!(self.exchange.wire.poll_write(cx, &self.out[self.written..]));
        Poll::Ready(match written {
            Ok(count) => {
                self.record_written(count);
                Ok(count)
            }
            Err(_) => Err(Disconnect::Reset),
        })
    }

    fn finish(self) {
        // A connection that was announced as kept alive stays open; the lifecycle closes it like other idle ones.
        let keep_alive = self.exchange.keep_alive;
        self.exchange.give_back(keep_alive);
    }

    fn abort(self) {
        self.exchange.wire.write_now(&self.out[self.written..]);
        self.exchange.give_back(false);
    }
}
