//! A member's durable state in a write-ahead log: one record per change, compacted into a snapshot of the complete
//! state once the records exceed [`COMPACT_AFTER_RECORD_BYTES`].
//!
//! Disk usage is at most [`COMPACT_AFTER_RECORD_BYTES`] of records plus one append, and twice the state including the
//! entries that its replicated snapshot doesn't cover yet: the previous snapshot and the one that is being written.
//! While a full disk refuses snapshots, records are still appended until those are refused too, which happens within
//! less than the size of one snapshot. Each append, also a refused one, is followed by another attempt at a snapshot,
//! since there may be space for a snapshot where there is none for a long record.

use std::mem;

use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu};
use tulipridge_protocol::frame::{self, FrameError};
use tulipridge_protocol::node::Generation;
use tulipridge_write_ahead_log::{
    Directory, FileSystemDirectory, OpenedLog, Recovered, WriteAheadLog, WriteAheadLogError,
};

use crate::replication::{DurableRecord, DurableState};

/// Size of the records above which they are compacted into a snapshot.
pub const COMPACT_AFTER_RECORD_BYTES: usize = 4 << 20;

/// Why a state log can't be opened.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// The write-ahead log can't be read or written.
    #[snafu(display("{source}"))]
    WriteAheadLog {
        /// The error of the write-ahead log.
        source: WriteAheadLogError,
    },
    /// The log was not written by this program.
    #[snafu(display("{source}"))]
    Undecodable {
        /// Why a record or the snapshot can't be decoded.
        source: FrameError,
    },
}

/// A record of the log. Stored: the order of variants is part of the format.
#[derive(Debug, Encode, Decode)]
enum LogRecord {
    /// The generation of the disk. It is the first record.
    Generation(Generation),
    /// A change to the member's state.
    Change(DurableRecord),
}

/// The content of a member's disk. Stored as a snapshot: the order of fields is part of the format.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct DiskImage {
    /// Distinguishes successive disks of one machine; 0 if the disk was formatted when the cluster was bootstrapped.
    pub generation: Generation,
    /// The member's state.
    pub state: DurableState,
}

impl DiskImage {
    /// Replays the recovered records on top of the snapshot; `None` if there are neither.
    fn replay(recovered: &Recovered) -> Result<Option<DiskImage>, FrameError> {
        if recovered.snapshot.is_none() && recovered.records.is_empty() {
            return Ok(None);
        }
        let mut image = match &recovered.snapshot {
            Some(bytes) => frame::decode(bytes)?,
            None => DiskImage::default(),
        };
        for record in &recovered.records {
            match frame::decode(record)? {
                LogRecord::Generation(generation) => image.generation = generation,
                LogRecord::Change(change) => image.state.apply(&change),
            }
        }
        Ok(Some(image))
    }
}

/// The outcome of a compaction.
#[derive(Debug)]
pub enum Compaction {
    /// No compaction was due.
    NotDue,
    /// A snapshot has replaced the records.
    Done,
    /// The snapshot could not be written. The records are kept, so nothing is lost, and the next call retries.
    Failed {
        /// Why.
        error: WriteAheadLogError,
        /// Whether the previous attempt failed too.
        is_repeated: bool,
    },
}

/// The write-ahead log and the state that results from its records.
#[derive(Debug)]
pub struct StateLog<D: Directory = FileSystemDirectory> {
    write_ahead_log: WriteAheadLog<D>,
    image: DiskImage,
    is_fresh: bool,
    /// Size of the records since the last snapshot.
    record_bytes: usize,
    has_compaction_failed: bool,
}

impl<D: Directory> StateLog<D> {
    /// Opens the log in a directory and recovers its state.
    ///
    /// # Errors
    ///
    /// If the log can't be opened, or a record was not written by this program.
    pub fn open_in(directory: D) -> Result<StateLog<D>, OpenError> {
        let OpenedLog { log: write_ahead_log, recovered } =
            WriteAheadLog::open_in(directory).context(WriteAheadLogSnafu)?;
        let found = DiskImage::replay(&recovered).context(UndecodableSnafu)?;
        Ok(StateLog {
            write_ahead_log,
            is_fresh: found.is_none(),
            image: found.unwrap_or_default(),
            record_bytes: recovered.records.iter().map(Vec::len).sum(),
            has_compaction_failed: false,
        })
    }

    /// Whether the log is empty, so that [`StateLog::format`] has to be called first.
    pub fn is_fresh(&self) -> bool {
        self.is_fresh
    }

    /// The state as it is on disk.
    pub fn image(&self) -> &DiskImage {
        &self.image
    }

    /// Total size of the log's files.
    pub fn bytes_used(&self) -> u64 {
        self.write_ahead_log.bytes_used()
    }

    /// Writes the generation and the first changes to an empty disk, in one write that is durable on return.
    ///
    /// # Errors
    ///
    /// If the write fails. The next open then finds the disk either still empty or completely formatted.
    pub fn format(
        &mut self,
        generation: Generation,
        changes: &[DurableRecord],
    ) -> Result<(), WriteAheadLogError> {
        let mut encoded = vec![encode(&LogRecord::Generation(generation))];
        encoded.extend(changes.iter().map(encode_change));
        self.append_encoded(&encoded)?;
        self.image.generation = generation;
        changes.iter().for_each(|change| self.image.state.apply(change));
        self.is_fresh = false;
        Ok(())
    }

    /// Appends changes with a single sync. They are durable on return.
    ///
    /// # Errors
    ///
    /// If the write fails. Then none of the changes is part of the log, and the call may be retried.
    pub fn append(&mut self, changes: &[&DurableRecord]) -> Result<(), WriteAheadLogError> {
        let encoded: Vec<Vec<u8>> = changes.iter().map(|change| encode_change(change)).collect();
        self.append_encoded(&encoded)?;
        changes.iter().for_each(|change| self.image.state.apply(change));
        Ok(())
    }

    fn append_encoded(&mut self, encoded: &[Vec<u8>]) -> Result<(), WriteAheadLogError> {
        let records: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        self.write_ahead_log.append(&records)?;
        self.record_bytes += encoded.iter().map(Vec::len).sum::<usize>();
        Ok(())
    }

    /// Replaces the records with a snapshot if they are larger than [`COMPACT_AFTER_RECORD_BYTES`].
    pub fn compact_if_due(&mut self) -> Compaction {
        if self.record_bytes <= COMPACT_AFTER_RECORD_BYTES {
            return Compaction::NotDue;
        }
        self.compact(&encode(&self.image))
    }

    /// Replaces the records with a snapshot if that is smaller. Called after a failed append.
    pub fn compact_to_free_space(&mut self) -> Compaction {
        let state = encode(&self.image);
        if self.record_bytes <= state.len() {
            return Compaction::NotDue;
        }
        self.compact(&state)
    }

    fn compact(&mut self, state: &[u8]) -> Compaction {
        let outcome = self.write_ahead_log.snapshot(state);
        let is_repeated = mem::replace(&mut self.has_compaction_failed, outcome.is_err());
        match outcome {
            Ok(()) => {
                self.record_bytes = 0;
                Compaction::Done
            }
            Err(error) => Compaction::Failed { error, is_repeated },
        }
    }
}

fn encode_change(change: &DurableRecord) -> Vec<u8> {
    encode(&LogRecord::Change(change.clone()))
}

fn encode<T: Encode<musli::mode::Binary>>(value: &T) -> Vec<u8> {
    frame::encode(value).expect("values of plain fields are always encodable")
}
