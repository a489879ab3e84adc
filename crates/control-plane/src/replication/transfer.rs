//! State transfer: sends the complete data of a member to another one in chunks, which may be lost, late or duplicated.
//!
//! The sender keeps the encoded data once ([`EncodedData`]) and the progress of each receiver
//! ([`OutgoingTransfer`]). At most [`WINDOW_BYTES`] are in flight, so that heartbeats on the same link are not
//! delayed for long. The receiver ([`IncomingTransfer`]) keeps the received prefix without gaps, reports its length,
//! and returns the data only when it is complete and its checksum matches. The transfer id identifies the data, not the
//! view change, so a later view change with the same data resumes where the last one stopped.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use musli::{Decode, Encode};
use tulipridge_protocol::frame;
use tulipridge_protocol::number::SequenceNumber;
use tulipridge_protocol::replication::{Entry, TransferId};
use xxhash_rust::xxh3::xxh3_64;

use super::durable::DurableState;
use super::timing::{MAX_SYNC_RESEND_INTERVAL, SYNC_RESEND_INTERVAL};

/// Bytes of a chunk, which take 52 ms on a link of 10 Mbit/s.
pub const CHUNK_BYTES: u64 = 64 * 1024;
/// Maximum bytes in flight to a receiver.
pub const WINDOW_BYTES: u64 = 2 * CHUNK_BYTES;
/// Maximum length of the data that a receiver accepts.
pub const MAX_TRANSFER_BYTES: u64 = 256 << 20;

/// The data of a member in the form before encoding.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TransferData {
    /// The newest entry in the snapshot.
    pub snapshot_sequence: SequenceNumber,
    /// The encoded state after that entry.
    #[musli(with = tulipridge_protocol::shared_bytes)]
    pub snapshot: Arc<[u8]>,
    /// All entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// A chunk of the encoded data.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// Identifies the data that the chunk is part of.
    pub transfer: TransferId,
    /// Offset of the chunk in the data, in bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub bytes: Arc<[u8]>,
}

/// The encoded data that is transferred.
#[derive(Clone, Debug)]
pub struct EncodedData {
    id: TransferId,
    bytes: Vec<u8>,
}

impl EncodedData {
    /// Encodes the data of a member.
    ///
    /// # Panics
    ///
    /// If the data cannot be encoded. A value of plain fields always can.
    #[must_use]
    pub fn of(state: &DurableState) -> EncodedData {
        let data = TransferData {
            snapshot_sequence: state.snapshot_sequence,
            snapshot: state.snapshot.clone(),
            entries: state.entries.clone(),
        };
        let bytes = frame::encode(&data).expect("a value of plain fields can always be encoded");
        let id = TransferId {
            snapshot_sequence: state.snapshot_sequence,
            sequence: state.data.sequence,
            length: bytes.len() as u64,
            checksum: xxh3_64(&bytes),
        };
        EncodedData { id, bytes }
    }

    /// The id of the data.
    #[must_use]
    pub fn id(&self) -> TransferId {
        self.id
    }

    /// The chunk that begins at `offset`; empty at the end of the data.
    #[must_use]
    pub fn chunk(&self, offset: u64) -> Chunk {
        let start = offset.min(self.id.length);
        let end = (start + CHUNK_BYTES).min(self.id.length);
        let bytes = self.bytes[start as usize..end as usize].into();
        Chunk { transfer: self.id, offset: start, bytes }
    }
}

/// The progress of the transfer to one receiver.
#[derive(Clone, Debug)]
pub struct OutgoingTransfer {
    length: u64,
    /// Whether the receiver still has to be asked how much it has.
    is_queried_first: bool,
    /// Bytes that the receiver has received.
    received: u64,
    /// Bytes received according to its last report.
    last_reported: u64,
    /// The most bytes that the receiver has ever received.
    max_received: u64,
    /// Bytes sent to the receiver.
    sent: u64,
    resend_at: Duration,
    resend_after: Duration,
}

impl OutgoingTransfer {
    /// Creates a transfer of which nothing is sent. A receiver that may have all data is queried first, with an empty
    /// chunk.
    #[must_use]
    pub fn new(length: u64, is_queried_first: bool, now: Duration) -> OutgoingTransfer {
        OutgoingTransfer {
            length,
            is_queried_first,
            received: 0,
            last_reported: 0,
            max_received: 0,
            sent: 0,
            resend_at: now + SYNC_RESEND_INTERVAL,
            resend_after: SYNC_RESEND_INTERVAL,
        }
    }

