//! The binary form of values that are stored or sent between members.
//!
//! The bytes begin with an identifier of their format and a checksum of all that follows, so that bytes of
//! another format, damaged ones and cut ones give a typed error instead of a wrong value.

use musli::mode::Binary;
use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu, ensure};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies what the bytes hold, and in which edition of its form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Format(pub [u8; FORMAT_LENGTH]);

const FORMAT_LENGTH: usize = 4;
const CHECKSUM_LENGTH: usize = 8;
const HEADER_LENGTH: usize = FORMAT_LENGTH + CHECKSUM_LENGTH;

/// Why bytes give no value.
#[derive(Debug, Snafu)]
pub enum EncodingError {
    /// The bytes are of another format.
    #[snafu(display("the bytes are not of the format {expected:?}"))]
    UnknownFormat {
        /// The format that was expected.
        expected: Format,
    },
    /// The bytes are cut or damaged.
    #[snafu(display("the checksum of the bytes is wrong"))]
    WrongChecksum,
    /// The bytes are whole, but not of this form.
    #[snafu(display("the bytes can't be decoded: {source}"))]
    Malformed {
        /// What the decoder says.
        source: musli::wire::Error,
    },
}

/// The value as bytes.
pub fn encode<T: Encode<Binary>>(format: Format, value: &T) -> Vec<u8> {
    let mut bytes = format.0.to_vec();
    bytes.extend([0; CHECKSUM_LENGTH]);
    // Encoding into memory has no way to fail for values of plain fields.
    musli::wire::encode(&mut bytes, value).expect("a value of plain fields can be encoded");
    let checksum = xxh3_64(&bytes[HEADER_LENGTH..]).to_le_bytes();
    bytes[FORMAT_LENGTH..HEADER_LENGTH].copy_from_slice(&checksum);
    bytes
}

/// The value from the bytes of [`encode`].
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
