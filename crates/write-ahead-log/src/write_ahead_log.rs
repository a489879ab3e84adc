//! The open log: appends, snapshots and segment rotation.

use std::path::Path;

use super::directory::{Directory, FileSystemDirectory};
use super::error::WriteAheadLogError;
use super::format;
use super::recovery::{self, Recovered};
use super::retention;
use super::segment::Segment;
use super::snapshot;

/// If the active segment has at least this length, the next append goes to a new segment.
pub const SEGMENT_LENGTH_BYTES: u64 = 4 * 1024 * 1024;

/// The result of opening a log.
#[derive(Debug)]
pub struct OpenedLog<D: Directory = FileSystemDirectory> {
    /// The log, ready for appends.
    pub log: WriteAheadLog<D>,
    /// The recovered content, which is durable.
    pub recovered: Recovered,
}

/// An open log. A directory may have only one open log at a time.
#[derive(Debug)]
pub struct WriteAheadLog<D: Directory = FileSystemDirectory> {
    directory: D,
    active: Segment<D::File>,
    /// Total bytes of all files except the active segment.
    other_bytes: u64,
}

impl WriteAheadLog {
    /// Opens the log in a directory of the file system, and creates the directory if it does not exist.
    ///
    /// # Errors
    ///
    /// As [`WriteAheadLog::open_in`], and if the directory can't be created.
    pub fn open(path: impl AsRef<Path>) -> Result<OpenedLog, WriteAheadLogError> {
        WriteAheadLog::open_in(FileSystemDirectory::create(path.as_ref())?)
    }
}

impl<D: Directory> WriteAheadLog<D> {
    /// Opens the log in a directory: recovers its content, makes it durable and truncates a torn tail.
    ///
    /// # Errors
    ///
    /// If a file can't be read or written, has another format, or is corrupt in a way that an interrupted write
    /// does not explain. Corrupt files are left unchanged.
    pub fn open_in(directory: D) -> Result<OpenedLog<D>, WriteAheadLogError> {
        let content = recovery::recover(&directory)?;
        let active = match content.active_length {
            Some(length) => Segment::reopen(&directory, content.active_segment, length)?,
            None => Segment::create(&directory, content.active_segment)?,
        };
        if let Some(number) = content.snapshot_number {
            snapshot::make_snapshot_durable(&directory, number)?;
            retention::remove_obsolete_files(&directory, number);
        }
        let other_bytes = retention::bytes_except(&directory, &active.name());
        let log = WriteAheadLog { directory, active, other_bytes };
        Ok(OpenedLog { log, recovered: content.recovered })
    }

    /// Appends records as one frame. The records are durable on return.
    ///
    /// # Errors
    ///
    /// If an I/O operation fails, or the records are too long. None of the records counts as appended then, although
    /// the next open may recover them; the caller may retry.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<(), WriteAheadLogError> {
        if records.is_empty() {
            return Ok(());
        }
        let frame = format::encode_records(records)?;
        self.active.truncate_torn_tail()?;
        if self.active.length() >= SEGMENT_LENGTH_BYTES {
            self.rotate_segment()?;
        }
        self.active.append(&frame)
    }

    /// Replaces all records appended so far by a snapshot. The snapshot is durable on return.
    ///
    /// # Errors
    ///
    /// If an I/O operation fails, or the snapshot is too long. The records remain in the log then.
    pub fn snapshot(&mut self, bytes: &[u8]) -> Result<(), WriteAheadLogError> {
        let content = format::encode_snapshot(bytes)?;
        self.active.truncate_torn_tail()?;
        if self.active.has_records() {
            self.rotate_segment()?;
        }
        let number = self.active.number();
        let result = snapshot::write_snapshot(&self.directory, number, &content);
        if result.is_ok() {
            retention::remove_obsolete_files(&self.directory, number);
        }
        self.update_other_bytes();
        result
    }

    /// Total bytes of all files of the log.
    pub fn bytes_used(&self) -> u64 {
        self.other_bytes + self.active.length()
    }

    fn rotate_segment(&mut self) -> Result<(), WriteAheadLogError> {
        self.active = Segment::create(&self.directory, self.active.number().next())?;
        self.update_other_bytes();
        Ok(())
    }

    fn update_other_bytes(&mut self) {
        self.other_bytes = retention::bytes_except(&self.directory, &self.active.name());
    }
}
