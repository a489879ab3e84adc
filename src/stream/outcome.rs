//! How a stream ended, and whose doing it was.

use crate::types::{Nanos, Verdict};

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It came whole and was taken whole.
    Whole,
    /// Its client left.
    ClientLeft,
    /// Its client took less than it must.
    ReaderSlow,
    /// Its real server fell silent.
    Stalled,
    /// Its real server's connection ended before the stream did.
    Broke,
    /// What its real server sent could not be read.
    Spoilt,
    /// Its real server said amid the stream that it failed.
    Failed,
    /// It held memory that others needed and had been paused for longest.
    Budget,
    /// More of it had to be held than any one stream may.
    TooLong,
    /// The program is stopping, and it would not have ended in time.
    Shutdown,
    /// The module called it off: another scheduling serves the request.
    Cancelled,
    /// The process that follows this one goes on with it.
    HandedOver,
}

/// Whose doing an end is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Nobody's: all went well.
    Nobody,
    /// The client's.
    Client,
    /// The real server's.
    Server,
    /// This gateway's.
    Gateway,
}

impl Cause {
    /// Each of them.
    pub const ALL: [Cause; 12] = [
        Cause::Whole,
        Cause::ClientLeft,
        Cause::ReaderSlow,
        Cause::Stalled,
        Cause::Broke,
        Cause::Spoilt,
        Cause::Failed,
        Cause::Budget,
        Cause::TooLong,
        Cause::Shutdown,
        Cause::Cancelled,
        Cause::HandedOver,
    ];

    /// Its name in the log and the figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Cause::Whole => "whole",
            Cause::ClientLeft => "client-left",
            Cause::ReaderSlow => "reader-slow",
            Cause::Stalled => "stalled",
            Cause::Broke => "broke",
            Cause::Spoilt => "spoilt",
            Cause::Failed => "failed",
            Cause::Budget => "budget",
            Cause::TooLong => "too-long",
            Cause::Shutdown => "shutdown",
            Cause::Cancelled => "cancelled",
            Cause::HandedOver => "handed-over",
        }
    }

    /// Whose doing it is.
    #[must_use]
    pub fn side(self) -> Side {
        match self {
            Cause::Whole | Cause::HandedOver => Side::Nobody,
            Cause::ClientLeft | Cause::ReaderSlow => Side::Client,
            Cause::Stalled | Cause::Broke | Cause::Spoilt | Cause::Failed => Side::Server,
            Cause::Budget | Cause::TooLong | Cause::Shutdown | Cause::Cancelled => Side::Gateway,
        }
    }

    /// What the decision module is told. Only the real server's own faults count against it: a leaver, a slow
    /// reader and a want of memory here say nothing of it.
    #[must_use]
    pub fn verdict(self) -> Verdict {
        match self {
            Cause::Whole => Verdict::Ok,
            // The connection is given up as one that broke, since nothing came on it any more. `TimedOut` is
            // for what had not begun: of a begun attempt the module takes it for the client's patience.
            Cause::Stalled | Cause::Broke | Cause::Spoilt => Verdict::Reset,
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
    /// Why it ended.
    pub cause: Cause,
    /// Bytes that came from the real server.
    pub bytes: u64,
    /// Events that came from the real server.
    pub events: u64,
    /// From the scheduling's start to its first event.
    pub first: Nanos,
    /// The longest time between two arrivals while the gateway was reading.
    pub longest_gap: Nanos,
    /// The longest time for which bytes waited and the client took none.
    pub longest_pause: Nanos,
    /// From the first event to the end.
    pub lasted: Nanos,
    /// From the end's cause to the real server's connection being free or closed.
    pub stop: Nanos,
}
