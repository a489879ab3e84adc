//! Creation of machines and start of their processes.

use std::net::Ipv4Addr;

use tulipridge_control_plane::replication::{DurableState, Input, Replication, ReplicationSettings};
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::Epoch;

use super::{Event, Fault, SECOND, Simulation};
use crate::support::clock::Clock;
use crate::support::disk::Disk;
use crate::support::machine::{Machine, Process};
use crate::support::operator::member::ChangeQueue;
use crate::support::payload::AppliedState;
use crate::support::random::pick;

impl Simulation {
    /// Adds a machine that starts at a time; returns its index.
    pub(crate) fn add_machine(&mut self, generation: u64, at: u64) -> usize {
        let index = self.machines.len();
        let address = Ipv4Addr::new(10, 1 + (index % 3) as u8, 0, 10 + index as u8);
        let clock = self.new_clock();
        self.machines.push(Machine {
            node: NodeId::new(address, Generation(generation)),
            zone: format!("zone-{}", index % 3),
            disk: Disk::default(),
            clock,
            process: None,
            frozen_until: 0,
            removed: false,
            leaving: None,
            lost_until: 0,
            incarnations: 0,
        });
        self.schedule(at, Event::Start { machine: index });
        index
    }

    fn new_clock(&mut self) -> Clock {
        let rate = match self.shape.fault {
            Fault::ExcessiveDrift => self.random.u64(300_000..3_000_000),
            _ => self.random.u64(980_000..1_020_001),
        };
        Clock { offset: self.random.u64(0..1000 * SECOND), rate }
    }

    pub(super) fn start(&mut self, index: usize) {
        let seeds = self.seeds();
        let seed = self.random.u64(..);
        let machine = &mut self.machines[index];
        if machine.process.is_some() || machine.removed {
            return;
        }
        if self.shape.fault == Fault::LostPromises {
            machine.disk.state.promised = Epoch(0);
            machine.disk.state.view = None;
        }
        machine.incarnations += 1;
        let settings = ReplicationSettings {
            node: machine.node,
            zone: machine.zone.clone(),
            seeds,
            tolerated_failures: self.shape.tolerated_failures,
            first_boot: self.first_boot,
            seed,
        };
        if machine.incarnations == 1 && machine.disk.state == DurableState::default() {
            machine.disk.state.view = settings.first_view();
        }
        let local = machine.clock.local(self.now);
        let replication = Replication::new(settings, machine.disk.state.clone(), local);
        machine.process = Some(Process {
            incarnation: machine.incarnations,
            replication,
            applied: AppliedState::default(),
            was_primary: false,
            changes: ChangeQueue::default(),
            wake_at: 0,
            backlog: Vec::new(),
            delayed_events: Vec::new(),
            reported_healthy: true,
        });
        let known = self.others(index);
        self.input(index, Input::KnownNodes(known));
    }

    /// Random addresses of other machines, as the peer-sampling views of processes would supply them.
    fn others(&mut self, index: usize) -> Vec<NodeId> {
        let present: Vec<NodeId> = self
            .machines
            .iter()
            .enumerate()
            .filter(|(other, machine)| *other != index && !machine.removed)
            .map(|(_, machine)| machine.node)
            .collect();
        if present.is_empty() {
            return Vec::new();
        }
        (0..4).map(|_| pick(&mut self.random, &present)).collect()
    }

    /// The configured seeds: the first machines during the first boot, any present machines later.
    fn seeds(&mut self) -> Vec<NodeId> {
        let mut indices: Vec<usize> = (0..self.shape.seeds).collect();
        if !self.first_boot {
            let present: Vec<usize> =
                (0..self.machines.len()).filter(|index| !self.machines[*index].removed).collect();
            indices = indices.iter().map(|_| pick(&mut self.random, &present)).collect();
        }
        indices
            .into_iter()
            .map(|index| NodeId { ip: self.machines[index].node.ip, generation: Generation(0) })
            .collect()
    }

    /// Ends the first boot: disks formatted from now on get random generations.
    pub(crate) fn end_first_boot(&mut self) {
        self.first_boot = false;
    }
}
