//! A durable log in segments with checksums, and snapshots beside it.
//!
//! A directory holds segments (`log-000001`, …) and at most a few snapshots. The snapshot `snapshot-000007`
//! stands for all records before `log-000007`. On open, the newest valid snapshot and the records of the
//! segments from its number on are read. A write that is not whole at the end of the last segment is cut off; any
//! other damage is refused and left as it is. All that was read is durable when the open log is handed out, also
//! where the process before was killed between a write and its sync.
//!
//! All calls block on the disk.

mod directory;
mod error;
mod format;
mod recovery;

use std::path::Path;

pub use directory::{Directory, DirectoryFile, FileSystemDirectory};
pub use error::WriteAheadLogError;
use format::{HEADER_LENGTH, Kind};
use recovery::remove_before;

/// A segment of this length is followed by a new one.
pub const SEGMENT_LENGTH: u64 = 4 * 1024 * 1024;

/// What was read on open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records since.
    pub records: Vec<Vec<u8>>,
}

/// An open log.
#[derive(Debug)]
pub struct WriteAheadLog<D: Directory = FileSystemDirectory> {
    directory: D,
    file: D::File,
    segment: u64,
    /// Length up to which the segment is whole and synced.
    length: u64,
    /// Something may stand after that: an append has failed.
    has_rest: bool,
    /// Bytes in all other files.
    other_bytes: u64,
}

impl WriteAheadLog {
    /// Opens the log in a directory of the file system, which is made if it is not there.
    pub fn open(path: impl AsRef<Path>) -> Result<(Self, Recovered), WriteAheadLogError> {
        WriteAheadLog::open_in(FileSystemDirectory::create(path.as_ref())?)
    }
}

impl<D: Directory> WriteAheadLog<D> {
    /// Opens the log in a directory.
    pub fn open_in(directory: D) -> Result<(Self, Recovered), WriteAheadLogError> {
        let contents = recovery::recover(&directory)?;
        let file = match contents.length {
            Some(length) => recovery::open_segment(&directory, contents.segment, length)?,
            None => create_segment(&directory, contents.segment)?,
        };
        if let Some(first) = contents.snapshot_number {
            recovery::make_snapshot_durable(&directory, first)?;
            remove_before(&directory, first);
        }
        let mut write_ahead_log = WriteAheadLog {
            directory,
            file,
            segment: contents.segment,
            length: contents.length.unwrap_or(HEADER_LENGTH),
            has_rest: false,
            other_bytes: 0,
        };
        write_ahead_log.count_other_bytes();
        Ok((write_ahead_log, contents.recovered))
    }

    /// Adds records and syncs them. After an error, none of them counts as added, though some may be found
    /// on the next open; the caller may try again.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<(), WriteAheadLogError> {
        if records.is_empty() {
            return Ok(());
        }
        let frame = format::encode_frame(records)?;
        self.cut_off_rest()?;
        if self.length >= SEGMENT_LENGTH {
            self.start_segment()?;
        }
        let name = format::file_name(Kind::Segment, self.segment);
        self.has_rest = true;
        self.file.write_at(self.length, &frame).map_err(|source| error::io("write", &name, source))?;
        self.file.sync().map_err(|source| error::io("sync", &name, source))?;
        self.has_rest = false;
        self.length += frame.len() as u64;
        Ok(())
    }

    /// Replaces all records so far by a snapshot. After an error, the records still count.
    pub fn snapshot(&mut self, bytes: &[u8]) -> Result<(), WriteAheadLogError> {
        let content = format::encode_snapshot(bytes)?;
        self.cut_off_rest()?;
        if self.length > HEADER_LENGTH {
            self.start_segment()?;
        }
        let result = self.write_snapshot(&content);
        if result.is_ok() {
            remove_before(&self.directory, self.segment);
        }
        self.count_other_bytes();
        result
    }

    /// Bytes in all files of the log.
    pub fn bytes_used(&self) -> u64 {
        self.other_bytes + self.length
    }

    fn write_snapshot(&self, content: &[u8]) -> Result<(), WriteAheadLogError> {
        let name = format::file_name(Kind::Snapshot, self.segment);
        let unfinished = format::unfinished_name(&name);
        let written = self.write_file(&unfinished, content);
        if written.is_err() {
            self.directory.remove(&unfinished).ok();
        }
        written?;
        self.directory.rename(&unfinished, &name).map_err(|source| error::io("rename", &name, source))?;
        self.directory.sync().map_err(|source| error::io("sync the directory of", &name, source))
    }

    fn write_file(&self, name: &str, content: &[u8]) -> Result<(), WriteAheadLogError> {
        let mut file =
            self.directory.create_file(name).map_err(|source| error::io("create", name, source))?;
        file.write_at(0, content).map_err(|source| error::io("write", name, source))?;
        file.sync().map_err(|source| error::io("sync", name, source))
    }

    fn start_segment(&mut self) -> Result<(), WriteAheadLogError> {
        let next = self.segment + 1;
        self.file = create_segment(&self.directory, next)?;
        self.segment = next;
        self.length = HEADER_LENGTH;
        self.count_other_bytes();
        Ok(())
    }

    /// Cuts off what a failed append has left.
    fn cut_off_rest(&mut self) -> Result<(), WriteAheadLogError> {
        if !self.has_rest {
            return Ok(());
        }
        let name = format::file_name(Kind::Segment, self.segment);
        self.file.set_length(self.length).map_err(|source| error::io("cut", &name, source))?;
        self.file.sync().map_err(|source| error::io("sync", &name, source))?;
        self.has_rest = false;
        Ok(())
    }

    fn count_other_bytes(&mut self) {
        let current = format::file_name(Kind::Segment, self.segment);
        let names = self.directory.list().unwrap_or_default();
        let others = names.iter().filter(|name| format::is_own_name(name) && **name != current);
        self.other_bytes = others.filter_map(|name| self.directory.length(name).ok()).sum();
    }
}

/// Makes a segment without records, durable when this returns.
fn create_segment<D: Directory>(directory: &D, number: u64) -> Result<D::File, WriteAheadLogError> {
    let name = format::file_name(Kind::Segment, number);
    let mut file = directory.create_file(&name).map_err(|source| error::io("create", &name, source))?;
    let header = format::header(Kind::Segment);
    file.write_at(0, &header).map_err(|source| error::io("write", &name, source))?;
    file.sync().map_err(|source| error::io("sync", &name, source))?;
    directory.sync().map_err(|source| error::io("sync the directory of", &name, source))?;
    Ok(file)
}
