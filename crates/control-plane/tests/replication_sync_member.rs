//! How a single member handles the chunks of the data that a sync transfers.

use std::time::Duration;

use tulipridge_control_plane::replication::transfer::{CHUNK_BYTES, Chunk, EncodedData};
use tulipridge_control_plane::replication::{
    DurableRecord, DurableState, Input, LogPosition, Output, Replication, ReplicationSettings, WriteTicket,
};
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, Envelope, ReplicationMessage, TransferId};

const START: Duration = Duration::from_secs(1);
const MEMBER: NodeId = NodeId { ip: 2, generation: Generation(0) };
const PROPOSER: NodeId = NodeId { ip: 1, generation: Generation(0) };
/// The epoch of the data of the proposer, and the epochs of the view changes that it attempts.
const DATA_EPOCH: u64 = 1 << 40;
const FIRST_EPOCH: u64 = 2 << 40;
const SECOND_EPOCH: u64 = 3 << 40;

/// Five entries of two thirds of a chunk each.
fn data(epoch: u64, filler: u8) -> DurableState {
    let command: Vec<u8> = vec![filler; CHUNK_BYTES as usize * 2 / 3];
    let entry = |sequence| Entry { sequence: SequenceNumber(sequence), command: command.clone().into() };
    DurableState {
        promised: Epoch(epoch),
        data: LogPosition { epoch: Epoch(epoch), sequence: SequenceNumber(5) },
        entries: (1..=5).map(entry).collect(),
        ..DurableState::default()
    }
}

/// A member under test.
struct Member(Replication);

impl Member {
    fn start(durable: DurableState) -> Member {
        let settings = ReplicationSettings {
            node: MEMBER,
            zone: "a".to_owned(),
            seeds: vec![PROPOSER, MEMBER],
            tolerated_failures: 1,
            first_boot: false,
            seed: 1,
        };
        let mut replication = Replication::new(settings, durable, START);
        replication.handle(START, Input::Tick, &mut Vec::new());
        Member(replication)
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.0.handle(START, input, &mut out);
        out
    }

    fn sync(&mut self, epoch: u64, chunk: Chunk) -> Vec<Output> {
        let Chunk { transfer, offset, bytes } = chunk;
        let message = ReplicationMessage::Sync {
            epoch: Epoch(epoch),
            data_epoch: Epoch(DATA_EPOCH),
            transfer,
            offset,
            bytes,
        };
        self.handle(Input::Message(Envelope { from: PROPOSER, to: MEMBER, message }))
    }
}

fn responses(out: &[Output]) -> Vec<ReplicationMessage> {
    let response = |output: &Output| match output {
        Output::Send(envelope) if envelope.to == PROPOSER => Some(envelope.message.clone()),
        _ => None,
    };
    out.iter().filter_map(response).collect()
}

fn records(out: &[Output]) -> Vec<DurableRecord> {
    let persisted = |output: &Output| match output {
        Output::Persist { records, .. } => records.clone(),
        _ => Vec::new(),
    };
    out.iter().flat_map(persisted).collect()
}

fn last_ticket(out: &[Output]) -> u64 {
    let ticket = |output: &Output| match output {
        Output::Persist { ticket, .. } => Some(*ticket),
        _ => None,
    };
    (out.iter().filter_map(ticket).next_back().expect("a record is written")).0
}

fn progress(epoch: u64, transfer: TransferId, received: u64) -> ReplicationMessage {
    ReplicationMessage::SyncProgress { epoch: Epoch(epoch), transfer, received }
}

/// The chunks of the data in their order.
fn chunks(data: &EncodedData) -> Vec<Chunk> {
    (0..data.id().length).step_by(CHUNK_BYTES as usize).map(|offset| data.chunk(offset)).collect()
}

#[test]
fn a_partial_transfer_changes_no_data() {
    let old = data(1 << 39, 1);
    let mut member = Member::start(old);
    let encoded = EncodedData::of(&data(DATA_EPOCH, 2));
    let chunks = chunks(&encoded);
    let out = member.sync(FIRST_EPOCH, chunks[0].clone());
    assert_eq!(records(&out), [DurableRecord::Promised(Epoch(FIRST_EPOCH))]);
    assert_eq!(responses(&out), [progress(FIRST_EPOCH, encoded.id(), CHUNK_BYTES)]);
    for chunk in &chunks[1..chunks.len() - 1] {
        assert_eq!(records(&member.sync(FIRST_EPOCH, chunk.clone())), []);
    }
}

