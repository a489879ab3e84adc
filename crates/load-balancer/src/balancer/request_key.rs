//! The position of a request on the hash ring.

use crate::random::md5_prefix;
use crate::types::Request;

/// The position of a request on the ring: its shared prefix, else its session, else itself. A prefix that
/// all replicas share says no more than none would, and would cost a walk past all of them.
pub(super) fn ring_key(request: &Request, owner_fraction: f64) -> u64 {
    let prefix = request.prefix.filter(|prefix| *prefix != 0 && owner_fraction < 1.0);
    let (kind, key) = match (prefix, request.session) {
        (Some(prefix), _) => (b'p', prefix),
        (None, Some(session)) => (b's', session),
        (None, None) => (b'r', request.id.0),
    };
    md5_prefix(&[&[kind], &key.to_le_bytes()])
}
