//! The invariants of every state, and the record of a history that they are checked against.

use std::collections::BTreeMap;

use tulipridge_control_plane::state::State;
use tulipridge_protocol::node::NodeId;

use super::requests::{RequestId, is_applied};

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Violation {
    /// Two members act as primary at the same time.
    TwoLeases,
    /// Two members became primary in one epoch.
    SharedEpoch,
    /// Two members applied different entries with one sequence number, or reached different states by them.
    Diverged,
    /// A new primary lacks a request that was acknowledged in an earlier epoch.
    AcknowledgedLost,
    /// A member that acts as primary lacks an acknowledged request.
    StaleRead,
    /// A request was acknowledged with fewer than f + 1 durable replicas, not counting lost disks.
    TooFewReplicas,
    /// No disk stores an acknowledged request, though at most f disks were lost.
    NoReplicaLeft,
    /// A request took effect twice.
    AppliedTwice,
}

/// A request that was acknowledged to its proposer.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Acknowledgement {
    /// The sequence number of its entry.
    pub sequence: u64,
    /// The epoch in which it was first acknowledged.
    pub epoch: u64,
}

/// The part of a history that the invariants need.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct History {
    /// Commands of committed entries, by sequence number.
    pub committed: BTreeMap<u64, std::sync::Arc<[u8]>>,
    /// Fingerprints of the state after each entry.
    states: BTreeMap<u64, u64>,
    /// The entry by which a request took effect.
    effects: BTreeMap<RequestId, u64>,
    /// Acknowledged requests.
    pub acknowledged: BTreeMap<RequestId, Acknowledgement>,
    primaries: BTreeMap<u64, NodeId>,
    /// Submitted requests, indexed by proposal ticket.
    pub requested: Vec<RequestId>,
    /// The first violation.
    pub violation: Option<Violation>,
}

impl History {
    /// Records a violation, unless there was one before.
    pub(crate) fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Records that a member applied an entry; `effect` is the request that it put into effect, if any.
    pub(crate) fn applied(
        &mut self,
        sequence: u64,
        command: &std::sync::Arc<[u8]>,
        effect: Option<RequestId>,
        state: u64,
    ) {
        let first = self.committed.entry(sequence).or_insert_with(|| command.clone());
        let is_same_command = *first == *command;
        let is_same_state = *self.states.entry(sequence).or_insert(state) == state;
        if !is_same_command || !is_same_state {
            self.report(Violation::Diverged);
        }
        let first = effect.map(|request| *self.effects.entry(request).or_insert(sequence));
        if first.is_some_and(|first| first != sequence) {
            self.report(Violation::AppliedTwice);
        }
    }

    /// Records that a member restored the state after an entry.
    pub(crate) fn restored(&mut self, sequence: u64, state: u64) {
        if *self.states.entry(sequence).or_insert(state) != state {
            self.report(Violation::Diverged);
        }
    }

    /// Records that a request was acknowledged to its proposer.
    pub(crate) fn acknowledge(&mut self, request: RequestId, sequence: u64, epoch: u64) {
        self.acknowledged.entry(request).or_insert(Acknowledgement { sequence, epoch });
    }

    /// Records that a member became primary with this state.
    pub(crate) fn became_primary(&mut self, node: NodeId, epoch: u64, state: &State) {
        if *self.primaries.entry(epoch).or_insert(node) != node {
            self.report(Violation::SharedEpoch);
        }
        let is_lost = |(request, acknowledged): (&RequestId, &Acknowledgement)| {
            acknowledged.epoch < epoch && !is_applied(state, *request)
        };
        if self.acknowledged.iter().any(is_lost) {
            self.report(Violation::AcknowledgedLost);
        }
    }

    /// Checks the state of a member that acts as primary.
    pub(crate) fn check_read(&mut self, state: &State) {
        if self.acknowledged.keys().any(|request| !is_applied(state, *request)) {
            self.report(Violation::StaleRead);
        }
    }

    /// Number of epochs that had a primary.
    pub(crate) fn primary_count(&self) -> usize {
        self.primaries.len()
    }
}
