//! The ring of consistent hashing: virtual nodes in the order of their positions.

use std::cmp::Ordering;

use crate::random::md5_prefix;
use crate::replica_table::ReplicaSlot;
use crate::types::ReplicaId;

/// A virtual node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VirtualNode {
    pub(crate) position: u64,
    pub(crate) replica: ReplicaSlot,
    /// Its number among the virtual nodes of its replica.
    pub(crate) number: u32,
}

impl VirtualNode {
    pub(crate) fn new(id: &ReplicaId, replica: ReplicaSlot, number: u32) -> VirtualNode {
        let position = md5_prefix(&[id.0.as_bytes(), &number.to_le_bytes()]);
        VirtualNode { position, replica, number }
    }
}

/// All virtual nodes, sorted by position.
#[derive(Debug, Default)]
pub(crate) struct HashRing {
    nodes: Vec<VirtualNode>,
}

impl HashRing {
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// The index of the first node at `key` or clockwise from it; the ring's length if it is the first of all.
    pub(crate) fn start(&self, key: u64) -> usize {
        self.nodes.partition_point(|node| node.position < key)
    }

    /// The node that is `steps` clockwise from the one at `start`. The ring must not be empty.
    pub(crate) fn clockwise(&self, start: usize, steps: usize) -> VirtualNode {
        self.nodes[(start + steps) % self.nodes.len()]
    }

    pub(crate) fn retain(&mut self, is_current: impl Fn(&VirtualNode) -> bool) {
        self.nodes.retain(is_current);
    }

    /// Adds nodes. `by_id` decides between equal positions, since gateways meet replicas in different orders.
    pub(crate) fn insert(
        &mut self,
        mut added: Vec<VirtualNode>,
        by_id: impl Fn(ReplicaSlot, ReplicaSlot) -> Ordering,
    ) {
        self.nodes.append(&mut added);
        self.nodes.sort_by(|a, b| a.position.cmp(&b.position).then_with(|| by_id(a.replica, b.replica)));
    }
}
