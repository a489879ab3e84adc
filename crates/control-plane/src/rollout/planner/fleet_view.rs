//! The planner's view of the replicas: the discovered list, the revisions observed since then, and the queued work.

use std::collections::BTreeMap;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};

use super::super::replica_client::ReplicaEndpoint;

/// The replicas, the weights that they have, and the work queued at them.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    replicas: BTreeMap<String, Replica>,
    /// Revisions that replicas were observed to have, by replica id. The list may not show them yet.
    observed: BTreeMap<String, Vec<ModelRevision>>,
    /// Work that gateways have queued at replicas, by replica id. Each request counts as at least one unit.
    queued_work: BTreeMap<String, u32>,
}

impl FleetView {
    /// Replaces the replica list.
    pub(super) fn set_replicas<'a>(&mut self, replicas: impl Iterator<Item = &'a Replica>) {
        self.replicas = replicas.map(|replica| (replica.id.clone(), replica.clone())).collect();
        self.observed.retain(|id, _| self.replicas.contains_key(id));
    }

    /// Replaces the amounts of queued work.
    pub(super) fn set_queued_work(&mut self, queued_work: BTreeMap<String, u32>) {
        self.queued_work = queued_work;
    }

    /// Removes a replica until the list is replaced.
    pub(super) fn remove(&mut self, id: &str) {
        self.replicas.remove(id);
    }

    /// Records that a replica has these weights.
    pub(super) fn observe(&mut self, id: &str, weights: ModelRevision) {
        let observed = self.observed.entry(id.to_owned()).or_default();
        match observed.iter_mut().find(|known| known.model == weights.model) {
            Some(known) => known.revision = known.revision.max(weights.revision),
            None => observed.push(weights),
        }
    }

    /// Revisions that replicas were observed to have, by replica id.
    pub(super) fn observed(&self) -> &BTreeMap<String, Vec<ModelRevision>> {
        &self.observed
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.replicas.contains_key(id)
    }

    /// The endpoint of a replica, or `None` if it is not listed or its address can't be parsed.
    pub(super) fn endpoint(&self, id: &str) -> Option<ReplicaEndpoint> {
        let address = self.replicas.get(id)?.address.parse().ok()?;
        Some(ReplicaEndpoint { id: id.to_owned(), address })
    }

    /// The amount of work queued at a replica, as reported by the gateways; zero if none is reported.
    pub(super) fn queued_work(&self, id: &str) -> u32 {
        self.queued_work.get(id).copied().unwrap_or(0)
    }

    /// The replicas that serve a model.
    pub(super) fn serving<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Replica> {
        let serves = move |replica: &&Replica| replica.models.iter().any(|served| served.model == model);
        self.replicas.values().filter(serves)
    }

    /// The replicas that serve a model with weights older than `revision`.
    pub(super) fn with_older_weights<'a>(
        &'a self,
        model: &'a str,
        revision: WeightsRevision,
    ) -> impl Iterator<Item = &'a Replica> {
        self.serving(model).filter(move |replica| self.has_older_weights(&replica.id, model, revision))
    }

    /// The replicas that serve a model with weights older than `revision` and are not draining.
    pub(super) fn lacking_revision<'a>(
        &'a self,
        model: &'a str,
        revision: WeightsRevision,
    ) -> impl Iterator<Item = &'a Replica> {
        self.with_older_weights(model, revision).filter(|replica| replica.phase != ReplicaPhase::Draining)
    }

    /// Whether a model has replicas, and each of them has `revision` or newer weights or is draining.
    pub(super) fn is_rollout_complete(&self, model: &str, revision: WeightsRevision) -> bool {
        self.serving(model).next().is_some() && self.lacking_revision(model, revision).next().is_none()
    }

    /// Whether a replica has weights of a model that are older than `revision`.
    pub(super) fn has_older_weights(&self, id: &str, model: &str, revision: WeightsRevision) -> bool {
        self.revision(id, model).is_some_and(|present| present < revision)
    }

    /// Whether a replica has these weights or newer ones.
    pub(super) fn has_weights(&self, id: &str, weights: &ModelRevision) -> bool {
        self.revision(id, &weights.model).is_some_and(|present| present >= weights.revision)
    }

    /// The newest revision that a replica is known to have of a model.
    pub(super) fn revision(&self, id: &str, model: &str) -> Option<WeightsRevision> {
        let listed = self.replicas.get(id).map(|replica| replica.models.as_slice()).unwrap_or_default();
        let observed = self.observed.get(id).map(Vec::as_slice).unwrap_or_default();
        let known = listed.iter().chain(observed).filter(|weights| weights.model == model);
        known.map(|weights| weights.revision).max()
    }
}
