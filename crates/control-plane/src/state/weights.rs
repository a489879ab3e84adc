//! Which weights the operator has named.

use std::collections::BTreeMap;

use musli::{Decode, Encode};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_configuration::{RecentRequests, RequestDigest};

/// The newest weights of each model, and the digests by which repeated requests are recognized.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetRevisions {
    newest: BTreeMap<String, WeightsRevision>,
    accepted: RecentRequests,
}

/// The decision on a request that names weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsDecision {
    /// They were named before.
    AlreadySet,
    /// They are older than those named, and aren't known to have been named themselves.
    Outdated {
        /// The newest revision that was named.
        newest: WeightsRevision,
    },
    /// They are new.
    Accept,
}

/// Their encoded form in a snapshot. Stored: the order of fields is part of the format.
#[derive(Encode, Decode)]
pub(super) struct Snapshot {
    newest: BTreeMap<String, WeightsRevision>,
    #[musli(bytes)]
    accepted: Vec<u8>,
}

impl TargetRevisions {
    /// Decides on a request that names weights; nothing changes.
    #[must_use]
    pub fn decide(&self, model: &str, revision: WeightsRevision) -> WeightsDecision {
        match self.newest.get(model) {
            Some(newest) if *newest == revision => WeightsDecision::AlreadySet,
            Some(newest) if *newest > revision => self.decide_on_older(model, revision, *newest),
            _ => WeightsDecision::Accept,
        }
    }

    fn decide_on_older(
        &self,
        model: &str,
        revision: WeightsRevision,
        newest: WeightsRevision,
    ) -> WeightsDecision {
        if self.accepted.contains(&RequestDigest::of_weights(model, revision)) {
            WeightsDecision::AlreadySet
        } else {
            WeightsDecision::Outdated { newest }
        }
    }

    /// Names weights that are newer than all before.
    pub(super) fn set(&mut self, model: String, revision: WeightsRevision) {
        self.accepted.record(RequestDigest::of_weights(&model, revision));
        self.newest.insert(model, revision);
    }

    /// The newest revision of each model.
    #[must_use]
    pub fn newest(&self) -> BTreeMap<String, WeightsRevision> {
        self.newest.clone()
    }

    pub(super) fn to_snapshot(&self) -> Snapshot {
        Snapshot { newest: self.newest.clone(), accepted: self.accepted.to_bytes() }
    }

    /// Restores from a snapshot; none if its digests are incomplete.
    pub(super) fn from_snapshot(snapshot: Snapshot) -> Option<Self> {
        let accepted = RecentRequests::from_bytes(&snapshot.accepted)?;
        Some(TargetRevisions { newest: snapshot.newest, accepted })
    }
}
