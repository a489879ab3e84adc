//! The network: loss, delay, duplication and cut links.

use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::replication::{Envelope, ReplicationMessage};

use super::{Event, Fault, MS, SECOND, Simulation};
use crate::support::random::chance;

/// The quality of the network.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Network {
    /// Messages lost, per thousand.
    pub loss: u64,
    /// Messages delivered twice, per thousand.
    pub duplication: u64,
    /// Messages delayed by up to three more seconds, per thousand.
    pub lateness: u64,
    /// Upper limit of the normal delay, in microseconds.
    pub delay: u64,
}

impl Default for Network {
    fn default() -> Self {
        Network { loss: 0, duplication: 0, lateness: 0, delay: 3 * MS }
    }
}

impl Simulation {
    pub(super) fn transmit(&mut self, from: usize, envelope: Envelope) {
        let found = self.machines.iter().position(|machine| machine.node.ip == envelope.to.ip);
        let Some(to) = found else { return };
        let envelope = self.forge_voter_ack(from, to, envelope);
        let network = self.network;
        if chance(&mut self.random, network.loss) {
            return;
        }
        let copies = if chance(&mut self.random, network.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = self.random.u64(200..network.delay.max(300));
            if chance(&mut self.random, network.lateness) {
                delay += self.random.u64(0..3 * SECOND);
            }
            if !self.cuts.contains(&(from, to)) {
                self.schedule(self.now + delay, Event::Arrival { machine: to, envelope: envelope.clone() });
            }
        }
    }

    /// Under `StandbyVotes`, a standby acknowledges heartbeats as a voter that is cut off.
    fn forge_voter_ack(&self, from: usize, to: usize, envelope: Envelope) -> Envelope {
        let is_heartbeat_ack = matches!(envelope.message, ReplicationMessage::HeartbeatAck { .. });
        if self.shape.fault != Fault::StandbyVotes || !is_heartbeat_ack {
            return envelope;
        }
        let Some(process) = &self.machines[from].process else { return envelope };
        let voters = process.replication.view().map_or(&[][..], |view| &view.voters);
        let is_cut_off = |voter: &&NodeId| {
            let position = self.machines.iter().position(|machine| machine.node == **voter);
            position.is_some_and(|voter| self.cuts.contains(&(voter, to)))
        };
        match voters.iter().find(is_cut_off).filter(|_| !voters.contains(&envelope.from)) {
            Some(voter) => Envelope { from: *voter, ..envelope },
            None => envelope,
        }
    }

    /// Cuts all links of a machine in the given directions.
    pub(crate) fn isolate(&mut self, index: usize, incoming: bool, outgoing: bool) {
        for other in 0..self.machines.len() {
            if other != index && incoming {
                self.cuts.insert((other, index));
            }
            if other != index && outgoing {
                self.cuts.insert((index, other));
            }
        }
    }

    /// Partitions the cluster in two.
    pub(crate) fn split(&mut self, side: &[usize]) {
        for left in 0..self.machines.len() {
            for right in 0..self.machines.len() {
                if side.contains(&left) != side.contains(&right) {
                    self.cuts.insert((left, right));
                }
            }
        }
    }
}
