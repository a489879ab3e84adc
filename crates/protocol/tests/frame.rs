//! Framing of messages: encoding, decoding and the size limit.

use std::net::Ipv4Addr;

use rstest::rstest;
use tulipridge_protocol::frame::{self, FrameError, MAX_MESSAGE_BYTES};
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, Envelope, ReplicationMessage, TransferId, View};

fn member(last: u8) -> NodeId {
    NodeId::new(Ipv4Addr::new(10, 0, 0, last), Generation(u64::from(last)))
}

fn envelope(message: ReplicationMessage) -> Envelope {
    Envelope { from: member(1), to: member(2), message }
}

fn append(sequence: u64) -> ReplicationMessage {
    ReplicationMessage::Append {
        epoch: Epoch(7),
        entry: Entry { sequence: SequenceNumber(sequence), command: vec![0, 1, 255].into() },
    }
}

fn install() -> ReplicationMessage {
    let view = View {
        epoch: Epoch(u64::MAX),
        voters: vec![member(1), member(2)],
        previous_voters: vec![member(3)],
        data_replicas: vec![member(1)],
    };
    ReplicationMessage::Install { view }
}

fn sync() -> ReplicationMessage {
    let transfer = TransferId {
        snapshot_sequence: SequenceNumber(3),
        sequence: SequenceNumber(4),
        length: 1500,
        checksum: u64::MAX,
    };
    ReplicationMessage::Sync {
        epoch: Epoch(7),
        data_epoch: Epoch(6),
        transfer,
        offset: 500,
        bytes: vec![9; 1000].into(),
    }
}

fn sync_progress() -> ReplicationMessage {
    ReplicationMessage::SyncProgress { epoch: Epoch(7), transfer: TransferId::default(), received: 1500 }
}

fn framed(messages: &[Envelope]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for message in messages {
        frame::append(message, &mut bytes).expect("the message is encodable");
    }
    bytes
}

#[rstest]
#[case::append(append(5))]
#[case::install(install())]
#[case::sync(sync())]
#[case::sync_progress(sync_progress())]
#[case::join(ReplicationMessage::Join { zone: "zone-ä".to_owned() })]
fn messages_are_unchanged_by_encoding_and_decoding(#[case] message: ReplicationMessage) {
    let sent = envelope(message);
    let mut bytes = framed(std::slice::from_ref(&sent));
    assert_eq!(frame::take(&mut bytes).expect("the frame is valid"), Some(sent));
    assert!(bytes.is_empty());
}

#[test]
fn messages_are_read_in_order_from_fragments_of_any_size() {
    let sent = [envelope(append(1)), envelope(install()), envelope(append(2))];
    let bytes = framed(&sent);
    for fragment_bytes in 1..bytes.len() {
        let mut buffer = Vec::new();
        let mut taken: Vec<Envelope> = Vec::new();
        for chunk in bytes.chunks(fragment_bytes) {
            buffer.extend_from_slice(chunk);
            while let Some(message) = frame::take(&mut buffer).expect("the frames are valid") {
                taken.push(message);
            }
        }
        assert_eq!(taken, sent, "in fragments of {fragment_bytes} bytes");
        assert!(buffer.is_empty());
    }
}

/// The length prefix is checked before the message has arrived, so that an oversized message is not buffered.
#[test]
fn a_message_over_the_limit_is_refused_by_its_length() {
    let length = MAX_MESSAGE_BYTES as u32 + 1;
    let mut bytes = length.to_le_bytes().to_vec();
    let refused = frame::take::<Envelope>(&mut bytes);
    assert!(matches!(refused, Err(FrameError::TooLong { length }) if length == MAX_MESSAGE_BYTES + 1));
}

#[test]
fn a_message_over_the_limit_is_not_sent() {
    let command = vec![0; MAX_MESSAGE_BYTES].into();
    let message = ReplicationMessage::Append {
        epoch: Epoch(7),
        entry: Entry { sequence: SequenceNumber(3), command },
    };
    let mut bytes = Vec::new();
    assert!(matches!(frame::append(&envelope(message), &mut bytes), Err(FrameError::TooLong { .. })));
    assert!(bytes.is_empty());
}

#[rstest]
#[case::empty(&[])]
#[case::all_bits_set(&[0xff; 20])]
fn undecodable_bytes_are_malformed(#[case] message: &[u8]) {
    let mut bytes = (message.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(message);
    assert!(matches!(frame::take::<Envelope>(&mut bytes), Err(FrameError::Malformed { .. })));
}
