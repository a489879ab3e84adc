//! Relays a successful response of a replica to a client as it arrives.

use std::future::poll_fn;
use std::io::{self, Write};
use std::task::{Context, Poll};
use std::time::Instant;

use tulipridge_http1::codec::{Body, LAST_CHUNK};

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
    /// Tracks complete events if the stream may be resumed.
    events: Option<EventTracker>,
    /// The length of the incomplete event with which the response ended.
    partial_event_bytes: usize,
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
        let is_stream = response
            .head
            .get("content-type")
            .is_some_and(|content_type| content_type.starts_with("text/event-stream"));
        let events = (may_resume && is_stream && !is_head_request).then(EventTracker::default);
        let framing = match response.framing {
            _ if is_head_request || matches!(response.head.status(), 204 | 304) => Framing::None,
            // The remainder from another replica that resumes the stream may have a different length.
            _ if events.is_some() => Framing::Chunked,
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
            partial_event_bytes: 0,
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
            self.fill_outbound(&mut response);
            if !self.outbound.is_empty() {
                match proxy.timers.timeout_at(abort_at, client.stream.write(&self.outbound)).await {
                    Some(Ok(())) => self.outbound.clear(),
                    Some(Err(_)) => return RelayEnd::ClientDisconnected,
                    None => return RelayEnd::UpstreamBroken(BodyError::TimedOut),
                }
            }
            if response.is_complete {
                self.record_completion(proxy, &response);
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

    /// Counts and logs a response that has no length: only the orderly end of its connection says that it is complete.
    fn record_completion(&self, proxy: &Proxy, response: &UpstreamResponse) {
        if response.framing == Body::UntilClose {
            proxy.counters.unframed.increment();
            log::debug!(
                replica = &*response.replica.id.0, partial_event_bytes = self.partial_event_bytes;
                "a response ended with its connection"
            );
        }
    }

    /// Encodes the received part of a response for the client. Nothing of a resumable stream is forwarded before its
    /// first event is complete, so that until then another replica can still send the complete response.
    fn fill_outbound(&mut self, response: &mut UpstreamResponse) {
        self.fill_body(response);
        if self.events.is_some() && self.body.is_empty() && !response.is_complete {
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

    fn fill_body(&mut self, response: &mut UpstreamResponse) {
        match &mut self.events {
            Some(events) => {
                events.push(&mut response.buffered, &mut self.body);
                if response.is_complete {
                    self.partial_event_bytes = events.finish(&mut self.body);
                }
            }
            None => std::mem::swap(&mut self.body, &mut response.buffered),
        }
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
