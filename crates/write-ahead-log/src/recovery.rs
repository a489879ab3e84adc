//! Reads what is in a directory when a log is opened.

use super::Recovered;
use super::directory::{Directory, DirectoryFile};
use super::error::{self, WriteAheadLogError};
use super::format::{self, HEADER_LENGTH, Kind};

/// What a directory holds.
pub(crate) struct Contents {
    /// Snapshot and records.
    pub(crate) recovered: Recovered,
    /// The first segment after the snapshot, if there is one.
    pub(crate) snapshot_number: Option<u64>,
    /// The segment to append to.
    pub(crate) segment: u64,
    /// Up to where it is whole; `None` if it has to be made anew.
    pub(crate) length: Option<u64>,
}

/// A segment's records and the length up to which it is whole.
struct Segment {
    records: Vec<Vec<u8>>,
    length: u64,
}

/// Reads the newest valid snapshot and the records after it.
pub(crate) fn recover<D: Directory>(directory: &D) -> Result<Contents, WriteAheadLogError> {
    let names = directory.list().map_err(|source| error::io("list", "the directory", source))?;
    let segments = numbers(Kind::Segment, &names);
    let snapshots = numbers(Kind::Snapshot, &names);
    let mut refusal = None;
    for number in snapshots.iter().rev() {
        match read_snapshot(directory, *number) {
            Ok(snapshot) => return read_segments(directory, &segments, Some((*number, snapshot))),
            Err(error @ WriteAheadLogError::Damaged { .. }) if *number != snapshots[0] => {
                log::warn!(error:% = error; "an older snapshot is tried");
                refusal.get_or_insert(error);
            }
            Err(error) => return Err(refusal.unwrap_or(error)),
        }
    }
    read_segments(directory, &segments, None)
}

/// Opens a segment for more records, without what was not whole at its end. What it holds is durable when this
/// returns: the process that wrote it may have been killed before it had synced it.
pub(crate) fn open_segment<D: Directory>(
    directory: &D,
    number: u64,
    length: u64,
) -> Result<D::File, WriteAheadLogError> {
    let name = format::file_name(Kind::Segment, number);
    let mut file = directory.open_file(&name).map_err(|source| error::io("open", &name, source))?;
    let found = directory.length(&name).map_err(|source| error::io("measure", &name, source))?;
    if found > length {
        log::warn!(file = name.as_str(), length, found; "an interrupted write is cut off");
        file.set_length(length).map_err(|source| error::io("cut", &name, source))?;
    }
    file.sync().map_err(|source| error::io("sync", &name, source))?;
    Ok(file)
}

/// Makes the name of a snapshot durable: the process that wrote it may have been killed right after renaming it,
/// and the segments before it must not be removed while that may still be lost.
pub(crate) fn make_snapshot_durable<D: Directory>(
    directory: &D,
    number: u64,
) -> Result<(), WriteAheadLogError> {
    let name = format::file_name(Kind::Snapshot, number);
    directory.sync().map_err(|source| error::io("sync the directory of", &name, source))
}

/// Removes segments and snapshots before a number, and unfinished files. What cannot be removed stays for
/// the next time.
pub(crate) fn remove_before<D: Directory>(directory: &D, first: u64) {
    let names = directory.list().unwrap_or_default();
    for name in names.iter().filter(|name| is_outdated(name, first)) {
        if let Err(error) = directory.remove(name) {
            log::warn!(file = name.as_str(), error:% = error; "an outdated file stays");
        }
    }
    if let Err(error) = directory.sync() {
        log::warn!(error:% = error; "removals may not last");
    }
}

fn is_outdated(name: &str, first: u64) -> bool {
    let is_unfinished = name.ends_with(".tmp") && format::is_own_name(name);
    let number = format::number(Kind::Segment, name).or_else(|| format::number(Kind::Snapshot, name));
    is_unfinished || number.is_some_and(|number| number < first)
}

fn numbers(kind: Kind, names: &[String]) -> Vec<u64> {
    let mut numbers: Vec<u64> = names.iter().filter_map(|name| format::number(kind, name)).collect();
    numbers.sort_unstable();
    numbers
}

