//! Inputs of a process, and processing of its outputs.

use tulipridge_control_plane::change::ProposalOutcome;
use tulipridge_control_plane::replication::{FailureReason, Input, Output, ProposalTicket, Role};
use tulipridge_control_plane::state::Applied;
use tulipridge_protocol::number::SequenceNumber;

use super::{Event, Fault, MS, Simulation, UNHEALTHY_DISK_WAIT};
use crate::support::payload::{AppliedState, NumberedCommand};

impl Simulation {
    /// Passes an input to a process now, or once a frozen machine resumes.
    pub(crate) fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let is_frozen = machine.frozen_until > now;
        let Some(process) = &mut machine.process else { return };
        if is_frozen {
            process.backlog.push(input);
            return;
        }
        let local = machine.clock.local(now);
        let healthy =
            !machine.disk.waits_longer_than(now, UNHEALTHY_DISK_WAIT) && !machine.disk.is_retrying(now);
        let mut out = Vec::new();
        if healthy != process.reported_healthy {
            process.reported_healthy = healthy;
            process.replication.handle(local, Input::DiskHealthy(healthy), &mut out);
        }
        process.replication.handle(local, input, &mut out);
        self.process_outputs(index, out);
        self.schedule_wake(index);
    }

    fn schedule_wake(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let Some(process) = &mut machine.process else { return };
        let due = machine.clock.true_time_at(process.replication.next_deadline()).max(now + MS / 10);
        if process.wake_at <= now || due < process.wake_at {
            process.wake_at = due;
            let incarnation = process.incarnation;
            self.schedule(due, Event::Wake { machine: index, incarnation });
        }
    }

    fn process_outputs(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(envelope) => self.transmit(index, envelope),
                Output::Persist { ticket, records } => {
                    let delay = self.random.u64(100..4 * MS);
                    let reports_early = self.reports_syncs_early(index);
                    let machine = &mut self.machines[index];
                    machine.disk.reports_early = reports_early;
                    let due = machine.disk.write(self.now, delay, ticket.0, records);
                    let incarnation = machine.incarnations;
                    self.schedule(due, Event::Synced { machine: index, incarnation });
                    if reports_early {
                        self.schedule(self.now + delay, Event::Synced { machine: index, incarnation });
                    }
                }
                Output::Apply { sequence, command, proposal } => {
                    self.apply(index, sequence, &NumberedCommand::decode(&command), proposal);
                }
                Output::Restore { sequence, snapshot } => self.restore(index, sequence.0, &snapshot),
                Output::RoleChanged(Role::Primary { epoch }) => self.became_primary(index, epoch.0),
                Output::ProposalFailed { proposal, reason } => {
                    self.finish_proposal(index, proposal.0, failure_outcome(reason));
                }
                Output::RoleChanged(_) => {}
            }
        }
        self.compact_if_due(index);
    }

    fn reports_syncs_early(&self, index: usize) -> bool {
        let process = self.machines[index].process.as_ref();
        let is_backup = process.is_some_and(|process| process.replication.role() == Role::Backup);
        match self.shape.fault {
            Fault::EarlySync => true,
            Fault::EarlyBackupSync => is_backup,
            _ => false,
        }
    }

    fn apply(
        &mut self,
        index: usize,
        sequence: SequenceNumber,
        command: &NumberedCommand,
        proposal: Option<ProposalTicket>,
    ) {
        let Some(process) = &mut self.machines[index].process else { return };
        process.applied.numbers.push(command.number);
        assert_eq!(
            process.applied.numbers.len() as u64,
            sequence.0,
            "entries are applied in order without gaps"
        );
        self.checker.applied(sequence.0, command.number);
        let epoch = process.replication.epoch();
        let before = (self.shape.fault == Fault::SupersededRefused).then(|| process.applied.state.clone());
        let mut applied = process.applied.apply(&command.command);
        if applied.is_some() && before.is_some_and(|before| before == process.applied.state) {
            applied = Some(Applied::Superseded);
        }
        let Some(ticket) = proposal else { return };
        assert_eq!(ticket, ProposalTicket(command.number), "the proposal's own command is applied");
        self.acknowledged.insert(ticket.0);
        self.checker.acknowledge(sequence.0, command.number, epoch.0);
        if let Some(applied) = applied {
            self.finish_proposal(index, ticket.0, ProposalOutcome::Applied(applied));
        }
    }

    fn restore(&mut self, index: usize, sequence: u64, snapshot: &[u8]) {
        let Some(process) = &mut self.machines[index].process else { return };
        process.applied = AppliedState::decode(snapshot);
        assert_eq!(
            process.applied.numbers.len() as u64,
            sequence,
            "the snapshot holds all commands up to its sequence number"
        );
    }

    fn became_primary(&mut self, index: usize, epoch: u64) {
        let machine = &mut self.machines[index];
        let Some(process) = &mut machine.process else { return };
        process.was_primary = true;
        self.checker.became_primary(machine.node, epoch, &process.applied.numbers);
    }

    fn compact_if_due(&mut self, index: usize) {
        let local = self.machines[index].clock.local(self.now);
        let Some(process) = &mut self.machines[index].process else { return };
        let length = process.applied.numbers.len();
        if length > 0 && length.checked_rem(self.compaction_interval) == Some(0) {
            let snapshot = match self.shape.fault {
                Fault::EmptySnapshots => process.applied.without_replicated_state().encode(),
                _ => process.applied.encode(),
            };
            let input = Input::Compact { sequence: SequenceNumber(length as u64), snapshot };
            let mut out = Vec::new();
            process.replication.handle(local, input, &mut out);
            let writes: Vec<Output> = out;
            for output in writes {
                if let Output::Persist { ticket, records } = output {
                    let due = self.machines[index].disk.write(self.now, MS, ticket.0, records);
                    let incarnation = self.machines[index].incarnations;
                    self.schedule(due, Event::Synced { machine: index, incarnation });
                } else {
                    self.process_outputs(index, vec![output]);
                }
            }
        }
    }
}

fn failure_outcome(reason: FailureReason) -> ProposalOutcome {
    match reason {
        FailureReason::NotReplicated => ProposalOutcome::NotReplicated,
        FailureReason::OutcomeUnknown => ProposalOutcome::Unknown,
    }
}
