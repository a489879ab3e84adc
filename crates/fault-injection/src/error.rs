//! Errors of the harness, as opposed to faults of the programs under test.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// The reason why a step of a scenario failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HarnessError {
    /// An operation of the operating system failed.
    #[snafu(display("cannot {action}: {source}"))]
    Io {
        /// The operation, as a verb without "to".
        action: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A port of the demo is in use.
    #[snafu(display("port {} at {} is in use: choose another first port with --port", address.port(), address.ip()))]
    PortInUse {
        /// The address with the port.
        address: SocketAddr,
    },
    /// The programs under test could not be built.
    #[snafu(display("the programs can't be built: {reason}"))]
    Build {
        /// The errors that cargo printed, or the missing folder.
        reason: String,
    },
    /// A condition was not met in time.
    #[snafu(display("timed out after {timeout:?} waiting for: {condition}"))]
    TimedOut {
        /// A description of the condition.
        condition: String,
        /// The time for which the condition was polled; 0 if the number of attempts was limited instead.
        timeout: Duration,
    },
    /// A control-plane member sent a response that the operator's API does not allow here.
    #[snafu(display("unexpected response to {request}: {status} {body}"))]
    UnexpectedResponse {
        /// A description of the request.
        request: String,
        /// The status of the response; 0 if `body` describes a decoded response.
        status: u16,
        /// The body of the response.
        body: String,
    },
}

/// The result of a step of a scenario.
pub type Result<T, E = HarnessError> = std::result::Result<T, E>;
