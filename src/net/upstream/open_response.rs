//! A response of a replica whose head has arrived: its events as they arrive, and its end.

use std::net::SocketAddr;
use std::task::{Context, Poll, ready};

use futures_lite::future;

use super::connection::Connection;
use super::{Batch, BufferedStream, Fleet, within};
use crate::engine::{Arrival, AttemptOutcome, AttemptUpdate};
use crate::front::{Dialect, Usage};
use crate::net::codec::{self, Body};
use crate::stream::End;
use crate::types::{ReplicaId, Verdict};

/// A response whose head has arrived.
pub(super) struct OpenResponse {
    pub(super) replica: ReplicaId,
    pub(super) addr: SocketAddr,
    pub(super) connection: Connection,
    pub(super) dialect: Dialect,
    pub(super) body: Body,
    pub(super) keep: bool,
    /// The next data can't be parsed.
    pub(super) malformed: bool,
    /// An event reported that the stream failed.
    pub(super) failed: bool,
    /// Data of an incomplete event.
    pub(super) text: Vec<u8>,
    /// The length of the part of `text` that was searched for the end of an event.
    pub(super) scanned: usize,
    /// Bytes received since the last update.
    pub(super) received: usize,
    /// Bytes received before the first update.
    pub(super) received_early: usize,
    /// The dialect's last event has arrived.
    pub(super) last: bool,
    /// The token usage stated so far.
    pub(super) usage: Option<Usage>,
    pub(super) report: Vec<f64>,
}

impl Fleet {
    /// The first events of a response whose head has arrived.
    pub(super) async fn first(&self, open: &mut OpenResponse) -> Result<Batch, Verdict> {
        loop {
            let amid = !open.text.is_empty() || open.body.is_amid(&open.connection.wire.buf);
            // One limit applies to the wait for the first event, another once the event or its framing has arrived in part.
            let limit = if amid {
                self.limits.replicas.partial_head_timeout
            } else {
                self.limits.replicas.first_event_timeout
            };
            match within(limit, self.next(open)).await {
                Ok(Ok(batch)) if batch.events == 0 => {
                    open.received_early += std::mem::take(&mut open.received);
                }
                Ok(next) => return next,
                Err(_) if amid => return Err(Verdict::Reset),
                Err(_) => return Err(Verdict::TimedOut),
            }
        }
    }

    /// Reads the next data of a response: all complete events that arrived together, or none if there is no complete one.
    /// It has no time limit; the owner of the stream applies its own.
    async fn next(&self, open: &mut OpenResponse) -> Result<Batch, Verdict> {
        future::poll_fn(|cx| self.poll_batch(open, cx)).await
    }

    /// The poll function of `next`.
    pub(super) fn poll_batch(
        &self,
        open: &mut OpenResponse,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Batch, Verdict>> {
        Poll::Ready(loop {
            let batch = codec::sse_batch(&mut open.text, &mut open.scanned, &self.limits.wire);
            let Ok(mut batch) = batch else {
                open.malformed = true;
                break Err(Verdict::Reset);
            };
            let events = self.filter_events(open, &mut batch);
            if events > 0 {
                break Ok(Batch { dialect: open.dialect, bytes: batch, events, usage: open.usage });
            }
            if open.malformed {
                break Err(Verdict::Reset);
            }
            let BufferedStream { buf, .. } = &mut open.connection.wire;
            let had = open.text.len();
            match open.body.take(buf, &mut open.text, &self.limits.wire) {
                Ok(true) if open.text.len() == had => {
                    if !open.text.is_empty() {
                        // A stream may end with comment lines and no blank line.
                        open.text.extend_from_slice(b"\n\n");
                        open.scanned = 0;
                        continue;
                    }
                    break Err(Verdict::Ok);
                }
                Ok(_) if open.text.len() > had => continue,
                Ok(_) => {}
                // Data before the error is valid and is forwarded first.
                Err(bad) => {
                    log::debug!(replica = &*open.replica.0; "malformed-response: the framing of the body is invalid: {bad}");
                    open.malformed = true;
                    continue;
                }
            }
            if open.received > 0 {
                break Ok(Batch { dialect: open.dialect, bytes: Vec::new(), events: 0, usage: None });
            }
            match ready!(open.connection.wire.poll_fill(cx, &self.limits.wire)) {
                Ok(0) | Err(_) => break Err(Verdict::Reset),
                Ok(count) => open.received += count,
            }
        })
    }

    /// Removes blank blocks and reads the load reports, the token usage and the errors. Returns the number of events to
    /// forward.
    fn filter_events(&self, open: &mut OpenResponse, batch: &mut Vec<u8>) -> u64 {
        let (mut events, mut blank, mut end) = (0, false, batch.len());
        let mut at = 0;
        for block in codec::sse_blocks(batch) {
            at += block.0.len();
            if block.0[0] == b':' || codec::find(block.0, b"\n:").is_some() {
                for comment in block.comments() {
                    if let Some(text) = comment.strip_prefix("X-Load:") {
                        open.report = (self.read_load)(text);
                    }
                }
            }
            if block.is_blank() {
                blank = true;
                continue;
            }
            events += 1;
            open.last |= open.dialect.is_last(block);
            if open.dialect.is_error(block) {
                // Data after an error event is dropped.
                (open.failed, end) = (true, at);
                break;
            }
        }
        batch.truncate(end);
        if let Some(usage) = open.dialect.usage(batch) {
            open.usage = Some(open.usage.map_or(usage, |known| known.max(usage)));
        }
        if blank {
            *batch =
                codec::sse_blocks(batch).filter(|b| !b.is_blank()).flat_map(|b| b.0).copied().collect();
        }
        events
    }

    /// Ends a response and returns its connection to the pool if it can be reused.
    pub(super) fn end(&self, open: OpenResponse, verdict: Verdict) -> AttemptOutcome {
        let OpenResponse { replica, addr, mut connection, keep, usage, report, malformed, .. } = open;
        let cached_tokens =
            usage.and_then(|u| u.cached).map(|cached| cached.min(u64::from(u32::MAX)) as u32);
        connection.wire.reset_on_drop = verdict != Verdict::Ok;
        if verdict == Verdict::Ok && keep {
            self.give_back(&replica, addr, connection);
        }
        let end = if malformed { End::Malformed } else { AttemptOutcome::from(verdict).end };
        AttemptOutcome { verdict, cached_tokens, load_report: report, end }
    }
}

/// Converts a batch of a response to an update of its attempt.
pub(super) fn attempt_update(open: &mut OpenResponse, batch: Batch) -> AttemptUpdate<Batch> {
    // Frees unused capacity, since a stream may wait for a slow client for a long time.
    let buf = &mut open.connection.wire.buf;
    if buf.capacity() > 4 * buf.len() + (1 << 10) {
        buf.shrink_to_fit();
    }
    let replica_buffered = open.connection.wire.buf.len() + open.text.len();
    let arrival = Arrival {
        bytes: std::mem::take(&mut open.received) + std::mem::take(&mut open.received_early),
        events: batch.events,
        replica_buffered,
        is_partial: !open.text.is_empty() || open.body.is_amid(&open.connection.wire.buf),
        is_last: open.last,
    };
    if open.failed {
        open.keep = false;
    }
    if batch.events > 0 { AttemptUpdate::Events(batch, arrival) } else { AttemptUpdate::Bytes(arrival) }
}
