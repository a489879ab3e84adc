//! A segmented write-ahead log with checksums and snapshots.
//!
//! A directory holds segments (`log-000001`, …) and at most a few snapshots. The snapshot `snapshot-000007`
//! replaces all records before `log-000007`. Recovery reads the newest valid snapshot and the records of the
//! segments from its number on. A write that is incomplete at the end of the last segment (a torn tail) is truncated;
//! any other corruption is an error and changes no file. All recovered data is durable when the log is handed out,
//! even if the previous process was killed between a write and its sync.
//!
//! All calls block on disk I/O.
//!
//! ```
//! use tulipridge_write_ahead_log::{OpenedLog, WriteAheadLog};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! # let directory = tempfile::tempdir()?;
//! # let path = directory.path();
//! let OpenedLog { mut log, .. } = WriteAheadLog::open(path)?;
//! log.append(&[b"first", b"second"])?;
//! log.snapshot(b"both")?;
//! log.append(&[b"third"])?;
//! drop(log);
//!
//! let OpenedLog { recovered, .. } = WriteAheadLog::open(path)?;
//! assert_eq!(recovered.snapshot, Some(b"both".to_vec()));
//! assert_eq!(recovered.records, [b"third".to_vec()]);
//! # Ok(())
//! # }
//! ```

mod directory;
mod error;
mod format;
mod recovery;
mod retention;
mod segment;
mod snapshot;
mod write_ahead_log;

pub use directory::{Directory, DirectoryFile, FileSystemDirectory};
pub use error::{Operation, WriteAheadLogError};
pub use recovery::Recovered;
pub use write_ahead_log::{OpenedLog, SEGMENT_LENGTH_BYTES, WriteAheadLog};
