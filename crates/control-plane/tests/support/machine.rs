//! A machine of the simulated cluster: its disk, clock and process.

use tulipridge_control_plane::replication::{Input, Replication};
use tulipridge_protocol::node::NodeId;

use super::clock::Clock;
use super::disk::Disk;
use super::operator::event::OperatorEvent;
use super::operator::member::ChangeQueue;
use super::payload::AppliedState;
use super::simulation::Leaving;

/// A running process.
pub(crate) struct Process {
    /// Distinguishes this process from earlier ones on the same machine.
    pub incarnation: u64,
    /// The replication protocol.
    pub replication: Replication,
    /// The state after the applied commands.
    pub applied: AppliedState,
    /// Whether the process has ever been primary.
    pub was_primary: bool,
    /// Queued changes of operators.
    pub changes: ChangeQueue,
    /// When the next tick of the process is scheduled, in microseconds of true time.
    pub wake_at: u64,
    /// Inputs that arrived while the machine was frozen.
    pub backlog: Vec<Input>,
    /// Calls and steps that became due while the machine was frozen.
    pub delayed_events: Vec<OperatorEvent>,
    /// Whether the machine's disk was last reported as healthy.
    pub reported_healthy: bool,
}

/// A simulated machine.
pub(crate) struct Machine {
    /// The id of the machine's member; a wiped disk gets a new generation.
    pub node: NodeId,
    /// Name of the zone that the machine belongs to.
    pub zone: String,
    /// The machine's disk, with its unsynced records.
    pub disk: Disk,
    /// The machine's monotonic clock.
    pub clock: Clock,
    /// The machine's process; `None` while it is stopped.
    pub process: Option<Process>,
    /// The machine is frozen until this true time, in microseconds.
    pub frozen_until: u64,
    /// Whether the machine is permanently gone.
    pub removed: bool,
    /// The state of the machine's permanent departure; `None` before the departure begins.
    pub leaving: Option<Leaving>,
    /// The machine counts as lost until this true time, in microseconds.
    pub lost_until: u64,
    /// Number of processes started on the machine so far.
    pub incarnations: u64,
}

impl Machine {
    /// Whether the machine's process runs and is not frozen.
    pub(crate) fn is_running(&self, now: u64) -> bool {
        self.process.is_some() && self.frozen_until <= now
    }

    /// Whether the machine's member has a valid lease by the machine's clock.
    pub(crate) fn lease_valid(&self, now: u64) -> bool {
        let local = self.clock.local(now);
        self.process.as_ref().is_some_and(|process| process.replication.is_primary(local))
    }
}
