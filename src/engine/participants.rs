//! Interfaces of the engine to both sides of a request, its replicas and its client.

use std::future::Future;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::Stream;

use super::interface::{AttemptOutcome, FailureReason};
use crate::stream::{Arrival, Cause, Leaving};
use crate::types::{Nanos, ReplicaId};

/// What an attempt yields: events, then one outcome.
#[derive(Debug)]
pub enum Step<E> {
    /// Events of the response's stream that arrived together.
    Events(E, Arrival),
    /// Bytes that are no complete event yet.
    Bytes(Arrival),
    /// The request itself is invalid; no replica would accept it.
    Rejected(Rejection),
    /// The end.
    Ended(AttemptOutcome),
}

/// Why a request is refused that no replica would accept.
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
    type Steps: Stream<Item = Step<E>> + Unpin;
    /// Starts an attempt.
    fn start_attempt(&self, replica: ReplicaId, timeout: Duration, write_within: Duration) -> Self::Steps;
}

/// What another process has to know of a begun stream beside its two sides.
#[derive(Clone, Debug)]
pub struct BegunStream {
    /// Its request's id.
    pub id: u64,
    /// Its request's class.
    pub class: usize,
    /// Its request's tenant.
    pub tenant: Option<usize>,
    /// Its replica.
    pub replica: ReplicaId,
    /// How long its first event took.
    pub first: Nanos,
}

/// The successor process, if there is one.
pub trait StreamSuccessor<S, A> {
    /// Hands a begun stream over with both its sides. Returns whether it was taken; if so, both sides may only be
    /// dropped.
    fn take(&self, begun: &BegunStream, steps: &mut S, answer: &mut A) -> bool;
}

/// The client's side of a request. Each way to respond consumes the client, so that it gets just one response.
pub trait Client<E>: Sized {
    /// What a begun response is written to.
    type Sink: ResponseSink<E>;
    /// Returns once the client has left.
    fn gone(&mut self) -> impl Future<Output = ()>;
    /// Whether it has left, even if no task was woken for it yet.
    fn has_left(&mut self) -> impl Future<Output = bool>;
    /// Called when it has left, or has sent too much behind its request.
    fn left(self) -> impl Future<Output = ()>;
    /// Final response: shed.
    fn shed(self, wait: Duration) -> impl Future<Output = ()>;
    /// Final response: the request itself is invalid.
    fn reject(self, rejection: Rejection) -> impl Future<Output = ()>;
    /// Final response: failed.
    fn fail(self, reason: FailureReason) -> impl Future<Output = ()>;
    /// Begins the response.
    fn begin(self) -> Self::Sink;
}

/// A begun response; it is ended by `finish`, by `break_off`, or by the client's leaving.
pub trait ResponseSink<E> {
    /// Ready once the client has left.
    fn poll_gone(&mut self, cx: &mut Context<'_>) -> Poll<Leaving>;
    /// Whether the response is assembled, so that nothing is queued before its end.
    fn is_assembled(&self) -> bool;
    /// Bytes that are buffered and not yet queued.
    fn buffered_bytes(&self) -> usize;
    /// Whether it can't buffer any more.
    fn is_full(&self) -> bool;
    /// Queues events for the client. Returns the number of queued bytes.
    fn put(&mut self, events: E) -> usize;
    /// Queues the end of the stream: its regular one, or an error event. Returns the number of queued bytes.
    fn put_end(&mut self, cause: Cause) -> usize;
    /// Writes queued bytes, and returns how many the client took; an error says that it has left. Called only while bytes
    /// are queued.
    fn poll_take(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize, Leaving>>;
    /// Ends a response whose bytes are all taken; the connection may serve again.
    fn finish(self);
    /// Ends the response as broken; the client gets only the queued bytes that it takes at once.
    fn break_off(self);
}
