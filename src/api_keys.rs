//! API keys of clients, which are stored as hashes and compared in constant time.

use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use tulipridge_http1::codec::Head;

/// An API key of the settings.
#[derive(Clone, Debug)]
pub struct Key {
    /// The name of the key in the settings and the log.
    pub name: String,
    /// The SHA-256 of the key's bytes. A slower hash would add no security, since keys are long and random.
    pub hash: [u8; 32],
    /// The index of the tenant that the key belongs to, if any.
    pub tenant: Option<usize>,
    /// The models that requests with the key may name; all if empty.
    pub models: Vec<String>,
}

/// The API keys of the settings.
#[derive(Clone, Debug, Default)]
pub struct Keys(Vec<Key>);

/// The owner of a request, as identified by its API key.
#[derive(Clone, Copy, Debug)]
pub enum KeyOwner<'k> {
    /// The settings have no keys, so every client is served.
    NotRequired,
    /// The owner of a known key.
    Known(&'k Key),
    /// The request has no key, or an empty one.
    Missing,
    /// The request's key is not among those of the settings.
    Unknown,
}

impl Keys {
    /// Creates a set of keys.
    #[must_use]
    pub fn new(keys: Vec<Key>) -> Keys {
        Keys(keys)
    }

    /// Whether the settings have no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Identifies the owner of a request by its `x-api-key` header, or else by `authorization: Bearer`.
    #[must_use]
    pub fn owner(&self, head: &Head) -> KeyOwner<'_> {
        if self.0.is_empty() {
            return KeyOwner::NotRequired;
        }
        let bearer = || head.get("authorization")?.strip_prefix("Bearer ").map(str::trim);
        let Some(presented) = head.get("x-api-key").or_else(bearer).filter(|k| !k.is_empty()) else {
            return KeyOwner::Missing;
        };
        let hash: [u8; 32] = Sha256::digest(presented.as_bytes()).into();
        // All keys are compared, so that the duration does not depend on which one matches.
        let (mut is_found, mut index) = (Choice::from(0), 0u64);
        for (key_index, key) in self.0.iter().enumerate() {
            let is_equal = key.hash.ct_eq(&hash);
            index.conditional_assign(&(key_index as u64), is_equal);
            is_found |= is_equal;
        }
        match self.0.get(index as usize) {
            Some(key) if bool::from(is_found) => KeyOwner::Known(key),
            _ => KeyOwner::Unknown,
        }
    }
}

/// Parses the hash of a key; `None` unless `digits` are 64 hex digits.
#[must_use]
pub fn hash_of(digits: &str) -> Option<[u8; 32]> {
    if digits.len() != 64 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, start) in hash.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(&digits[start..start + 2], 16).ok()?;
    }
    Some(hash)
}

/// The hash of a key as 64 hex digits, the form that the settings use.
#[must_use]
pub fn digits_of(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}
