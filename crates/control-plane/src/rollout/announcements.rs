//! The age of each announced target revision, as each member measures it by its own monotonic clock.
//!
//! The replicated state has the target revisions, but not when they were announced: members have no clock in common.
//! Every member records when it first sees a target, so that whichever becomes primary next continues with the
//! deadlines that run.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;

/// Targets that are seen so soon after the start may have been announced before it.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);
/// The age at which such targets are assumed to be.
const ASSUMED_AGE: Duration = Duration::from_secs(5);
/// Time without a primary that counts: elections are shorter, and the operator's deadlines continue meanwhile.
const MAX_COUNTED_TIME_WITHOUT_PRIMARY: Duration = Duration::from_secs(1);
/// Revisions that are remembered of each model.
const MAX_REVISIONS: usize = 64;

/// When target revisions were announced.
///
/// Of a time without a primary only the first second counts: no replica can be commanded to load meanwhile, and a
/// successor that counted it would withdraw the weights of every replica at once.
#[derive(Debug)]
pub struct AnnouncementTimes {
    /// Time that has counted so far.
    counted_time: Duration,
    last_advance: Duration,
    /// When a primary was last known.
    last_primary: Duration,
    first_seen: BTreeMap<String, BTreeMap<WeightsRevision, FirstSeen>>,
}

/// When a target was first seen, in counted time.
#[derive(Clone, Copy, Debug)]
struct FirstSeen {
    at: Duration,
    /// How old the announcement may have been by then.
    age: Duration,
}

impl AnnouncementTimes {
    /// A record without any target, that starts at `now`.
    #[must_use]
    pub fn new(now: Duration) -> AnnouncementTimes {
        AnnouncementTimes {
            counted_time: Duration::ZERO,
            last_advance: now,
            last_primary: now,
            first_seen: BTreeMap::new(),
        }
    }

    /// Advances the time to `now`; `has_primary` says whether a primary is known.
    pub fn advance(&mut self, now: Duration, has_primary: bool) {
        if has_primary {
            self.last_primary = now;
        }
        let counts_until = now.min(self.last_primary + MAX_COUNTED_TIME_WITHOUT_PRIMARY);
        self.counted_time += counts_until.saturating_sub(self.last_advance);
        self.last_advance = now;
    }

    /// Records that a target revision is seen. Only one that is newer than all seen before counts.
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

    /// All recorded announcements with their present ages, in the order of models and revisions.
    pub fn announcements(&self) -> impl Iterator<Item = Announcement<'_>> {
        self.first_seen.iter().flat_map(move |(model, revisions)| {
            revisions.iter().map(move |(revision, first_seen)| Announcement {
                model,
                revision: *revision,
                age: self.counted_time.saturating_sub(first_seen.at) + first_seen.age,
            })
        })
    }

    /// The age of one announcement, or `None` if it was not recorded.
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
