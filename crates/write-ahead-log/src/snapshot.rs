//! Snapshots: files that replace all records before a segment.

use super::directory::{Directory, DirectoryFile};
use super::error::{IoContext, Operation, WriteAheadLogError};
use super::format::{self, FIRST_FRAME_OFFSET, FileKind, HEADER_BYTES, HeaderExtent, SegmentNumber};

/// The content of a snapshot.
#[derive(Debug)]
pub(crate) struct SnapshotContent {
    /// The first segment that the snapshot does not replace.
    pub(crate) number: SegmentNumber,
    /// The bytes passed by the caller of `WriteAheadLog::snapshot`.
    pub(crate) bytes: Vec<u8>,
}

/// Writes a snapshot file with the given content, durable on return. A crash never leaves an incomplete snapshot: the
/// content is synced under a temporary name before the rename.
pub(crate) fn write_snapshot<D: Directory>(
    directory: &D,
    number: SegmentNumber,
    content: &[u8],
) -> Result<(), WriteAheadLogError> {
    let name = FileKind::Snapshot.file_name(number);
    let temporary = format::temporary_name(&name);
    let written = write_file(directory, &temporary, content);
    if written.is_err() {
        // If the removal fails, the file is overwritten by the next snapshot or removed after it.
        let _ = directory.remove(&temporary);
    }
    written?;
    directory.rename(&temporary, &name).during(Operation::Rename, &name)?;
    directory.sync().during(Operation::SyncDirectory, &name)
}

fn write_file<D: Directory>(directory: &D, name: &str, content: &[u8]) -> Result<(), WriteAheadLogError> {
    let mut file = directory.create_file(name).during(Operation::Create, name)?;
    file.write_at(0, content).during(Operation::Write, name)?;
    file.sync().during(Operation::Sync, name)
}

/// Reads a snapshot.
pub(crate) fn read_snapshot<D: Directory>(
    directory: &D,
    number: SegmentNumber,
) -> Result<SnapshotContent, WriteAheadLogError> {
    let name = FileKind::Snapshot.file_name(number);
    let content = directory.read(&name).during(Operation::Read, &name)?;
    let header = FileKind::Snapshot.check_header(&name, &content)?;
    match format::decode_frame(&content, HEADER_BYTES) {
        Some(frame) if header == HeaderExtent::Complete && frame.end == content.len() => {
            Ok(SnapshotContent { number, bytes: frame.payload.to_vec() })
        }
        _ => Err(WriteAheadLogError::Corrupt { file: name, offset: FIRST_FRAME_OFFSET }),
    }
}

/// Makes the name of a snapshot durable. The process that wrote it may have been killed right after the rename,
/// and the segments before it must not be removed while a power loss can still undo the rename.
pub(crate) fn make_snapshot_durable<D: Directory>(
    directory: &D,
    number: SegmentNumber,
) -> Result<(), WriteAheadLogError> {
    let name = FileKind::Snapshot.file_name(number);
    directory.sync().during(Operation::SyncDirectory, &name)
}
