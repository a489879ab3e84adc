//! Faults of machines: crashes, power losses, lost disks, replacements and freezes.

use tulipridge_control_plane::replication::Input;
use tulipridge_protocol::node::Generation;

use crate::support::disk::PowerCut;

use super::{AfterExit, Event, Fault, Network, Simulation};

impl Simulation {
    /// Kills a process and restarts it after a delay.
    pub(crate) fn kill(&mut self, index: usize, restart_after: u64) {
        let machine = &mut self.machines[index];
        machine.process = None;
        machine.frozen_until = 0;
        machine.disk.lose_pending(&mut self.random);
        self.schedule(self.now + restart_after, Event::Start { machine: index });
    }

    /// Terminates a process, which exits after a delay and restarts after another one.
    pub(crate) fn terminate(&mut self, index: usize, ends_after: u64, restart_after: u64) {
        self.request_stop(index, ends_after, AfterExit::Restart { after: restart_after });
    }

    /// Terminates a process, which exits after a delay even if it is still needed; its machine does not return.
    pub(crate) fn terminate_for_good(&mut self, index: usize, ends_after: u64) {
        self.request_stop(index, ends_after, AfterExit::Removal);
    }

    fn request_stop(&mut self, index: usize, ends_after: u64, then: AfterExit) {
        self.input(index, Input::Shutdown);
        match &self.machines[index].process {
            Some(process) => {
                let incarnation = process.incarnation;
                self.schedule(self.now + ends_after, Event::Exit { machine: index, incarnation, then });
            }
            None => self.handle_exit(index, then),
        }
    }

    pub(super) fn handle_exit(&mut self, index: usize, then: AfterExit) {
        match then {
            AfterExit::Restart { after } => self.kill(index, after),
            AfterExit::Removal => self.remove(index),
        }
    }

    pub(super) fn remove(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.process = None;
        machine.removed = true;
    }

    /// Makes the disk refuse all writes for a span; the process retries them.
    pub(crate) fn fill_disk(&mut self, index: usize, span: u64) {
        let machine = &mut self.machines[index];
        machine.disk.full_until = self.now + span;
        let incarnation = machine.incarnations;
        self.schedule(self.now + span, Event::Synced { machine: index, incarnation });
    }

    /// Cuts the power after some more writes, before the process learns that the last one is synced.
    pub(crate) fn cut_power_after_writes(&mut self, index: usize, writes: u32, restart_after: u64) {
        self.machines[index].disk.power_cut = Some(PowerCut { writes, restart_after });
    }

    /// Cuts the power; all unsynced records are lost.
    pub(crate) fn cut_power(&mut self, index: usize, restart_after: u64) {
        self.machines[index].disk.lose_all_pending();
        self.kill(index, restart_after);
    }

    /// Wipes a machine's disk and restarts the machine as a new member.
    pub(crate) fn wipe(&mut self, index: usize, restart_after: u64) {
        self.cut_power(index, restart_after);
        let generation = self.random.u64(..) | 1;
        let reuses_generation = self.shape.fault == Fault::ReusedGeneration;
        let machine = &mut self.machines[index];
        machine.disk.state = Default::default();
        if !reuses_generation {
            machine.node.generation = Generation(generation);
        }
    }

    /// Removes a machine permanently and adds another one at a new address.
    pub(crate) fn replace(&mut self, index: usize, start_after: u64) -> usize {
        self.remove(index);
        let generation = self.random.u64(..) | 1;
        self.add_machine(generation, self.now + start_after)
    }

    /// Freezes a machine for a span; its clock keeps running.
    pub(crate) fn freeze(&mut self, index: usize, span: u64) {
        let until = self.now + span;
        let machine = &mut self.machines[index];
        if machine.process.is_some() && machine.frozen_until <= self.now {
            machine.frozen_until = until;
            self.schedule(until, Event::Thaw { machine: index });
        }
    }

    pub(super) fn thaw(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if machine.frozen_until > self.now {
            return;
        }
        let Some(process) = &mut machine.process else { return };
        let backlog = std::mem::take(&mut process.backlog);
        let delayed_events = std::mem::take(&mut process.delayed_events);
        for input in backlog {
            self.input(index, input);
        }
        for call in delayed_events {
            self.handle_operator_event(call);
        }
    }

    /// Ends all faults of the network and the disks and all freezes; stopped processes restart as scheduled.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        self.network = Network::default();
        for index in 0..self.machines.len() {
            let machine = &mut self.machines[index];
            machine.disk.heal(self.now);
            if machine.frozen_until > self.now {
                machine.frozen_until = self.now;
                self.schedule(self.now, Event::Thaw { machine: index });
            }
        }
    }
}
