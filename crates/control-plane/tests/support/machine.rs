//! A machine of the simulated cluster: its disk, its clock, and its process.

use tulipridge_control_plane::replication::{Input, Replication};
use tulipridge_protocol::node::NodeId;

use super::clock::Clock;
use super::disk::Disk;
use super::operator::desk::Desk;
use super::operator::event::OperatorEvent;
use super::payload::AppliedState;
use super::simulation::Leaving;

/// A running process.
pub(crate) struct Process {
    /// Tells this run from others.
    pub incarnation: u64,
    /// The state machine.
    pub replication: Replication,
    /// What the applied commands led to.
    pub applied: AppliedState,
    /// It was primary at some time.
    pub was_primary: bool,
    /// Operators' changes that it works on.
    pub desk: Desk,
    /// When its next tick is on the way.
    pub wake_at: u64,
    /// What came while it was frozen.
    pub backlog: Vec<Input>,
    /// Calls and steps that were due while it was frozen.
    pub delayed_calls: Vec<OperatorEvent>,
    /// What the disk was last said to be.
    pub reported_healthy: bool,
}

/// A machine.
pub(crate) struct Machine {
    /// Its member on the present disk.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// Its disk.
    pub disk: Disk,
    /// Its clock.
    pub clock: Clock,
    /// Its process, while one runs.
    pub process: Option<Process>,
    /// Does nothing before this time.
    pub frozen_until: u64,
    /// Will not come back.
    pub removed: bool,
    /// It leaves for good, or has left.
    pub leaving: Option<Leaving>,
    /// Counts as lost until then.
    pub lost_until: u64,
    /// Lives so far.
    pub incarnations: u64,
}

impl Machine {
    /// Whether it runs and is not frozen.
    pub(crate) fn is_running(&self, now: u64) -> bool {
        self.process.is_some() && self.frozen_until <= now
    }

    /// Whether it holds a running lease by its own clock.
    pub(crate) fn lease_valid(&self, now: u64) -> bool {
        let local = self.clock.local(now);
        self.process.as_ref().is_some_and(|process| process.replication.is_primary(local))
    }
}
