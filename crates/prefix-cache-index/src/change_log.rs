//! What has changed lately.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;

use crate::key::PrefixKey;
use crate::update::CacheUpdate;

/// Steps that are remembered.
const MAX_STEPS: usize = 128;
/// Parts in all remembered steps together.
const MAX_STEP_PARTS: usize = 32_768;

/// Which sources, and which of their parts, may differ from an earlier state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangedKeys {
    whole: BTreeSet<SocketAddrV4>,
    parts: BTreeMap<SocketAddrV4, BTreeSet<PrefixKey>>,
}

impl ChangedKeys {
    /// Adds what an update touches.
    pub fn add(&mut self, update: &CacheUpdate) {
        if update.replace {
            self.whole.insert(update.source);
            return;
        }
        let parts = self.parts.entry(update.source).or_default();
        parts.extend(update.added.iter().map(|(key, _)| *key));
        parts.extend(update.removed.iter().copied());
    }

    /// Adds a part of a source.
    pub fn add_part(&mut self, source: SocketAddrV4, key: PrefixKey) {
        self.parts.entry(source).or_default().insert(key);
    }

    /// Sources of which all is to be told.
    #[must_use]
    pub fn whole(&self) -> &BTreeSet<SocketAddrV4> {
        &self.whole
    }

    /// Sources of which some parts are to be told, or their status alone.
    pub fn parts(&self) -> impl Iterator<Item = (SocketAddrV4, &BTreeSet<PrefixKey>)> {
        self.parts.iter().map(|(source, parts)| (*source, parts))
    }

    fn merge(&mut self, other: &ChangedKeys) {
        self.whole.extend(&other.whole);
        for (source, parts) in &other.parts {
            self.parts.entry(*source).or_default().extend(parts);
        }
    }

    fn count(&self) -> usize {
        self.whole.len() + self.parts.values().map(BTreeSet::len).sum::<usize>()
    }
}

/// The latest steps of an index, each from one position to the next.
#[derive(Clone, Debug)]
pub struct ChangeLog<P> {
    steps: VecDeque<Step<P>>,
    parts: usize,
}

#[derive(Clone, Debug)]
struct Step<P> {
    base: P,
    touched: ChangedKeys,
}

impl<P> Default for ChangeLog<P> {
    fn default() -> Self {
        ChangeLog { steps: VecDeque::new(), parts: 0 }
    }
}

impl<P: PartialEq> ChangeLog<P> {
    /// Remembers a step that led on from `base`.
    pub fn record(&mut self, base: P, touched: ChangedKeys) {
        self.parts += touched.count();
        self.steps.push_back(Step { base, touched });
        while self.steps.len() > MAX_STEPS || self.parts > MAX_STEP_PARTS {
            let forgotten = self.steps.pop_front().map_or(0, |step| step.touched.count());
            self.parts -= forgotten;
        }
    }

    /// Forgets all, as where the steps to the newest state are not known.
    pub fn clear(&mut self) {
        *self = ChangeLog::default();
    }

    /// What may differ since `base`; none where that is not known.
    pub fn since(&self, base: &P) -> Option<ChangedKeys> {
        let first = self.steps.iter().rposition(|step| step.base == *base)?;
        let mut touched = ChangedKeys::default();
        self.steps.range(first..).for_each(|step| touched.merge(&step.touched));
        Some(touched)
    }
}
