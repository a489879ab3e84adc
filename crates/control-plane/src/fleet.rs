//! The table of replicas: what the platform lists, corrected by what the roll-out of weights knows better.

use std::collections::{BTreeMap, BTreeSet};

use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};

/// Replicas by id, as the last complete list had them.
#[derive(Debug, Default)]
pub struct FleetTable {
    /// The holder's tenure in which the list came; none before the first one.
    tenure: Option<u64>,
    listed: BTreeMap<String, Replica>,
    corrections: Corrections,
}

/// What the roll-out of weights knows of replicas before the list shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Corrections {
    /// Replicas that are about to load weights or load them.
    pub loading: BTreeSet<String>,
    /// Revisions that replicas were seen to have, by replica.
    pub revisions: BTreeMap<String, Vec<ModelRevision>>,
}

impl FleetTable {
    /// Puts a complete list in the place of the last one: replicas that it lacks are gone at once. Says whether it
    /// differs from the last one in more than time that has passed.
    pub fn replace(&mut self, tenure: u64, list: Vec<Replica>) -> bool {
        let list = list.into_iter().map(|replica| (replica.id.clone(), replica)).collect();
        let previous = std::mem::replace(&mut self.listed, list);
        self.tenure.replace(tenure) != Some(tenure)
            || previous.len() != self.listed.len()
            || previous.values().zip(self.listed.values()).any(differ)
    }

    /// Takes what the roll-out knows now; whether that is news.
    pub fn correct(&mut self, corrections: Corrections) -> bool {
        let news = self.corrections != corrections;
        self.corrections = corrections;
        news
    }

    /// Replicas as the list has them; none before a complete one came in this tenure.
    #[must_use]
    pub fn listed(&self, tenure: u64) -> Option<impl Iterator<Item = &Replica>> {
        (self.tenure == Some(tenure)).then(|| self.listed.values())
    }

    /// The table that is delivered, in the order of ids; none before a complete list came in this tenure.
    #[must_use]
    pub fn replicas(&self, tenure: u64) -> Option<Vec<Replica>> {
        Some(self.listed(tenure)?.map(|replica| self.corrected(replica)).collect())
    }

    fn corrected(&self, replica: &Replica) -> Replica {
        let mut replica = replica.clone();
        if replica.phase == ReplicaPhase::Ready && self.corrections.loading.contains(&replica.id) {
            replica.phase = ReplicaPhase::Loading;
        }
        for seen in self.corrections.revisions.get(&replica.id).into_iter().flatten() {
            raise_revision(&mut replica.models, seen);
        }
        replica
    }
}

fn raise_revision(models: &mut [ModelRevision], seen: &ModelRevision) {
    for model in models.iter_mut().filter(|model| model.model == seen.model) {
        model.revision = model.revision.max(seen.revision);
    }
}

fn differ((before, after): (&Replica, &Replica)) -> bool {
    let warm_left_ms = after.warm_left_ms;
    Replica { warm_left_ms, ..before.clone() } != *after
}
