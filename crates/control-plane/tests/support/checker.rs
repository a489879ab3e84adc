//! What must hold at every moment of every history.

use std::collections::BTreeMap;
use std::fmt;

use tulipridge_protocol::node::NodeId;

use super::operator::client::UnexplainedObject;

/// Something that must not happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Two members applied different commands under the same number.
    Diverged { sequence: u64, first: u64, second: u64 },
    /// A primary does not have what was acknowledged in an earlier epoch, or one with a lease what was
    /// acknowledged at all.
    AcknowledgedLost { node: NodeId, epoch: u64, sequence: u64 },
    /// Two members hold a lease at the same time.
    TwoLeases { first: NodeId, second: NodeId },
    /// Two members are primary of the same epoch.
    SharedEpoch { epoch: u64 },
    /// Members that applied the same commands have different states.
    StatesDiffer,
    /// After a member left, no view without it came into force in time.
    ViewIncomplete,
    /// No order of the operators' calls explains their answers.
    Unexplained { object: UnexplainedObject },
    /// After the faults a proposal was not acknowledged in time.
    NoProgress,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A command that its proposer was told to be committed.
#[derive(Clone, Copy, Debug)]
struct Acknowledgement {
    command: u64,
    epoch: u64,
}

/// Keeps what was acknowledged and who led.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    committed: BTreeMap<u64, u64>,
    acknowledged: BTreeMap<u64, Acknowledgement>,
    primaries: BTreeMap<u64, NodeId>,
    /// The first violation.
    pub violation: Option<Violation>,
}

impl Checker {
    /// How many proposals were acknowledged.
    pub(crate) fn acknowledged_count(&self) -> usize {
        self.acknowledged.len()
    }

    /// How many views came into force.
    pub(crate) fn primary_count(&self) -> usize {
        self.primaries.len()
    }

    fn report(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// A member applied a command.
    pub(crate) fn applied(&mut self, sequence: u64, command: u64) {
        let first = *self.committed.entry(sequence).or_insert(command);
        if first != command {
            self.report(Violation::Diverged { sequence, first, second: command });
        }
    }

    /// A proposer was told that its command is committed.
    pub(crate) fn acknowledge(&mut self, sequence: u64, command: u64, epoch: u64) {
        self.acknowledged.insert(sequence, Acknowledgement { command, epoch });
    }

    /// A member became primary with this state.
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

    /// A member with a running lease may answer from this state: all that was ever acknowledged is in it.
    pub(crate) fn may_read(&mut self, node: NodeId, epoch: u64, state: &[u64]) {
        let Some((sequence, newest)) = self.acknowledged.last_key_value() else { return };
        if state.get(*sequence as usize - 1) != Some(&newest.command) {
            let sequence = *sequence;
            self.report(Violation::AcknowledgedLost { node, epoch, sequence });
        }
    }

    /// These members hold leases now.
    pub(crate) fn leases(&mut self, lease_holders: &[NodeId]) {
        if let [first, second, ..] = lease_holders {
            self.report(Violation::TwoLeases { first: *first, second: *second });
        }
    }
}
