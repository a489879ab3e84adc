//! Safety invariants that must hold throughout every history, and the violations found.

use std::collections::BTreeMap;
use std::fmt;

use tulipridge_protocol::node::NodeId;

use super::operator::client::NonLinearizableObject;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Two members applied different commands at the same sequence number.
    Diverged { sequence: u64, first: u64, second: u64 },
    /// A primary lacks a command acknowledged in an earlier epoch, or a member with a valid lease lacks an
    /// acknowledged command of any epoch.
    AcknowledgedLost { node: NodeId, epoch: u64, sequence: u64 },
    /// Two members hold a valid lease at the same time.
    TwoLeases { first: NodeId, second: NodeId },
    /// Two members became primary in the same epoch.
    SharedEpoch { epoch: u64 },
    /// Members that applied the same commands have different states.
    StatesDiffer,
    /// After a member left, no view without it was installed in time.
    ViewIncomplete,
    /// The history of operators' calls on an object is not linearizable.
    NotLinearizable { object: NonLinearizableObject },
    /// No proposal, or no final read of an operator, succeeded in time.
    NoProgress,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A command whose commit was acknowledged to its proposer.
#[derive(Clone, Copy, Debug)]
struct Acknowledgement {
    command: u64,
    epoch: u64,
}

/// Tracks acknowledged commands and primaries.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    committed: BTreeMap<u64, u64>,
    acknowledged: BTreeMap<u64, Acknowledgement>,
    primaries: BTreeMap<u64, NodeId>,
    /// The first violation.
    pub violation: Option<Violation>,
}

impl Checker {
    /// The number of acknowledged proposals.
    pub(crate) fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    /// The number of epochs in which a member became primary.
    pub(crate) fn primary_count(&self) -> usize {
        self.primaries.len()
    }

    fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Records that a member applied a command.
    pub(crate) fn applied(&mut self, sequence: u64, command: u64) {
        let first = *self.committed.entry(sequence).or_insert(command);
        if first != command {
            self.report(Violation::Diverged { sequence, first, second: command });
        }
    }

    /// Records that a command's commit was acknowledged to its proposer.
    pub(crate) fn acknowledge(&mut self, sequence: u64, command: u64, epoch: u64) {
        self.acknowledged.insert(sequence, Acknowledgement { command, epoch });
    }

    /// Records that a member became primary with this state.
    pub(crate) fn became_primary(&mut self, node: NodeId, epoch: u64, state: &[u64]) {
        let first = *self.primaries.entry(epoch).or_insert(node);
        if first != node {
            self.report(Violation::SharedEpoch { epoch });
        }
        let missing = self.acknowledged.iter().find(|(sequence, acknowledged)| {
            acknowledged.epoch < epoch && state.get(**sequence as usize - 1) != Some(&acknowledged.command)
        });
        if let Some((sequence, _)) = missing {
            let sequence = *sequence;
            self.report(Violation::AcknowledgedLost { node, epoch, sequence });
        }
    }

    /// Checks the state of a member with a valid lease, which may serve reads: it must hold the latest
    /// acknowledged command.
    pub(crate) fn check_lease_read(&mut self, node: NodeId, epoch: u64, state: &[u64]) {
        let Some((sequence, newest)) = self.acknowledged.last_key_value() else { return };
        if state.get(*sequence as usize - 1) != Some(&newest.command) {
            let sequence = *sequence;
            self.report(Violation::AcknowledgedLost { node, epoch, sequence });
        }
    }

    /// Checks the members that hold valid leases now.
    pub(crate) fn leases(&mut self, lease_holders: &[NodeId]) {
        if let [first, second, ..] = lease_holders {
            self.report(Violation::TwoLeases { first: *first, second: *second });
        }
    }
}
