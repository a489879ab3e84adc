//! Why a member's disk can't be used.

use std::error::Error;
use std::path::PathBuf;

use snafu::Snafu;
use tulipridge_protocol::frame::FrameError;
use tulipridge_write_ahead_log::WriteAheadLogError;

/// Why a disk can't be used when a member starts.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DiskError {
    /// The settings name no folder.
    #[snafu(display(
        "the settings have no dataFolder: the control plane runs on machines with a disk only"
    ))]
    MissingFolder,
    /// The folder can't be read or written.
    #[snafu(display(
        "{}: {}; make the folder readable and writable, with room left",
        folder.display(),
        display_with_source(source)
    ))]
    WriteAheadLog {
        /// The folder.
        folder: PathBuf,
        /// The error of the log.
        source: WriteAheadLogError,
    },
    /// What is in the folder was not written by this program.
    #[snafu(display("{}: {source}; start with another folder, or remove what is in this one", folder.display()))]
    Undecodable {
        /// The folder.
        folder: PathBuf,
        /// Why a record can't be decoded.
        source: FrameError,
    },
    /// The system gives no random number for the generation of a new disk.
    #[snafu(display("the system gives no random number for a new disk: {source}"))]
    RandomNumber {
        /// The error of the system.
        source: getrandom::Error,
    },
    /// The writer thread can't be started.
    #[snafu(display("the thread of the disk can't be started: {source}"))]
    SpawnThread {
        /// The error of the system.
        source: std::io::Error,
    },
}

/// An error's message with that of its source.
pub(super) fn display_with_source(error: &WriteAheadLogError) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
