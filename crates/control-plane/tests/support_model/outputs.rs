//! What the owner of a member does with its outputs, and with the operator's orders.

use std::rc::Rc;
use std::sync::Arc;

use tulipridge_control_plane::replication::{DurableRecord, Input, Output, ProposalTicket, Role};
use tulipridge_control_plane::state::State;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::SequenceNumber;
use tulipridge_protocol::replication::Envelope;

use super::disk::Batch;
use super::faults::Fault;
use super::invariants::Violation;
use super::member::{Slot, fingerprint};
use super::orders::{Answer, Order, answer, is_command_of, is_taken};
use super::world::{Message, World};

impl World {
    /// Carries out a member's outputs in their order.
    pub(super) fn carry_out(&mut self, member: usize, outputs: Vec<Output>) {
        let mut early = Vec::new();
        for output in outputs {
            match output {
                Output::Send(envelope) => self.send(envelope),
                Output::Persist { ticket, records } => {
                    if self.setup.fault.reports_early(&records) {
                        early.push(ticket);
                    }
                    self.persist(member, ticket.0, records);
                }
                Output::Apply { sequence, command, proposal } => {
                    self.apply(member, sequence, &command, proposal);
                }
                Output::Restore { sequence, snapshot } => self.restore(member, sequence.0, &snapshot),
                Output::RoleChanged(Role::Primary { epoch }) => self.became_primary(member, epoch.0),
                Output::ProposalFailed { .. } | Output::RoleChanged(_) => {}
            }
        }
        self.compact_if_due(member);
        for ticket in early {
            self.input(member, Input::Persisted { ticket });
        }
    }

    fn send(&mut self, mut envelope: Envelope) {
        self.setup.fault.change_message(&mut envelope);
        let fingerprint = fingerprint(&envelope);
        self.network.push(Message { fingerprint, envelope: Rc::new(envelope) });
    }

    fn persist(&mut self, member: usize, ticket: u64, records: Vec<DurableRecord>) {
        self.members[member].change().disk.pending.push_back(Batch { ticket, records });
    }

    /// An entry is applied. Its proposer is told that the order was taken if the state says so now: also when
    /// an earlier entry of the same order has taken effect before.
    fn apply(
        &mut self,
        member: usize,
        sequence: SequenceNumber,
        command: &Arc<[u8]>,
        proposal: Option<ProposalTicket>,
    ) {
        let machine = self.members[member].change();
        let Some(process) = &mut machine.process else { return };
        assert_eq!(process.sequence + 1, sequence.0, "entries are applied in order without gaps");
        let before = fingerprint(&process.state.snapshot());
        process.state.apply(command).expect("a command that was decided on");
        process.sequence = sequence.0;
        let state = fingerprint(&process.state.snapshot());
        let epoch = process.replication.epoch();
        let order = self.history.asked.iter().copied().find(|order| is_command_of(command, *order));
        let takes_effect = state != before || self.setup.fault == Fault::RepeatTakesEffect;
        let effect = order.filter(|_| takes_effect);
        let answered = order.filter(|order| proposal.is_some() && is_taken(&process.state, *order));
        self.history.applied(sequence.0, command, effect, state);
        if let Some(order) = answered {
            self.acknowledge(order, sequence.0, epoch.0, command);
        }
    }

    fn acknowledge(&mut self, order: Order, sequence: u64, epoch: u64, command: &[u8]) {
        self.history.acknowledge(order, sequence, epoch);
        let all: Vec<NodeId> = self.members.iter().map(|member| member.node).collect();
        self.check_replicas(&all, SequenceNumber(sequence), command);
    }

    /// A view has come into force: each of its data replicas has all that was acknowledged.
    fn became_primary(&mut self, member: usize, epoch: u64) {
        let machine = &self.members[member];
        let Some(process) = &machine.process else { return };
        self.history.became_primary(machine.node, epoch, &process.state);
        let data_replicas =
            process.replication.view().map_or(Vec::new(), |view| view.data_replicas.clone());
        for acknowledgement in self.history.acknowledged.clone().into_values() {
            if let Some(command) = self.history.committed.get(&acknowledgement.sequence).cloned() {
                self.check_replicas(&data_replicas, SequenceNumber(acknowledgement.sequence), &command);
            }
        }
    }

    fn check_replicas(&mut self, nodes: &[NodeId], sequence: SequenceNumber, command: &[u8]) {
        let stores =
            |member: &&Slot| nodes.contains(&member.node) && member.disk.stores(sequence.0, command);
        let replicas = self.members.iter().filter(stores).count();
        let wanted = (self.setup.losses + 1).saturating_sub(self.wipes) as usize;
        if self.setup.counts_replicas && replicas < wanted {
            self.history.report(Violation::TooFewReplicas);
        }
    }

    fn restore(&mut self, member: usize, sequence: u64, snapshot: &[u8]) {
        let forgets = self.setup.fault == Fault::ForgottenOrders;
        let Some(process) = &mut self.members[member].change().process else { return };
        process.state = if forgets {
            State::default()
        } else {
            State::restore(snapshot).expect("a snapshot that was taken")
        };
        process.sequence = sequence;
        let state = fingerprint(&process.state.snapshot());
        if !forgets && sequence > 0 {
            self.history.restored(sequence, state);
        }
    }

    fn compact_if_due(&mut self, member: usize) {
        let Some(every) = self.setup.compact_every else { return };
        let now = self.now;
        let machine = self.members[member].change();
        let Some(process) = &mut machine.process else { return };
        if process.sequence == 0 || process.sequence.checked_rem(every) != Some(0) {
            return;
        }
        let input = Input::Compact {
            sequence: SequenceNumber(process.sequence),
            snapshot: process.state.snapshot().into(),
        };
        let mut outputs = Vec::new();
        process.replication.handle(machine.clock.local(now), input, &mut outputs);
        if !outputs.is_empty() {
            self.carry_out(member, outputs);
        }
    }

    /// Gives a new order to a member.
    pub(super) fn propose(&mut self, member: usize) {
        let newest = self.history.asked.iter().max().copied().unwrap_or(0);
        self.order(member, newest + 1);
    }

    /// An operator gives an order: the primary answers it at once if it knows it, else it is agreed on.
    pub(super) fn order(&mut self, member: usize, order: Order) {
        let ticket = self.history.asked.len() as u64;
        self.history.asked.push(order);
        let Some(process) = &self.members[member].process else { return };
        match answer(&process.state, order) {
            Answer::Agree(command) => {
                self.input(member, Input::Propose { ticket: ProposalTicket(ticket), command });
            }
            Answer::Taken => {
                self.history.acknowledge(order, process.sequence, process.replication.epoch().0);
            }
            Answer::Refused => {}
        }
    }
}
