//! The transfer of a member's data in chunks, between one sender and one receiver.

use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use rstest::rstest;
use tulipridge_control_plane::replication::transfer::{
    CHUNK_BYTES, Chunk, EncodedData, IncomingTransfer, MAX_TRANSFER_BYTES, OutgoingTransfer, Received,
    TransferData, WINDOW_BYTES,
};
use tulipridge_control_plane::replication::{DurableState, LogPosition};
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, TransferId};

/// Time limit of a transfer.
const TIME_LIMIT: Duration = Duration::from_secs(600);
/// Time step of the simulated link.
const STEP: Duration = Duration::from_millis(10);

/// A member's data with one long entry.
fn state(bytes: usize, seed: u64) -> DurableState {
    let mut random = Rng::with_seed(seed);
    let command: Arc<[u8]> = (0..bytes).map(|_| random.u8(..)).collect();
    DurableState {
        data: LogPosition { epoch: Epoch(1), sequence: SequenceNumber(8) },
        snapshot_sequence: SequenceNumber(7),
        snapshot: vec![3; 20].into(),
        entries: vec![Entry { sequence: SequenceNumber(8), command }],
        ..DurableState::default()
    }
}

fn expected(state: &DurableState) -> Received {
    Received::Complete(TransferData {
        snapshot_sequence: state.snapshot_sequence,
        snapshot: state.snapshot.clone(),
        entries: state.entries.clone(),
    })
}

/// The complete data in a single chunk, however long it is.
fn complete_chunk(data: &EncodedData) -> Chunk {
    let offsets = (0..data.id().length).step_by(CHUNK_BYTES as usize);
    let bytes: Vec<u8> = offsets.flat_map(|offset| data.chunk(offset).bytes.to_vec()).collect();
    Chunk { transfer: data.id(), offset: 0, bytes: bytes.into() }
}

fn slice(complete: &Chunk, start: usize, end: usize) -> Chunk {
    Chunk { transfer: complete.transfer, offset: start as u64, bytes: complete.bytes[start..end].into() }
}

/// Faults of a link.
#[derive(Clone, Copy)]
struct Link {
    /// Lost messages, in percent.
    loss: u32,
    /// Duplicated messages, in percent.
    duplication: u32,
    /// Longest delay in steps.
    delay: u32,
}

/// A message in transit.
enum Message {
    Chunk(Chunk),
    Progress(u64),
}

/// A sender and a receiver with a link between them.
struct Transfer {
    random: Rng,
    link: Link,
    data: EncodedData,
    outgoing: OutgoingTransfer,
    incoming: IncomingTransfer,
    in_transit: Vec<(Duration, Message)>,
    chunks_sent: u64,
}

impl Transfer {
    fn new(seed: u64, state: &DurableState, link: Link) -> Transfer {
        let data = EncodedData::of(state);
        Transfer {
            random: Rng::with_seed(seed),
            link,
            outgoing: OutgoingTransfer::new(data.id().length, false, Duration::ZERO),
            data,
            incoming: IncomingTransfer::default(),
            in_transit: Vec::new(),
            chunks_sent: 0,
        }
    }

    fn transmit(&mut self, now: Duration, message: impl Fn() -> Message) {
        let copies = if self.random.u32(0..100) < self.link.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let delay = STEP * self.random.u32(0..self.link.delay + 1);
            if self.random.u32(0..100) >= self.link.loss {
                self.in_transit.push((now + delay, message()));
            }
        }
    }

    fn send(&mut self, now: Duration, offsets: Vec<u64>) {
        assert!(offsets.len() as u64 * CHUNK_BYTES <= WINDOW_BYTES, "at most a window is sent at once");
        self.chunks_sent += offsets.len() as u64;
        for offset in offsets {
            let chunk = self.data.chunk(offset);
            self.transmit(now, || Message::Chunk(chunk.clone()));
        }
    }

    /// Runs the transfer until the receiver has all data; returns the data and the time.
    fn run(&mut self) -> (Received, Duration) {
        let mut now = Duration::ZERO;
        let offsets = self.outgoing.next_offsets();
        self.send(now, offsets);
        while now < TIME_LIMIT {
            let (arrived, rest) =
                std::mem::take(&mut self.in_transit).into_iter().partition(|(at, _)| *at <= now);
            self.in_transit = rest;
            let arrived: Vec<(Duration, Message)> = arrived;
            for (_, message) in arrived {
                match message {
                    Message::Chunk(chunk) => match self.incoming.accept(&chunk) {
                        Received::Partial(received) => self.transmit(now, || Message::Progress(received)),
                        complete => return (complete, now),
                    },
                    Message::Progress(received) => {
                        self.outgoing.on_received(now, received);
                        let offsets = self.outgoing.next_offsets();
                        self.send(now, offsets);
                    }
                }
            }
            let offsets = self.outgoing.resend_if_due(now);
            self.send(now, offsets);
            now += STEP;
        }
        panic!("the transfer did not complete");
    }
}

