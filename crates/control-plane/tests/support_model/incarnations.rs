//! Starts and crashes of processes, and losses of disks.

use std::time::Duration;

use tulipridge_control_plane::replication::{DurableState, Input, Replication, ReplicationSettings};
use tulipridge_control_plane::state::State;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::Epoch;

use super::cluster::Cluster;
use super::faults::Fault;
use super::member::Process;

/// Base of the generations that replace those of lost disks.
const REPLACED_GENERATION_BASE: u64 = 1001;
/// Duration of a voter's lease grant, which a member waits out after a start.
const GRANT_DURATION: Duration = Duration::from_millis(600);

impl Cluster {
    /// A process crashes or loses power; the first `kept` unsynced records are on the disk.
    pub(super) fn crash(&mut self, member: usize, kept: usize, down_for: u64) {
        let now = self.now;
        let fault = self.setup.fault;
        let machine = self.members[member].make_mut();
        machine.process = None;
        machine.paused_until = None;
        machine.backlog.clear();
        machine.disk.lose_unsynced(kept);
        match fault {
            Fault::LostPromise => machine.disk.state.promised = Epoch(0),
            Fault::LostView => machine.disk.state.view = None,
            _ => {}
        }
        machine.restart_at = Some(now + down_for);
        if down_for == 0 {
            let last_actor = self.last_actor;
            self.start(member);
            self.last_actor = last_actor;
        }
    }

    /// A disk is lost; the member returns with an empty one, under a new generation.
    pub(super) fn wipe(&mut self, member: usize, down_for: u64) {
        self.wipes += 1;
        let generation = REPLACED_GENERATION_BASE + u64::from(self.wipes);
        let keeps_generation = self.setup.fault == Fault::ReusedGeneration;
        self.crash(member, 0, down_for.max(1));
        let machine = self.members[member].make_mut();
        machine.disk.state = DurableState::default();
        if !keeps_generation {
            machine.node.generation = Generation(generation);
        }
    }

    /// The settings of a member's process.
    pub(super) fn settings(&self, member: usize, first_boot: bool) -> ReplicationSettings {
        let machine = &self.members[member];
        let seeds = self.members[..self.setup.seeds].iter();
        ReplicationSettings {
            node: machine.node,
            zone: format!("zone-{member}"),
            seeds: seeds.map(|seed| NodeId { ip: seed.node.ip, generation: Generation(0) }).collect(),
            tolerated_failures: if self.setup.fault == Fault::SingleDataReplica {
                0
            } else {
                self.setup.tolerated_failures
            },
            first_boot,
            seed: self.setup.jitter_seed * 1000 + machine.incarnations * 10 + member as u64,
        }
    }

    /// Starts a member's process.
    pub(super) fn start(&mut self, member: usize) {
        let settings = self.settings(member, false);
        let fault = self.setup.fault;
        let now = self.now;
        let known: Vec<NodeId> = self.members.iter().map(|other| other.node).collect();
        let machine = self.members[member].make_mut();
        let local = machine.clock.local(now);
        let started =
            if fault == Fault::NoLeaseWaitAtStart { local.saturating_sub(GRANT_DURATION) } else { local };
        let replication = Replication::new(settings, machine.disk.state.clone(), started);
        machine.incarnations += 1;
        machine.restart_at = None;
        machine.process =
            Some(Process { replication, state: State::default(), sequence: 0, ticked_at: now });
        self.input(member, Input::KnownNodes(known));
    }
}
