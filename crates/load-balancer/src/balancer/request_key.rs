//! The position of a request on the hash ring.

use crate::random::md5_prefix;
use crate::types::Request;

/// Returns the position of a request on the ring: the hash of its shared prefix, else of its session, else
/// of its id. A prefix that all replicas own is ignored: it doesn't narrow the choice, and the walk would
/// have to visit every replica.
pub(super) fn ring_key(request: &Request, owner_fraction: f64) -> u64 {
    let prefix = request.prefix.filter(|prefix| *prefix != 0 && owner_fraction < 1.0);
    let (kind, key) = match (prefix, request.session) {
        (Some(prefix), _) => (b'p', prefix),
        (None, Some(session)) => (b's', session),
        (None, None) => (b'r', request.id.0),
    };
    md5_prefix(&[&[kind], &key.to_le_bytes()])
}
