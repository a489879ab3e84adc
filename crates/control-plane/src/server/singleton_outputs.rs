//! Delivery of the results of the singleton roles.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use tulipridge_configuration::Configuration;
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_prefix_cache_index::{CacheUpdate, SourceStatus};
use tulipridge_protocol::feed::ModelWeights;
use tulipridge_protocol::number::Epoch;

use crate::delivery::Delivery;
use crate::fleet::FleetTable;
use crate::index::IndexOutput;
use crate::member::Member;
use crate::rollout::RolloutOutput;
use crate::singleton::{LeaseStatus, SingletonLease};

/// Delivers the results of the singleton roles.
pub(super) struct SingletonOutputs {
    pub(super) member: Rc<Member>,
    pub(super) delivery: Rc<Delivery>,
    pub(super) table: Rc<RefCell<FleetTable>>,
}

impl SingletonOutputs {
    /// Delivers the table of replicas after a complete fetch of the replica list. The first delivery of a tenure
    /// inherits what the previous primary's table contains beyond the list.
    pub(super) fn deliver_list(&self) {
        let Some(lease) = self.member.singleton_lease() else { return };
        if let Some(delivered) = self.delivery.inherited_fleet(lease.tenure) {
            self.table.borrow_mut().inherit(&delivered);
        }
        self.deliver_fleet(lease);
    }

    /// Delivers the current table of replicas.
    fn deliver_fleet(&self, lease: SingletonLease) {
        if let Some(replicas) = self.table.borrow().replicas(lease.tenure) {
            self.delivery.set_fleet(lease.epoch, replicas);
        }
    }
}

impl RolloutOutput for SingletonOutputs {
    fn weights(&self, epoch: Epoch, lines: Vec<ModelWeights>) {
        self.delivery.set_weights(epoch, lines);
    }

    fn fleet_corrected(&self) {
        if let Some(lease) = self.member.singleton_lease() {
            self.deliver_fleet(lease);
        }
    }

    fn named(&self) -> BTreeMap<String, WeightsRevision> {
        self.member.published().weights
    }

    fn delivered(&self) -> Vec<ModelWeights> {
        self.delivery.weights()
    }

    fn waiting(&self) -> BTreeMap<String, u32> {
        self.delivery.waiting()
    }
}

impl IndexOutput for SingletonOutputs {
    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.member.published().configuration
    }

    fn status(&self, source: SocketAddrV4) -> Option<SourceStatus> {
        self.delivery.source_status(source)
    }

    fn known_sources(&self) -> Vec<SocketAddrV4> {
        self.delivery.known_sources()
    }

    fn deliver(&self, epoch: Epoch, updates: &[CacheUpdate]) {
        self.delivery.update_cache_index(epoch, updates);
    }
}
