//! The table of replicas: what the platform lists, corrected by what the roll-out of weights knows before the list
//! shows it.

use std::collections::{BTreeMap, BTreeSet};

use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};

use crate::tenure::Tenure;

/// Replicas by id, as the last complete list had them.
#[derive(Debug, Default)]
pub struct FleetTable {
    /// The tenure of the primary in which the list came; none before the first one.
    tenure: Option<Tenure>,
    listed: BTreeMap<String, Replica>,
    corrections: Corrections,
}

/// What the roll-out of weights knows of replicas before the list shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Corrections {
    /// Replicas that are about to load weights, or load them now.
    pub loading: BTreeSet<String>,
    /// Revisions that replicas have reported, by replica.
    pub revisions: BTreeMap<String, Vec<ModelRevision>>,
}

impl FleetTable {
    /// Replaces the list by a complete newer one: replicas that it lacks are gone at once. Returns whether the two differ
    /// in more than time that has passed, or are of different tenures.
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

    /// Replaces the corrections by those of the roll-out now; returns whether they differ.
    pub fn set_corrections(&mut self, corrections: Corrections) -> bool {
        let has_changed = self.corrections != corrections;
        self.corrections = corrections;
        has_changed
    }

    /// Adopts what an earlier primary delivered, in place of all corrections: replicas that were loading, and revisions
    /// that the list does not show yet.
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

    /// What the delivered table shows beyond the list.
    #[must_use]
    pub fn corrections(&self) -> &Corrections {
        &self.corrections
    }

    /// Replicas as the list has them; none before a complete one came in this tenure.
    #[must_use]
    pub fn listed(&self, tenure: Tenure) -> Option<impl Iterator<Item = &Replica>> {
        (self.tenure == Some(tenure)).then(|| self.listed.values())
    }

    /// The table that is delivered, in the order of ids; none before a complete list came in this tenure.
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

/// Whether a replica has changed in more than the time that is left of its warm-up.
fn has_replica_changed(before: &Replica, after: &Replica) -> bool {
    let warm_left_ms = after.warm_left_ms;
    Replica { warm_left_ms, ..before.clone() } != *after
}
