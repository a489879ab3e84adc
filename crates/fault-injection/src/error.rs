//! What can go wrong in the harness itself.

use std::io;
use std::time::Duration;

use snafu::Snafu;

/// Why a step could not be played.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DrillError {
    /// The system refused something.
    #[snafu(display("cannot {action}: {source}"))]
    System {
        /// What was tried.
        action: String,
        /// What the system says.
        source: io::Error,
    },
    /// The programs could not be built.
    #[snafu(display("the programs can't be built: {reason}"))]
    Build {
        /// What cargo says.
        reason: String,
    },
    /// Something did not come about in time.
    #[snafu(display("after {limit:?} still not so: {what}"))]
    TimedOut {
        /// What was awaited.
        what: String,
        /// How long.
        limit: Duration,
    },
    /// The control plane answers in a way that the interface does not promise.
    #[snafu(display("an unexpected answer to {call}: {status} {body}"))]
    UnexpectedAnswer {
        /// What was called.
        call: String,
        /// The answer's status.
        status: u16,
        /// The answer's body.
        body: String,
    },
}

/// The outcome of a step.
pub type Result<T, E = DrillError> = std::result::Result<T, E>;
