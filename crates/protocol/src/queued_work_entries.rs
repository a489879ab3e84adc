//! Entries of queued work, encoded as pairs for compatibility with earlier versions. Used as `#[musli(with = ...)]`.

use musli::{Decoder, Encoder};

/// The work queued at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedWorkEntry {
    /// The replica's index in the table of replicas in the order of ids.
    pub replica_index: u32,
    /// The amount of queued work, in units of [`WORK_UNIT_TOKENS`](crate::feed::WORK_UNIT_TOKENS).
    pub units: u32,
}

/// Encodes each entry as a pair of index and units.
///
/// # Errors
/// Errors of the encoder.
pub(crate) fn encode<E: Encoder>(entries: &[QueuedWorkEntry], encoder: E) -> Result<(), E::Error>
where
    Vec<(u32, u32)>: musli::Encode<E::Mode>,
{
    let pairs: Vec<(u32, u32)> = entries.iter().map(|entry| (entry.replica_index, entry.units)).collect();
    encoder.encode(pairs)
}

/// Decodes entries that [`encode`] wrote.
///
/// # Errors
/// Errors of the decoder.
pub(crate) fn decode<'de, D: Decoder<'de>>(decoder: D) -> Result<Vec<QueuedWorkEntry>, D::Error>
where
    Vec<(u32, u32)>: musli::Decode<'de, D::Mode, D::Allocator>,
{
    let pairs: Vec<(u32, u32)> = decoder.decode()?;
    let entry = |(replica_index, units)| QueuedWorkEntry { replica_index, units };
    Ok(pairs.into_iter().map(entry).collect())
}
