//! The age of each announced target revision, measured with the member's own monotonic clock.
//!
//! The replicated state contains the target revisions but not the times of their announcement, because the members
//! have no common clock. Every member records when it first sees a target, so that a new primary can keep the
//! deadlines.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;

/// A target that is first seen within this time after the start may have been announced before it.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);
/// Assumed age, when it is first seen, of a target that is first seen within [`CATCH_UP_TIME`].
const ASSUMED_AGE: Duration = Duration::from_secs(5);
/// Maximum time without a primary that counts towards the ages. Elections are shorter, and the operator's deadlines
/// continue during them.
const MAX_COUNTED_TIME_WITHOUT_PRIMARY: Duration = Duration::from_secs(1);
/// Maximum number of recorded revisions of each model.
const MAX_REVISIONS: usize = 64;

/// The times at which target revisions were announced.
///
/// Only the first second of a period without a primary counts: replicas receive no load commands during this period,
/// and a new primary that counted all of it would withdraw the weights of every replica at once.
#[derive(Debug)]
pub struct AnnouncementTimes {
    /// The total counted time. The time since an announcement was first seen is the difference of two of its values.
    counted_time: Duration,
    last_advance: Duration,
    /// When a primary was known last.
    last_primary: Duration,
    first_seen: BTreeMap<String, BTreeMap<WeightsRevision, FirstSeen>>,
}

/// When a target was first seen.
#[derive(Clone, Copy, Debug)]
struct FirstSeen {
    /// The value of the counted time when the target was first seen.
    at: Duration,
    /// The assumed age of the announcement at that time.
    age: Duration,
}

impl AnnouncementTimes {
    /// Creates an empty record that starts at `now`.
    #[must_use]
    pub fn new(now: Duration) -> AnnouncementTimes {
        AnnouncementTimes {
            counted_time: Duration::ZERO,
            last_advance: now,
            last_primary: now,
            first_seen: BTreeMap::new(),
        }
    }

    /// Advances the time to `now`. `has_primary` states whether a primary is known.
    pub fn advance(&mut self, now: Duration, has_primary: bool) {
        if has_primary {
            self.last_primary = now;
        }
        let counts_until = now.min(self.last_primary + MAX_COUNTED_TIME_WITHOUT_PRIMARY);
        self.counted_time += counts_until.saturating_sub(self.last_advance);
        self.last_advance = now;
    }

    /// Records that a target revision was seen, unless a newer or the same revision of the model is already recorded.
    pub fn record(&mut self, model: &str, revision: WeightsRevision) {
        let age = if self.counted_time < CATCH_UP_TIME { ASSUMED_AGE } else { Duration::ZERO };
        let first_seen = FirstSeen { at: self.counted_time, age };
        let revisions = self.first_seen.entry(model.to_owned()).or_default();
        let is_newest = revisions.last_key_value().is_none_or(|(newest, _)| *newest < revision);
        if is_newest {
            revisions.insert(revision, first_seen);
        }
        if revisions.len() > MAX_REVISIONS {
            revisions.pop_first();
        }
    }

    /// All recorded announcements with their current ages, ordered by model and revision.
    pub fn announcements(&self) -> impl Iterator<Item = Announcement<'_>> {
        self.first_seen.iter().flat_map(move |(model, revisions)| {
            revisions.iter().map(move |(revision, first_seen)| Announcement {
                model,
                revision: *revision,
                age: self.counted_time.saturating_sub(first_seen.at) + first_seen.age,
            })
        })
    }

    /// The age of an announcement, or `None` if it is not recorded.
    #[must_use]
    pub fn age(&self, model: &str, revision: WeightsRevision) -> Option<Duration> {
        let mut announcements = self.announcements();
        let found =
            announcements.find(|announced| announced.model == model && announced.revision == revision);
        found.map(|announced| announced.age)
    }
}

/// A target revision that the operator announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement<'a> {
    /// The model.
    pub model: &'a str,
    /// The revision that its replicas are to load.
    pub revision: WeightsRevision,
    /// How long ago it was announced.
    pub age: Duration,
}
