//! Errors of the write-ahead log.

use std::fmt;
use std::io;

use snafu::Snafu;

/// A file system operation that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A file or directory is created.
    Create,
    /// A file is opened for writing.
    Open,
    /// The names in the directory are read.
    List,
    /// The length of a file is read.
    Measure,
    /// The content of a file is read.
    Read,
    /// Bytes are written to a file.
    Write,
    /// A file is truncated.
    Truncate,
    /// The content of a file is made durable.
    Sync,
    /// The directory entry of a file is made durable.
    SyncDirectory,
    /// A file is renamed.
    Rename,
}

impl fmt::Display for Operation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Operation::Create => "create",
            Operation::Open => "open",
            Operation::List => "list",
            Operation::Measure => "measure",
            Operation::Read => "read",
            Operation::Write => "write",
            Operation::Truncate => "truncate",
            Operation::Sync => "sync",
            Operation::SyncDirectory => "sync the directory of",
            Operation::Rename => "rename",
        })
    }
}

/// The reason why opening the log or writing to it failed.
#[derive(Debug, Snafu)]
pub enum WriteAheadLogError {
    /// A file system operation failed.
    #[snafu(display("cannot {operation} {file}"))]
    Io {
        /// The operation.
        operation: Operation,
        /// The file.
        file: String,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// A file has the name of a log file but another magic number.
    #[snafu(display("{file} is not a file of a log"))]
    Foreign {
        /// The file.
        file: String,
    },
    /// A file has an unknown format version.
    #[snafu(display("{file} has the unknown format version {version}"))]
    UnknownVersion {
        /// The file.
        file: String,
        /// The version in the header.
        version: u32,
    },
    /// A file is corrupt in a way that an interrupted write does not explain.
    #[snafu(display("{file} is damaged at byte {offset}"))]
    Corrupt {
        /// The file.
        file: String,
        /// The offset of the first byte that can't be decoded.
        offset: u64,
    },
    /// A required file does not exist.
    #[snafu(display("{file} is missing"))]
    Missing {
        /// The file.
        file: String,
    },
    /// A record, a frame or a snapshot exceeds the 32-bit length field of the format.
    #[snafu(display("{length} bytes exceed the 32-bit length field of the log format"))]
    TooLong {
        /// The length in bytes.
        length: usize,
    },
}

/// Adds the operation and the file name to an I/O error.
pub(crate) trait IoContext<T> {
    /// Converts an I/O error of `operation` on `file`.
    fn during(self, operation: Operation, file: &str) -> Result<T, WriteAheadLogError>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn during(self, operation: Operation, file: &str) -> Result<T, WriteAheadLogError> {
        self.map_err(|source| WriteAheadLogError::Io { operation, file: file.to_owned(), source })
    }
}
