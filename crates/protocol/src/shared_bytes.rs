//! Shared byte slices, encoded as one byte string instead of element by element. Used as `#[musli(with = ...)]`.

use std::sync::Arc;

use musli::de::DecodeBytes;
use musli::{Decoder, Encoder};

/// Encodes the bytes after their length.
///
/// # Errors
/// Errors of the encoder.
pub fn encode<E: Encoder>(bytes: &Arc<[u8]>, encoder: E) -> Result<(), E::Error> {
    encoder.encode_bytes(bytes)
}

/// Decodes bytes that [`encode`] wrote.
///
/// # Errors
/// Errors of the decoder.
pub fn decode<'de, D: Decoder<'de>>(decoder: D) -> Result<Arc<[u8]>, D::Error> {
    DecodeBytes::<'de, D::Mode, D::Allocator>::decode_bytes(decoder)
}
