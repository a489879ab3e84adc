//! Why no connection to a replica came up.

use std::io;

use snafu::Snafu;

use crate::replica::outcome::AttemptOutcome;

/// `ENFILE`: all descriptors of the system are in use.
const ENFILE: i32 = 23;
/// `EMFILE`: all descriptors of this process are in use.
const EMFILE: i32 = 24;

/// Why no connection came up. In each case the request has not run, so a retry is safe.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// An upstream fault: the connection was refused, or the replica is unreachable.
    #[snafu(display("the replica can't be reached: {source}"))]
    Refused {
        /// What the system reports.
        source: io::Error,
    },
    /// An upstream fault: the connection did not come up within the connect timeout.
    #[snafu(display("the connection to the replica timed out: {source}"))]
    TimedOut {
        /// What the system reports.
        source: io::Error,
    },
    /// An internal fault: this process or the system has no free descriptor.
    #[snafu(display("no descriptor is free for a connection to the replica: {source}"))]
    OutOfDescriptors {
        /// What the system reports.
        source: io::Error,
    },
    /// An internal fault: as many connections to replicas are in use as this process may open.
    #[snafu(display("all {max_open} connections to replicas are in use"))]
    TooManyConnections {
        /// The limit.
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
