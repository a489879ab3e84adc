//! One connection to a replica. A request is written while its answer may already come.

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};

use tulipridge_http1::codec::Head;
use tulipridge_http1::{BufferedStream, Http1Limits};

use crate::replica::outcome::ConnectionState;
use crate::replica::pool::Slot;

/// A connection to a replica. Unless it is given back to its pool, it is reset when it is dropped, so that the
/// replica drops what it was asked.
pub struct Connection {
    /// What was read and not yet taken, and the socket.
    pub wire: BufferedStream,
    /// The part of the request that the answer has overtaken.
    unsent: Unsent,
    /// Worse than clean if it is not to be used again.
    state: ConnectionState,
    _slot: Slot,
}

/// Bytes that are still to be written.
#[derive(Default)]
struct Unsent {
    bytes: Vec<u8>,
    written: usize,
}

impl Unsent {
    fn rest(&self) -> &[u8] {
        &self.bytes[self.written..]
    }
}

/// How far a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// All of it.
    Whole,
    /// The head and a part of the body; bytes came from the replica, and the rest goes out while they are read.
    Overtaken,
    /// The head and a part of the body; then the connection failed. Bytes may have come before.
    CutInBody,
    /// Not even the head.
    CutInHead,
}

/// Why the writing of a request has stopped.
enum Stop {
    Whole,
    BytesCame,
    Failed,
}

impl Connection {
    /// A connection that has just come up.
    #[must_use]
    pub fn new(wire: BufferedStream, slot: Slot) -> Connection {
        Connection { wire, unsent: Unsent::default(), state: ConnectionState::Clean, _slot: slot }
    }

    /// Notes what stands against using the connection again.
    pub fn mark(&mut self, state: ConnectionState) {
        self.state = state;
    }

    /// What a whole answer with this head leaves of the connection.
    #[must_use]
    pub fn state_after(&self, head: &Head) -> ConnectionState {
        match self.state {
            ConnectionState::Clean if !self.unsent.rest().is_empty() => ConnectionState::RestDue,
            ConnectionState::Clean if !self.wire.buf.is_empty() => ConnectionState::Surplus,
            ConnectionState::Clean if !head.keeps_alive(&head.start[0]) => ConnectionState::ClosedByReplica,
            state => state,
        }
    }

    /// Writes a request, up to the first bytes that come from the replica.
    pub async fn send(&mut self, head: &[u8], body: &[u8], limits: &Http1Limits) -> Sent {
        let mut written = 0;
        let stop = poll_fn(|context| self.poll_send(context, head, body, &mut written, limits)).await;
        match stop {
            Stop::Whole => Sent::Whole,
            // What came can't be an answer to it.
            _ if written < head.len() => Sent::CutInHead,
            Stop::BytesCame => {
                self.unsent = Unsent { bytes: body[written - head.len()..].to_vec(), written: 0 };
                Sent::Overtaken
            }
            Stop::Failed => {
                self.mark(ConnectionState::RestDue);
                Sent::CutInBody
            }
        }
    }

    fn poll_send(
        &mut self,
        context: &mut Context<'_>,
        head: &[u8],
        body: &[u8],
        written: &mut usize,
        limits: &Http1Limits,
    ) -> Poll<Stop> {
        while *written < head.len() + body.len() {
            let head_left = &head[(*written).min(head.len())..];
            let body_left = &body[written.saturating_sub(head.len())..];
            match self.wire.poll_write_both(context, head_left, body_left) {
                Poll::Ready(Ok(count)) => *written += count,
                Poll::Ready(Err(_)) => return Poll::Ready(Stop::Failed),
                Poll::Pending => {
                    return self.wire.poll_fill(context, limits).map(|read| match read {
                        Ok(count) if count > 0 => Stop::BytesCame,
                        _ => Stop::Failed,
                    });
                }
            }
        }
        Poll::Ready(Stop::Whole)
    }

    /// Reads what is there, or waits for some; 0 is the replica's end.
    pub async fn fill(&mut self, limits: &Http1Limits) -> io::Result<usize> {
        poll_fn(|context| self.poll_fill(context, limits)).await
    }

    /// The same as a poll. What is left of the request goes out meanwhile.
    pub fn poll_fill(
        &mut self,
        context: &mut Context<'_>,
        limits: &Http1Limits,
    ) -> Poll<io::Result<usize>> {
        self.poll_unsent(context);
        self.wire.poll_fill(context, limits)
    }

    fn poll_unsent(&mut self, context: &mut Context<'_>) {
        while !self.unsent.rest().is_empty() {
            match self.wire.poll_write(context, self.unsent.rest()) {
                Poll::Ready(Ok(count)) => self.unsent.written += count,
                Poll::Ready(Err(_)) => {
                    // The answer may be there all the same.
                    self.unsent = Unsent::default();
                    self.mark(ConnectionState::RestDue);
                }
                Poll::Pending => return,
            }
        }
        if !self.unsent.bytes.is_empty() {
            self.unsent = Unsent::default();
        }
    }
}