fn read<D: Directory>(directory: &D, name: &str) -> Result<Vec<u8>, WriteAheadLogError> {
    directory.read(name).map_err(|source| error::io("read", name, source))
}

fn read_snapshot<D: Directory>(directory: &D, number: u64) -> Result<Vec<u8>, WriteAheadLogError> {
    let name = format::file_name(Kind::Snapshot, number);
    let content = read(directory, &name)?;
    let has_header = format::check_header(Kind::Snapshot, &name, &content)?.is_some();
    let whole = format::frame_at(&content, HEADER_LENGTH as usize);
    match whole {
        Some((payload, end)) if has_header && end == content.len() => Ok(payload.to_vec()),
        _ => Err(WriteAheadLogError::Damaged { file: name, offset: HEADER_LENGTH }),
    }
}

fn read_segments<D: Directory>(
    directory: &D,
    segments: &[u64],
    snapshot: Option<(u64, Vec<u8>)>,
) -> Result<Contents, WriteAheadLogError> {
    let snapshot_number = snapshot.as_ref().map(|(number, _)| *number);
    let first = snapshot_number.unwrap_or(1);
    let mut recovered = Recovered { snapshot: snapshot.map(|(_, bytes)| bytes), records: Vec::new() };
    let numbers: Vec<u64> = segments.iter().copied().filter(|number| *number >= first).collect();
    check_contiguous(&numbers, first, snapshot_number.is_some())?;
    let used = count_used(directory, &numbers)?;
    let mut segment = first;
    let mut length = None;
    for (index, number) in numbers[..used].iter().enumerate() {
        let content = read_segment(directory, *number, index + 1 == used)?;
        recovered.records.extend(content.records);
        segment = *number;
        length = Some(content.length);
    }
    Ok(Contents { recovered, snapshot_number, segment, length })
}

fn check_contiguous(numbers: &[u64], first: u64, must_exist: bool) -> Result<(), WriteAheadLogError> {
    let is_missing = |(index, number): (usize, &u64)| *number != first + index as u64;
    let gap = numbers.iter().enumerate().find(|(index, number)| is_missing((*index, number)));
    let missing = match gap {
        Some((index, _)) => Some(first + index as u64),
        None => (numbers.is_empty() && must_exist).then_some(first),
    };
    match missing {
        Some(number) => Err(WriteAheadLogError::Missing { file: format::file_name(Kind::Segment, number) }),
        None => Ok(()),
    }
}

/// How many segments there are without those at the end that hold nothing yet.
fn count_used<D: Directory>(directory: &D, numbers: &[u64]) -> Result<usize, WriteAheadLogError> {
    let mut used = numbers.len();
    while used > 0 {
        let name = format::file_name(Kind::Segment, numbers[used - 1]);
        let content_length =
            directory.length(&name).map_err(|source| error::io("measure", &name, source))?;
        if content_length > HEADER_LENGTH {
            break;
        }
        format::check_header(Kind::Segment, &name, &read(directory, &name)?)?;
        used -= 1;
    }
    Ok(used)
}

fn read_segment<D: Directory>(
    directory: &D,
    number: u64,
    is_last: bool,
) -> Result<Segment, WriteAheadLogError> {
    let name = format::file_name(Kind::Segment, number);
    let content = read(directory, &name)?;
    let damaged = |offset: usize| WriteAheadLogError::Damaged { file: name.clone(), offset: offset as u64 };
    if format::check_header(Kind::Segment, &name, &content)?.is_none() {
        return Err(damaged(content.len()));
    }
    let mut records = Vec::new();
    let mut offset = HEADER_LENGTH as usize;
    while offset < content.len() {
        let Some((payload, end)) = format::frame_at(&content, offset) else { break };
        records.extend(format::records(payload).ok_or_else(|| damaged(offset))?);
        offset = end;
    }
    let is_interrupted = offset < content.len();
    if is_interrupted && (!is_last || format::has_frame_after(&content, offset)) {
        return Err(damaged(offset));
    }
    Ok(Segment { records, length: offset as u64 })
}
