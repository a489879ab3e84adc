//! Faults of machines and of the links between them.

use std::process::ExitStatus;
use std::time::Duration;

use super::system::{Deployment, TERMINATION_TIMEOUT};
use crate::disk;
use crate::error::Result;
use crate::machine::MachineId;
use crate::network::LinkState;
use crate::wait::wait_until;

impl Deployment {
    /// Kills a member, wipes its disk and starts it again; it joins as a new member.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the disk can't be wiped or the program can't be started.
    pub fn replace_disk(&mut self, index: usize) -> Result<()> {
        self.members[index].process.kill();
        disk::wipe(&self.members[index].data_folder)?;
        self.start_member(index)
    }

    /// Stops a member by SIGTERM.
    ///
    /// # Errors
    ///
    /// [`HarnessError::TimedOut`](crate::error::HarnessError::TimedOut) if the program does not exit in time.
    pub fn terminate_member(&mut self, index: usize) -> Result<ExitStatus> {
        self.members[index].process.terminate(TERMINATION_TIMEOUT)
    }

    /// The ids of all machines except `machine`, stand-ins included.
    #[must_use]
    pub fn other_machines(&self, machine: MachineId) -> Vec<MachineId> {
        let members = self.members.iter().map(|member| member.machine.id);
        let edges = self.edges.iter().map(|edge| edge.machine.id);
        let stand_ins = [self.operator_machine.id, self.platform_machine.id];
        members.chain(edges).chain(stand_ins).filter(|id| *id != machine).collect()
    }

    /// Sets the state of all links from and to a member, except the links of the operator.
    pub fn partition_member(&self, index: usize, state: LinkState) {
        let id = self.members[index].machine.id;
        let others: Vec<MachineId> = self
            .other_machines(id)
            .into_iter()
            .filter(|other| *other != self.operator_machine.id)
            .collect();
        self.network.set_between(id, &others, state);
    }

    /// Simulates a loss of power: stalls the outgoing links of a member, waits up to `grace` for its next write,
    /// kills it and drops a random part of the bytes that were written since its links were stalled. Returns
    /// what was dropped; `None` if nothing was.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the log can't be truncated.
    pub fn lose_power(&mut self, index: usize, grace: Duration) -> Result<Option<disk::DroppedTail>> {
        let id = self.members[index].machine.id;
        let others = self.other_machines(id);
        self.network.set_outgoing(id, &others, LinkState::Stalled);
        let folder = self.members[index].data_folder.clone();
        let acknowledged = disk::FileLengths::of(&folder);
        // A timeout is no error: the member writes only if it receives something to write.
        let _ = wait_until("a write", grace, || disk::FileLengths::of(&folder) != acknowledged);
        self.members[index].process.kill();
        // Bytes that are buffered at the relays count as never sent.
        self.network.set_outgoing(id, &others, LinkState::Reset);
        self.network.set_outgoing(id, &others, LinkState::Open);
        disk::drop_unacknowledged_tail(&folder, &acknowledged)
    }
}
