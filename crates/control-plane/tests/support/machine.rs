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
    /// Whether it has ever been primary.
    pub was_primary: bool,
    /// Queued changes of operators.
    pub changes: ChangeQueue,
    /// When its next tick is scheduled.
    pub wake_at: u64,
    /// Inputs that arrived while it was frozen.
    pub backlog: Vec<Input>,
    /// Calls and steps that came due while it was frozen.
    pub delayed_events: Vec<OperatorEvent>,
    /// Whether the disk was last reported as healthy.
    pub reported_healthy: bool,
}

/// A simulated machine.
pub(crate) struct Machine {
    /// The id of its member; a wiped disk gets a new generation.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// Its disk.
    pub disk: Disk,
    /// Its clock.
    pub clock: Clock,
    /// Its process; `None` while it is stopped.
    pub process: Option<Process>,
    /// The machine is frozen until this time.
    pub frozen_until: u64,
    /// Whether the machine is permanently gone.
    pub removed: bool,
    /// The state of its permanent departure, once that has begun.
    pub leaving: Option<Leaving>,
    /// The machine counts as lost until this time.
    pub lost_until: u64,
    /// Number of processes started so far.
    pub incarnations: u64,
}

impl Machine {
    /// Whether its process runs and is not frozen.
    pub(crate) fn is_running(&self, now: u64) -> bool {
        self.process.is_some() && self.frozen_until <= now
    }

    /// Whether it holds a valid lease by its own clock.
    pub(crate) fn lease_valid(&self, now: u64) -> bool {
        let local = self.clock.local(now);
        self.process.as_ref().is_some_and(|process| process.replication.is_primary(local))
    }
}
