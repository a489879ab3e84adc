//! How a stream ended, and which side was responsible.

use crate::types::{Nanos, Verdict};

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// All data of the stream was received and delivered.
    Complete,
    /// The client left.
    ClientLeft,
    /// The client read less than the required minimum.
    ReaderSlow,
    /// The replica sent nothing for longer than the idle timeout.
    Stalled,
    /// The replica's connection ended before the stream did.
    Disconnected,
    /// The data from the replica could not be parsed.
    Malformed,
    /// The replica reported an error within the stream.
    Failed,
    /// The stream was evicted when the memory budget ran short.
    Budget,
    /// More of the stream had to be buffered than one stream may.
    TooLong,
    /// The process is shutting down and the stream did not end in time.
    Shutdown,
    /// The load balancer cancelled the stream: another attempt serves the request.
    Cancelled,
    /// The successor process continues the stream.
    HandedOver,
}

/// The side that is responsible for an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// No side: the stream is complete or was handed over.
    Nobody,
    /// The client.
    Client,
    /// The replica.
    Replica,
    /// The gateway.
    Gateway,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 12] = [
        Cause::Complete,
        Cause::ClientLeft,
        Cause::ReaderSlow,
        Cause::Stalled,
        Cause::Disconnected,
        Cause::Malformed,
        Cause::Failed,
        Cause::Budget,
        Cause::TooLong,
        Cause::Shutdown,
        Cause::Cancelled,
        Cause::HandedOver,
    ];

    /// The name in log lines and statistics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Cause::Complete => "complete",
            Cause::ClientLeft => "client-left",
            Cause::ReaderSlow => "reader-slow",
            Cause::Stalled => "stalled",
            Cause::Disconnected => "disconnected",
            Cause::Malformed => "malformed",
            Cause::Failed => "failed",
            Cause::Budget => "budget",
            Cause::TooLong => "too-long",
            Cause::Shutdown => "shutdown",
            Cause::Cancelled => "cancelled",
            Cause::HandedOver => "handed-over",
        }
    }

    /// The side that is responsible.
    #[must_use]
    pub fn side(self) -> Side {
        match self {
            Cause::Complete | Cause::HandedOver => Side::Nobody,
            Cause::ClientLeft | Cause::ReaderSlow => Side::Client,
            Cause::Stalled | Cause::Disconnected | Cause::Malformed | Cause::Failed => Side::Replica,
            Cause::Budget | Cause::TooLong | Cause::Shutdown | Cause::Cancelled => Side::Gateway,
        }
    }

    /// The verdict for the load balancer. Only the replica's own faults count against it, not a client that leaves or
    /// reads slowly, nor a lack of memory here.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Cause::Complete => Verdict::Ok,
            // A stalled connection counts as a broken one. `TimedOut` is for attempts without a first event: for a
            // started stream, the load balancer would take it for the client's deadline.
            Cause::Stalled | Cause::Disconnected | Cause::Malformed => Verdict::Reset,
            Cause::Failed => Verdict::Error,
            Cause::ClientLeft
            | Cause::ReaderSlow
            | Cause::Budget
            | Cause::TooLong
            | Cause::Shutdown
            | Cause::Cancelled
            | Cause::HandedOver => Verdict::Cancelled,
        }
    }
}

/// The record of one stream. Times are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Why the stream ended.
    pub cause: Cause,
    /// Bytes received from the replica.
    pub bytes: u64,
    /// Events received from the replica.
    pub events: u64,
    /// Time from the start of the attempt to the stream's first event.
    pub time_to_first_event: Nanos,
    /// The longest time without data while the replica was read.
    pub longest_gap: Nanos,
    /// The longest time in which bytes were queued and the client read none.
    pub longest_pause: Nanos,
    /// Time from the first event to the end.
    pub duration: Nanos,
    /// Time from the end to the release or close of the replica's connection.
    pub release_delay: Nanos,
}
