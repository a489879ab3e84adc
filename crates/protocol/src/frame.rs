//! Framing of messages on a connection: a length of four bytes, little-endian, then one message in musli's wire format.

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu, ensure};

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;
/// Longest message that is accepted: a complete configuration of the largest size that an operator may send.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Why a message can't be sent or received.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// A message is longer than any that this system sends.
    #[snafu(display("a message of {length} bytes is over the bound of {MAX_MESSAGE_BYTES}"))]
    TooLong {
        /// The length that was stated.
        length: usize,
    },
    /// A message can't be decoded.
    #[snafu(display("a message can't be decoded: {source}"))]
    Malformed {
        /// The decoder's error.
        source: musli::wire::Error,
    },
    /// A message can't be encoded.
    #[snafu(display("a message can't be encoded: {source}"))]
    Unencodable {
        /// The encoder's error.
        source: musli::wire::Error,
    },
}

/// Appends a message in its frame.
///
/// # Errors
/// [`FrameError::Unencodable`], or [`FrameError::TooLong`] for a message over [`MAX_MESSAGE_BYTES`]; `out` is unchanged then.
pub fn append<T: Encode<Binary>>(message: &T, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let encoded = encode(message)?;
    let length = encoded.len();
    ensure!(length <= MAX_MESSAGE_BYTES, TooLongSnafu { length });
    out.extend_from_slice(&(length as u32).to_le_bytes());
    out.extend_from_slice(&encoded);
    Ok(())
}

/// Encodes a message without a frame, as for a datagram.
///
/// # Errors
/// [`FrameError::Unencodable`].
pub fn encode<T: Encode<Binary>>(message: &T) -> Result<Vec<u8>, FrameError> {
    musli::wire::to_vec(message).context(UnencodableSnafu)
}

/// Decodes a message that was received without a frame.
///
/// # Errors
/// [`FrameError::Malformed`].
pub fn decode<T: for<'de> Decode<'de, Binary, Global>>(bytes: &[u8]) -> Result<T, FrameError> {
    musli::wire::from_slice(bytes).context(MalformedSnafu)
}

/// Removes the next complete message from the front of `buffer`; none while more bytes are needed.
///
/// # Errors
/// [`FrameError::TooLong`] as soon as the stated length is over [`MAX_MESSAGE_BYTES`], and [`FrameError::Malformed`].
pub fn take<T: for<'de> Decode<'de, Binary, Global>>(
    buffer: &mut Vec<u8>,
) -> Result<Option<T>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*prefix) as usize;
    ensure!(length <= MAX_MESSAGE_BYTES, TooLongSnafu { length });
    let end = LENGTH_BYTES + length;
    if buffer.len() < end {
        return Ok(None);
    }
    let message = decode(&buffer[LENGTH_BYTES..end])?;
    buffer.drain(..end);
    Ok(Some(message))
}
