//! Trouble of machines: crashes, power cuts, lost disks, replacements, pauses.

use tower::replication::Input;

use super::{Event, Fault, Network, Simulation};

impl Simulation {
    /// Ends a process and lets it start again after a delay.
    pub fn kill(&mut self, index: usize, restart_after: u64) {
        let machine = &mut self.machines[index];
        machine.process = None;
        machine.frozen_until = 0;
        machine.disk.lose_pending(&mut self.random);
        self.schedule(self.now + restart_after, Event::Start { machine: index });
    }

    /// Asks a process to end, lets it end after a while, and starts it again.
    pub fn terminate(&mut self, index: usize, ends_after: u64, restart_after: u64) {
        self.input(index, Input::Terminate);
        self.run_for(ends_after);
        self.kill(index, restart_after);
    }

    /// Cuts the power; nothing that is not synced is found after.
    pub fn cut_power(&mut self, index: usize, restart_after: u64) {
        self.machines[index].disk.lose_all_pending();
        self.kill(index, restart_after);
    }

    /// Takes a machine's disk and lets it start again as a newcomer.
    pub fn wipe(&mut self, index: usize, restart_after: u64) {
        self.cut_power(index, restart_after);
        let generation = self.random.u64(..) | 1;
        let keeps_generation = self.shape.fault == Fault::KeptGeneration;
        let machine = &mut self.machines[index];
        machine.disk.state = Default::default();
        if !keeps_generation {
            machine.node.generation = generation;
        }
    }

    /// Takes a machine away for good and adds another at a new address.
    pub fn replace(&mut self, index: usize, start_after: u64) -> usize {
        let machine = &mut self.machines[index];
        machine.process = None;
        machine.removed = true;
        let generation = self.random.u64(..) | 1;
        self.add_machine(generation, self.now + start_after)
    }

    /// Stops a machine for a span; its clock goes on.
    pub fn freeze(&mut self, index: usize, span: u64) {
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
        for input in backlog {
            self.input(index, input);
        }
    }

    /// Ends all trouble of network, disks and freezes; processes that are down come back soon.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.network = Network::default();
        for index in 0..self.machines.len() {
            let machine = &mut self.machines[index];
            machine.disk.stalled_until = machine.disk.stalled_until.min(self.now);
            if machine.frozen_until > self.now {
                machine.frozen_until = self.now;
                self.schedule(self.now, Event::Thaw { machine: index });
            }
        }
    }
}
