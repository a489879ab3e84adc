//! Binary encoding of values that are stored or sent between members.
//!
//! Encoded bytes start with an identifier of their format and a checksum of the payload. Bytes of another format, and
//! damaged or truncated bytes, give a typed error instead of a wrong value.

use musli::mode::Binary;
use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu, ensure};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies the type of the encoded value and the version of its encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Format(pub [u8; FORMAT_BYTES]);

const FORMAT_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;
const HEADER_BYTES: usize = FORMAT_BYTES + CHECKSUM_BYTES;

/// Reason why bytes can't be decoded.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The bytes have another format.
    #[snafu(display("the bytes do not have the format {expected:?}"))]
    FormatMismatch {
        /// The expected format.
        expected: Format,
    },
    /// The bytes are truncated or damaged.
    #[snafu(display("the checksum of the bytes does not match"))]
    ChecksumMismatch,
    /// The checksum matches, but the payload is not a value of the requested type.
    #[snafu(display("the payload cannot be decoded: {source}"))]
    Malformed {
        /// Error of the decoder.
        source: musli::wire::Error,
    },
}

/// Encodes a value, preceded by its format and checksum.
///
/// # Panics
///
/// If the value's `Encode` implementation returns an error; derived implementations don't.
pub fn encode<T: Encode<Binary>>(format: Format, value: &T) -> Vec<u8> {
    let mut bytes = format.0.to_vec();
    bytes.extend([0; CHECKSUM_BYTES]);
    // Writing to memory can't fail, so only a manual implementation of `Encode` can return an error.
    musli::wire::encode(&mut bytes, value).expect("encoding to memory must not fail");
    let checksum = xxh3_64(&bytes[HEADER_BYTES..]).to_le_bytes();
    bytes[FORMAT_BYTES..HEADER_BYTES].copy_from_slice(&checksum);
    bytes
}

/// Decodes a value that [`encode`] has encoded.
///
/// # Errors
///
/// [`DecodeError`] if the bytes have another format, or are truncated or damaged.
pub fn decode<'de, T>(format: Format, bytes: &'de [u8]) -> Result<T, DecodeError>
where
    T: Decode<'de, Binary, musli::alloc::Global>,
{
    let payload = bytes.strip_prefix(&format.0).ok_or(DecodeError::FormatMismatch { expected: format })?;
    let (checksum, payload) =
        payload.split_first_chunk::<CHECKSUM_BYTES>().ok_or(DecodeError::ChecksumMismatch)?;
    ensure!(*checksum == xxh3_64(payload).to_le_bytes(), ChecksumMismatchSnafu);
    musli::wire::from_slice(payload).context(MalformedSnafu)
}
