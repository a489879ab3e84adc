//! The size of messages between members of the control plane.

use std::sync::Arc;

use intercom::control::{ControlMessage, Entry, Envelope};
use intercom::frame;
use intercom::node::NodeId;

/// Bytes of a message beside the commands and the state in it.
const MOST_OVERHEAD: usize = 100;

/// Text, as most of a configuration is.
fn text(bytes: usize) -> Arc<[u8]> {
    b"{\"label\":\"r-1\"}".iter().copied().cycle().take(bytes).collect()
}

#[test]
fn commands_and_the_state_take_no_more_room_than_their_bytes() {
    let entry = Entry { sequence: 9, command: text(100_000) };
    let message = ControlMessage::Sync {
        epoch: 1 << 40,
        snapshot_sequence: 8,
        snapshot: text(200_000),
        entries: vec![entry],
    };
    let sent = Envelope { from: NodeId::default(), to: NodeId::default(), message };
    let encoded = frame::encode(&sent).expect("it can be encoded");
    assert!(encoded.len() < 300_000 + MOST_OVERHEAD, "{} bytes", encoded.len());
    assert_eq!(frame::decode::<Envelope>(&encoded).expect("it can be decoded"), sent);
}
