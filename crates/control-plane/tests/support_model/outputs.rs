//! Execution of a member's outputs, and submission of the operator's requests.

use std::rc::Rc;
use std::sync::Arc;

use tulipridge_control_plane::replication::{DurableRecord, Input, Output, ProposalTicket, Role};
use tulipridge_control_plane::state::State;
use tulipridge_protocol::node::NodeId;
use tulipridge_protocol::number::SequenceNumber;
use tulipridge_protocol::replication::Envelope;

use super::cluster::{Cluster, Message};
use super::disk::Batch;
use super::faults::Fault;
use super::invariants::Violation;
use super::member::{CachedMember, fingerprint};
use super::requests::{RequestId, Response, is_applied, is_command_of, respond};

impl Cluster {
    /// Executes the outputs of a member in order.
    pub(super) fn execute_outputs(&mut self, member: usize, outputs: Vec<Output>) {
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
        self.members[member].make_mut().disk.pending.push_back(Batch { ticket, records });
    }

    /// Applies an entry. Its proposer is told that the request was applied if the state says so afterwards, even when
    /// an earlier entry of the same request took effect.
    fn apply(
        &mut self,
        member: usize,
        sequence: SequenceNumber,
        command: &Arc<[u8]>,
        proposal: Option<ProposalTicket>,
    ) {
        let machine = self.members[member].make_mut();
        let Some(process) = &mut machine.process else { return };
        assert_eq!(process.sequence + 1, sequence.0, "entries are applied in order without gaps");
        let before = fingerprint(&process.state.snapshot());
        process.state.apply(command).expect("the state accepted the command");
        process.sequence = sequence.0;
        let state = fingerprint(&process.state.snapshot());
        let epoch = process.replication.epoch();
        let request =
            self.history.requested.iter().copied().find(|request| is_command_of(command, *request));
        let takes_effect = state != before || self.setup.fault == Fault::RepeatedRequestApplied;
        let effect = request.filter(|_| takes_effect);
        let acknowledged =
            request.filter(|request| proposal.is_some() && is_applied(&process.state, *request));
        self.history.applied(sequence.0, command, effect, state);
        if let Some(request) = acknowledged {
            self.acknowledge(request, sequence.0, epoch.0, command);
        }
    }

    fn acknowledge(&mut self, request: RequestId, sequence: u64, epoch: u64, command: &[u8]) {
        self.history.acknowledge(request, sequence, epoch);
        let all: Vec<NodeId> = self.members.iter().map(|member| member.node).collect();
        self.check_replicas(&all, SequenceNumber(sequence), command);
    }

    /// A view has taken effect: each of its data replicas must store all acknowledged requests.
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
        let stores = |member: &&CachedMember| {
            nodes.contains(&member.node) && member.disk.stores(sequence.0, command)
        };
        let replicas = self.members.iter().filter(stores).count();
        let required = (self.setup.tolerated_failures + 1).saturating_sub(self.wipes) as usize;
        if self.setup.checks_replica_count && replicas < required {
            self.history.report(Violation::TooFewReplicas);
        }
    }

    fn restore(&mut self, member: usize, sequence: u64, snapshot: &[u8]) {
        let forgets = self.setup.fault == Fault::SnapshotIgnored;
        let Some(process) = &mut self.members[member].make_mut().process else { return };
        process.state = if forgets {
            State::default()
        } else {
            State::restore(snapshot).expect("the snapshot is valid")
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
        let machine = self.members[member].make_mut();
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
            self.execute_outputs(member, outputs);
        }
    }

    /// Submits a new request to a member.
    pub(super) fn propose(&mut self, member: usize) {
        let newest = self.history.requested.iter().max().copied().unwrap_or(0);
        self.submit(member, newest + 1);
    }

    /// Submits a request: the primary responds at once if it has applied it, and otherwise proposes it.
    pub(super) fn submit(&mut self, member: usize, request: RequestId) {
        let ticket = self.history.requested.len() as u64;
        self.history.requested.push(request);
        let Some(process) = &self.members[member].process else { return };
        match respond(&process.state, request) {
            Response::Propose(command) => {
                self.input(member, Input::Propose { ticket: ProposalTicket(ticket), command });
            }
            Response::AlreadyApplied => {
                self.history.acknowledge(request, process.sequence, process.replication.epoch().0);
            }
            Response::Refused => {}
        }
    }
}
