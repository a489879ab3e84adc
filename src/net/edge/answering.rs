//! A client that is being answered.

use std::os::fd::BorrowedFd;
use std::task::{Context, Poll, ready};

use super::exchange::Exchange;
use crate::engine;
use crate::front::ResponseEncoder;
use crate::net::handover_message::StreamSnapshot;
use crate::net::servers::Batch;
use crate::stream::{Cause, Leaving};

/// A client that is being answered.
pub(super) struct Answering {
    pub(super) exchange: Exchange,
    pub(super) encoder: ResponseEncoder,
    /// What is in line for the client, of which so much is written.
    pub(super) line: Vec<u8>,
    pub(super) written: usize,
}

impl Answering {
    /// Puts bytes in line by way of `add`; returns how many the line has become longer by.
    fn add(&mut self, add: impl FnOnce(&mut ResponseEncoder, &mut Vec<u8>)) -> usize {
        if self.written > 0 {
            self.line.drain(..std::mem::take(&mut self.written));
        }
        let had = self.line.len();
        add(&mut self.encoder, &mut self.line);
        self.line.len() - had
    }

    /// Adds where its client stands, and returns its connection; none if more is held of it than bytes.
    pub(super) fn pack(&self, snapshot: &mut StreamSnapshot) -> Option<BorrowedFd<'_>> {
        if !self.encoder.is_plain() || self.exchange.charge.grant.is_some() {
            return None;
        }
        snapshot.name.clone_from(&self.exchange.responder.id);
        snapshot.waiting[0] = self.line[self.written..].to_vec();
        // Guards against a snapshot that grows with what came behind the request. Its connection ends with the
        // stream: that crosses requests which nobody has looked at.
        let Exchange { wire, edge, keep, .. } = &self.exchange;
        let slight = !wire.is_truncated && wire.buf.len() <= edge.limits.wire.head_bytes;
        snapshot.keep_client = *keep && slight;
        if slight {
            snapshot.waiting[1].clone_from(&wire.buf);
        }
        Some(self.exchange.wire.fd())
    }

    fn taken(&mut self, bytes: usize) {
        self.written += bytes;
        if self.written == self.line.len() {
            self.written = 0;
            self.line.clear();
            // What a burst needed is not kept while the stream rests.
            self.line.shrink_to(self.exchange.edge.limits.wire.read_bytes);
        }
    }
}

impl engine::Answer<Batch> for Answering {
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<Leaving> {
        self.exchange.poll_gone(cx)
    }

    fn gathers(&self) -> bool {
        self.encoder.is_whole()
    }

    fn holds(&self) -> usize {
        self.encoder.holds()
    }

    fn is_full(&self) -> bool {
        self.encoder.is_full()
    }

    fn put(&mut self, batch: Batch) -> usize {
        self.exchange.charge.passed(&batch);
        if !self.encoder.is_whole() {
            // No more room than the events need: the line of a paused reader is kept for long. What frames them is
            // shorter than a head.
            self.line.reserve_exact(batch.bytes.len() + 256);
        }
        let keep = self.exchange.keep;
        self.add(|encoder, line| encoder.events(batch.dialect, &batch.bytes, keep, line))
    }

    fn put_end(&mut self, cause: Cause) -> usize {
        if cause == Cause::Whole {
            self.exchange.charge.whole();
        }
        let keep = self.exchange.keep;
        self.add(|encoder, line| encoder.end(cause, keep, line))
    }

    fn poll_take(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize, Leaving>> {
        let taken = ready!(self.exchange.wire.poll_write(cx, &self.line[self.written..]));
        Poll::Ready(match taken {
            Ok(count) => {
                self.taken(count);
                Ok(count)
            }
            Err(_) => Err(Leaving::Reset),
        })
    }

    fn finish(self) {
        // One that was told that it stays closes by the lifecycle, like others at rest.
        let keep = self.exchange.keep;
        self.exchange.give_back(keep);
    }

    fn break_off(self) {
        self.exchange.wire.write_now(&self.line[self.written..]);
        self.exchange.give_back(false);
    }
}
