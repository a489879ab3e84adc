//! Shared bytes in a message, encoded as they are instead of element by element: `#[musli(with = ...)]`.

use std::sync::Arc;

use musli::de::DecodeBytes;
use musli::{Decoder, Encoder};

/// Encodes the bytes with their length.
///
/// # Errors
/// Those of the encoder.
pub fn encode<E: Encoder>(bytes: &Arc<[u8]>, encoder: E) -> Result<(), E::Error> {
    encoder.encode_bytes(bytes)
}

/// Decodes what [`encode`] wrote.
///
/// # Errors
/// Those of the decoder.
pub fn decode<'de, D: Decoder<'de>>(decoder: D) -> Result<Arc<[u8]>, D::Error> {
    DecodeBytes::<'de, D::Mode, D::Allocator>::decode_bytes(decoder)
}
