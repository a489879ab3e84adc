//! Reasons for the end of a connection to a publisher.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use tulipridge_protocol::frame::FrameError;

use crate::store::FeedError;

/// A connection, or an attempt to connect, that has ended.
#[derive(Debug)]
pub struct PreviousConnection {
    /// Address of the publisher.
    pub address: SocketAddr,
    /// Cause of the end.
    pub reason: EndReason,
}

/// Reason why a connection to a publisher ended or could not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EndReason {
    /// The connection attempt failed.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection attempt timed out.
    #[snafu(display("the connection attempt timed out after {} ms", limit.as_millis()))]
    ConnectTimeout {
        /// Longest duration of an attempt.
        limit: Duration,
    },
    /// The publisher closed the connection.
    #[snafu(display("the publisher has closed the connection"))]
    Closed,
    /// A read or write failed.
    #[snafu(display("the connection has failed: {source}"))]
    Failed {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The publisher does not reply to pings.
    #[snafu(display("the publisher is unresponsive"))]
    Unresponsive,
    /// The publisher replies, but its state is stale, or the age of its state is unknown.
    #[snafu(display("the publisher's state is stale"))]
    NotFresh,
    /// A message can't be encoded or decoded.
    #[snafu(display("{source}"))]
    Malformed {
        /// Error of the codec.
        source: FrameError,
    },
    /// An update can't be applied.
    #[snafu(display("{source}"))]
    Update {
        /// Error of the store.
        source: FeedError,
    },
    /// [`Subscriber::reselect`](super::Subscriber::reselect) was called.
    #[snafu(display("a new selection of the publisher was requested"))]
    Reselected,
}