    /// When something has to be resent.
    #[must_use]
    pub fn resend_at(&self) -> Duration {
        self.resend_at
    }

    /// Whether the receiver has received all data, durable or not.
    #[must_use]
    pub fn is_received(&self) -> bool {
        self.received == self.length
    }

    /// Records a report of the receiver on how much it has received; returns whether that is more than ever before.
    ///
    /// Less than before means that the receiver has restarted or that the message is late. Such a report takes effect
    /// when chunks are resent.
    pub fn on_received(&mut self, now: Duration, received: u64) -> bool {
        self.last_reported = received.min(self.length);
        if self.last_reported > self.received {
            self.received = self.last_reported;
            self.sent = self.sent.max(self.received);
            self.resend_after = SYNC_RESEND_INTERVAL;
            self.resend_at = now + self.resend_after;
        }
        let has_advanced = self.received > self.max_received;
        self.max_received = self.max_received.max(self.received);
        has_advanced
    }

    /// The offsets of chunks that may be sent now.
    pub fn next_offsets(&mut self) -> Vec<u64> {
        if mem::take(&mut self.is_queried_first) {
            return vec![self.length];
        }
        let end = (self.received + WINDOW_BYTES).min(self.length);
        let mut offsets = Vec::new();
        while self.sent < end {
            offsets.push(self.sent);
            self.sent = (self.sent + CHUNK_BYTES).min(self.length);
        }
        offsets
    }

    /// The offsets of chunks that have to be resent. A receiver that has received all data is asked again whether the
    /// data is durable.
    pub fn resend_if_due(&mut self, now: Duration) -> Vec<u64> {
        if now < self.resend_at {
            return Vec::new();
        }
        self.resend_after = (self.resend_after * 2).min(MAX_SYNC_RESEND_INTERVAL);
        self.resend_at = now + self.resend_after;
        self.received = self.last_reported;
        self.sent = self.received;
        if self.is_received() {
            return vec![self.length];
        }
        self.next_offsets()
    }
}

/// What a receiver has received after a chunk.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// The number of bytes received without gaps.
    Partial(u64),
    /// The complete data, with a matching checksum.
    Complete(TransferData),
}

/// The data that a member has received so far. It is kept in memory only.
#[derive(Clone, Debug, Default)]
pub struct IncomingTransfer {
    id: TransferId,
    bytes: Vec<u8>,
}

impl IncomingTransfer {
    /// Accepts a chunk. A chunk of other data restarts the transfer; one after a gap or already received adds nothing.
    pub fn accept(&mut self, chunk: &Chunk) -> Received {
        if self.id != chunk.transfer {
            self.clear();
            self.id = chunk.transfer;
        }
        if self.id.length <= MAX_TRANSFER_BYTES {
            self.append(chunk);
        }
        let received = self.bytes.len() as u64;
        if received < self.id.length || self.id.length == 0 {
            return Received::Partial(received);
        }
        let data = self.decode();
        self.clear();
        data.map_or(Received::Partial(0), Received::Complete)
    }

    /// Drops what was received.
    pub fn clear(&mut self) {
        *self = IncomingTransfer::default();
    }

    fn append(&mut self, chunk: &Chunk) {
        let received = self.bytes.len() as u64;
        let Some(overlap) = received.checked_sub(chunk.offset) else { return };
        let Some(added) = chunk.bytes.get(overlap as usize..) else { return };
        let missing = (self.id.length - received) as usize;
        self.bytes.extend_from_slice(&added[..added.len().min(missing)]);
    }

    /// Decodes the data; `None` if it does not match the transfer id.
    fn decode(&self) -> Option<TransferData> {
        if xxh3_64(&self.bytes) != self.id.checksum {
            return None;
        }
        let data: TransferData = frame::decode(&self.bytes).ok()?;
        let sequence = data.entries.last().map_or(data.snapshot_sequence, |entry| entry.sequence);
        let matches_id =
            data.snapshot_sequence == self.id.snapshot_sequence && sequence == self.id.sequence;
        matches_id.then_some(data)
    }
}
