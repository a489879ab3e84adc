//! Encoding of datagrams.

use tulipridge_protocol::frame;
use tulipridge_protocol::peer_sampling::Shuffle;

/// Longest datagram that is sent or accepted, so that none is fragmented on its way.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Encodes a message; none if it is too long for a datagram.
#[must_use]
pub fn encode(message: &Shuffle) -> Option<Vec<u8>> {
    let bytes = frame::encode(message).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes a datagram; none if it is too long or malformed.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Shuffle> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    frame::decode(bytes).ok()
}
