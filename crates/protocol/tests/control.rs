//! The encoded size of messages between members of the control plane.

use std::sync::Arc;

use rstest::rstest;
use tulipridge_protocol::frame;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, Envelope, ReplicationMessage, TransferId};

/// Limit of the size of a message without the command or the data in it.
const MAX_OVERHEAD_BYTES: usize = 100;

/// JSON text, which most of a configuration consists of.
fn json_text(bytes: usize) -> Arc<[u8]> {
    b"{\"label\":\"r-1\"}".iter().copied().cycle().take(bytes).collect()
}

#[rstest]
#[case::append(|bytes| ReplicationMessage::Append { epoch: Epoch(1 << 40), entry: Entry { sequence: SequenceNumber(9), command: bytes } })]
#[case::sync_chunk(|bytes| ReplicationMessage::Sync {
    epoch: Epoch(1 << 40),
    data_epoch: Epoch(1 << 39),
    transfer: TransferId { snapshot_sequence: SequenceNumber(1 << 40), sequence: SequenceNumber(1 << 40), length: 1 << 30, checksum: u64::MAX },
    offset: 1 << 29,
    bytes,
})]
fn byte_payloads_are_encoded_without_overhead_per_byte(
    #[case] message: fn(Arc<[u8]>) -> ReplicationMessage,
) {
    let sent =
        Envelope { from: NodeId::default(), to: NodeId::default(), message: message(json_text(300_000)) };
    let encoded = frame::encode(&sent).expect("the message is encodable");
    assert!(encoded.len() < 300_000 + MAX_OVERHEAD_BYTES, "{} bytes", encoded.len());
    assert_eq!(frame::decode::<Envelope>(&encoded).expect("the message is decodable"), sent);
}
