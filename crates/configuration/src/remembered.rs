//! The newest calls that were taken, by which one that is sent again is known.

use std::collections::{HashSet, VecDeque};

use crate::digest::RequestDigest;

/// Calls that are remembered: more than a day of 5,000 changes. Each takes 16 bytes of a snapshot, 128 KiB
/// together.
pub const REMEMBERED_CALLS: usize = 8_192;

/// The newest [`REMEMBERED_CALLS`] calls, in the order in which they were taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RememberedCalls {
    order: VecDeque<RequestDigest>,
    known: HashSet<RequestDigest>,
}

impl RememberedCalls {
    /// Whether the call is among those remembered.
    #[must_use]
    pub fn contains(&self, call: &RequestDigest) -> bool {
        self.known.contains(call)
    }

    /// Remembers a call; the oldest one gives way if there are too many. A call that is known already keeps
    /// its place.
    pub fn remember(&mut self, call: RequestDigest) {
        if !self.known.insert(call) {
            return;
        }
        self.order.push_back(call);
        if self.order.len() > REMEMBERED_CALLS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// The calls as bytes, for a snapshot.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.order.iter().flat_map(|call| call.to_bytes()).collect()
    }

    /// The calls from the bytes of [`RememberedCalls::to_bytes`]; none if these are of another length.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (calls, []) = bytes.as_chunks() else { return None };
        let mut remembered = RememberedCalls::default();
        for call in calls {
            remembered.remember(RequestDigest::from_bytes(*call));
        }
        Some(remembered)
    }
}
