//! Clients' keys: held only as hashes, and compared in a time that says nothing of them.

use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

use tulipridge_http1::codec::Head;

/// A key that is known.
#[derive(Clone, Debug)]
pub struct Key {
    /// What it is called in the settings and the log.
    pub name: String,
    /// The SHA-256 of its bytes. Keys are long and random, so that no slower hash would add anything.
    pub hash: [u8; 32],
    /// The tenant whose it is.
    pub tenant: Option<usize>,
    /// The models that it may ask for; all if none is named.
    pub models: Vec<String>,
}

/// All keys that are known.
#[derive(Clone, Debug, Default)]
pub struct Keys(Vec<Key>);

/// What a request's key says.
#[derive(Clone, Copy, Debug)]
pub enum Holder<'k> {
    /// No keys are set: anybody may ask.
    Anybody,
    /// The holder of this key.
    Known(&'k Key),
    /// No key was shown.
    Keyless,
    /// The key is none of those known.
    Stranger,
}

impl Keys {
    /// These keys.
    #[must_use]
    pub fn new(keys: Vec<Key>) -> Keys {
        Keys(keys)
    }

    /// No key is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whose request it is, by its `x-api-key`, or else its `authorization: Bearer`.
    #[must_use]
    pub fn holder(&self, head: &Head) -> Holder<'_> {
        if self.0.is_empty() {
            return Holder::Anybody;
        }
        let bearer = || head.get("authorization")?.strip_prefix("Bearer ").map(str::trim);
        let Some(shown) = head.get("x-api-key").or_else(bearer).filter(|k| !k.is_empty()) else {
            return Holder::Keyless;
        };
        let hash: [u8; 32] = Sha256::digest(shown.as_bytes()).into();
        // Each is compared whole, whichever fits: how long it takes tells nothing.
        let (mut found, mut at) = (Choice::from(0), 0u64);
        for (n, key) in self.0.iter().enumerate() {
            let same = key.hash.ct_eq(&hash);
            at.conditional_assign(&(n as u64), same);
            found |= same;
        }
        match self.0.get(at as usize) {
            Some(key) if bool::from(found) => Holder::Known(key),
            _ => Holder::Stranger,
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
