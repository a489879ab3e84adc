//! Cache salts. A replica reuses cached KV blocks only for requests with the salt that the blocks were cached under.

use tulipridge_configuration::number::WeightsRevision;

/// The cache salt of one send of a request to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheSalt {
    /// Used by all requests that may reuse each other's cached prefixes.
    Shared(String),
    /// Used by this send only, so that it neither reuses cached prefixes nor caches any that another request can reuse.
    Unshared(String),
}

impl CacheSalt {
    /// The salt for one revision of the weights. An isolated tenant has a salt of its own; all other requests, with or
    /// without a tenant, share one.
    #[must_use]
    pub fn shared(revision: WeightsRevision, isolated_tenant: Option<&str>) -> CacheSalt {
        CacheSalt::Shared(match isolated_tenant {
            Some(label) => format!("m{revision}-t-{label}"),
            None => format!("m{revision}"),
        })
    }

    /// The salt for a replica whose revision of the weights is unknown. `nonce` is a random number.
    #[must_use]
    pub fn unshared(nonce: u128) -> CacheSalt {
        CacheSalt::Unshared(format!("u{nonce:032x}"))
    }

    /// The value of the `Cache-Salt` header.
    #[must_use]
    pub fn as_str(&self) -> &str {
        match self {
            CacheSalt::Shared(text) | CacheSalt::Unshared(text) => text,
        }
    }
}
