//! The engine's interfaces to the two sides of a request: its replicas and its client.

use std::future::Future;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::Stream;

use super::interface::{AttemptOutcome, FailureReason};
use crate::stream::{Arrival, Cause, Disconnect};
use crate::types::{Nanos, ReplicaId};

/// The updates that an attempt yields: any number of events, then one end.
#[derive(Debug)]
pub enum AttemptUpdate<E> {
    /// Events of the response's stream that arrived together.
    Events(E, Arrival),
    /// Bytes without a complete event.
    Bytes(Arrival),
    /// The request itself is invalid; no replica would accept it.
    Rejected(Rejection),
    /// The end of the attempt.
    Ended(AttemptOutcome),
}

/// Why a request is rejected that no replica would accept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The HTTP status.
    pub status: u16,
    /// The message for the client.
    pub message: String,
}

/// Runs attempts. Dropping an attempt closes its connection.
pub trait AttemptRunner<E> {
    /// A running attempt.
    type Updates: Stream<Item = AttemptUpdate<E>> + Unpin;
    /// Starts an attempt.
    fn start_attempt(&self, replica: ReplicaId, timeout: Duration, write_within: Duration)
    -> Self::Updates;
}

/// Metadata of a started stream, as needed by a process that takes it over.
#[derive(Clone, Debug)]
pub struct StreamInfo {
    /// The id of the stream's request.
    pub id: u64,
    /// The class of the stream's request.
    pub class: usize,
    /// The tenant of the stream's request.
    pub tenant: Option<usize>,
    /// The replica that sends the stream.
    pub replica: ReplicaId,
    /// Time from the start of the stream's attempt to its first event, in nanoseconds.
    pub time_to_first_event: Nanos,
}

/// The successor process, if there is one.
pub trait StreamSuccessor<S, R> {
    /// Offers a started stream with both its sides. Returns whether it was taken over; if so, both sides may only be
    /// dropped.
    fn take_over(&self, info: &StreamInfo, updates: &mut S, sink: &mut R) -> bool;
}

/// The client's side of a request. Each way to respond consumes the client, so that it gets just one response.
pub trait Client<E>: Sized {
    /// The type that the response is written to.
    type Sink: ResponseSink<E>;
    /// Returns once the client has left.
    fn wait_for_disconnect(&mut self) -> impl Future<Output = ()>;
    /// Whether the client has left. Checks the connection itself, since this task may not have been woken yet.
    fn is_disconnected(&mut self) -> impl Future<Output = bool>;
    /// Ends the exchange with a client that has left, or has sent too much pipelined data.
    fn abandon(self) -> impl Future<Output = ()>;
    /// Final response: shed.
    fn shed(self, wait: Duration) -> impl Future<Output = ()>;
    /// Final response: the request itself is invalid.
    fn reject(self, rejection: Rejection) -> impl Future<Output = ()>;
    /// Final response: failed.
    fn fail(self, reason: FailureReason) -> impl Future<Output = ()>;
    /// Starts the response.
    fn begin_response(self) -> Self::Sink;
}

/// A started response. It ends with `finish`, with `abort`, or when the client leaves.
pub trait ResponseSink<E> {
    /// Ready once the client has left.
    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<Disconnect>;
    /// Whether the response is assembled before it is sent, so that nothing is queued until its end.
    fn is_assembled(&self) -> bool;
    /// Bytes that are buffered and not yet queued.
    fn buffered_bytes(&self) -> usize;
    /// Whether the response needs more buffer than is allowed, so that it can't continue.
    fn is_full(&self) -> bool;
    /// Queues events for the client. Returns the number of queued bytes.
    fn queue(&mut self, events: E) -> usize;
    /// Queues the regular end of the stream or an error event. Returns the number of queued bytes.
    fn queue_end(&mut self, cause: Cause) -> usize;
    /// Writes queued bytes, and returns how many were written; fails if the client has left. Called only while bytes
    /// are queued.
    fn poll_write(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize, Disconnect>>;
    /// Ends a response whose bytes are all written; the connection may be used again.
    fn finish(self);
    /// Ends the response as incomplete. Queued bytes are written only as far as possible without waiting.
    fn abort(self);
}
