//! Faults of machines and of the paths between them.

use std::process::ExitStatus;
use std::time::Duration;

use super::{Deployment, TERMINATION_LIMIT};
use crate::disk;
use crate::error::Result;
use crate::machine::MachineId;
use crate::network::Condition;
use crate::wait::wait_until;

impl Deployment {
    /// Kills a member, empties its disk and starts it as a newcomer.
    pub fn replace_disk(&mut self, index: usize) -> Result<()> {
        self.members[index].process.kill();
        disk::wipe(&self.members[index].folder)?;
        self.start_member(index)
    }

    /// Ends a member by SIGTERM.
    pub fn terminate_member(&mut self, index: usize) -> Result<ExitStatus> {
        self.members[index].process.terminate(TERMINATION_LIMIT)
    }

    /// All machines but one.
    #[must_use]
    pub fn others(&self, machine: MachineId) -> Vec<MachineId> {
        let members = self.members.iter().map(|member| member.machine.id);
        let edges = self.edges.iter().map(|edge| edge.machine.id);
        let around = [self.operator_machine.id, self.platform_machine.id];
        members.chain(edges).chain(around).filter(|id| *id != machine).collect()
    }

    /// Changes all paths from and to a member, but for those of the operator.
    pub fn cut_member(&self, index: usize, condition: Condition) {
        let id = self.members[index].machine.id;
        let others: Vec<MachineId> =
            self.others(id).into_iter().filter(|other| *other != self.operator_machine.id).collect();
        self.network.set_between(id, &others, condition);
    }

    /// Plays the loss of a member's power: its machine says nothing any more while it goes on writing for up to
    /// `grace`, then it is killed and loses a random part of what it has written since.
    pub fn lose_power(&mut self, index: usize, grace: Duration) -> Result<Option<disk::Dropped>> {
        let id = self.members[index].machine.id;
        let others = self.others(id);
        self.network.set_outgoing(id, &others, Condition::Held);
        let folder = self.members[index].folder.clone();
        let confirmed = disk::Lengths::of(&folder);
        // Whether it writes at all depends on what others send it meanwhile.
        let _ = wait_until("a write", grace, || disk::Lengths::of(&folder) != confirmed);
        self.members[index].process.kill();
        // What waits at the relays never left the machine.
        self.network.set_outgoing(id, &others, Condition::Reset);
        self.network.set_outgoing(id, &others, Condition::Open);
        disk::drop_unconfirmed(&folder, &confirmed)
    }
}
