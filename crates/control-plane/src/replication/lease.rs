//! The lease of the primary: a quorum of voters has acknowledged a recently sent heartbeat.
//!
//! The lease is counted from the sending of the heartbeat, the grant of each voter from its arrival. The lease thus
//! ends first, as long as clock drift stays within the bound in [`super::timing`].

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::View;

use super::quorum::has_quorum;
use super::timing::{HEARTBEAT_INTERVAL, LEASE_DURATION, STEP_DOWN_TIMEOUT};

/// Number of sent heartbeats whose acknowledgements are accepted.
const MAX_TRACKED_HEARTBEATS: usize = 16;
const _: () = assert!(
    MAX_TRACKED_HEARTBEATS as u128 * HEARTBEAT_INTERVAL.as_micros() > STEP_DOWN_TIMEOUT.as_micros(),
    "acknowledgements must be accepted for as long as a primary waits for them"
);

#[derive(Clone, Debug)]
struct SentHeartbeat {
    token: u64,
    sent_at: Duration,
}

/// The lease of the member that leads a view.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    valid_until: Duration,
    /// Sending time of the newest heartbeat that a quorum acknowledged.
    confirmed_at: Duration,
    sent: VecDeque<SentHeartbeat>,
    /// Sending time of the newest heartbeat that each voter acknowledged.
    acknowledged: BTreeMap<NodeId, Duration>,
    last_token: u64,
}

impl Lease {
    /// Creates a lease that no voter has granted. Tokens are counted from `first_token`.
    pub(super) fn new(first_token: u64, now: Duration) -> Lease {
        Lease {
            valid_until: Duration::ZERO,
            confirmed_at: now,
            sent: VecDeque::new(),
            acknowledged: BTreeMap::new(),
            last_token: first_token,
        }
    }

    /// Takes over the lease of the previous view, which the same member led.
    pub(super) fn continue_from(&mut self, previous: &Lease) {
        self.valid_until = previous.valid_until;
    }

    /// Whether the lease is unexpired, so that no other member can be primary.
    pub(super) fn is_valid(&self, now: Duration) -> bool {
        now < self.valid_until
    }

    /// Whether the lease has expired and no quorum has acknowledged within the step-down timeout.
    pub(super) fn is_lost(&self, now: Duration) -> bool {
        now.saturating_sub(self.confirmed_at) >= STEP_DOWN_TIMEOUT && !self.is_valid(now)
    }

    /// When the primary steps down unless a quorum acknowledges.
    pub(super) fn step_down_at(&self) -> Duration {
        self.confirmed_at + STEP_DOWN_TIMEOUT
    }

    /// Whether a member has acknowledged a heartbeat of this view.
    pub(super) fn is_acknowledged_by(&self, member: NodeId) -> bool {
        self.acknowledged.contains_key(&member)
    }

    /// Records that a heartbeat is sent; returns its token.
    pub(super) fn next_heartbeat(&mut self, now: Duration) -> u64 {
        self.last_token += 1;
        self.sent.push_back(SentHeartbeat { token: self.last_token, sent_at: now });
        if self.sent.len() > MAX_TRACKED_HEARTBEATS {
            self.sent.pop_front();
        }
        self.last_token
    }

    /// Records an acknowledgement from `peer`; returns whether the heartbeat is still tracked.
    pub(super) fn acknowledge(&mut self, peer: NodeId, token: u64) -> bool {
        let sent = self.sent.iter().find(|heartbeat| heartbeat.token == token);
        let Some(sent_at) = sent.map(|heartbeat| heartbeat.sent_at) else { return false };
        let newest = self.acknowledged.entry(peer).or_insert(sent_at);
        *newest = sent_at.max(*newest);
        true
    }

    /// Extends the lease from the latest sending time that a quorum has acknowledged; returns whether there is
    /// one.
    pub(super) fn renew(&mut self, view: &View) -> bool {
        let mut times: Vec<Duration> = self.acknowledged.values().copied().collect();
        times.sort_unstable();
        let confirmed = times.into_iter().rev().find(|time| self.is_confirmed_since(*time, view));
        let Some(confirmed) = confirmed else { return false };
        self.confirmed_at = self.confirmed_at.max(confirmed);
        self.valid_until = self.valid_until.max(confirmed + LEASE_DURATION);
        true
    }

    fn is_confirmed_since(&self, time: Duration, view: &View) -> bool {
        let voters: BTreeSet<NodeId> = self
            .acknowledged
            .iter()
            .filter(|(_, acknowledged)| **acknowledged >= time)
            .map(|(node, _)| *node)
            .collect();
        has_quorum(view, &voters)
    }
}