#[test]
fn small_data_is_one_chunk() {
    let state = state(1000, 1);
    let data = EncodedData::of(&state);
    let mut outgoing = OutgoingTransfer::new(data.id().length, false, Duration::ZERO);
    assert_eq!(outgoing.next_offsets(), [0]);
    assert_eq!(IncomingTransfer::default().accept(&data.chunk(0)), expected(&state));
}

#[test]
fn a_transfer_interrupted_at_any_byte_resumes_there() {
    let state = state(1000, 1);
    let complete = complete_chunk(&EncodedData::of(&state));
    let length = complete.bytes.len();
    for cut in 1..length {
        let mut incoming = IncomingTransfer::default();
        assert_eq!(incoming.accept(&slice(&complete, 0, cut)), Received::Partial(cut as u64));
        assert_eq!(incoming.accept(&slice(&complete, cut, length)), expected(&state), "cut at {cut}");
    }
}

#[test]
fn overlapping_or_repeated_chunks_add_only_new_bytes() {
    let state = state(1000, 1);
    let complete = complete_chunk(&EncodedData::of(&state));
    let mut incoming = IncomingTransfer::default();
    for (start, end, received) in
        [(0, 300, 300), (400, 900, 300), (0, 300, 300), (200, 500, 500), (100, 450, 500)]
    {
        let length = incoming.accept(&slice(&complete, start, end));
        assert_eq!(length, Received::Partial(received), "after {start}..{end}");
    }
    assert_eq!(incoming.accept(&slice(&complete, 0, complete.bytes.len())), expected(&state));
}

#[rstest]
#[case::reliable(Link { loss: 0, duplication: 0, delay: 0 })]
#[case::slow(Link { loss: 0, duplication: 0, delay: 100 })]
#[case::lossy(Link { loss: 30, duplication: 0, delay: 2 })]
#[case::duplicating(Link { loss: 0, duplication: 50, delay: 20 })]
#[case::lossy_duplicating_and_slow(Link { loss: 30, duplication: 30, delay: 60 })]
fn a_transfer_over_any_link_delivers_the_data(#[case] link: Link) {
    let state = state(20 * CHUNK_BYTES as usize + 17, 2);
    let (mut longest, mut max_chunks) = (Duration::ZERO, 0);
    for seed in 0..40 {
        let mut transfer = Transfer::new(seed, &state, link);
        let (received, duration) = transfer.run();
        assert_eq!(received, expected(&state), "seed {seed}");
        longest = longest.max(duration);
        max_chunks = max_chunks.max(transfer.chunks_sent);
    }
    println!("21 chunks: longest {longest:?}, max chunks sent {max_chunks}");
}

/// A restarted receiver has no data; the sender learns this and starts from the beginning.
#[test]
fn a_restarted_receiver_is_sent_all_data_again() {
    let state = state(5 * CHUNK_BYTES as usize, 3);
    let link = Link { loss: 0, duplication: 0, delay: 1 };
    let mut transfer = Transfer::new(1, &state, link);
    transfer.outgoing.on_received(Duration::ZERO, 3 * CHUNK_BYTES);
    assert_eq!(transfer.run().0, expected(&state));
}

/// A sender that restarts the transfer with the same data, for example under a higher epoch, sends only the missing
/// part.
#[test]
fn a_later_attempt_with_the_same_data_resumes() {
    let state = state(5 * CHUNK_BYTES as usize, 3);
    let data = EncodedData::of(&state);
    let mut incoming = IncomingTransfer::default();
    for number in 0..4 {
        incoming.accept(&data.chunk(number * CHUNK_BYTES));
    }
    let second_attempt = EncodedData::of(&state);
    let mut outgoing = OutgoingTransfer::new(second_attempt.id().length, false, Duration::ZERO);
    let first = outgoing.next_offsets();
    assert_eq!(incoming.accept(&second_attempt.chunk(first[0])), Received::Partial(4 * CHUNK_BYTES));
    assert!(outgoing.on_received(Duration::ZERO, 4 * CHUNK_BYTES));
    assert_eq!(outgoing.next_offsets(), [4 * CHUNK_BYTES, 5 * CHUNK_BYTES]);
}

#[test]
fn other_data_restarts_the_transfer() {
    let (first, second) = (state(1000, 1), state(1000, 2));
    let (complete, other) =
        (complete_chunk(&EncodedData::of(&first)), complete_chunk(&EncodedData::of(&second)));
    let mut incoming = IncomingTransfer::default();
    incoming.accept(&slice(&complete, 0, 600));
    assert_eq!(incoming.accept(&slice(&other, 600, 700)), Received::Partial(0));
    assert_eq!(incoming.accept(&other), expected(&second));
}

