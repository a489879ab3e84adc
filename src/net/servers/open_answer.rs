//! A begun answer of a real server: its events as they come, and its end.

use std::net::SocketAddr;
use std::task::{Context, Poll, ready};

use futures_lite::future;

use super::connection::Connection;
use super::{Batch, BufferedStream, Fleet, within};
use crate::engine::{Arrival, Ending, Step};
use crate::front::{Dialect, Usage};
use crate::net::codec::{self, Body};
use crate::stream::End;
use crate::types::{ReplicaId, Verdict};

/// A begun answer.
pub(super) struct OpenAnswer {
    pub(super) server: ReplicaId,
    pub(super) addr: SocketAddr,
    pub(super) connection: Connection,
    pub(super) dialect: Dialect,
    pub(super) body: Body,
    pub(super) keep: bool,
    /// What comes next can't be read.
    pub(super) spoilt: bool,
    /// An event said that the stream failed.
    pub(super) failed: bool,
    /// What came of the stream and is not yet a whole event.
    pub(super) text: Vec<u8>,
    /// How far that was looked through for an event's end.
    pub(super) scanned: usize,
    /// Bytes that came since the last step.
    pub(super) came: usize,
    /// Bytes that came before the first step.
    pub(super) early: usize,
    /// The dialect's last event has come.
    pub(super) last: bool,
    /// The tokens that were told so far.
    pub(super) usage: Option<Usage>,
    pub(super) report: Vec<f64>,
}

impl Fleet {
    /// The first events of an answer whose head is there.
    pub(super) async fn first(&self, open: &mut OpenAnswer) -> Result<Batch, Verdict> {
        loop {
            let amid = !open.text.is_empty() || open.body.is_amid(&open.connection.wire.buf);
            // Guards against a head that nothing follows, and a spoilt start whose connection stays open.
            let patience = if amid { self.limits.head_stall } else { self.limits.stream_opening };
            match within(patience, self.next(open)).await {
                Ok(Ok(batch)) if batch.events == 0 => open.early += std::mem::take(&mut open.came),
                Ok(next) => return next,
                Err(_) if amid => return Err(Verdict::Reset),
                Err(_) => return Err(Verdict::TimedOut),
            }
        }
    }

    /// What comes next of a begun answer: whole events, as many as came together, or none if what came is no
    /// whole one. It waits for as long as it takes; the holder of the stream knows how long that may be.
    async fn next(&self, open: &mut OpenAnswer) -> Result<Batch, Verdict> {
        future::poll_fn(|cx| self.poll_batch(open, cx)).await
    }

    /// The same as a poll.
    pub(super) fn poll_batch(
        &self,
        open: &mut OpenAnswer,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Batch, Verdict>> {
        Poll::Ready(loop {
            let batch = codec::sse_batch(&mut open.text, &mut open.scanned, &self.limits.wire);
            let Ok(mut batch) = batch else {
                open.spoilt = true;
                break Err(Verdict::Reset);
            };
            let events = self.look_through(open, &mut batch);
            if events > 0 {
                break Ok(Batch { dialect: open.dialect, bytes: batch, events, usage: open.usage });
            }
            if open.spoilt {
                break Err(Verdict::Reset);
            }
            let BufferedStream { buf, .. } = &mut open.connection.wire;
            let had = open.text.len();
            match open.body.take(buf, &mut open.text, &self.limits.wire) {
                Ok(true) if open.text.len() == had => {
                    if !open.text.is_empty() {
                        // Comment lines may end the stream without an empty connection.
                        open.text.extend_from_slice(b"\n\n");
                        open.scanned = 0;
                        continue;
                    }
                    break Err(Verdict::Ok);
                }
                Ok(_) if open.text.len() > had => continue,
                Ok(_) => {}
                // What came before the fault is good, and was passed on if it had come alone.
                Err(bad) => {
                    log::debug!(server = &*open.server.0; "spoilt: {bad}");
                    open.spoilt = true;
                    continue;
                }
            }
            if open.came > 0 {
                break Ok(Batch { dialect: open.dialect, bytes: Vec::new(), events: 0, usage: None });
            }
            match ready!(open.connection.wire.poll_fill(cx, &self.limits.wire)) {
                Ok(0) | Err(_) => break Err(Verdict::Reset),
                Ok(count) => open.came += count,
            }
        })
    }

    /// Takes out of whole blocks what is meant for this gateway, and what says nothing. Returns how many are
    /// left to be passed on.
    fn look_through(&self, open: &mut OpenAnswer, batch: &mut Vec<u8>) -> u64 {
        let (mut events, mut blank, mut end) = (0, false, batch.len());
        let mut at = 0;
        for block in codec::sse_blocks(batch) {
            at += block.0.len();
            if block.0[0] == b':' || codec::find(block.0, b"\n:").is_some() {
                for comment in block.comments() {
                    if let Some(text) = comment.strip_prefix("X-Load:") {
                        open.report = (self.gauges)(text);
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
                // What follows the event that says so is of no use.
                (open.failed, end) = (true, at);
                break;
            }
        }
        batch.truncate(end);
        if let Some(usage) = open.dialect.usage(batch) {
            open.usage = Some(open.usage.map_or(usage, |told| told.most(usage)));
        }
        if blank {
            *batch =
                codec::sse_blocks(batch).filter(|b| !b.is_blank()).flat_map(|b| b.0).copied().collect();
        }
        events
    }

    /// Ends a begun answer; its connection may serve again.
    pub(super) fn end(&self, open: OpenAnswer, verdict: Verdict) -> Ending {
        let OpenAnswer { server, addr, mut connection, keep, usage, report, spoilt, .. } = open;
        let kept = usage.and_then(|u| u.kept).map(|kept| kept.min(u64::from(u32::MAX)) as u32);
        connection.wire.reset_on_drop = verdict != Verdict::Ok;
        if verdict == Verdict::Ok && keep {
            self.give_back(&server, addr, connection);
        }
        let end = if spoilt { End::Spoilt } else { Ending::from(verdict).end };
        Ending { verdict, kept, report, end }
    }
}

/// What a batch of a begun answer is to the holder of its stream.
pub(super) fn arrived(open: &mut OpenAnswer, batch: Batch) -> Step<Batch> {
    // A stream that may have to wait for its reader keeps no room for what has not come.
    let buf = &mut open.connection.wire.buf;
    if buf.capacity() > 4 * buf.len() + (1 << 10) {
        buf.shrink_to_fit();
    }
    let inward = open.connection.wire.buf.len() + open.text.len();
    let arrival = Arrival {
        bytes: std::mem::take(&mut open.came) + std::mem::take(&mut open.early),
        events: batch.events,
        inward,
        amid: !open.text.is_empty() || open.body.is_amid(&open.connection.wire.buf),
        last: open.last,
    };
    if open.failed {
        open.keep = false;
    }
    if batch.events > 0 { Step::Events(batch, arrival) } else { Step::Bytes(arrival) }
}
