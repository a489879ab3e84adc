//! Since when a subscriber's state is known to be the newest.

use std::collections::VecDeque;
use std::time::Duration;

/// Pings that may wait for their answers; older ones are forgotten.
const MAX_PENDING: usize = 64;
/// A ping that has no answer after this long is forgotten.
const PING_EXPIRES: Duration = Duration::from_secs(30);

/// Reckons freshness from pings and their answers.
///
/// A publisher answers a ping with the age of its own freshness. The state that precedes the answer was therefore
/// the newest at the moment of the ping less that age, by the subscriber's own clock, however long the answer took.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    pending: VecDeque<PendingPing>,
    as_of: Option<Moment>,
}

/// Nanoseconds by the steady clock, below 0 before the clock's first reading.
type Moment = i128;

#[derive(Clone, Copy, Debug)]
struct PendingPing {
    id: u64,
    sent: Duration,
}

impl Freshness {
    /// Nothing is known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A ping is sent at `now`. Ids rise.
    pub fn sent(&mut self, id: u64, now: Duration) {
        self.expire(now);
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingPing { id, sent: now });
    }

    /// A ping is answered; `age` is none where the publisher does not know how fresh it is. Answers of unknown
    /// pings tell nothing. A publisher may leave out pings, so an answer ends the wait for all earlier ones.
    pub fn answered(&mut self, id: u64, age: Option<Duration>, now: Duration) {
        self.expire(now);
        while self.pending.front().is_some_and(|ping| ping.id < id) {
            self.pending.pop_front();
        }
        let Some(ping) = self.pending.pop_front_if(|ping| ping.id == id) else { return };
        let Some(age) = age else { return };
        let as_of = moment(ping.sent) - moment(age);
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Forgets all unanswered pings, as when their connection ends.
    pub fn forget_pending(&mut self) {
        self.pending.clear();
    }

    /// The latest moment at which the state was certainly the newest; none also while that moment lies before the
    /// clock's first reading, where only [`Freshness::age`] can tell it.
    pub fn fresh_as_of(&self) -> Option<Duration> {
        self.as_of.and_then(duration)
    }

    /// How long ago that was.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.as_of.map(|as_of| duration(moment(now) - as_of).unwrap_or_default())
    }

    fn expire(&mut self, now: Duration) {
        while self.pending.front().is_some_and(|ping| now.saturating_sub(ping.sent) > PING_EXPIRES) {
            self.pending.pop_front();
        }
    }
}

fn moment(time: Duration) -> Moment {
    time.as_nanos() as Moment
}

fn duration(moment: Moment) -> Option<Duration> {
    u64::try_from(moment).ok().map(Duration::from_nanos)
}
