//! Segments: the files that records are appended to.

use super::directory::{Directory, DirectoryFile};
use super::error::{IoContext, Operation, WriteAheadLogError};
use super::format::{self, FIRST_FRAME_OFFSET, FileKind, HEADER_BYTES, HeaderExtent, SegmentNumber};

/// An open segment.
#[derive(Debug)]
pub(crate) struct Segment<F: DirectoryFile> {
    file: F,
    number: SegmentNumber,
    /// Bytes of the complete and durable prefix.
    length: u64,
    /// Set while a failed append may have left bytes after `length`.
    may_have_torn_tail: bool,
}

impl<F: DirectoryFile> Segment<F> {
    /// Creates an empty segment, which is durable on return.
    pub(crate) fn create<D: Directory<File = F>>(
        directory: &D,
        number: SegmentNumber,
    ) -> Result<Self, WriteAheadLogError> {
        let name = FileKind::Segment.file_name(number);
        let mut file = directory.create_file(&name).during(Operation::Create, &name)?;
        file.write_at(0, &FileKind::Segment.encode_header()).during(Operation::Write, &name)?;
        file.sync().during(Operation::Sync, &name)?;
        directory.sync().during(Operation::SyncDirectory, &name)?;
        Ok(Segment { file, number, length: FIRST_FRAME_OFFSET, may_have_torn_tail: false })
    }

    /// Opens a segment for appends and truncates it to `length`, the end of its last complete frame. The content is
    /// synced because the process that wrote it may have been killed before its own sync.
    pub(crate) fn reopen<D: Directory<File = F>>(
        directory: &D,
        number: SegmentNumber,
        length: u64,
    ) -> Result<Self, WriteAheadLogError> {
        let name = FileKind::Segment.file_name(number);
        let mut file = directory.open_file(&name).during(Operation::Open, &name)?;
        let found = directory.length(&name).during(Operation::Measure, &name)?;
        if found > length {
            log::warn!(file = name.as_str(), length, found; "the torn tail of a segment is truncated");
            file.set_length(length).during(Operation::Truncate, &name)?;
        }
        file.sync().during(Operation::Sync, &name)?;
        Ok(Segment { file, number, length, may_have_torn_tail: false })
    }

    pub(crate) fn number(&self) -> SegmentNumber {
        self.number
    }

    /// The file name of the segment.
    pub(crate) fn name(&self) -> String {
        FileKind::Segment.file_name(self.number)
    }

    /// Bytes of the complete and durable prefix.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    pub(crate) fn has_records(&self) -> bool {
        self.length > FIRST_FRAME_OFFSET
    }

    /// Appends a frame, which is durable on return. After an error the frame is not part of the segment, but a later
    /// recovery may read it unless the torn tail is truncated first.
    pub(crate) fn append(&mut self, frame: &[u8]) -> Result<(), WriteAheadLogError> {
        let name = self.name();
        self.may_have_torn_tail = true;
        self.file.write_at(self.length, frame).during(Operation::Write, &name)?;
        self.file.sync().during(Operation::Sync, &name)?;
        self.may_have_torn_tail = false;
        self.length += frame.len() as u64;
        Ok(())
    }

    /// Truncates any bytes that a failed append left behind.
    pub(crate) fn truncate_torn_tail(&mut self) -> Result<(), WriteAheadLogError> {
        if !self.may_have_torn_tail {
            return Ok(());
        }
        let name = self.name();
        self.file.set_length(self.length).during(Operation::Truncate, &name)?;
        self.file.sync().during(Operation::Sync, &name)?;
        self.may_have_torn_tail = false;
        Ok(())
    }
}

/// Whether a segment accepts further appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentStage {
    /// Followed by another segment, so every frame must be complete.
    Closed,
    /// The last segment: a write at its end may have been interrupted.
    Active,
}

/// The content of a segment.
#[derive(Debug)]
pub(crate) struct SegmentContent {
    /// The records, oldest first.
    pub(crate) records: Vec<Vec<u8>>,
    /// Bytes up to the end of the last complete frame.
    pub(crate) length: u64,
}

/// Reads a segment. An incomplete frame is allowed only at the end of the active segment, and is ignored.
pub(crate) fn read_segment<D: Directory>(
    directory: &D,
    number: SegmentNumber,
    stage: SegmentStage,
) -> Result<SegmentContent, WriteAheadLogError> {
    let name = FileKind::Segment.file_name(number);
    let content = directory.read(&name).during(Operation::Read, &name)?;
    let corrupt = |offset: usize| WriteAheadLogError::Corrupt { file: name.clone(), offset: offset as u64 };
    if FileKind::Segment.check_header(&name, &content)? == HeaderExtent::Truncated {
        return Err(corrupt(content.len()));
    }
    let mut records = Vec::new();
    let mut offset = HEADER_BYTES;
    while let Some(frame) = format::decode_frame(&content, offset) {
        records.extend(format::decode_records(frame.payload).ok_or_else(|| corrupt(offset))?);
        offset = frame.end;
    }
    let has_tail = offset < content.len();
    let may_be_torn = stage == SegmentStage::Active && !format::has_frame_after(&content, offset);
    if has_tail && !may_be_torn {
        return Err(corrupt(offset));
    }
    Ok(SegmentContent { records, length: offset as u64 })
}

/// Whether a segment has no bytes after its header. The part of the header that is present is checked.
pub(crate) fn is_segment_empty<D: Directory>(
    directory: &D,
    number: SegmentNumber,
) -> Result<bool, WriteAheadLogError> {
    let name = FileKind::Segment.file_name(number);
    let length = directory.length(&name).during(Operation::Measure, &name)?;
    if length > FIRST_FRAME_OFFSET {
        return Ok(false);
    }
    let content = directory.read(&name).during(Operation::Read, &name)?;
    FileKind::Segment.check_header(&name, &content)?;
    Ok(true)
}
