//! Recovery: reads the content of a directory when a log is opened. No file is changed.

use super::directory::Directory;
use super::error::{IoContext, Operation, WriteAheadLogError};
use super::format::{FileKind, SegmentNumber};
use super::segment::{self, SegmentStage};
use super::snapshot::{self, SnapshotContent};

/// The content recovered when a log is opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The newest snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The records after it, oldest first.
    pub records: Vec<Vec<u8>>,
}

/// The content of a directory.
#[derive(Debug)]
pub(crate) struct DirectoryContent {
    /// The snapshot and the records after it.
    pub(crate) recovered: Recovered,
    /// The number of the snapshot, if there is one.
    pub(crate) snapshot_number: Option<SegmentNumber>,
    /// The segment to append to.
    pub(crate) active_segment: SegmentNumber,
    /// Bytes up to the end of the last complete frame of that segment; `None` if the segment must be created.
    pub(crate) active_length: Option<u64>,
}

/// Reads the newest valid snapshot and the records after it.
///
/// A corrupt snapshot is skipped if an older one exists. Recovery then also needs the segments after the older one.
///
/// # Errors
///
/// If a file can't be read, has another format, or is corrupt in a way that an interrupted write does not explain.
pub(crate) fn recover<D: Directory>(directory: &D) -> Result<DirectoryContent, WriteAheadLogError> {
    let names = directory.list().during(Operation::List, "the directory")?;
    let segments = sorted_numbers(FileKind::Segment, &names);
    let snapshot = read_newest_snapshot(directory, &sorted_numbers(FileKind::Snapshot, &names))?;
    read_segments(directory, &segments, snapshot)
}

fn sorted_numbers(kind: FileKind, names: &[String]) -> Vec<SegmentNumber> {
    let mut numbers: Vec<SegmentNumber> =
        names.iter().filter_map(|name| kind.parse_file_name(name)).collect();
    numbers.sort_unstable();
    numbers
}

/// Reads the newest valid snapshot; `None` if no snapshot exists. If all snapshots are corrupt, the error is that of
/// the newest.
fn read_newest_snapshot<D: Directory>(
    directory: &D,
    numbers: &[SegmentNumber],
) -> Result<Option<SnapshotContent>, WriteAheadLogError> {
    let mut first_error = None;
    for number in numbers.iter().rev() {
        match snapshot::read_snapshot(directory, *number) {
            Ok(snapshot) => return Ok(Some(snapshot)),
            Err(error @ WriteAheadLogError::Corrupt { .. }) if *number != numbers[0] => {
                log::warn!(error:% = error; "a corrupt snapshot is passed over for an older one");
                first_error.get_or_insert(error);
            }
            Err(error) => return Err(first_error.unwrap_or(error)),
        }
    }
    Ok(None)
}

fn read_segments<D: Directory>(
    directory: &D,
    segments: &[SegmentNumber],
    snapshot: Option<SnapshotContent>,
) -> Result<DirectoryContent, WriteAheadLogError> {
    let snapshot_number = snapshot.as_ref().map(|snapshot| snapshot.number);
    let first = snapshot_number.unwrap_or(SegmentNumber::FIRST);
    let needed: Vec<SegmentNumber> = segments.iter().copied().filter(|number| *number >= first).collect();
    check_no_gap(&needed, first)?;
    if needed.is_empty() && snapshot.is_some() {
        return Err(missing_segment(first));
    }
    let used = trim_empty_segments(directory, &needed)?;
    let mut content = DirectoryContent {
        recovered: Recovered { snapshot: snapshot.map(|snapshot| snapshot.bytes), records: Vec::new() },
        snapshot_number,
        active_segment: first,
        active_length: None,
    };
    for number in used {
        let is_last = Some(number) == used.last();
        let stage = if is_last { SegmentStage::Active } else { SegmentStage::Closed };
        let segment = segment::read_segment(directory, *number, stage)?;
        content.recovered.records.extend(segment.records);
        content.active_segment = *number;
        content.active_length = Some(segment.length);
    }
    Ok(content)
}

fn check_no_gap(numbers: &[SegmentNumber], first: SegmentNumber) -> Result<(), WriteAheadLogError> {
    let mut expected = first;
    for number in numbers {
        if *number != expected {
            return Err(missing_segment(expected));
        }
        expected = expected.next();
    }
    Ok(())
}

fn missing_segment(segment: SegmentNumber) -> WriteAheadLogError {
    WriteAheadLogError::Missing { file: FileKind::Segment.file_name(segment) }
}

/// Drops empty segments at the end: a process may have ended while it created a segment.
fn trim_empty_segments<'a, D: Directory>(
    directory: &D,
    mut numbers: &'a [SegmentNumber],
) -> Result<&'a [SegmentNumber], WriteAheadLogError> {
    while let [before @ .., last] = numbers {
        if !segment::is_segment_empty(directory, *last)? {
            break;
        }
        numbers = before;
    }
    Ok(numbers)
}
