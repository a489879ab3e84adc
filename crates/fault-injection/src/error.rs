//! Errors of the harness itself.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// Why a step of a scenario could not be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HarnessError {
    /// The operating system refused an operation.
    #[snafu(display("cannot {action}: {source}"))]
    Io {
        /// The operation, as an infinitive.
        action: String,
        /// The system's error.
        source: io::Error,
    },
    /// A port that was asked for is in use.
    #[snafu(display("port {} at {} is in use: choose another first port with --port", address.port(), address.ip()))]
    PortInUse {
        /// The address.
        address: SocketAddr,
    },
    /// The programs under test could not be built.
    #[snafu(display("the programs can't be built: {reason}"))]
    Build {
        /// What cargo printed.
        reason: String,
    },
    /// A condition was not met in time.
    #[snafu(display("timed out after {timeout:?} waiting for: {condition}"))]
    TimedOut {
        /// The condition.
        condition: String,
        /// The timeout.
        timeout: Duration,
    },
    /// The control plane sent a response that the interface does not allow here.
    #[snafu(display("unexpected response to {request}: {status} {body}"))]
    UnexpectedResponse {
        /// The request.
        request: String,
        /// The status of the response; 0 if `body` describes a decoded one.
        status: u16,
        /// The body of the response.
        body: String,
    },
}

/// The result of a step.
pub type Result<T, E = HarnessError> = std::result::Result<T, E>;