/// A faulty sender sends bytes of other data under the identifier of this transfer.
#[test]
fn bytes_of_other_data_under_the_same_id_are_detected() {
    let (first, second) = (state(1000, 1), state(1000, 2));
    let (complete, other) =
        (complete_chunk(&EncodedData::of(&first)), complete_chunk(&EncodedData::of(&second)));
    let corrupted = Chunk { transfer: complete.transfer, ..slice(&other, 500, 600) };
    let mut incoming = IncomingTransfer::default();
    incoming.accept(&slice(&complete, 0, 500));
    incoming.accept(&corrupted);
    let end = slice(&complete, 600, complete.bytes.len());
    assert_eq!(incoming.accept(&end), Received::Partial(0), "none of the data is used");
    assert_eq!(incoming.accept(&complete), expected(&first));
}

/// The checksum matches, but the data does not end at the sequence number of its identifier.
#[test]
fn data_with_another_sequence_than_its_id_is_rejected() {
    let complete = complete_chunk(&EncodedData::of(&state(1000, 1)));
    let transfer = TransferId { sequence: SequenceNumber(9), ..complete.transfer };
    let renamed = Chunk { transfer, ..complete };
    assert_eq!(IncomingTransfer::default().accept(&renamed), Received::Partial(0));
}

/// Memory is allocated for received bytes, not for announced ones, and never beyond a limit.
#[test]
fn data_over_the_size_limit_is_not_accepted() {
    let complete = complete_chunk(&EncodedData::of(&state(1000, 1)));
    let announce =
        |length| Chunk { transfer: TransferId { length, ..complete.transfer }, ..complete.clone() };
    let mut incoming = IncomingTransfer::default();
    assert_eq!(incoming.accept(&announce(MAX_TRANSFER_BYTES + 1)), Received::Partial(0));
    assert_eq!(incoming.accept(&announce(MAX_TRANSFER_BYTES)), Received::Partial(complete.transfer.length));
    assert_eq!(incoming.accept(&announce(0)), Received::Partial(0));
}

/// The receiver responds to an empty chunk with the length it has, and is sent the rest.
#[test]
fn a_receiver_that_may_have_all_data_is_queried_first() {
    let mut outgoing = OutgoingTransfer::new(10 * CHUNK_BYTES, true, Duration::ZERO);
    assert_eq!(outgoing.next_offsets(), [10 * CHUNK_BYTES]);
    assert!(!outgoing.on_received(STEP, 0));
    assert_eq!(outgoing.next_offsets(), [0, CHUNK_BYTES]);
}

/// Chunks are resent at growing intervals until the receiver responds.
#[test]
fn resends_to_a_silent_receiver_back_off() {
    let mut outgoing = OutgoingTransfer::new(10 * CHUNK_BYTES, false, Duration::ZERO);
    outgoing.next_offsets();
    let mut resent_at_ms = Vec::new();
    for step in 0..1200 {
        let now = STEP * step;
        if !outgoing.resend_if_due(now).is_empty() {
            resent_at_ms.push(now.as_millis());
        }
    }
    assert_eq!(resent_at_ms, [300, 900, 2100, 4500, 6900, 9300, 11700]);
}

/// A late response neither advances the transfer nor sets it back.
#[test]
fn a_late_response_changes_nothing() {
    let mut outgoing = OutgoingTransfer::new(10 * CHUNK_BYTES, false, Duration::ZERO);
    assert!(outgoing.on_received(STEP, 5 * CHUNK_BYTES));
    assert_eq!(outgoing.next_offsets(), [5 * CHUNK_BYTES, 6 * CHUNK_BYTES]);
    assert!(!outgoing.on_received(STEP, CHUNK_BYTES));
    assert!(!outgoing.on_received(STEP, 5 * CHUNK_BYTES));
    assert!(outgoing.next_offsets().is_empty());
    assert!(outgoing.on_received(STEP, 6 * CHUNK_BYTES));
    assert_eq!(outgoing.next_offsets(), [7 * CHUNK_BYTES]);
}

/// After a restart of the receiver, only data beyond what it had before counts as progress.
#[test]
fn a_restarted_receiver_makes_no_progress_at_first() {
    let mut outgoing = OutgoingTransfer::new(10 * CHUNK_BYTES, false, Duration::ZERO);
    assert!(outgoing.on_received(STEP, 2 * CHUNK_BYTES));
    assert!(!outgoing.on_received(STEP, 0));
    assert_eq!(outgoing.resend_if_due(STEP * 100), [0, CHUNK_BYTES]);
    assert!(!outgoing.on_received(STEP, CHUNK_BYTES));
    assert!(!outgoing.on_received(STEP, 2 * CHUNK_BYTES));
    assert!(outgoing.on_received(STEP, 3 * CHUNK_BYTES));
}
