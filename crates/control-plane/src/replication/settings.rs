//! Settings of one member.

use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::Epoch;
use tulipridge_protocol::replication::View;

/// Who this member is, and how many failures the system tolerates.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// This member.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// The seeds, with generation 0. At the first boot they form the first view.
    pub seeds: Vec<NodeId>,
    /// How many machines may be lost at the same time (f).
    pub tolerated_failures: u32,
    /// The system starts for the first time.
    pub first_boot: bool,
    /// Seed of the jitter.
    pub seed: u64,
}

impl ReplicationSettings {
    /// The view that a seed starts with at the first boot; none for others and later.
    ///
    /// It goes to the disk together with the generation, in one record: a disk of generation 0 without it
    /// must not make up a first view later, from other seeds.
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

    /// Wanted number of voters.
    pub(super) fn target_voters(&self) -> usize {
        2 * self.tolerated_failures as usize + 1
    }

    /// Wanted number of data replicas.
    pub(super) fn target_data_replicas(&self) -> usize {
        self.tolerated_failures as usize + 1
    }
}
