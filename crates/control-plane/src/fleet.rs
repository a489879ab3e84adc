//! The table of replicas: the platform's list, with corrections from the rollout of weights for changes that the list
//! does not show yet.

use std::collections::{BTreeMap, BTreeSet};

use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};

use crate::tenure::Tenure;

/// The last complete replica list, and the corrections to it.
#[derive(Debug, Default)]
pub struct FleetTable {
    /// The tenure in which the list was fetched; none before the first list.
    tenure: Option<Tenure>,
    listed: BTreeMap<String, Replica>,
    corrections: Corrections,
}

/// What the rollout of weights knows of replicas that the list may not show yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Corrections {
    /// Ids of the replicas that are loading weights or are about to.
    pub loading: BTreeSet<String>,
    /// Revisions that replicas have reported, by replica id.
    pub revisions: BTreeMap<String, Vec<ModelRevision>>,
}

impl FleetTable {
    /// Replaces the list with a newer complete one; replicas that are not in the new list are removed. Returns
    /// whether the lists differ in more than the remaining warm-up times, or are of different tenures.
    pub fn replace(&mut self, tenure: Tenure, list: Vec<Replica>) -> bool {
        let list = list.into_iter().map(|replica| (replica.id.clone(), replica)).collect();
        let previous = std::mem::replace(&mut self.listed, list);
        self.tenure.replace(tenure) != Some(tenure)
            || previous.len() != self.listed.len()
            || previous
                .values()
                .zip(self.listed.values())
                .any(|(before, after)| has_replica_changed(before, after))
    }

    /// Replaces the corrections with the current ones of the rollout, and returns whether they differ.
    pub fn set_corrections(&mut self, corrections: Corrections) -> bool {
        let has_changed = self.corrections != corrections;
        self.corrections = corrections;
        has_changed
    }

    /// Replaces all corrections with those contained in the table that an earlier primary delivered: replicas that
    /// were loading, and revisions that the list does not show yet.
    pub fn inherit(&mut self, delivered: &[Replica]) {
        let known: Vec<&Replica> =
            delivered.iter().filter(|replica| self.listed.contains_key(&replica.id)).collect();
        let loading = known.iter().filter(|replica| replica.phase == ReplicaPhase::Loading);
        let reported = known.iter().filter(|replica| self.listed[&replica.id].models != replica.models);
        self.corrections = Corrections {
            loading: loading.map(|replica| replica.id.clone()).collect(),
            revisions: reported.map(|replica| (replica.id.clone(), replica.models.clone())).collect(),
        };
    }

    /// The corrections to the list.
    #[must_use]
    pub fn corrections(&self) -> &Corrections {
        &self.corrections
    }

    /// The replicas in the list, without corrections, or `None` before the first complete list of this tenure.
    #[must_use]
    pub fn listed(&self, tenure: Tenure) -> Option<impl Iterator<Item = &Replica>> {
        (self.tenure == Some(tenure)).then(|| self.listed.values())
    }

    /// The corrected table to deliver, ordered by id, or `None` before the first complete list of this tenure.
    #[must_use]
    pub fn replicas(&self, tenure: Tenure) -> Option<Vec<Replica>> {
        Some(self.listed(tenure)?.map(|replica| self.with_corrections(replica)).collect())
    }

    fn with_corrections(&self, replica: &Replica) -> Replica {
        let mut replica = replica.clone();
        if replica.phase == ReplicaPhase::Ready && self.corrections.loading.contains(&replica.id) {
            replica.phase = ReplicaPhase::Loading;
        }
        for reported in self.corrections.revisions.get(&replica.id).into_iter().flatten() {
            raise_revision(&mut replica.models, reported);
        }
        replica
    }
}

fn raise_revision(models: &mut [ModelRevision], reported: &ModelRevision) {
    for model in models.iter_mut().filter(|model| model.model == reported.model) {
        model.revision = model.revision.max(reported.revision);
    }
}

/// Whether a replica has changed in more than its remaining warm-up time.
fn has_replica_changed(before: &Replica, after: &Replica) -> bool {
    let warm_left_ms = after.warm_left_ms;
    Replica { warm_left_ms, ..before.clone() } != *after
}
