//! Errors when a member opens its disk.

use std::error::Error;
use std::path::PathBuf;

use snafu::Snafu;
use tulipridge_protocol::frame::FrameError;
use tulipridge_write_ahead_log::WriteAheadLogError;

/// Why the disk can't be used when a member starts.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DiskError {
    /// The settings name no folder.
    #[snafu(display(
        "the settings have no dataFolder: the control plane needs a folder on the machine's disk"
    ))]
    MissingFolder,
    /// The folder can't be read or written.
    #[snafu(display(
        "{}: {}; make sure that the folder is readable and writable and has free space",
        folder.display(),
        display_with_source(source)
    ))]
    WriteAheadLog {
        /// The folder.
        folder: PathBuf,
        /// The error of the write-ahead log.
        source: WriteAheadLogError,
    },
    /// The files in the folder were not written by this program.
    #[snafu(display("{}: {source}; use another folder, or remove the files in this one", folder.display()))]
    Undecodable {
        /// The folder.
        folder: PathBuf,
        /// Why a record can't be decoded.
        source: FrameError,
    },
    /// The operating system provides no random number for the generation of a new disk.
    #[snafu(display("failed to get a random number for the generation of a new disk: {source}"))]
    RandomNumber {
        /// The error of the operating system.
        source: getrandom::Error,
    },
    /// The writer thread can't be started.
    #[snafu(display("failed to start the disk's writer thread: {source}"))]
    SpawnThread {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Formats an error together with its source.
pub(super) fn display_with_source(error: &WriteAheadLogError) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
