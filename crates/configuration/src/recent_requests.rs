//! Deduplication window: digests of recently accepted requests, by which a retried request is recognised.

use std::collections::{HashSet, VecDeque};

use crate::request_digest::RequestDigest;

/// Number of requests in the window: more than one day at 5,000 changes per day. Each takes 16 bytes of a snapshot,
/// 128 KiB in total.
pub const MAX_RECENT_REQUESTS: usize = 8_192;

/// Digests of the newest requests, at most [`MAX_RECENT_REQUESTS`], in the order in which the requests were accepted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecentRequests {
    /// Digests from oldest to newest.
    queue: VecDeque<RequestDigest>,
    /// The same digests, for look-ups.
    digests: HashSet<RequestDigest>,
}

impl RecentRequests {
    /// Whether the request is in the window.
    #[must_use]
    pub fn contains(&self, request: &RequestDigest) -> bool {
        self.digests.contains(request)
    }

    /// Adds a request to the window and removes the oldest one from a full window. A request that is already in the
    /// window keeps its position.
    pub fn record(&mut self, request: RequestDigest) {
        if !self.digests.insert(request) {
            return;
        }
        self.queue.push_back(request);
        if self.queue.len() > MAX_RECENT_REQUESTS {
            if let Some(oldest) = self.queue.pop_front() {
                self.digests.remove(&oldest);
            }
        }
    }

    /// Concatenates the digests, oldest first, for a snapshot.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.queue.iter().flat_map(|request| request.to_bytes()).collect()
    }

    /// Restores a window from the bytes of [`RecentRequests::to_bytes`]; `None` if the last digest is incomplete.
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
