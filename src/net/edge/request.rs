//! Reads a client's request within limits of time and memory.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use tulipridge_http1::Http1Limits;

use super::buffered_bytes::BufferedBytes;
use super::exchange::Pipelined;
use super::{BufferedStream, EdgeServer, within};
use crate::admission::connection_slots::ConnectionState;
use crate::admission::pipelined::{PipelinedInput, PipelinedLimits};
use crate::front::Dialect;
use crate::net::codec::{self, Body, Head, ParseError};
use crate::net::slot_pool::Slot;
use tulipridge_http1::RequestError;

/// A request that was received completely.
pub(super) struct IncomingRequest {
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
    /// Counts the body's bytes until it is dropped.
    pub(super) bytes: BufferedBytes,
}

impl EdgeServer {
    /// Determines the request's id, which the client and the replicas are told. Every request of the messages front gets
    /// one. A client's id of another form is replaced by its hash, so that its second use is detected here too.
    pub(super) fn resolve_request_id(&self, dialect: Dialect, head: &mut Head) -> String {
        let given = head.get("x-request-id").map(crate::front::platform::key_hash);
        if dialect == Dialect::Platform {
            return head.get("x-request-id").unwrap_or_default().to_owned();
        }
        let number = given.unwrap_or_else(|| self.engine.generate_id());
        // A request with two ids is left for the front to reject.
        if head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("x-request-id")).count() > 1 {
            return request_id(number);
        }
        head.headers.retain(|(name, _)| !name.eq_ignore_ascii_case("x-request-id"));
        head.headers.push(("X-Request-Id".into(), format!("{number:016x}")));
        request_id(number)
    }

    /// Creates the state for data that a client sends behind its request.
    pub(super) fn pipelined(self: &Rc<Self>, dialect: Dialect, wire: &BufferedStream) -> Pipelined {
        let wire_limits = self.wire_limits(dialect);
        let largest = wire_limits.head_bytes + wire_limits.body_bytes;
        let bounds = PipelinedLimits {
            guaranteed_bytes: wire_limits.head_bytes,
            max_bytes: largest,
            max_dropped_bytes: self.limits.edge.flood_bytes,
        };
        Pipelined {
            input: PipelinedInput::new(bounds, wire.is_truncated),
            counted: BufferedBytes::none(self.clone()),
        }
    }

    /// The HTTP limits of a front.
    fn wire_limits(&self, dialect: Dialect) -> &Http1Limits {
        match dialect {
            Dialect::Platform => &self.limits.wire,
            Dialect::Messages => &self.messages_wire,
        }
    }

    /// Reads the next request completely. `None`: the connection ended, exceeded its idle timeout, or has to close.
    pub(super) async fn request(
        self: &Rc<Self>,
        wire: &mut BufferedStream,
        dialect: Dialect,
        slot: &mut Slot,
    ) -> Result<Option<IncomingRequest>, RequestError> {
        let (limits, wire_limits) = (&self.limits, self.wire_limits(dialect));
        let silent_since = slot.silent_since();
        if wire.buf.is_empty() {
            if wire.is_truncated {
                return Ok(None);
            }
            let closing = async {
                future::or(self.lifecycle.idle_expired(silent_since), slot.evicted()).await;
                Ok(0)
            };
            // A connection that has sent nothing yet has a time limit of its own, so that it can't hold a slot for long.
            let timeout =
                if silent_since.is_some() { limits.edge.read_timeout } else { limits.edge.idle_timeout };
            let idle = async { within(timeout, wire.fill(wire_limits)).await.unwrap_or(Ok(0)) };
            // Data that has arrived is read before the connection closes, also if its readiness was not reported yet: a
            // request that crosses a close costs its client another connection.
            if !future::or(idle, closing).await.is_ok_and(|n| n > 0) && wire.is_idle() {
                return Ok(None);
            }
        }
        // The time for the first request counts from the opening of the connection, so that a request that arrives slowly
        // has no more time than a silent connection.
        let spent = silent_since.map_or(0, |since| self.engine.now().saturating_sub(since));
        slot.set_state(ConnectionState::Receiving);
        let receiving = self.receive(wire, wire_limits, slot);
        let late = || Err(RequestError::TooSlow);
        let left = async {
            slot.evicted().await;
            Ok(late())
        };
        let timeout = limits.edge.read_timeout.saturating_sub(Duration::from_nanos(spent));
        future::or(within(timeout, receiving), left).await.unwrap_or_else(|_| late())
    }

    /// Reads a request that may have arrived in part. `None`: the connection ended before the request did.
    async fn receive(
        self: &Rc<Self>,
        wire: &mut BufferedStream,
        wire_limits: &Http1Limits,
        slot: &Slot,
    ) -> Result<Option<IncomingRequest>, RequestError> {
        let head = loop {
            if let Some(head) = codec::request_head(&mut wire.buf, wire_limits)? {
                break head;
            }
            if !wire.read_more(wire_limits).await {
                return Ok(None);
            }
            slot.progress();
        };
        let mut framing = head.request_body(wire_limits)?;
        if head.lists("expect", "100-continue") && framing != Body::Length(0) && wire.buf.is_empty() {
            let _ = wire.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        }
        let mut body = Vec::new();
        let mut bytes = BufferedBytes::none(self.clone());
        if let Body::Length(length) = framing {
            body.reserve_exact(length);
        }
        loop {
            let is_complete = framing.take(&mut wire.buf, &mut body, wire_limits)?;
            if body.len() > wire_limits.body_bytes {
                return Err(ParseError::BodyTooLarge.into());
            }
            bytes.set_count(body.len());
            if is_complete {
                return Ok(Some(IncomingRequest { head, body, bytes }));
            }
            // Bounds the memory of all requests that are being read: beyond it, data waits in the sockets.
            while self.buffered_bytes.get()
                > self.fleet.process_limits.memory_share(self.limits.edge.buffered_bytes)
            {
                Timer::after(self.limits.edge.accept_pause).await;
            }
            if !wire.read_more(wire_limits).await {
                return Ok(None);
            }
            slot.progress();
        }
    }
}

/// Formats a request's id for clients of the messages front, with the same digits as in the log.
pub(super) fn request_id(number: u64) -> String {
    format!("req_{number:016x}")
}
