//! The folder of a member's write-ahead log, read and changed without the program.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::path::Path;

use snafu::ResultExt;

use crate::error::{IoSnafu, Result};

/// Lengths in bytes of the files in a folder, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileLengths(BTreeMap<String, u64>);

impl FileLengths {
    /// Reads a folder; a missing folder counts as empty.
    #[must_use]
    pub fn of(folder: &Path) -> FileLengths {
        let entries = fs::read_dir(folder).into_iter().flatten().flatten();
        let length = |entry: fs::DirEntry| {
            let length = entry.metadata().ok()?.len();
            Some((entry.file_name().into_string().ok()?, length))
        };
        FileLengths(entries.filter_map(length).collect())
    }

    /// Total length of all files in bytes.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// A part that was dropped from the end of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DroppedTail {
    /// The name of the file.
    pub file: String,
    /// Bytes that were appended after the folder was measured.
    pub unacknowledged_bytes: u64,
    /// The number of these bytes that were dropped, at least 1.
    pub dropped_bytes: u64,
}

/// Simulates a loss of power for a stopped member whose disk keeps synced data: drops a random number of bytes from the
/// end of the log, but no byte that the log had when `acknowledged` was measured.
///
/// The caller must isolate the member before it measures the folder, and until the member has stopped. No byte
/// that was written later can have been acknowledged, so the result equals that of a disk which lost the bytes
/// before their sync. If files were created or removed after the measurement, nothing is dropped: each of these
/// operations was synced.
///
/// # Errors
///
/// [`HarnessError::Io`](crate::error::HarnessError::Io) if the file can't be truncated.
pub fn drop_unacknowledged_tail(folder: &Path, acknowledged: &FileLengths) -> Result<Option<DroppedTail>> {
    let current = FileLengths::of(folder);
    if !current.0.keys().eq(acknowledged.0.keys()) {
        return Ok(None);
    }
    let longer = current.0.iter().find(|(name, length)| **length > acknowledged.0[*name]);
    let Some((name, length)) = longer else { return Ok(None) };
    let acknowledged = acknowledged.0[name];
    let remaining = fastrand::u64(acknowledged..*length);
    truncate(&folder.join(name), remaining)?;
    let unacknowledged_bytes = length - acknowledged;
    Ok(Some(DroppedTail { file: name.clone(), unacknowledged_bytes, dropped_bytes: length - remaining }))
}

/// Truncates all files to earlier lengths and so drops acknowledged data too, which a correct disk never does.
///
/// # Errors
///
/// [`HarnessError::Io`](crate::error::HarnessError::Io) if a file can't be truncated.
pub fn truncate_files(folder: &Path, lengths: &FileLengths) -> Result<()> {
    lengths.0.iter().try_for_each(|(name, length)| truncate(&folder.join(name), *length))
}

fn truncate(path: &Path, length: u64) -> Result<()> {
    let action = || format!("truncate {}", path.display());
    let file = File::options().write(true).open(path);
    let file = file.with_context(|_| IoSnafu { action: action() })?;
    file.set_len(length).with_context(|_| IoSnafu { action: action() })
}

/// Removes a folder with its contents; a missing folder is no error.
///
/// # Errors
///
/// [`HarnessError::Io`](crate::error::HarnessError::Io) if it can't be removed.
pub fn wipe(folder: &Path) -> Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
            Err(error).with_context(|_| IoSnafu { action: format!("remove {}", folder.display()) })
        }
        _ => Ok(()),
    }
}

/// Size of a segment's header in bytes.
const SEGMENT_HEADER_BYTES: usize = 8;
/// Size of a frame's header in bytes: a marker, the payload's length and the payload's checksum.
const FRAME_HEADER_BYTES: usize = 12;
/// Position of the payload's length, little-endian, in a frame's header.
const FRAME_LENGTH_RANGE: std::ops::Range<usize> = 4..8;

/// Bytes and frames of a write-ahead log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSize {
    /// Bytes in all segments, headers included.
    pub bytes: u64,
    /// Frames in all segments; each append writes one frame.
    pub frame_count: u64,
}

/// Measures all segments of a log; unreadable segments count as empty.
#[must_use]
pub fn log_size(folder: &Path) -> LogSize {
    let lengths = FileLengths::of(folder);
    let segments = lengths.0.keys().filter(|name| name.starts_with("log-"));
    let contents = segments.filter_map(|name| fs::read(folder.join(name)).ok());
    contents.fold(LogSize::default(), |size, content| LogSize {
        bytes: size.bytes + content.len() as u64,
        frame_count: size.frame_count + count_frames(&content),
    })
}

fn count_frames(segment: &[u8]) -> u64 {
    let mut frames = 0;
    let mut offset = SEGMENT_HEADER_BYTES;
    while let Some(header) = segment.get(offset..offset + FRAME_HEADER_BYTES) {
        let length: [u8; 4] = header[FRAME_LENGTH_RANGE].try_into().unwrap_or_default();
        offset += FRAME_HEADER_BYTES + u32::from_le_bytes(length) as usize;
        frames += 1;
    }
    frames
}