#[test]
fn a_complete_transfer_is_confirmed_once_it_is_durable() {
    let mut member = Member::start(DurableState::default());
    let proposer = data(DATA_EPOCH, 2);
    let encoded = EncodedData::of(&proposer);
    let mut out = Vec::new();
    for chunk in chunks(&encoded) {
        out = member.sync(FIRST_EPOCH, chunk);
    }
    let reset = DurableRecord::Reset {
        epoch: Epoch(FIRST_EPOCH),
        snapshot_sequence: SequenceNumber(0),
        snapshot: proposer.snapshot.clone(),
        entries: proposer.entries,
    };
    assert_eq!(records(&out), [reset]);
    assert_eq!(responses(&out), [progress(FIRST_EPOCH, encoded.id(), encoded.id().length)]);
    let ticket = last_ticket(&out);
    // A chunk that arrives before the data is durable is not confirmed yet.
    assert_eq!(responses(&member.sync(FIRST_EPOCH, encoded.chunk(encoded.id().length))), []);
    let out = member.handle(Input::Persisted { ticket: WriteTicket(ticket) });
    let synced = ReplicationMessage::Synced { epoch: Epoch(FIRST_EPOCH), sequence: SequenceNumber(5) };
    assert_eq!(responses(&out), [synced.clone(), synced.clone()]);
    let repeated = member.sync(FIRST_EPOCH, encoded.chunk(0));
    assert_eq!((responses(&repeated), records(&repeated)), (vec![synced], vec![]));
}

#[test]
fn a_data_replica_at_the_same_position_records_only_the_epoch() {
    let mut member = Member::start(data(DATA_EPOCH, 2));
    let encoded = EncodedData::of(&data(DATA_EPOCH, 2));
    let out = member.sync(FIRST_EPOCH, encoded.chunk(encoded.id().length));
    assert_eq!(
        records(&out),
        [DurableRecord::Promised(Epoch(FIRST_EPOCH)), DurableRecord::DataEpoch(Epoch(FIRST_EPOCH))]
    );
    assert_eq!(responses(&out), []);
    let out = member.handle(Input::Persisted { ticket: WriteTicket(last_ticket(&out)) });
    assert_eq!(
        responses(&out),
        [ReplicationMessage::Synced { epoch: Epoch(FIRST_EPOCH), sequence: SequenceNumber(5) }]
    );
}

/// The same number of entries from another epoch may be different entries.
#[test]
fn a_data_replica_at_another_epoch_needs_the_data() {
    let mut member = Member::start(data(DATA_EPOCH - 1, 1));
    let encoded = EncodedData::of(&data(DATA_EPOCH, 2));
    let out = member.sync(FIRST_EPOCH, encoded.chunk(encoded.id().length));
    assert_eq!(records(&out), [DurableRecord::Promised(Epoch(FIRST_EPOCH))]);
    assert_eq!(responses(&out), [progress(FIRST_EPOCH, encoded.id(), 0)]);
}

/// Fewer entries of the same epoch are incomplete data.
#[test]
fn a_data_replica_with_fewer_entries_needs_the_data() {
    let mut behind = data(DATA_EPOCH, 2);
    behind.entries.pop();
    behind.data.sequence = SequenceNumber(4);
    let mut member = Member::start(behind);
    let encoded = EncodedData::of(&data(DATA_EPOCH, 2));
    let out = member.sync(FIRST_EPOCH, encoded.chunk(encoded.id().length));
    assert_eq!(responses(&out), [progress(FIRST_EPOCH, encoded.id(), 0)]);
}

#[test]
fn a_higher_epoch_with_the_same_data_resumes() {
    let mut member = Member::start(DurableState::default());
    let encoded = EncodedData::of(&data(DATA_EPOCH, 2));
    let chunks = chunks(&encoded);
    member.sync(FIRST_EPOCH, chunks[0].clone());
    member.sync(FIRST_EPOCH, chunks[1].clone());
    let out = member.sync(SECOND_EPOCH, chunks[0].clone());
    assert_eq!(responses(&out), [progress(SECOND_EPOCH, encoded.id(), 2 * CHUNK_BYTES)]);
    let late_response = responses(&member.sync(FIRST_EPOCH, chunks[2].clone()));
    assert_eq!(
        late_response,
        [ReplicationMessage::Refuse { epoch: Epoch(FIRST_EPOCH), promised: Epoch(SECOND_EPOCH) }]
    );
    let out = member.sync(SECOND_EPOCH, chunks[2].clone());
    assert_eq!(responses(&out), [progress(SECOND_EPOCH, encoded.id(), 3 * CHUNK_BYTES)]);
}

#[test]
fn a_chunk_of_other_data_restarts_the_transfer() {
    let mut member = Member::start(DurableState::default());
    let first = EncodedData::of(&data(DATA_EPOCH, 2));
    let second = EncodedData::of(&data(DATA_EPOCH, 3));
    member.sync(FIRST_EPOCH, first.chunk(0));
    let out = member.sync(SECOND_EPOCH, second.chunk(CHUNK_BYTES));
    assert_eq!(responses(&out), [progress(SECOND_EPOCH, second.id(), 0)]);
    assert_eq!(records(&out), [DurableRecord::Promised(Epoch(SECOND_EPOCH))]);
}
