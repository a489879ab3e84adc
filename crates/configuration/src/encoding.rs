//! The binary form of values that are stored or sent between members.
//!
//! The bytes begin with an identifier of their format and a checksum of all that follows, so that bytes of another
//! format, damaged ones and truncated ones give a typed error instead of a wrong value.

use musli::mode::Binary;
use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu, ensure};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies the type of the encoded value and the version of its encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Format(pub [u8; FORMAT_LENGTH]);

const FORMAT_LENGTH: usize = 4;
const CHECKSUM_LENGTH: usize = 8;
const HEADER_LENGTH: usize = FORMAT_LENGTH + CHECKSUM_LENGTH;

/// Why bytes can't be decoded.
#[derive(Debug, Snafu)]
pub enum EncodingError {
    /// The bytes are of another format.
    #[snafu(display("the bytes are not of the format {expected:?}"))]
    UnknownFormat {
        /// The format that was expected.
        expected: Format,
    },
    /// The bytes are truncated or damaged.
    #[snafu(display("the checksum of the bytes is wrong"))]
    WrongChecksum,
    /// The checksum is right, but the bytes are not a value of this type.
    #[snafu(display("the bytes can't be decoded: {source}"))]
    Malformed {
        /// The decoder's error.
        source: musli::wire::Error,
    },
}

/// Encodes a value with the header of its format.
///
/// # Panics
///
/// If the value's `Encode` fails by itself; derived ones don't.
pub fn encode<T: Encode<Binary>>(format: Format, value: &T) -> Vec<u8> {
    let mut bytes = format.0.to_vec();
    bytes.extend([0; CHECKSUM_LENGTH]);
    // Encoding into memory has no way to fail for values of plain fields.
    musli::wire::encode(&mut bytes, value).expect("a value of plain fields can be encoded");
    let checksum = xxh3_64(&bytes[HEADER_LENGTH..]).to_le_bytes();
    bytes[FORMAT_LENGTH..HEADER_LENGTH].copy_from_slice(&checksum);
    bytes
}

/// Decodes a value from the bytes of [`encode`].
///
/// # Errors
///
/// [`EncodingError`] if the bytes are of another format, truncated or damaged.
pub fn decode<'de, T>(format: Format, bytes: &'de [u8]) -> Result<T, EncodingError>
where
    T: Decode<'de, Binary, musli::alloc::Global>,
{
    let payload = bytes.strip_prefix(&format.0).ok_or(EncodingError::UnknownFormat { expected: format })?;
    let (checksum, payload) =
        payload.split_first_chunk::<CHECKSUM_LENGTH>().ok_or(EncodingError::WrongChecksum)?;
    ensure!(*checksum == xxh3_64(payload).to_le_bytes(), WrongChecksumSnafu);
    musli::wire::from_slice(payload).context(MalformedSnafu)
}
