//! Settings of one member.

use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::View;

/// The identity of this member and the number of failures that the group tolerates.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// The identity of this member.
    pub node: NodeId,
    /// The zone of this member.
    pub zone: String,
    /// The seed members, with generation 0. They form the first view at the first boot.
    pub seeds: Vec<NodeId>,
    /// The number of machines that may fail at the same time (f).
    pub tolerated_failures: u32,
    /// Whether the cluster starts for the first time.
    pub first_boot: bool,
    /// Seed of the random number generator for jitter.
    pub seed: u64,
}

impl ReplicationSettings {
    /// The initial view of a seed member at the first boot; `None` for other members and later boots.
    ///
    /// The view is written together with the generation, in one record. Otherwise a disk of generation 0 without a
    /// view could create another first view later, from other seeds.
    #[must_use]
    pub fn first_view(&self) -> Option<View> {
        if !self.first_boot || self.node.generation != Generation(0) || !self.seeds.contains(&self.node) {
            return None;
        }
        let mut voters = self.seeds.clone();
        voters.sort_unstable();
        voters.dedup();
        let data_replicas = voters.iter().copied().take(self.target_data_replicas()).collect();
        Some(View { epoch: Epoch(0), voters, previous_voters: Vec::new(), data_replicas })
    }

    /// The intended number of voters: 2f + 1.
    pub(super) fn target_voters(&self) -> usize {
        2 * self.tolerated_failures as usize + 1
    }

    /// The intended number of data replicas: f + 1.
    pub(super) fn target_data_replicas(&self) -> usize {
        self.tolerated_failures as usize + 1
    }
}
