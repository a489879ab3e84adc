//! Framing of messages on a connection: a length of four bytes, little-endian, then one message in musli's wire format.

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu, ensure};

/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;
/// Size limit of a message, sufficient for a complete configuration of the largest size that an operator may send.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// An error while encoding or decoding a message.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// A message exceeds [`MAX_MESSAGE_BYTES`].
    #[snafu(display("message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"))]
    TooLong {
        /// The length of the message in bytes, as its prefix states it or as it was encoded.
        length: usize,
    },
    /// A message can't be decoded.
    #[snafu(display("message cannot be decoded: {source}"))]
    Malformed {
        /// The decoder's error.
        source: musli::wire::Error,
    },
    /// A message can't be encoded.
    #[snafu(display("message cannot be encoded: {source}"))]
    Unencodable {
        /// The encoder's error.
        source: musli::wire::Error,
    },
}

/// Encodes a message and appends it to `out` with its length prefix.
///
/// # Errors
/// [`FrameError::Unencodable`], or [`FrameError::TooLong`] for a message over [`MAX_MESSAGE_BYTES`]; `out` is unchanged
/// then.
pub fn append<T: Encode<Binary>>(message: &T, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let encoded = encode(message)?;
    let length = encoded.len();
    ensure!(length <= MAX_MESSAGE_BYTES, TooLongSnafu { length });
    out.extend_from_slice(&(length as u32).to_le_bytes());
    out.extend_from_slice(&encoded);
    Ok(())
}

/// Encodes a message without a length prefix, as for a datagram.
///
/// # Errors
/// [`FrameError::Unencodable`].
pub fn encode<T: Encode<Binary>>(message: &T) -> Result<Vec<u8>, FrameError> {
    musli::wire::to_vec(message).context(UnencodableSnafu)
}

/// Decodes a message without a length prefix.
///
/// # Errors
/// [`FrameError::Malformed`].
pub fn decode<T: for<'de> Decode<'de, Binary, Global>>(bytes: &[u8]) -> Result<T, FrameError> {
    musli::wire::from_slice(bytes).context(MalformedSnafu)
}

/// Removes the next complete message from the front of `buffer`; `None` while more bytes are needed.
///
/// # Errors
/// [`FrameError::TooLong`] as soon as the length prefix exceeds [`MAX_MESSAGE_BYTES`], and [`FrameError::Malformed`].
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
