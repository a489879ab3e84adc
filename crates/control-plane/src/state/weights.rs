//! The target revisions of weights that the operator has set.

use std::collections::BTreeMap;

use musli::{Decode, Encode};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_configuration::{RecentRequests, RequestDigest};

/// The target revision of each model's weights, and the digests that identify repeated requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetRevisions {
    newest: BTreeMap<String, WeightsRevision>,
    accepted: RecentRequests,
}

/// The decision on a request for a target revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsDecision {
    /// The requested revision is the target or was a target before.
    AlreadySet,
    /// The requested revision is older than the target and isn't known to have been a target before.
    Outdated {
        /// The target revision.
        newest: WeightsRevision,
    },
    /// The requested revision is newer than the target, or the model has no target.
    Accept,
}

/// The encoded form in a snapshot. Stored: the order of fields is part of the format.
#[derive(Encode, Decode)]
pub(super) struct Snapshot {
    newest: BTreeMap<String, WeightsRevision>,
    #[musli(bytes)]
    accepted: Vec<u8>,
}

impl TargetRevisions {
    /// Decides on a request for a target revision without changing anything.
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

    /// Sets a target revision that is newer than the previous one.
    pub(super) fn set(&mut self, model: String, revision: WeightsRevision) {
        self.accepted.record(RequestDigest::of_weights(&model, revision));
        self.newest.insert(model, revision);
    }

    /// The target revision of each model.
    #[must_use]
    pub fn newest(&self) -> BTreeMap<String, WeightsRevision> {
        self.newest.clone()
    }

    pub(super) fn to_snapshot(&self) -> Snapshot {
        Snapshot { newest: self.newest.clone(), accepted: self.accepted.to_bytes() }
    }

    /// Restores from a snapshot; `None` if its digests are truncated.
    pub(super) fn from_snapshot(snapshot: Snapshot) -> Option<Self> {
        let accepted = RecentRequests::from_bytes(&snapshot.accepted)?;
        Some(TargetRevisions { newest: snapshot.newest, accepted })
    }
}
