//! Digests of operators' requests, by which a retry of a request is recognised.

use std::fmt;

use musli::{Decode, Encode};
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::number::{Revision, WeightsRevision};
use crate::precision::may_round_numbers;

/// Form in which a request contains its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// The complete configuration.
    Put,
    /// A patch, which changes individual items.
    Patch,
}

/// Digest (XXH3, 128 bits) of a request's kind and content, equal on all machines. A configuration is digested as its
/// JSON value, together with the revision on which it builds: the order of fields and white space make no difference.
/// If parsing may round one of its numbers, its bytes are digested instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct RequestDigest(#[musli(bytes)] RawDigest);

/// A digest as bytes.
type RawDigest = [u8; RequestDigest::BYTES];

impl RequestDigest {
    /// Length of a digest in bytes.
    pub(crate) const BYTES: usize = 16;

    /// Digests a request that puts or patches a configuration.
    ///
    /// # Errors
    ///
    /// The parser's error if the body is not exactly one JSON value.
    pub(crate) fn of_configuration(
        kind: RequestKind,
        base: Revision,
        body: &[u8],
    ) -> Result<Self, serde_json::Error> {
        let mut deserializer = serde_json::Deserializer::from_slice(body);
        let mut value = ValueDigest.deserialize(&mut deserializer)?;
        deserializer.end()?;
        if may_round_numbers(body) {
            value = digest_of_bytes(tag::EXACT_BODY, body);
        }
        let kind = match kind {
            RequestKind::Put => tag::PUT,
            RequestKind::Patch => tag::PATCH,
        };
        Ok(RequestDigest(combined_digest(kind, &[u128::from(base.0).to_le_bytes(), value])))
    }

    /// Digests a request that sets the weights revision of a model.
    #[must_use]
    pub fn of_weights(model: &str, revision: WeightsRevision) -> Self {
        let model = digest_of_bytes(tag::TEXT, model.as_bytes());
        let revision = digest_of_bytes(tag::UNSIGNED, &revision.0.to_le_bytes());
        RequestDigest(combined_digest(tag::WEIGHTS, &[model, revision]))
    }

    pub(crate) fn to_bytes(self) -> RawDigest {
        self.0
    }

    pub(crate) fn from_bytes(bytes: RawDigest) -> Self {
        RequestDigest(bytes)
    }
}

/// Hash seeds of the digested types, so that equal bytes of different types have different digests.
mod tag {
    pub(super) const PUT: u64 = 0;
    pub(super) const PATCH: u64 = 1;
    pub(super) const NULL: u64 = 2;
    pub(super) const BOOLEAN: u64 = 3;
    pub(super) const UNSIGNED: u64 = 4;
    pub(super) const NEGATIVE: u64 = 5;
    pub(super) const FRACTION: u64 = 6;
    pub(super) const TEXT: u64 = 7;
    pub(super) const LIST: u64 = 8;
    pub(super) const OBJECT: u64 = 9;
    pub(super) const WEIGHTS: u64 = 10;
    pub(super) const EXACT_BODY: u64 = 11;
}

fn digest_of_bytes(tag: u64, bytes: &[u8]) -> RawDigest {
    xxh3_128_with_seed(bytes, tag).to_le_bytes()
}

fn combined_digest(tag: u64, digests: &[RawDigest]) -> RawDigest {
    digest_of_bytes(tag, digests.as_flattened())
}

/// Digests a JSON value during parsing, without building the value.
#[derive(Clone, Copy)]
struct ValueDigest;

impl<'de> DeserializeSeed<'de> for ValueDigest {
    type Value = RawDigest;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<RawDigest, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueDigest {
    type Value = RawDigest;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<RawDigest, E> {
        Ok(digest_of_bytes(tag::NULL, &[]))
    }

    fn visit_bool<E: Error>(self, flag: bool) -> Result<RawDigest, E> {
        Ok(digest_of_bytes(tag::BOOLEAN, &[u8::from(flag)]))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<RawDigest, E> {
        Ok(digest_of_bytes(tag::UNSIGNED, &number.to_le_bytes()))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<RawDigest, E> {
        Ok(digest_of_bytes(tag::NEGATIVE, &number.to_le_bytes()))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<RawDigest, E> {
        Ok(digest_of_bytes(tag::FRACTION, &number.to_bits().to_le_bytes()))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<RawDigest, E> {
        Ok(digest_of_bytes(tag::TEXT, text.as_bytes()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<RawDigest, A::Error> {
        let mut digests = Vec::new();
        while let Some(item) = items.next_element_seed(self)? {
            digests.push(item);
        }
        Ok(combined_digest(tag::LIST, &digests))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<RawDigest, A::Error> {
        let mut digests = Vec::new();
        while let Some(name) = fields.next_key_seed(self)? {
            digests.push([name, fields.next_value_seed(self)?]);
        }
        // The sort must be stable: the last of several fields with the same name takes effect, so their order matters.
        digests.sort_by_key(|[name, _]| *name);
        Ok(combined_digest(tag::OBJECT, digests.as_flattened()))
    }
}
