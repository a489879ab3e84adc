//! What the planner knows of the replicas: the discovered list, the revisions that were observed since, and the requests
//! that are queued.

use std::collections::BTreeMap;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelRevision, Replica, ReplicaPhase};

use super::super::replica_client::ReplicaEndpoint;

/// The replicas and the weights that they have.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    replicas: BTreeMap<String, Replica>,
    /// Revisions that replicas were observed to have, which the list may not show yet.
    observed: BTreeMap<String, Vec<ModelRevision>>,
    /// Requests of proxies that are queued at replicas.
    queued_requests: BTreeMap<String, u32>,
}

impl FleetView {
    /// Replaces the list of replicas.
    pub(super) fn set_replicas<'a>(&mut self, replicas: impl Iterator<Item = &'a Replica>) {
        self.replicas = replicas.map(|replica| (replica.id.clone(), replica.clone())).collect();
        self.observed.retain(|id, _| self.replicas.contains_key(id));
    }

    /// Replaces the counts of queued requests.
    pub(super) fn set_queued_requests(&mut self, queued_requests: BTreeMap<String, u32>) {
        self.queued_requests = queued_requests;
    }

    /// Removes a replica until the next list.
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

    /// Revisions that replicas were observed to have, by their ids.
    pub(super) fn observed(&self) -> &BTreeMap<String, Vec<ModelRevision>> {
        &self.observed
    }

    pub(super) fn contains(&self, id: &str) -> bool {
        self.replicas.contains_key(id)
    }

    /// Where a replica is called, or `None` if it is not listed or its address can't be parsed.
    pub(super) fn endpoint(&self, id: &str) -> Option<ReplicaEndpoint> {
        let address = self.replicas.get(id)?.address.parse().ok()?;
        Some(ReplicaEndpoint { id: id.to_owned(), address })
    }

    /// Requests that are queued at a replica, as far as proxies have reported.
    pub(super) fn queued_requests(&self, id: &str) -> u32 {
        self.queued_requests.get(id).copied().unwrap_or(0)
    }

    /// Replicas that serve a model.
    pub(super) fn serving<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Replica> {
        let serves = move |replica: &&Replica| replica.models.iter().any(|served| served.model == model);
        self.replicas.values().filter(serves)
    }

    /// Replicas that serve a model with weights older than `revision`.
    pub(super) fn with_older_weights<'a>(
        &'a self,
        model: &'a str,
        revision: WeightsRevision,
    ) -> impl Iterator<Item = &'a Replica> {
        self.serving(model).filter(move |replica| self.has_older_weights(&replica.id, model, revision))
    }

    /// The same without those that are draining.
    pub(super) fn lacking_revision<'a>(
        &'a self,
        model: &'a str,
        revision: WeightsRevision,
    ) -> impl Iterator<Item = &'a Replica> {
        self.with_older_weights(model, revision).filter(|replica| replica.phase != ReplicaPhase::Draining)
    }

    /// Whether every replica of a model, of at least one, has `revision` or newer weights or is draining.
    pub(super) fn is_rollout_complete(&self, model: &str, revision: WeightsRevision) -> bool {
        self.serving(model).next().is_some() && self.lacking_revision(model, revision).next().is_none()
    }

    /// Whether a replica has a model with weights older than `revision`.
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
