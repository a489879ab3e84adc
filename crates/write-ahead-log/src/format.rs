//! The file format.
//!
//! Each file starts with a header: a magic number and a version. A segment then holds one frame per append: a
//! marker, the length of the payload, its checksum (CRC-32 of length and payload), and the payload, a sequence of
//! length-prefixed records. A snapshot holds one frame whose payload is the snapshot itself. All numbers are
//! little-endian.

use super::error::WriteAheadLogError;

const VERSION: u32 = 1;
const SEGMENT_MAGIC: [u8; 4] = *b"TLOG";
const SNAPSHOT_MAGIC: [u8; 4] = *b"TSNP";
const FRAME_MARKER: [u8; 4] = [0xf5, 0x4c, 0x42, 0xfa];
/// Bytes of an encoded `u32`.
const U32_BYTES: usize = 4;
const FRAME_HEADER_BYTES: usize = FRAME_MARKER.len() + 2 * U32_BYTES;
/// Minimum digits of the number in a file name, which is padded with zeros.
const MIN_NAME_DIGITS: usize = 6;
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Bytes of a file header.
pub(crate) const HEADER_BYTES: usize = SEGMENT_MAGIC.len() + U32_BYTES;
/// The offset of the first frame of a file.
pub(crate) const FIRST_FRAME_OFFSET: u64 = HEADER_BYTES as u64;

/// The number of a segment. A snapshot has the number of the first segment that it does not replace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SegmentNumber(u64);

impl SegmentNumber {
    /// The first segment of a log without a snapshot.
    pub(crate) const FIRST: SegmentNumber = SegmentNumber(1);

    /// The segment after this one.
    pub(crate) fn next(self) -> SegmentNumber {
        SegmentNumber(self.0 + 1)
    }
}

/// A kind of file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// Holds records.
    Segment,
    /// Holds a snapshot.
    Snapshot,
}

impl FileKind {
    fn name_prefix(self) -> &'static str {
        match self {
            FileKind::Segment => "log-",
            FileKind::Snapshot => "snapshot-",
        }
    }

    fn magic(self) -> [u8; 4] {
        match self {
            FileKind::Segment => SEGMENT_MAGIC,
            FileKind::Snapshot => SNAPSHOT_MAGIC,
        }
    }

    /// The name of the file of this kind with the given number.
    pub(crate) fn file_name(self, number: SegmentNumber) -> String {
        format!("{}{:0MIN_NAME_DIGITS$}", self.name_prefix(), number.0)
    }

    /// Parses the number from the name of a file of this kind; `None` for any other name.
    pub(crate) fn parse_file_name(self, name: &str) -> Option<SegmentNumber> {
        let digits = name.strip_prefix(self.name_prefix())?;
        let is_number = digits.len() >= MIN_NAME_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit());
        if is_number { digits.parse().ok().map(SegmentNumber) } else { None }
    }

    /// Encodes the file header.
    pub(crate) fn encode_header(self) -> Vec<u8> {
        let mut header = self.magic().to_vec();
        header.extend(VERSION.to_le_bytes());
        header
    }

    /// Checks the header of the file `name`, or the part of it that is present.
    ///
    /// # Errors
    ///
    /// If the magic number does not match, or the version is unknown.
    pub(crate) fn check_header(
        self,
        name: &str,
        content: &[u8],
    ) -> Result<HeaderExtent, WriteAheadLogError> {
        let expected = self.magic();
        let length = content.len().min(expected.len());
        if content[..length] != expected[..length] {
            return Err(WriteAheadLogError::Foreign { file: name.to_owned() });
        }
        match decode_u32(content, expected.len()) {
            Some(VERSION) => Ok(HeaderExtent::Complete),
            Some(version) => Err(WriteAheadLogError::UnknownVersion { file: name.to_owned(), version }),
            None => Ok(HeaderExtent::Truncated),
        }
    }
}

/// How much of a file header is present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeaderExtent {
    /// The full header.
    Complete,
    /// The file ends within the header.
    Truncated,
}

