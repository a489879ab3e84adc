//! How long ago weights were named, as each member of the control plane knows it by its own steady clock.
//!
//! The agreed state says which weights are named, but not when: members have no clock in common. Every member notes
//! when it hears of a name, so that whichever becomes primary next can go on with the terms that run.

use std::collections::BTreeMap;
use std::time::Duration;

/// Names that are heard so soon after the start may have been given before it.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);
/// How long ago such weights may have been named.
const UNKNOWN_AGE: Duration = Duration::from_secs(5);
/// Time without a primary that counts: elections are shorter, and the operator's term goes on meanwhile.
const COUNTED_VACANCY: Duration = Duration::from_secs(1);
/// Revisions of a model that are remembered.
const REMEMBERED: usize = 64;

/// When weights were named.
///
/// A longer time without a primary does not count: nobody could be ordered to load, and a successor that went on
/// with the whole term would have no replica left to serve.
#[derive(Debug)]
pub struct NamingTimes {
    /// Time that has counted so far.
    counted: Duration,
    last_look: Duration,
    /// When a primary was known last.
    last_primary: Duration,
    heard: BTreeMap<String, BTreeMap<u64, Heard>>,
}

/// When a name was heard, in counted time.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Duration,
    /// How old it may have been then.
    age: Duration,
}

impl NamingTimes {
    /// Nothing was heard up to now.
    #[must_use]
    pub fn new(now: Duration) -> NamingTimes {
        NamingTimes { counted: Duration::ZERO, last_look: now, last_primary: now, heard: BTreeMap::new() }
    }

    /// Lets the time pass; `has_primary` says whether a primary is known.
    pub fn advance(&mut self, now: Duration, has_primary: bool) {
        if has_primary {
            self.last_primary = now;
        }
        let counts_until = now.min(self.last_primary + COUNTED_VACANCY);
        self.counted += counts_until.saturating_sub(self.last_look);
        self.last_look = now;
    }

    /// Weights are said to be named.
    pub fn hear(&mut self, model: &str, revision: u64) {
        let age = if self.counted < CATCH_UP_TIME { UNKNOWN_AGE } else { Duration::ZERO };
        let heard = Heard { at: self.counted, age };
        let revisions = self.heard.entry(model.to_owned()).or_default();
        let is_new = revisions.last_key_value().is_none_or(|(newest, _)| *newest < revision);
        if is_new {
            revisions.insert(revision, heard);
        }
        if revisions.len() > REMEMBERED {
            revisions.pop_first();
        }
    }

    /// How long ago each revision that was heard of was named.
    pub fn ages(&self) -> impl Iterator<Item = NamedBefore<'_>> {
        self.heard.iter().flat_map(move |(model, revisions)| {
            revisions.iter().map(move |(revision, heard)| NamedBefore {
                model,
                revision: *revision,
                age: self.counted.saturating_sub(heard.at) + heard.age,
            })
        })
    }

    /// How long ago this revision was named, if it was heard of.
    #[must_use]
    pub fn age(&self, model: &str, revision: u64) -> Option<Duration> {
        self.ages().find(|named| named.model == model && named.revision == revision).map(|named| named.age)
    }
}

/// Weights that were named a while ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedBefore<'a> {
    /// The model.
    pub model: &'a str,
    /// The revision.
    pub revision: u64,
    /// How long ago.
    pub age: Duration,
}
