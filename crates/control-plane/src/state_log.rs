//! The member's state as a log on disk: a record for each change, and the whole state in their place when they have
//! become many.
//!
//! On disk are at most [`LOG_BYTES`] of records and what was appended at once after them, and two times the state with
//! the entries that are not in its snapshot yet: the snapshot before and the one that is being written. While
//! snapshots are refused by a full disk, records go on until they are refused too, which is less than one snapshot
//! later; each append tries again, also one that is refused, since a snapshot may still find room where a long record
//! does not.

use std::mem;

use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu};
use tulipridge_protocol::frame::{self, FrameError};
use tulipridge_write_ahead_log::{
    Directory, FileSystemDirectory, OpenedLog, Recovered, WriteAheadLog, WriteAheadLogError,
};

use crate::replication::{DurableRecord, DurableState};

/// Bytes of records after which the whole state takes their place.
pub const LOG_BYTES: usize = 4 << 20;

/// Why a log can't be opened.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// It can't be read or written.
    #[snafu(display("{source}"))]
    Unusable {
        /// What is wrong.
        source: WriteAheadLogError,
    },
    /// It was not written by this program.
    #[snafu(display("{source}"))]
    Foreign {
        /// What is wrong.
        source: FrameError,
    },
}

/// A line of the log.
#[derive(Debug, Encode, Decode)]
enum DiskRecord {
    /// The first line: which disk this is.
    Generation(u64),
    /// A change of the member's state.
    Change(DurableRecord),
}

/// All that is on the disk.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct DiskImage {
    /// Which disk this is; 0 if it was formatted at the first start of the whole system.
    pub generation: u64,
    /// The member's state.
    pub state: DurableState,
}

impl DiskImage {
    /// What was read back; none if nothing was.
    fn recover(recovered: &Recovered) -> Result<Option<DiskImage>, FrameError> {
        if recovered.snapshot.is_none() && recovered.records.is_empty() {
            return Ok(None);
        }
        let mut image = match &recovered.snapshot {
            Some(bytes) => frame::decode(bytes)?,
            None => DiskImage::default(),
        };
        for record in &recovered.records {
            match frame::decode(record)? {
                DiskRecord::Generation(generation) => image.generation = generation,
                DiskRecord::Change(change) => image.state.apply(&change),
            }
        }
        Ok(Some(image))
    }
}

/// What became of a snapshot.
#[derive(Debug)]
pub enum Compaction {
    /// None was due.
    NotDue,
    /// It took the place of the records.
    Done,
    /// It was refused. The records stay, so nothing is lost; the next call tries again.
    Refused {
        /// Why.
        error: WriteAheadLogError,
        /// The one before was refused too.
        again: bool,
    },
}

/// The log and what is in it.
#[derive(Debug)]
pub struct StateLog<D: Directory = FileSystemDirectory> {
    write_ahead_log: WriteAheadLog<D>,
    image: DiskImage,
    is_fresh: bool,
    /// Bytes of the records since the snapshot.
    record_bytes: usize,
    refuses_compaction: bool,
}

impl<D: Directory> StateLog<D> {
    /// Reads what is in the directory.
    pub fn open_in(directory: D) -> Result<StateLog<D>, OpenError> {
        let OpenedLog { log: write_ahead_log, recovered } =
            WriteAheadLog::open_in(directory).context(UnusableSnafu)?;
        let found = DiskImage::recover(&recovered).context(ForeignSnafu)?;
        Ok(StateLog {
            write_ahead_log,
            is_fresh: found.is_none(),
            image: found.unwrap_or_default(),
            record_bytes: recovered.records.iter().map(Vec::len).sum(),
            refuses_compaction: false,
        })
    }

    /// Whether there was nothing in it before, and it still has no generation.
    pub fn is_fresh(&self) -> bool {
        self.is_fresh
    }

    /// What is on the disk.
    pub fn image(&self) -> &DiskImage {
        &self.image
    }

    /// Bytes in all files of the log.
    pub fn bytes_used(&self) -> u64 {
        self.write_ahead_log.bytes_used()
    }

    /// Makes the disk a member's, with its first changes, in one write.
    pub fn format(&mut self, generation: u64, changes: &[DurableRecord]) -> Result<(), WriteAheadLogError> {
        let mut encoded = vec![encode(&DiskRecord::Generation(generation))];
        encoded.extend(changes.iter().map(encode_change));
        self.append_encoded(&encoded)?;
        self.image.generation = generation;
        self.is_fresh = false;
        changes.iter().for_each(|change| self.image.state.apply(change));
        Ok(())
    }

    /// Writes changes under one sync. After an error none of them counts.
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

    /// Puts the whole state in the place of the records if they are many.
    pub fn compact_if_due(&mut self) -> Compaction {
        if self.record_bytes <= LOG_BYTES {
            return Compaction::NotDue;
        }
        self.compact(&encode(&self.image))
    }

    /// After a refused append: puts the whole state in the place of the records if that gives room.
    pub fn compact_for_room(&mut self) -> Compaction {
        let state = encode(&self.image);
        if self.record_bytes <= state.len() {
            return Compaction::NotDue;
        }
        self.compact(&state)
    }

    fn compact(&mut self, state: &[u8]) -> Compaction {
        let outcome = self.write_ahead_log.snapshot(state);
        let again = mem::replace(&mut self.refuses_compaction, outcome.is_err());
        match outcome {
            Ok(()) => {
                self.record_bytes = 0;
                Compaction::Done
            }
            Err(error) => Compaction::Refused { error, again },
        }
    }
}

fn encode_change(change: &DurableRecord) -> Vec<u8> {
    encode(&DiskRecord::Change(change.clone()))
}

fn encode<T: Encode<musli::mode::Binary>>(value: &T) -> Vec<u8> {
    frame::encode(value).expect("a value of plain fields can be encoded")
}
