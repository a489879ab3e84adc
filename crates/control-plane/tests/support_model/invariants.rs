//! What must hold in every state, and what has to be remembered to say so.

use std::collections::BTreeMap;

use tulipridge_control_plane::state::State;
use tulipridge_protocol::node::NodeId;

use super::orders::{Order, is_taken};

/// Something that must not happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Violation {
    /// Two members may act as primary at the same time.
    TwoLeases,
    /// Two members are primary of one epoch.
    SharedEpoch,
    /// Two members applied different entries under one number, or reached different states by them.
    Diverged,
    /// A new primary lacks an order that was acknowledged in an earlier epoch.
    AcknowledgedLost,
    /// A member that may answer lacks an order that was acknowledged.
    StaleRead,
    /// An order was acknowledged while fewer disks than f + 1 had it, less those that were lost.
    TooFewReplicas,
    /// An order that was acknowledged is on no disk, though no more than f were lost.
    NoCopyLeft,
    /// An order took effect twice.
    AppliedTwice,
}

/// An order that its proposer was told to be agreed.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Acknowledgement {
    /// The entry's number.
    pub sequence: u64,
    /// The epoch in which it was acknowledged first.
    pub epoch: u64,
}

/// What happened so far, as far as the invariants need it.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct History {
    /// Commands of committed entries, by their numbers.
    pub committed: BTreeMap<u64, std::sync::Arc<[u8]>>,
    /// Fingerprints of the state after an entry.
    states: BTreeMap<u64, u64>,
    /// The entry by which an order took effect.
    effects: BTreeMap<Order, u64>,
    /// Orders that were acknowledged.
    pub acknowledged: BTreeMap<Order, Acknowledgement>,
    primaries: BTreeMap<u64, NodeId>,
    /// Orders of proposals, by their tickets.
    pub asked: Vec<Order>,
    /// The first violation.
    pub violation: Option<Violation>,
}

impl History {
    /// Notes a violation.
    pub(crate) fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// A member applied an entry, which took effect or not, and has this state now.
    pub(crate) fn applied(
        &mut self,
        sequence: u64,
        command: &std::sync::Arc<[u8]>,
        effect: Option<Order>,
        state: u64,
    ) {
        let first = self.committed.entry(sequence).or_insert_with(|| command.clone());
        let is_same_command = *first == *command;
        let is_same_state = *self.states.entry(sequence).or_insert(state) == state;
        if !is_same_command || !is_same_state {
            self.report(Violation::Diverged);
        }
        let first = effect.map(|order| *self.effects.entry(order).or_insert(sequence));
        if first.is_some_and(|first| first != sequence) {
            self.report(Violation::AppliedTwice);
        }
    }

    /// A member restored the state after an entry.
    pub(crate) fn restored(&mut self, sequence: u64, state: u64) {
        if *self.states.entry(sequence).or_insert(state) != state {
            self.report(Violation::Diverged);
        }
    }

    /// A proposer was told that its order is agreed.
    pub(crate) fn acknowledge(&mut self, order: Order, sequence: u64, epoch: u64) {
        self.acknowledged.entry(order).or_insert(Acknowledgement { sequence, epoch });
    }

    /// A member became primary with this state.
    pub(crate) fn became_primary(&mut self, node: NodeId, epoch: u64, state: &State) {
        if *self.primaries.entry(epoch).or_insert(node) != node {
            self.report(Violation::SharedEpoch);
        }
        let is_lost = |(order, acknowledged): (&Order, &Acknowledgement)| {
            acknowledged.epoch < epoch && !is_taken(state, *order)
        };
        if self.acknowledged.iter().any(is_lost) {
            self.report(Violation::AcknowledgedLost);
        }
    }

    /// A member that may answer has this state.
    pub(crate) fn may_answer(&mut self, state: &State) {
        if self.acknowledged.keys().any(|order| !is_taken(state, *order)) {
            self.report(Violation::StaleRead);
        }
    }

    /// Number of epochs that had a primary.
    pub(crate) fn primary_count(&self) -> usize {
        self.primaries.len()
    }
}
