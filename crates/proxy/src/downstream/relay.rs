//! Relays a successful response of a replica to a client as it arrives.

use std::future::poll_fn;
use std::io::{self, Write};
use std::task::{Context, Poll};
use std::time::Instant;

use tulipridge_http1::codec::{Body, Head, LAST_CHUNK};

use crate::downstream::client::Client;
use crate::downstream::event_tracker::EventTracker;
use crate::headers::{self, Framing, Persistence};
use crate::proxy::Proxy;
use crate::replica::response::{BodyError, UpstreamResponse};
use crate::timer_queue::Sleep;

/// How the relay of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayEnd {
    /// The response was forwarded completely.
    Complete,
    /// Upstream: the response broke off.
    UpstreamBroken(BodyError),
    /// Downstream: the client disconnected.
    ClientDisconnected,
}

/// Relays one response to a client. A resumed response is read from several replicas in turn.
pub struct Relay {
    framing: Framing,
    persistence: Persistence,
    is_head_written: bool,
    /// Tracks the events of a response that is a stream of events.
    events: Option<EventTracker>,
    /// Decoded bytes of the body that are to be encoded for the client.
    body: Vec<u8>,
    /// Encoded bytes that are to be written to the client.
    outbound: Vec<u8>,
}

/// The result of waiting for more bytes of a response.
enum ReadOutcome {
    Read(io::Result<usize>),
    ClientDisconnected,
    TimedOut,
}

impl Relay {
    /// A relay for this response. The head is written together with the first bytes of the body. `may_resume` states
    /// that the route allows another replica to resume the response.
    #[must_use]
    pub fn new(
        response: &UpstreamResponse,
        may_resume: bool,
        persistence: Persistence,
        is_head_request: bool,
    ) -> Relay {
        let is_stream = is_event_stream(&response.head) && !is_head_request;
        let track = if may_resume { EventTracker::resumable } else { EventTracker::not_resumable };
        let events = is_stream.then(track);
        let framing = match response.framing {
            _ if is_head_request || matches!(response.head.status(), 204 | 304) => Framing::None,
            // The remainder from another replica that resumes the stream may have a different length.
            _ if events.as_ref().is_some_and(EventTracker::is_resumable) => Framing::Chunked,
            Body::Length(length) => Framing::Length(length),
            Body::Chunked(_) => Framing::Chunked,
            Body::UntilClose => Framing::UntilClose,
        };
        let persistence = if framing == Framing::UntilClose { Persistence::Close } else { persistence };
        Relay {
            framing,
            persistence,
            is_head_written: false,
            events,
            body: Vec::new(),
            outbound: Vec::new(),
        }
    }

    /// Whether the client's connection stays open after the response.
    #[must_use]
    pub fn persistence(&self) -> Persistence {
        self.persistence
    }

