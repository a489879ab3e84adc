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
    #[snafu(display("the settings have no {field}, which the control plane needs"))]
    MissingSetting {
        /// The field.
        field: &'static str,
    },
    /// An address can't be listened on.
    #[snafu(display("{address} can't be listened on: {source}; is another process there?"))]
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
    #[snafu(display("{address} (UDP) can't be bound: {source}; is another process there?"))]
    PeerSampling {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The thread of the disk has ended by itself.
    #[snafu(display("the thread that writes to the disk has ended"))]
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
    #[snafu(display("the system gives no random number: {source}"))]
    RandomNumber {
        /// Why.
        source: getrandom::Error,
    },
    /// The replicated state can't be kept up.
    #[snafu(display("the agreed state can't be kept up: {source}"))]
    State {
        /// Why the state machine has stopped.
        source: StateMachineStopped,
    },
}
