//! Encoding of datagrams.

use tulipridge_protocol::frame;
use tulipridge_protocol::peer_sampling::Shuffle;

/// Maximum size of a datagram, sent or received; small enough to avoid IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Encodes a message; `None` if it does not fit into a datagram.
#[must_use]
pub fn encode(message: &Shuffle) -> Option<Vec<u8>> {
    let bytes = frame::encode(message).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes a datagram; `None` if it is too long or malformed.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Shuffle> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    frame::decode(bytes).ok()
}
