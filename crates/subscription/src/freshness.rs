//! Freshness of a subscriber's state. No I/O and no clock.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of pings without a pong; the oldest are dropped beyond it.
const MAX_PENDING_PINGS: usize = 64;
/// Pings without a pong are dropped after this time.
const PING_EXPIRY: Duration = Duration::from_secs(30);

/// Computes freshness from pings and pongs.
///
/// A pong carries the age of the publisher's state. The state that precedes the pong was therefore the newest at the
/// time of the ping minus that age, by the subscriber's clock, regardless of the delay of the pong.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    pending_pings: VecDeque<PendingPing>,
    fresh_as_of: Option<SignedNanos>,
}

/// Nanoseconds of the monotonic clock; negative before its origin.
type SignedNanos = i128;

#[derive(Clone, Copy, Debug)]
struct PendingPing {
    id: u64,
    sent_at: Duration,
}

impl Freshness {
    /// Creates a state without any pong.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a ping was sent at `now`. Ids must increase.
    pub fn record_ping(&mut self, id: u64, now: Duration) {
        self.drop_expired_pings(now);
        if self.pending_pings.len() == MAX_PENDING_PINGS {
            self.pending_pings.pop_front();
        }
        self.pending_pings.push_back(PendingPing { id, sent_at: now });
    }

    /// Records a pong; `age` is `None` if the publisher does not know the age of its state. Pongs without a pending
    /// ping are ignored. A publisher may skip pings, so a pong drops all earlier pings.
    pub fn record_pong(&mut self, id: u64, age: Option<Duration>, now: Duration) {
        self.drop_expired_pings(now);
        while self.pending_pings.front().is_some_and(|ping| ping.id < id) {
            self.pending_pings.pop_front();
        }
        if self.pending_pings.front().is_none_or(|ping| ping.id != id) {
            return;
        }
        let Some(sent) = self.pending_pings.pop_front().map(|ping| ping.sent_at) else { return };
        let Some(age) = age else { return };
        let fresh_as_of = signed_nanos(sent) - signed_nanos(age);
        self.fresh_as_of = self.fresh_as_of.max(Some(fresh_as_of));
    }

    /// Drops all pings without a pong. Must be called when their connection ends.
    pub fn drop_pending_pings(&mut self) {
        self.pending_pings.clear();
    }

    /// Returns the latest time at which the state was certainly the newest; `None` while that time is unknown or before
    /// the clock's origin, where only [`Freshness::age`] can express it.
    pub fn fresh_as_of(&self) -> Option<Duration> {
        self.fresh_as_of.and_then(duration_from_nanos)
    }

    /// Returns the time from when the state was last certainly the newest to `now`; `None` while that is unknown.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.fresh_as_of.map(|as_of| duration_from_nanos(signed_nanos(now) - as_of).unwrap_or_default())
    }

    fn drop_expired_pings(&mut self, now: Duration) {
        while self.pending_pings.front().is_some_and(|ping| now.saturating_sub(ping.sent_at) > PING_EXPIRY)
        {
            self.pending_pings.pop_front();
        }
    }
}

fn signed_nanos(time: Duration) -> SignedNanos {
    time.as_nanos() as SignedNanos
}

fn duration_from_nanos(nanos: SignedNanos) -> Option<Duration> {
    u64::try_from(nanos).ok().map(Duration::from_nanos)
}
