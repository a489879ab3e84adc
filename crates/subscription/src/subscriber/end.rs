//! How a connection to a publisher ends.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use tulipridge_protocol::frame::FrameError;

use crate::store::FeedError;

/// A connection, or an attempt at one, that has ended.
#[derive(Debug)]
pub struct PreviousConnection {
    /// The publisher.
    pub address: SocketAddr,
    /// Why it has ended.
    pub reason: EndReason,
}

/// Why a connection to a publisher has ended, or was not made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EndReason {
    /// No connection was made.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// The error of the operating system.
        source: io::Error,
    },
    /// No connection was made in time.
    #[snafu(display("no connection within {} ms", limit.as_millis()))]
    ConnectTimeout {
        /// The timeout.
        limit: Duration,
    },
    /// The publisher has closed the connection.
    #[snafu(display("the publisher has closed the connection"))]
    Closed,
    /// The connection has failed.
    #[snafu(display("the connection has failed: {source}"))]
    Failed {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The publisher does not reply to pings.
    #[snafu(display("the publisher is unresponsive"))]
    Unresponsive,
    /// The publisher replies, but its state is stale, or it does not know how fresh it is.
    #[snafu(display("the publisher's state is stale"))]
    NotFresh,
    /// A message can't be encoded or decoded.
    #[snafu(display("{source}"))]
    Malformed {
        /// The error of the codec.
        source: FrameError,
    },
    /// An update can't be applied.
    #[snafu(display("{source}"))]
    Update {
        /// Why it does not apply.
        source: FeedError,
    },
    /// [`Subscriber::reselect`](super::Subscriber::reselect) was called.
    #[snafu(display("another publisher is to be selected"))]
    Reselected,
}