    /// Whether forwarding of the response has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.is_head_written
    }

    /// Whether the end of the connection delimits the response.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// The id of the last complete event that has an id.
    pub fn last_event_id(&self) -> Option<&str> {
        self.events.as_ref().and_then(EventTracker::last_id)
    }

    /// Discards the incomplete event, so that another replica can resume the stream. Returns false if the stream can't
    /// be resumed.
    pub fn prepare_resume(&mut self) -> bool {
        self.events.as_mut().is_some_and(EventTracker::discard_partial)
    }

    /// Forwards a response, or the remainder of one that another replica began, to its end. Returns
    /// [`RelayEnd::UpstreamBroken`] if the response is not complete by `abort_at`.
    pub async fn forward(
        &mut self,
        proxy: &Proxy,
        client: &mut Client<'_>,
        mut response: UpstreamResponse,
        abort_at: Instant,
    ) -> RelayEnd {
        let mut timeout = proxy.timers.sleep_until(abort_at);
        loop {
            if let Err(error) = self.receive(&mut response) {
                return RelayEnd::UpstreamBroken(error);
            }
            self.fill_outbound(&response);
            if !self.outbound.is_empty() {
                match proxy.timers.timeout_at(abort_at, client.stream.write(&self.outbound)).await {
                    Some(Ok(())) => self.outbound.clear(),
                    Some(Err(_)) => return RelayEnd::ClientDisconnected,
                    None => return RelayEnd::UpstreamBroken(BodyError::TimedOut),
                }
            }
            if response.is_complete {
                record_completion(proxy, &response);
                response.finish(&proxy.pool);
                return RelayEnd::Complete;
            }
            let outcome = poll_fn(|context| poll_read(proxy, client, &mut response, &mut timeout, context));
            let read = match outcome.await {
                ReadOutcome::Read(read) => read,
                ReadOutcome::TimedOut => return RelayEnd::UpstreamBroken(BodyError::TimedOut),
                ReadOutcome::ClientDisconnected => return RelayEnd::ClientDisconnected,
            };
            if let Err(error) = response.handle_read(read, &proxy.pool) {
                return RelayEnd::UpstreamBroken(error);
            }
        }
    }

    /// Takes over the received part of the body, as far as it may be forwarded.
    ///
    /// # Errors
    /// [`BodyError::ClosedWithinEvent`] if the response has no length and its connection was closed within an event. The
    /// system closes the connections of a replica's process in order also when the process is killed, so for a stream
    /// of events an orderly end alone does not prove that the response is complete.
    fn receive(&mut self, response: &mut UpstreamResponse) -> Result<(), BodyError> {
        let Some(events) = &mut self.events else {
            std::mem::swap(&mut self.body, &mut response.buffered);
            return Ok(());
        };
        events.push(&mut response.buffered, &mut self.body);
        if response.is_complete {
            if response.framing == Body::UntilClose && events.is_incomplete() {
                return Err(BodyError::ClosedWithinEvent);
            }
            events.finish(&mut self.body);
        }
        Ok(())
    }

    /// Encodes the received part of a response for the client. Nothing of a resumable stream is forwarded before its
    /// first event is complete, so that until then another replica can still send the complete response.
    fn fill_outbound(&mut self, response: &UpstreamResponse) {
        let is_resumable = self.events.as_ref().is_some_and(EventTracker::is_resumable);
        if is_resumable && self.body.is_empty() && !response.is_complete {
            return;
        }
        if !std::mem::replace(&mut self.is_head_written, true) {
            headers::write_response_head(
                &response.head,
                self.framing,
                self.persistence,
                &mut self.outbound,
            );
        }
        match self.framing {
            Framing::None => {}
            Framing::Length(_) | Framing::UntilClose => self.outbound.extend_from_slice(&self.body),
            Framing::Chunked => self.encode_chunk(response.is_complete),
        }
        self.body.clear();
    }

    fn encode_chunk(&mut self, is_last: bool) {
        if !self.body.is_empty() {
            let _ = write!(self.outbound, "{:x}\r\n", self.body.len());
            self.outbound.extend_from_slice(&self.body);
            self.outbound.extend_from_slice(b"\r\n");
        }
        if is_last {
            self.outbound.extend_from_slice(LAST_CHUNK);
        }
    }
}

/// Whether the body is a stream of server-sent events, which has the same grammar on all routes.
fn is_event_stream(head: &Head) -> bool {
    let media_type = head.get("content-type").and_then(|content_type| content_type.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// Counts and logs a complete response that has no length: only the end of its connection showed that it was complete.
fn record_completion(proxy: &Proxy, response: &UpstreamResponse) {
    if response.framing == Body::UntilClose {
        proxy.counters.unframed.increment();
        log::debug!(replica = &*response.replica.id.0; "a response ended with its connection");
    }
}

fn poll_read(
    proxy: &Proxy,
    client: &mut Client<'_>,
    response: &mut UpstreamResponse,
    timeout: &mut Sleep,
    context: &mut Context<'_>,
) -> Poll<ReadOutcome> {
    if let Poll::Ready(read) = response.connection.poll_fill(context, proxy.pool.limits()) {
        return Poll::Ready(ReadOutcome::Read(read));
    }
    if client.poll_disconnected(context).is_ready() {
        return Poll::Ready(ReadOutcome::ClientDisconnected);
    }
    timeout.poll_passed(context).map(|()| ReadOutcome::TimedOut)
}
