//! Queries of the members' views and states.

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::View;

use super::Simulation;
use crate::support::machine::{Machine, Process};

impl Simulation {
    /// The running machine that considers itself primary.
    pub(crate) fn primary(&self) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| machine.is_running(self.now) && machine.lease_valid(self.now))
    }

    /// The machine of a member; `None` if the machine has a new generation by now.
    pub(crate) fn machine_of(&self, node: NodeId) -> Option<usize> {
        self.machines.iter().position(|machine| machine.node == node)
    }

    /// The latest view that a running machine knows.
    pub(crate) fn view_at(&self, index: usize) -> Option<&View> {
        let machine = &self.machines[index];
        let process = machine.process.as_ref().filter(|_| machine.is_running(self.now))?;
        process.replication.view()
    }

    /// The machines of the data replicas in the primary's view, the primary first.
    pub(crate) fn data_replicas(&self) -> Vec<usize> {
        let view = self.primary().and_then(|primary| self.view_at(primary));
        let data_replicas = &view.expect("a primary has a view").data_replicas;
        data_replicas
            .iter()
            .map(|replica| self.machine_of(*replica).expect("each data replica has a machine"))
            .collect()
    }

    /// Whether there is a primary whose view is fully installed and known to all of its voters, which all run.
    pub(crate) fn is_view_complete(&self) -> bool {
        let Some(view) = self.primary().and_then(|primary| self.view_at(primary)) else { return false };
        let knows_view = |voter: &NodeId| {
            self.machine_of(*voter).and_then(|machine| self.view_at(machine)) == Some(view)
        };
        view.previous_voters.is_empty() && view.voters.iter().all(knows_view)
    }

    /// Whether running members that have applied equally many commands have the same state.
    pub(crate) fn states_agree(&self) -> bool {
        let processes: Vec<&Process> =
            self.machines.iter().filter_map(|machine: &Machine| machine.process.as_ref()).collect();
        processes.iter().enumerate().all(|(position, first)| {
            let has_applied_as_many =
                |second: &&&Process| second.applied.numbers.len() == first.applied.numbers.len();
            processes[..position]
                .iter()
                .filter(has_applied_as_many)
                .all(|second| second.applied == first.applied)
        })
    }
}
