//! The open log: appends, snapshots and the change of segments.

use std::path::Path;

use super::directory::{Directory, FileSystemDirectory};
use super::error::WriteAheadLogError;
use super::format;
use super::recovery::{self, Recovered};
use super::retention;
use super::segment::Segment;
use super::snapshot;

/// A segment of this length is closed before the next append.
pub const SEGMENT_LENGTH_BYTES: u64 = 4 * 1024 * 1024;

/// A log that was opened.
#[derive(Debug)]
pub struct OpenedLog<D: Directory = FileSystemDirectory> {
    /// The log, ready for appends.
    pub log: WriteAheadLog<D>,
    /// What was in it, which is durable.
    pub recovered: Recovered,
}

/// An open log. At most one may be open on a directory at a time.
#[derive(Debug)]
pub struct WriteAheadLog<D: Directory = FileSystemDirectory> {
    directory: D,
    active: Segment<D::File>,
    /// Bytes in all files but the active segment.
    other_bytes: u64,
}

impl WriteAheadLog {
    /// Opens the log in a directory of the file system, which is created if it is not there.
    ///
    /// # Errors
    ///
    /// As [`WriteAheadLog::open_in`], and if the directory can't be created.
    pub fn open(path: impl AsRef<Path>) -> Result<OpenedLog, WriteAheadLogError> {
        WriteAheadLog::open_in(FileSystemDirectory::create(path.as_ref())?)
    }
}

impl<D: Directory> WriteAheadLog<D> {
    /// Opens the log in a directory: recovers what is in it, makes that durable and truncates a torn tail.
    ///
    /// # Errors
    ///
    /// If a file can't be read or written, is not of this format, or is corrupt in a way that an interrupted write
    /// does not explain. Corrupt files are left as they are.
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

    /// Appends records, which are durable on return.
    ///
    /// # Errors
    ///
    /// If the file system refuses, or the records are too long. None of them counts as appended then, though some may
    /// be found on the next open; the caller may retry.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<(), WriteAheadLogError> {
        if records.is_empty() {
            return Ok(());
        }
        let frame = format::encode_records(records)?;
        self.active.truncate_torn_tail()?;
        if self.active.length() >= SEGMENT_LENGTH_BYTES {
            self.start_segment()?;
        }
        self.active.append(&frame)
    }

    /// Replaces all records so far by a snapshot, which is durable on return.
    ///
    /// # Errors
    ///
    /// If the file system refuses, or the snapshot is too long. The records still count then.
    pub fn snapshot(&mut self, bytes: &[u8]) -> Result<(), WriteAheadLogError> {
        let content = format::encode_snapshot(bytes)?;
        self.active.truncate_torn_tail()?;
        if self.active.has_records() {
            self.start_segment()?;
        }
        let number = self.active.number();
        let result = snapshot::write_snapshot(&self.directory, number, &content);
        if result.is_ok() {
            retention::remove_obsolete_files(&self.directory, number);
        }
        self.update_other_bytes();
        result
    }

    /// Bytes in all files of the log.
    pub fn bytes_used(&self) -> u64 {
        self.other_bytes + self.active.length()
    }

    fn start_segment(&mut self) -> Result<(), WriteAheadLogError> {
        self.active = Segment::create(&self.directory, self.active.number().next())?;
        self.update_other_bytes();
        Ok(())
    }

    fn update_other_bytes(&mut self) {
        self.other_bytes = retention::bytes_except(&self.directory, &self.active.name());
    }
}
