//! Faults of machines: crashes, power cuts, lost disks, replacements, pauses.

use tulipridge_control_plane::replication::Input;
use tulipridge_protocol::node::Generation;

use crate::support::disk::PowerCut;

use super::{AfterEnd, Event, Fault, Network, Simulation};

impl Simulation {
    /// Ends a process and lets it start again after a delay.
    pub(crate) fn kill(&mut self, index: usize, restart_after: u64) {
        let machine = &mut self.machines[index];
        machine.process = None;
        machine.frozen_until = 0;
        machine.disk.lose_pending(&mut self.random);
        self.schedule(self.now + restart_after, Event::Start { machine: index });
    }

    /// Asks a process to end; it does after a while, and starts again later.
    pub(crate) fn terminate(&mut self, index: usize, ends_after: u64, restart_after: u64) {
        self.request_stop(index, ends_after, AfterEnd::Restart { after: restart_after });
    }

    /// Asks a process to end; it does after a while, needed or not, and its machine does not come back.
    pub(crate) fn terminate_for_good(&mut self, index: usize, ends_after: u64) {
        self.request_stop(index, ends_after, AfterEnd::Removal);
    }

    fn request_stop(&mut self, index: usize, ends_after: u64, then: AfterEnd) {
        self.input(index, Input::Terminate);
        match &self.machines[index].process {
            Some(process) => {
                let incarnation = process.incarnation;
                self.schedule(self.now + ends_after, Event::End { machine: index, incarnation, then });
            }
            None => self.end(index, then),
        }
    }

    pub(super) fn end(&mut self, index: usize, then: AfterEnd) {
        match then {
            AfterEnd::Restart { after } => self.kill(index, after),
            AfterEnd::Removal => self.remove(index),
        }
    }

    pub(super) fn remove(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.process = None;
        machine.removed = true;
    }

    /// The disk refuses all writes for a span; the process tries them again and again.
    pub(crate) fn fill_disk(&mut self, index: usize, span: u64) {
        let machine = &mut self.machines[index];
        machine.disk.full_until = self.now + span;
        let incarnation = machine.incarnations;
        self.schedule(self.now + span, Event::Synced { machine: index, incarnation });
    }

    /// Cuts the power right after some more writes, before the process hears of the last one.
    pub(crate) fn cut_power_after_writes(&mut self, index: usize, writes: u32, restart_after: u64) {
        self.machines[index].disk.power_cut = Some(PowerCut { writes, restart_after });
    }

    /// Cuts the power; nothing that is not synced is found after.
    pub(crate) fn cut_power(&mut self, index: usize, restart_after: u64) {
        self.machines[index].disk.lose_all_pending();
        self.kill(index, restart_after);
    }

    /// Takes a machine's disk and lets it start again as a newcomer.
    pub(crate) fn wipe(&mut self, index: usize, restart_after: u64) {
        self.cut_power(index, restart_after);
        let generation = self.random.u64(..) | 1;
        let keeps_generation = self.shape.fault == Fault::KeptGeneration;
        let machine = &mut self.machines[index];
        machine.disk.state = Default::default();
        if !keeps_generation {
            machine.node.generation = Generation(generation);
        }
    }

    /// Takes a machine away for good and adds another at a new address.
    pub(crate) fn replace(&mut self, index: usize, start_after: u64) -> usize {
        self.remove(index);
        let generation = self.random.u64(..) | 1;
        self.add_machine(generation, self.now + start_after)
    }

    /// Stops a machine for a span; its clock goes on.
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
        let delayed_calls = std::mem::take(&mut process.delayed_calls);
        for input in backlog {
            self.input(index, input);
        }
        for call in delayed_calls {
            self.take_operator_event(call);
        }
    }

    /// Ends all faults of network, disks and freezes; processes that are down come back soon.
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
