//! What can go wrong.

use std::io;

use snafu::Snafu;

/// Why the log could not be opened, or a write did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WriteAheadLogError {
    /// The disk refused.
    #[snafu(display("cannot {operation} {file}"))]
    Io {
        /// What was tried.
        operation: &'static str,
        /// The file.
        file: String,
        /// The answer.
        source: io::Error,
    },
    /// A file with a name of the log is not one of its files.
    #[snafu(display("{file} is not a file of a log"))]
    Foreign {
        /// The file.
        file: String,
    },
    /// A file is of another version of the format.
    #[snafu(display("{file} has the unknown version {version}"))]
    UnknownVersion {
        /// The file.
        file: String,
        /// Its version.
        version: u32,
    },
    /// A file is damaged in a way that an interrupted write does not explain.
    #[snafu(display("{file} is damaged at byte {offset}"))]
    Damaged {
        /// The file.
        file: String,
        /// Where.
        offset: u64,
    },
    /// A file that has to be there is not.
    #[snafu(display("{file} is missing"))]
    Missing {
        /// The file.
        file: String,
    },
    /// A record or snapshot is too long for the format.
    #[snafu(display("{length} bytes are too many for one write"))]
    TooLong {
        /// Its length.
        length: usize,
    },
}

/// An error of the disk.
pub(crate) fn io(operation: &'static str, file: &str, source: io::Error) -> WriteAheadLogError {
    WriteAheadLogError::Io { operation, file: file.to_owned(), source }
}