/// The name that a file has until it is complete and synced.
pub(crate) fn temporary_name(name: &str) -> String {
    format!("{name}{TEMPORARY_SUFFIX}")
}

/// Parses the number from the name of a segment or a snapshot.
pub(crate) fn parse_file_name(name: &str) -> Option<SegmentNumber> {
    FileKind::Segment.parse_file_name(name).or_else(|| FileKind::Snapshot.parse_file_name(name))
}

/// Whether a name is that of a temporary file, left behind when a process ended before the rename.
pub(crate) fn is_temporary_name(name: &str) -> bool {
    name.strip_suffix(TEMPORARY_SUFFIX).is_some_and(|name| parse_file_name(name).is_some())
}

/// Whether a name is that of a segment, a snapshot or a temporary file.
pub(crate) fn is_log_file_name(name: &str) -> bool {
    parse_file_name(name).is_some() || is_temporary_name(name)
}

fn decode_u32(content: &[u8], offset: usize) -> Option<u32> {
    let bytes = content.get(offset..offset.checked_add(U32_BYTES)?)?;
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

fn encode_frame(payload: &[u8]) -> Result<Vec<u8>, WriteAheadLogError> {
    let length = checked_length(payload.len())?;
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    frame.extend(FRAME_MARKER);
    frame.extend(length.to_le_bytes());
    frame.extend(checksum(length, payload).to_le_bytes());
    frame.extend(payload);
    Ok(frame)
}

/// Encodes the records of one append as a frame.
///
/// # Errors
///
/// If a record or the whole payload is too long.
pub(crate) fn encode_records(records: &[&[u8]]) -> Result<Vec<u8>, WriteAheadLogError> {
    let capacity = records.iter().map(|record| U32_BYTES + record.len()).sum();
    let mut payload = Vec::with_capacity(capacity);
    for record in records {
        payload.extend(checked_length(record.len())?.to_le_bytes());
        payload.extend(*record);
    }
    encode_frame(&payload)
}

/// Encodes the content of a snapshot file.
///
/// # Errors
///
/// If the snapshot is too long.
pub(crate) fn encode_snapshot(snapshot: &[u8]) -> Result<Vec<u8>, WriteAheadLogError> {
    let mut content = FileKind::Snapshot.encode_header();
    content.extend(encode_frame(snapshot)?);
    Ok(content)
}

/// A frame with a valid checksum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Frame<'a> {
    /// The encoded records, or the bytes of the snapshot.
    pub(crate) payload: &'a [u8],
    /// The offset in the file at which the frame ends.
    pub(crate) end: usize,
}

/// Decodes the frame at an offset; `None` if the frame is incomplete or its marker or checksum does not match.
pub(crate) fn decode_frame(content: &[u8], offset: usize) -> Option<Frame<'_>> {
    let length_offset = offset.checked_add(FRAME_MARKER.len())?;
    let marker = content.get(offset..length_offset)?;
    let length = decode_u32(content, length_offset)?;
    let expected_checksum = decode_u32(content, length_offset + U32_BYTES)?;
    let start = offset + FRAME_HEADER_BYTES;
    let end = start.checked_add(usize::try_from(length).ok()?)?;
    let payload = content.get(start..end)?;
    let is_valid = marker == FRAME_MARKER && checksum(length, payload) == expected_checksum;
    is_valid.then_some(Frame { payload, end })
}

/// Whether a valid frame starts at any position after an offset.
pub(crate) fn has_frame_after(content: &[u8], offset: usize) -> bool {
    let starts = offset + 1..content.len();
    starts
        .into_iter()
        .filter(|start| content[*start..].starts_with(&FRAME_MARKER))
        .any(|start| decode_frame(content, start).is_some())
}

/// Decodes the records in the payload of a frame; `None` if a length prefix exceeds the payload.
pub(crate) fn decode_records(payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < payload.len() {
        let length = usize::try_from(decode_u32(payload, offset)?).ok()?;
        let start = offset + U32_BYTES;
        offset = start.checked_add(length)?;
        records.push(payload.get(start..offset)?.to_vec());
    }
    Some(records)
}
