//! A connection to a replica. The response may begin while the request is still being written.

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};

use tulipridge_http1::codec::Head;
use tulipridge_http1::{BufferedStream, Http1Limits};

use crate::replica::connection_state::ConnectionState;
use crate::replica::permit::ConnectionPermit;

/// A connection to a replica. Unless it is returned to the pool, it is reset on drop, so that the replica cancels the
/// request.
pub struct Connection {
    /// The socket, with the bytes that were read and not yet decoded.
    pub stream: BufferedStream,
    /// The rest of a request whose response began before the request was written completely.
    unsent: Unsent,
    /// `Clean`, or the reason why the connection must not be reused.
    state: ConnectionState,
    _permit: ConnectionPermit,
}

/// Bytes of a request body, of which a part is still to be written.
#[derive(Default)]
struct Unsent {
    bytes: Vec<u8>,
    written: usize,
}

impl Unsent {
    fn remaining(&self) -> &[u8] {
        &self.bytes[self.written..]
    }
}

/// How much of a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// The complete request.
    Complete,
    /// The head and possibly a part of the body, before the response began. The rest is written while the response is
    /// read.
    ResponseStarted,
    /// The head and possibly a part of the body, before the connection failed. The replica may have responded before.
    BrokenInBody,
    /// At most a part of the head.
    BrokenInHead,
}

/// Why the write of a request ended.
enum WriteEnd {
    Complete,
    ResponseStarted,
    Failed,
}

impl Connection {
    /// A newly established connection.
    #[must_use]
    pub fn new(stream: BufferedStream, permit: ConnectionPermit) -> Connection {
        Connection { stream, unsent: Unsent::default(), state: ConnectionState::Clean, _permit: permit }
    }

    /// Prevents the reuse of the connection after the response, and records the reason.
    pub fn forbid_reuse(&mut self, reason: ConnectionState) {
        self.state = reason;
    }

    /// The state of the connection after a complete response with this head.
    #[must_use]
    pub fn state_after(&self, head: &Head) -> ConnectionState {
        match self.state {
            ConnectionState::Clean if !self.unsent.remaining().is_empty() => {
                ConnectionState::RequestIncomplete
            }
            ConnectionState::Clean if !self.stream.buf.is_empty() => ConnectionState::SurplusBytes,
            ConnectionState::Clean if !head.keeps_alive(&head.start[0]) => ConnectionState::ClosedByReplica,
            state => state,
        }
    }

    /// Writes a request until it is written completely, the response begins, or the connection fails.
    pub async fn send(&mut self, head: &[u8], body: &[u8], limits: &Http1Limits) -> WriteProgress {
        let mut written = 0;
        let end = poll_fn(|context| self.poll_send(context, head, body, &mut written, limits)).await;
        match end {
            WriteEnd::Complete => WriteProgress::Complete,
            // Bytes that arrive before the head is written completely can't be a response to this request.
            _ if written < head.len() => WriteProgress::BrokenInHead,
            WriteEnd::ResponseStarted => {
                self.unsent = Unsent { bytes: body[written - head.len()..].to_vec(), written: 0 };
                WriteProgress::ResponseStarted
            }
            WriteEnd::Failed => {
                self.forbid_reuse(ConnectionState::RequestIncomplete);
                WriteProgress::BrokenInBody
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
    ) -> Poll<WriteEnd> {
        while *written < head.len() + body.len() {
            let head_left = &head[(*written).min(head.len())..];
            let body_left = &body[written.saturating_sub(head.len())..];
            match self.stream.poll_write_both(context, head_left, body_left) {
                Poll::Ready(Ok(count)) => *written += count,
                Poll::Ready(Err(_)) => return Poll::Ready(WriteEnd::Failed),
                Poll::Pending => {
                    return self.stream.poll_fill(context, limits).map(|read| match read {
                        Ok(count) if count > 0 => WriteEnd::ResponseStarted,
                        _ => WriteEnd::Failed,
                    });
                }
            }
        }
        Poll::Ready(WriteEnd::Complete)
    }

    /// Reads available bytes into the buffer, or waits for some. Returns 0 at the end of the stream.
    ///
    /// # Errors
    /// If the connection fails, or its buffer is full.
    pub async fn fill(&mut self, limits: &Http1Limits) -> io::Result<usize> {
        poll_fn(|context| self.poll_fill(context, limits)).await
    }

    /// The poll function of [`Connection::fill`]. Also writes the rest of the request, as far as the socket accepts it.
    pub fn poll_fill(
        &mut self,
        context: &mut Context<'_>,
        limits: &Http1Limits,
    ) -> Poll<io::Result<usize>> {
        self.poll_write_unsent(context);
        self.stream.poll_fill(context, limits)
    }

    fn poll_write_unsent(&mut self, context: &mut Context<'_>) {
        while !self.unsent.remaining().is_empty() {
            match self.stream.poll_write(context, self.unsent.remaining()) {
                Poll::Ready(Ok(count)) => self.unsent.written += count,
                Poll::Ready(Err(_)) => {
                    // The replica may have sent the response before the write failed, so reading continues.
                    self.unsent = Unsent::default();
                    self.forbid_reuse(ConnectionState::RequestIncomplete);
                }
                Poll::Pending => return,
            }
        }
        if !self.unsent.bytes.is_empty() {
            self.unsent = Unsent::default();
        }
    }
}
