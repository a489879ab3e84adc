//! Errors that stop a member.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;
use tulipridge_runtime::signals::SignalError;

use crate::disk::DiskError;
use crate::member::StateMachineStopped;
use crate::state_machine::StartError;

/// The reason for which a member can't start or has to stop.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ServerError {
    /// The settings lack a field that is optional for other programs but required here.
    #[snafu(display("the settings have no {field}, which the control plane requires"))]
    MissingSetting {
        /// The name of the missing field.
        field: &'static str,
    },
    /// A TCP address can't be bound.
    #[snafu(display(
        "failed to listen on {address}: {source}; check whether another process uses the port"
    ))]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The disk can't be used.
    #[snafu(display("{source}"))]
    Disk {
        /// The error of the disk.
        source: DiskError,
    },
    /// The UDP socket for peer sampling can't be bound.
    #[snafu(display(
        "failed to bind {address} (UDP): {source}; check whether another process uses the port"
    ))]
    BindPeerSampling {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The writer thread of the disk has ended unexpectedly.
    #[snafu(display("the writer thread of the disk has ended unexpectedly"))]
    DiskWriterEnded,
    /// The thread of the state machine can't be started.
    #[snafu(display("{source}"))]
    StartStateMachine {
        /// The error from starting the thread.
        source: StartError,
    },
    /// The signal handlers can't be set up.
    #[snafu(display("{source}"))]
    Signals {
        /// The error from setting up the handlers.
        source: SignalError,
    },
    /// The operating system provides no random number.
    #[snafu(display("failed to get a random number: {source}"))]
    RandomNumber {
        /// The error of the random number generator.
        source: getrandom::Error,
    },
    /// The state machine has stopped.
    #[snafu(display("the state machine has stopped: {source}"))]
    StateMachineStopped {
        /// The cause of the stop.
        source: StateMachineStopped,
    },
}
