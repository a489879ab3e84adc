//! The ring of consistent hashing: virtual nodes sorted by position.

use std::cmp::Ordering;

use crate::random::md5_prefix;
use crate::replica_table::ReplicaSlot;
use crate::types::ReplicaId;

/// A virtual node of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VirtualNode {
    pub(crate) position: u64,
    pub(crate) replica: ReplicaSlot,
    /// The number of the node among those of its replica, from 0.
    pub(crate) number: u32,
}

impl VirtualNode {
    pub(crate) fn new(id: &ReplicaId, replica: ReplicaSlot, number: u32) -> VirtualNode {
        let position = md5_prefix(&[id.0.as_bytes(), &number.to_le_bytes()]);
        VirtualNode { position, replica, number }
    }
}

/// All virtual nodes.
#[derive(Debug, Default)]
pub(crate) struct HashRing {
    nodes: Vec<VirtualNode>,
}

impl HashRing {
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// The index of the first node at `key` or clockwise from it. This is the ring's length if the search
    /// wraps around to the first node.
    pub(crate) fn start(&self, key: u64) -> usize {
        self.nodes.partition_point(|node| node.position < key)
    }

    /// The node `steps` positions clockwise from the one at `start`. The ring must not be empty.
    pub(crate) fn clockwise(&self, start: usize, steps: usize) -> VirtualNode {
        self.nodes[(start + steps) % self.nodes.len()]
    }

    pub(crate) fn retain(&mut self, is_current: impl Fn(&VirtualNode) -> bool) {
        self.nodes.retain(is_current);
    }

    /// Inserts nodes. `by_id` orders nodes with equal positions, since gateways learn of replicas in
    /// different orders.
    pub(crate) fn insert(
        &mut self,
        mut added: Vec<VirtualNode>,
        by_id: impl Fn(ReplicaSlot, ReplicaSlot) -> Ordering,
    ) {
        self.nodes.append(&mut added);
        self.nodes.sort_by(|a, b| a.position.cmp(&b.position).then_with(|| by_id(a.replica, b.replica)));
    }
}
