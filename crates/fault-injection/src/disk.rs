//! The folder of a member's log, seen from outside.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::path::Path;

use snafu::ResultExt;

use crate::error::{Result, SystemSnafu};

/// Lengths of the files in a folder, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lengths(BTreeMap<String, u64>);

impl Lengths {
    /// Reads a folder; one that is not there has no files.
    #[must_use]
    pub fn of(folder: &Path) -> Lengths {
        let entries = fs::read_dir(folder).into_iter().flatten().flatten();
        let length = |entry: fs::DirEntry| {
            let length = entry.metadata().ok()?.len();
            Some((entry.file_name().into_string().ok()?, length))
        };
        Lengths(entries.filter_map(length).collect())
    }

    /// Bytes in all files.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// Bytes that were dropped from the end of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// The file.
    pub file: String,
    /// Bytes that had come since the folder was measured.
    pub unconfirmed: u64,
    /// How many of them were dropped.
    pub bytes: u64,
}

/// Plays the loss of power at a stopped member, as it leaves a disk that keeps what was synced: drops a random number
/// of bytes from the end of the log, but none that was there when the folder was measured.
///
/// The caller has measured the folder while nothing of what the member says got out, and kept it so until its end.
/// Nobody was told of anything that was written later, so a disk that lost it before its sync looks the same. Where
/// files have come or gone since, nothing is dropped: their names were synced one by one.
pub fn drop_unconfirmed(folder: &Path, confirmed: &Lengths) -> Result<Option<Dropped>> {
    let found = Lengths::of(folder);
    if !found.0.keys().eq(confirmed.0.keys()) {
        return Ok(None);
    }
    let grown = found.0.iter().find(|(name, length)| **length > confirmed.0[*name]);
    let Some((name, length)) = grown else { return Ok(None) };
    let confirmed = confirmed.0[name];
    let kept = fastrand::u64(confirmed..*length);
    truncate(&folder.join(name), kept)?;
    Ok(Some(Dropped { file: name.clone(), unconfirmed: length - confirmed, bytes: length - kept }))
}

/// Cuts all files down to the lengths that they had, whatever was confirmed since: no sound disk does that.
pub fn truncate_to(folder: &Path, lengths: &Lengths) -> Result<()> {
    lengths.0.iter().try_for_each(|(name, length)| truncate(&folder.join(name), *length))
}

fn truncate(path: &Path, length: u64) -> Result<()> {
    let action = || format!("truncate {}", path.display());
    let file = File::options().write(true).open(path);
    let file = file.with_context(|_| SystemSnafu { action: action() })?;
    file.set_len(length).with_context(|_| SystemSnafu { action: action() })
}

/// Removes a folder and all that is in it.
pub fn wipe(folder: &Path) -> Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
            Err(error).with_context(|_| SystemSnafu { action: format!("remove {}", folder.display()) })
        }
        _ => Ok(()),
    }
}

/// Bytes of a segment's header.
const SEGMENT_HEADER_BYTES: usize = 8;
/// Bytes in front of a frame's payload: a marker, the payload's length and its checksum.
const FRAME_HEADER_BYTES: usize = 12;
/// Where the length stands in them.
const FRAME_LENGTH: std::ops::Range<usize> = 4..8;

/// Bytes in all segments of a log, and the frames that they hold: one for each append.
#[must_use]
pub fn log_size(folder: &Path) -> (u64, u64) {
    let lengths = Lengths::of(folder);
    let segments = lengths.0.keys().filter(|name| name.starts_with("log-"));
    let contents = segments.filter_map(|name| fs::read(folder.join(name)).ok());
    contents.fold((0, 0), |(bytes, frames), content| {
        (bytes + content.len() as u64, frames + count_frames(&content))
    })
}

fn count_frames(segment: &[u8]) -> u64 {
    let mut frames = 0;
    let mut offset = SEGMENT_HEADER_BYTES;
    while let Some(header) = segment.get(offset..offset + FRAME_HEADER_BYTES) {
        let length: [u8; 4] = header[FRAME_LENGTH].try_into().unwrap_or_default();
        offset += FRAME_HEADER_BYTES + u32::from_le_bytes(length) as usize;
        frames += 1;
    }
    frames
}
