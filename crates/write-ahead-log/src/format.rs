//! The bytes of the files.
//!
//! Each file starts with a magic number and a version. A segment then holds frames, one for each append: a
//! marker, the length of the payload, its checksum, and the payload: records with their lengths. A snapshot
//! holds one frame whose payload is the snapshot itself. All numbers are little-endian.

use super::error::WriteAheadLogError;

const VERSION: u32 = 1;
const SEGMENT_MAGIC: [u8; 4] = *b"TLOG";
const SNAPSHOT_MAGIC: [u8; 4] = *b"TSNP";
const FRAME_MARKER: [u8; 4] = [0xf5, 0x4c, 0x42, 0xfa];
/// Bytes of a file's header.
pub(crate) const HEADER_LENGTH: u64 = 8;
const FRAME_HEADER_LENGTH: usize = 12;

/// A kind of file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Holds records.
    Segment,
    /// Holds a snapshot.
    Snapshot,
}

impl Kind {
    fn prefix(self) -> &'static str {
        match self {
            Kind::Segment => "log-",
            Kind::Snapshot => "snapshot-",
        }
    }

    fn magic(self) -> [u8; 4] {
        match self {
            Kind::Segment => SEGMENT_MAGIC,
            Kind::Snapshot => SNAPSHOT_MAGIC,
        }
    }
}

/// A file's name.
pub(crate) fn file_name(kind: Kind, number: u64) -> String {
    format!("{}{number:06}", kind.prefix())
}

/// The name of a file until it is whole.
pub(crate) fn unfinished_name(name: &str) -> String {
    format!("{name}.tmp")
}

/// The number in the name of a file of this kind.
pub(crate) fn number(kind: Kind, name: &str) -> Option<u64> {
    let digits = name.strip_prefix(kind.prefix())?;
    let is_number = digits.len() >= 6 && digits.bytes().all(|byte| byte.is_ascii_digit());
    if is_number { digits.parse().ok() } else { None }
}

/// Whether a file belongs to the log by its name, whole or unfinished.
pub(crate) fn is_own_name(name: &str) -> bool {
    let whole = name.strip_suffix(".tmp").unwrap_or(name);
    number(Kind::Segment, whole).is_some() || number(Kind::Snapshot, whole).is_some()
}

/// A file's first bytes.
pub(crate) fn header(kind: Kind) -> Vec<u8> {
    let mut header = kind.magic().to_vec();
    header.extend(VERSION.to_le_bytes());
    header
}

/// Checks a file's first bytes; `None` if they are not all there.
pub(crate) fn check_header(
    kind: Kind,
    name: &str,
    content: &[u8],
) -> Result<Option<()>, WriteAheadLogError> {
    let expected = kind.magic();
    let length = content.len().min(expected.len());
    if content[..length] != expected[..length] {
        return Err(WriteAheadLogError::Foreign { file: name.to_owned() });
    }
    let Some(version) = number_at(content, expected.len()) else { return Ok(None) };
    if version == VERSION {
        Ok(Some(()))
    } else {
        Err(WriteAheadLogError::UnknownVersion { file: name.to_owned(), version })
    }
}

fn number_at(content: &[u8], offset: usize) -> Option<u32> {
    let bytes = content.get(offset..offset.checked_add(4)?)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

fn checked_length(length: usize) -> Result<u32, WriteAheadLogError> {
    u32::try_from(length).map_err(|_| WriteAheadLogError::TooLong { length })
}

fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn frame(payload: &[u8]) -> Result<Vec<u8>, WriteAheadLogError> {
    let length = checked_length(payload.len())?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_LENGTH + payload.len());
    frame.extend(FRAME_MARKER);
    frame.extend(length.to_le_bytes());
    frame.extend(checksum(length, payload).to_le_bytes());
    frame.extend(payload);
    Ok(frame)
}

/// The frame of an append.
pub(crate) fn encode_frame(records: &[&[u8]]) -> Result<Vec<u8>, WriteAheadLogError> {
    let mut payload = Vec::with_capacity(records.iter().map(|record| record.len() + 4).sum());
    for record in records {
        payload.extend(checked_length(record.len())?.to_le_bytes());
        payload.extend(*record);
    }
    frame(&payload)
}

/// A snapshot's file.
pub(crate) fn encode_snapshot(bytes: &[u8]) -> Result<Vec<u8>, WriteAheadLogError> {
    let mut content = header(Kind::Snapshot);
    content.extend(frame(bytes)?);
    Ok(content)
}

/// The payload of the whole frame at an offset, and the offset after it.
pub(crate) fn frame_at(content: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let marker = content.get(offset..offset.checked_add(FRAME_MARKER.len())?)?;
    let length = number_at(content, offset + 4)?;
    let expected = number_at(content, offset + 8)?;
    let start = offset + FRAME_HEADER_LENGTH;
    let end = start.checked_add(usize::try_from(length).ok()?)?;
    let payload = content.get(start..end)?;
    let is_whole = marker == FRAME_MARKER && checksum(length, payload) == expected;
    is_whole.then_some((payload, end))
}

/// Whether a whole frame starts anywhere after an offset.
pub(crate) fn has_frame_after(content: &[u8], offset: usize) -> bool {
    let starts = offset + 1..content.len();
    starts
        .into_iter()
        .filter(|start| content[*start..].starts_with(&FRAME_MARKER))
        .any(|start| frame_at(content, start).is_some())
}

/// The records of a frame; `None` if their lengths do not fit.
pub(crate) fn records(payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < payload.len() {
        let length = usize::try_from(number_at(payload, offset)?).ok()?;
        let start = offset + 4;
        offset = start.checked_add(length)?;
        records.push(payload.get(start..offset)?.to_vec());
    }
    Some(records)
}
