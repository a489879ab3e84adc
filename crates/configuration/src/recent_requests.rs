//! The deduplication window: digests of the newest accepted requests, by which a retried request is recognised.

use std::collections::{HashSet, VecDeque};

use crate::request_digest::RequestDigest;

/// Requests in the window: more than a day of 5,000 changes. Each takes 16 bytes of a snapshot, 128 KiB together.
pub const MAX_RECENT_REQUESTS: usize = 8_192;

/// The newest [`MAX_RECENT_REQUESTS`] requests, in the order in which they were accepted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecentRequests {
    /// Oldest first.
    order: VecDeque<RequestDigest>,
    /// The same digests, for the look-up.
    members: HashSet<RequestDigest>,
}

impl RecentRequests {
    /// Whether the request is in the window.
    #[must_use]
    pub fn contains(&self, request: &RequestDigest) -> bool {
        self.members.contains(request)
    }

    /// Records a request and evicts the oldest one from a full window. A request that is in the window already keeps
    /// its position.
    pub fn record(&mut self, request: RequestDigest) {
        if !self.members.insert(request) {
            return;
        }
        self.order.push_back(request);
        if self.order.len() > MAX_RECENT_REQUESTS {
            if let Some(oldest) = self.order.pop_front() {
                self.members.remove(&oldest);
            }
        }
    }

    /// The digests as bytes, oldest first, for a snapshot.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.order.iter().flat_map(|request| request.to_bytes()).collect()
    }

    /// The window from the bytes of [`RecentRequests::to_bytes`]; none if these are not a sequence of complete digests.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let digests = bytes.chunks_exact(RequestDigest::BYTES);
        if !digests.remainder().is_empty() {
            return None;
        }
        let mut recent = RecentRequests::default();
        for digest in digests {
            recent.record(RequestDigest::from_bytes(digest.try_into().ok()?));
        }
        Some(recent)
    }
}
