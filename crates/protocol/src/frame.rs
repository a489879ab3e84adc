//! Framing: a length of four bytes, little-endian, then one encoded message.

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use snafu::Snafu;

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;
/// Longest message that is taken: a whole configuration of the largest size that an operator may send.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// What is wrong with a message.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// A message is longer than any that this system sends.
    #[snafu(display("a message of {length} bytes is over the bound of {MAX_MESSAGE_BYTES}"))]
    TooLong {
        /// The length that was stated.
        length: usize,
    },
    /// A message can't be decoded.
    #[snafu(display("a message can't be decoded: {reason}"))]
    Malformed {
        /// What the decoder says.
        reason: String,
    },
    /// A message can't be encoded.
    #[snafu(display("a message can't be encoded: {reason}"))]
    Unencodable {
        /// What the encoder says.
        reason: String,
    },
}

/// Appends a message in its frame.
pub fn append<T: Encode<Binary>>(message: &T, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let encoded = encode(message)?;
    let length = encoded.len();
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong { length });
    }
    out.extend_from_slice(&(length as u32).to_le_bytes());
    out.extend_from_slice(&encoded);
    Ok(())
}

/// Encodes a message without a frame, as for a datagram.
pub fn encode<T: Encode<Binary>>(message: &T) -> Result<Vec<u8>, FrameError> {
    musli::wire::to_vec(message).map_err(|e| FrameError::Unencodable { reason: e.to_string() })
}

/// Decodes a message that came without a frame.
pub fn decode<T: for<'de> Decode<'de, Binary, Global>>(bytes: &[u8]) -> Result<T, FrameError> {
    musli::wire::from_slice(bytes).map_err(|e| FrameError::Malformed { reason: e.to_string() })
}

/// Takes the next whole message from the front of `buffer`; none while more bytes are needed.
pub fn take<T: for<'de> Decode<'de, Binary, Global>>(
    buffer: &mut Vec<u8>,
) -> Result<Option<T>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong { length });
    }
    let end = LENGTH_BYTES + length;
    if buffer.len() < end {
        return Ok(None);
    }
    let message = decode(&buffer[LENGTH_BYTES..end])?;
    buffer.drain(..end);
    Ok(Some(message))
}
