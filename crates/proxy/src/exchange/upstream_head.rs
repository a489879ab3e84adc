//! The head of the request to a replica: the client's headers, and those that the proxy adds.

use std::time::Instant;

use super::Exchange;
use crate::downstream::relay::Relay;
use crate::headers::{self, Additions};
use crate::kv_cache::{CacheSalt, KvTransfer, PrefixChain, Target};
use crate::replica::replicas::ReplicaEntry;

/// Initial capacity of the buffer; most heads are not longer.
const INITIAL_CAPACITY_BYTES: usize = 1024;

/// The head of a request for one replica.
pub(super) struct UpstreamHead {
    /// The encoded head.
    pub(super) bytes: Vec<u8>,
    /// The number of prompt tokens that the replica has to prefill, since no KV cache covers them.
    pub(super) unread_tokens: u32,
}

impl Exchange<'_> {
    /// Encodes the head for a replica.
    pub(super) fn head_for(&self, replica: &ReplicaEntry) -> UpstreamHead {
        let admitted = &self.admitted;
        let model = self.request.head.get("llm");
        let revision = model.and_then(|model| replica.revision(model));
        let salt = model.map(|_| match revision {
            Some(revision) => admitted.cache_salt(revision),
            None => CacheSalt::unshared(self.proxy.random_nonce()),
        });
        let kv = salt.as_ref().map(|salt| self.kv_transfer(replica, salt)).unwrap_or_default();
        // The last segment of the prompt is not shared with other requests.
        let unread_tokens = self.prompt.prompt.unshared_tokens().saturating_add(kv.unread_tokens);
        let additions = Additions {
            replica: &replica.id.0,
            tenant: admitted.tenant().map(|tenant| tenant.label.as_str()),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            priority: self.priority(unread_tokens),
            revision,
            salt: salt.as_ref().map(CacheSalt::as_str),
            kv,
            last_event_id: self.relay.as_ref().and_then(Relay::last_event_id),
        };
        let mut bytes = Vec::with_capacity(INITIAL_CAPACITY_BYTES);
        headers::write_request_head(&self.request.head, self.request.body.len(), &additions, &mut bytes);
        UpstreamHead { bytes, unread_tokens }
    }

    /// The priority of the request at the replica, from its operator-set rank and the number of tokens to prefill.
    fn priority(&self, unread_tokens: u32) -> u8 {
        self.proxy.urgency.borrow_mut().priority(self.admitted.rank(), unread_tokens)
    }

    /// Plans where this replica fetches the KV cache of the prompt from, and where it saves the cache to. Nothing is
    /// transferred under a salt that no other request uses.
    fn kv_transfer(&self, replica: &ReplicaEntry, salt: &CacheSalt) -> KvTransfer {
        let chain = PrefixChain::new(&self.prompt.prefix_segments, salt.as_str());
        if matches!(salt, CacheSalt::Unshared(_)) {
            return KvTransfer { unread_tokens: chain.tokens(), ..KvTransfer::default() };
        }
        let replicas = self.proxy.replicas.borrow();
        let zone_of = |address| {
            let other = replicas.at(address).filter(|other| other.service == replica.service);
            other.map(|other| other.zone)
        };
        let target = Target { address: replica.address, zone: replica.zone };
        self.proxy.transfer_planner.borrow_mut().plan(
            tulipridge_runtime::clock::now(),
            &chain,
            target,
            zone_of,
        )
    }
}
