//! Cache salts: a replica finds cached KV blocks only under the salt that they were stored under.

use tulipridge_configuration::number::WeightsRevision;

/// The cache salt of one send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheSalt {
    /// Shared by all requests that may use each other's cached prefixes.
    Shared(String),
    /// Used by this send alone: it neither finds cached prefixes nor leaves any that another request finds.
    Unshared(String),
}

impl CacheSalt {
    /// The salt of requests to one revision of the weights: of all tenants that share, or of one isolated tenant.
    #[must_use]
    pub fn shared(revision: WeightsRevision, isolated_tenant: Option<&str>) -> CacheSalt {
        CacheSalt::Shared(match isolated_tenant {
            Some(label) => format!("m{revision}-t-{label}"),
            None => format!("m{revision}"),
        })
    }

    /// The salt of a send to a replica whose revision of the weights is unknown. `nonce` is a random number.
    #[must_use]
    pub fn unshared(nonce: u128) -> CacheSalt {
        CacheSalt::Unshared(format!("u{nonce:032x}"))
    }

    /// The value of the header.
    #[must_use]
    pub fn as_str(&self) -> &str {
        match self {
            CacheSalt::Shared(text) | CacheSalt::Unshared(text) => text,
        }
    }
}
