//! Test doubles for the member that a rollout of weights runs in.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::rollout::RolloutOutput;
use tulipridge_control_plane::singleton::{LeaseStatus, SingletonLease};
use tulipridge_control_plane::tenure::Tenure;
use tulipridge_protocol::feed::ModelWeights;
use tulipridge_protocol::number::Epoch;

/// The lease of a member that has been primary since epoch 7, and whose epoch has risen since.
pub(crate) const LEASE: SingletonLease = SingletonLease { epoch: Epoch(9), tenure: Tenure(Epoch(7)) };

/// The status of a member that is primary.
pub(crate) struct PrimaryStatus;

impl LeaseStatus for PrimaryStatus {
    fn singleton_lease(&self) -> Option<SingletonLease> {
        Some(LEASE)
    }

    fn knows_primary(&self) -> bool {
        true
    }
}

/// Records what the rollout delivers.
#[derive(Default)]
pub(crate) struct Output {
    pub(crate) weights: RefCell<Vec<ModelWeights>>,
    pub(crate) corrections: Cell<usize>,
}

impl RolloutOutput for Output {
    fn weights(&self, epoch: Epoch, weights: Vec<ModelWeights>) {
        assert_eq!(epoch, LEASE.epoch);
        *self.weights.borrow_mut() = weights;
    }

    fn fleet_corrected(&self) {
        self.corrections.set(self.corrections.get() + 1);
    }

    fn target_revisions(&self) -> BTreeMap<String, WeightsRevision> {
        BTreeMap::from([("m".to_owned(), WeightsRevision(2))])
    }

    fn delivered_weights(&self) -> Vec<ModelWeights> {
        Vec::new()
    }

    fn queued_work(&self) -> BTreeMap<String, u32> {
        BTreeMap::new()
    }
}
