//! Errors of connecting to a replica.

use std::io;

use snafu::Snafu;

use crate::replica::outcome::AttemptOutcome;

/// Error number: the system has no free file descriptor.
const ENFILE: i32 = 23;
/// Error number: this process has no free file descriptor.
const EMFILE: i32 = 24;

/// Why no connection was established. In each case the request has not run, so a retry is safe.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// An upstream fault: the connection was refused, or the replica is unreachable.
    #[snafu(display("failed to connect to the replica: {source}"))]
    Refused {
        /// The error of the operating system.
        source: io::Error,
    },
    /// An upstream fault: the connection was not established within the connect timeout.
    #[snafu(display("connecting to the replica timed out: {source}"))]
    TimedOut {
        /// The error of the operating system.
        source: io::Error,
    },
    /// An internal fault: this process or the system has no free file descriptor.
    #[snafu(display("no file descriptor is free for a connection to the replica: {source}"))]
    OutOfDescriptors {
        /// The error of the operating system.
        source: io::Error,
    },
    /// An internal fault: the limit of open connections to replicas is reached, and all of them are in use.
    #[snafu(display("all {max_open} connections to replicas are in use"))]
    TooManyConnections {
        /// The limit of open connections.
        max_open: usize,
    },
}

impl ConnectError {
    /// The outcome of an attempt that failed with this error.
    #[must_use]
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            ConnectError::Refused { .. } => AttemptOutcome::ConnectRefused,
            ConnectError::TimedOut { .. } => AttemptOutcome::ConnectTimedOut,
            ConnectError::OutOfDescriptors { .. } | ConnectError::TooManyConnections { .. } => {
                AttemptOutcome::OutOfDescriptors
            }
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(source: io::Error) -> ConnectError {
        match (source.kind(), source.raw_os_error()) {
            (_, Some(ENFILE | EMFILE)) => ConnectError::OutOfDescriptors { source },
            (io::ErrorKind::TimedOut, _) => ConnectError::TimedOut { source },
            _ => ConnectError::Refused { source },
        }
    }
}
