//! The size of messages between members of the control plane.

use std::sync::Arc;

use rstest::rstest;
use tulipridge_protocol::frame;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, Envelope, ReplicationMessage, TransferId};

/// Bytes of a message beside the commands and the data in it.
const MOST_OVERHEAD: usize = 100;

/// Text, as most of a configuration is.
fn text(bytes: usize) -> Arc<[u8]> {
    b"{\"label\":\"r-1\"}".iter().copied().cycle().take(bytes).collect()
}

#[rstest]
#[case::command(|bytes| ReplicationMessage::Append { epoch: Epoch(1 << 40), entry: Entry { sequence: SequenceNumber(9), command: bytes } })]
#[case::part_of_the_data(|bytes| ReplicationMessage::Sync {
    epoch: Epoch(1 << 40),
    data_epoch: Epoch(1 << 39),
    transfer: TransferId { snapshot_sequence: SequenceNumber(1 << 40), sequence: SequenceNumber(1 << 40), length: 1 << 30, checksum: u64::MAX },
    offset: 1 << 29,
    bytes,
})]
fn commands_and_the_data_take_no_more_room_than_their_bytes(
    #[case] message: fn(Arc<[u8]>) -> ReplicationMessage,
) {
    let sent = Envelope { from: NodeId::default(), to: NodeId::default(), message: message(text(300_000)) };
    let encoded = frame::encode(&sent).expect("it can be encoded");
    assert!(encoded.len() < 300_000 + MOST_OVERHEAD, "{} bytes", encoded.len());
    assert_eq!(frame::decode::<Envelope>(&encoded).expect("it can be decoded"), sent);
}
