//! Errors of the write-ahead log.

use std::fmt;
use std::io;

use snafu::Snafu;

/// An operation on the file system that can fail.
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
    /// The names in the directory of a file are made durable.
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

/// Why the log could not be opened, or a write did not succeed.
#[derive(Debug, Snafu)]
pub enum WriteAheadLogError {
    /// The file system refused an operation.
    #[snafu(display("cannot {operation} {file}"))]
    Io {
        /// The operation.
        operation: Operation,
        /// The file.
        file: String,
        /// The error of the file system.
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
    /// A file is corrupt in a way that an interrupted write does not explain.
    #[snafu(display("{file} is damaged at byte {offset}"))]
    Corrupt {
        /// The file.
        file: String,
        /// The offset of the first byte that can't be read.
        offset: u64,
    },
    /// A file that has to be there is not.
    #[snafu(display("{file} is missing"))]
    Missing {
        /// The file.
        file: String,
    },
    /// A record or snapshot is too long for the format, which has 32 bits for a length.
    #[snafu(display("{length} bytes are too many for one write"))]
    TooLong {
        /// Its length in bytes.
        length: usize,
    },
}

/// Adds the operation and the file to an error of the file system.
pub(crate) trait IoContext<T> {
    /// Says which operation on which file has failed.
    fn during(self, operation: Operation, file: &str) -> Result<T, WriteAheadLogError>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn during(self, operation: Operation, file: &str) -> Result<T, WriteAheadLogError> {
        self.map_err(|source| WriteAheadLogError::Io { operation, file: file.to_owned(), source })
    }
}
