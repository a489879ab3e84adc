//! Clients' keys, which are stored as hashes and compared in constant time.

use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use tulipridge_http1::codec::Head;

/// A known key.
#[derive(Clone, Debug)]
pub struct Key {
    /// Its name in the settings and the log.
    pub name: String,
    /// The SHA-256 of its bytes. Keys are long and random, so that no slower hash would add anything.
    pub hash: [u8; 32],
    /// The tenant that it belongs to.
    pub tenant: Option<usize>,
    /// The models that it may request; all if empty.
    pub models: Vec<String>,
}

/// All known keys.
#[derive(Clone, Debug, Default)]
pub struct Keys(Vec<Key>);

/// The owner of a request, by its key.
#[derive(Clone, Copy, Debug)]
pub enum KeyOwner<'k> {
    /// No keys are set, so every client is served.
    Anybody,
    /// The owner of this key.
    Known(&'k Key),
    /// The request has no key.
    Keyless,
    /// The key is unknown.
    Stranger,
}

impl Keys {
    /// Creates the set of these keys.
    #[must_use]
    pub fn new(keys: Vec<Key>) -> Keys {
        Keys(keys)
    }

    /// Whether there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The owner of a request, by its `x-api-key` or else its `authorization: Bearer`.
    #[must_use]
    pub fn owner(&self, head: &Head) -> KeyOwner<'_> {
        if self.0.is_empty() {
            return KeyOwner::Anybody;
        }
        let bearer = || head.get("authorization")?.strip_prefix("Bearer ").map(str::trim);
        let Some(shown) = head.get("x-api-key").or_else(bearer).filter(|k| !k.is_empty()) else {
            return KeyOwner::Keyless;
        };
        let hash: [u8; 32] = Sha256::digest(shown.as_bytes()).into();
        // All keys are compared, so that the time does not depend on which one matches.
        let (mut found, mut at) = (Choice::from(0), 0u64);
        for (n, key) in self.0.iter().enumerate() {
            let same = key.hash.ct_eq(&hash);
            at.conditional_assign(&(n as u64), same);
            found |= same;
        }
        match self.0.get(at as usize) {
            Some(key) if bool::from(found) => KeyOwner::Known(key),
            _ => KeyOwner::Stranger,
        }
    }
}

/// The hash of a key, from its hex digits.
#[must_use]
pub fn hash_of(digits: &str) -> Option<[u8; 32]> {
    if digits.len() != 64 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, at) in hash.iter_mut().zip((0..64).step_by(2)) {
        *byte = u8::from_str_radix(&digits[at..at + 2], 16).ok()?;
    }
    Some(hash)
}

/// A key's hash as the settings have it.
#[must_use]
pub fn digits_of(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}
