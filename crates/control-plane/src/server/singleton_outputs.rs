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

use crate::fleet::FleetTable;
use crate::index::IndexOutput;
use crate::member::Member;
use crate::member_feed::MemberFeed;
use crate::rollout::RolloutOutput;
use crate::singleton::{LeaseStatus, SingletonLease};

/// Delivers the results of the singleton roles.
pub(super) struct SingletonOutputs {
    pub(super) member: Rc<Member>,
    pub(super) member_feed: Rc<MemberFeed>,
    pub(super) table: Rc<RefCell<FleetTable>>,
}

impl SingletonOutputs {
    /// Delivers the table of replicas after a complete fetch of the replica list. The first delivery of a tenure
    /// inherits what the previous primary's table contains beyond the list.
    pub(super) fn deliver_list(&self) {
        let Some(lease) = self.member.singleton_lease() else { return };
        if let Some(delivered) = self.member_feed.inherited_fleet(lease.tenure) {
            self.table.borrow_mut().inherit(&delivered);
        }
        self.deliver_fleet(lease);
    }

    /// Delivers the current table of replicas.
    fn deliver_fleet(&self, lease: SingletonLease) {
        if let Some(replicas) = self.table.borrow().replicas(lease.tenure) {
            self.member_feed.set_fleet(lease.epoch, replicas);
        }
    }
}

impl RolloutOutput for SingletonOutputs {
    fn weights(&self, epoch: Epoch, lines: Vec<ModelWeights>) {
        self.member_feed.set_weights(epoch, lines);
    }

    fn fleet_corrected(&self) {
        if let Some(lease) = self.member.singleton_lease() {
            self.deliver_fleet(lease);
        }
    }

    fn target_revisions(&self) -> BTreeMap<String, WeightsRevision> {
        self.member.published().weights
    }

    fn delivered_weights(&self) -> Vec<ModelWeights> {
        self.member_feed.weights()
    }

    fn queued_work(&self) -> BTreeMap<String, u32> {
        self.member_feed.queued_work()
    }
}

impl IndexOutput for SingletonOutputs {
    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.member.published().configuration
    }

    fn status(&self, source: SocketAddrV4) -> Option<SourceStatus> {
        self.member_feed.source_status(source)
    }

    fn known_sources(&self) -> Vec<SocketAddrV4> {
        self.member_feed.known_sources()
    }

    fn deliver(&self, epoch: Epoch, updates: &[CacheUpdate]) {
        self.member_feed.update_cache_index(epoch, updates);
    }
}
