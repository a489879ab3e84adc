//! Why a member can't start, or can't go on.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;
use tulipridge_runtime::signals::SignalError;

use crate::disk::DiskError;
use crate::member::StateMachineStopped;
use crate::state_machine::StartError;

/// Why the control plane does not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ServerError {
    /// The settings lack a field that only this program needs.
    #[snafu(display("the settings have no {field}, which the control plane requires"))]
    MissingSetting {
        /// The field.
        field: &'static str,
    },
    /// An address can't be listened on.
    #[snafu(display(
        "failed to listen on {address}: {source}; check whether another process uses the port"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The disk can't be used.
    #[snafu(display("{source}"))]
    Disk {
        /// Why.
        source: DiskError,
    },
    /// The socket of the peer sampling can't be bound.
    #[snafu(display(
        "failed to bind {address} (UDP): {source}; check whether another process uses the port"
    ))]
    PeerSampling {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The thread of the disk has ended by itself.
    #[snafu(display("the writer thread of the disk has ended unexpectedly"))]
    DiskEnded,
    /// A thread can't be started.
    #[snafu(display("{source}"))]
    Thread {
        /// Why.
        source: StartError,
    },
    /// Signals can't be awaited.
    #[snafu(display("{source}"))]
    Signals {
        /// Why.
        source: SignalError,
    },
    /// The system gives no random number.
    #[snafu(display("failed to get a random number: {source}"))]
    RandomNumber {
        /// Why.
        source: getrandom::Error,
    },
    /// The replicated state can't be kept up.
    #[snafu(display("the state machine has stopped: {source}"))]
    State {
        /// Why the state machine has stopped.
        source: StateMachineStopped,
    },
}
