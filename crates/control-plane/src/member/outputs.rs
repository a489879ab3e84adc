//! Execution of the outputs of the replication protocol.

use tulipridge_runtime::clock;

use super::Member;
use crate::replication::{DurableRecord, Input, Output, Role, WriteTicket};

impl Member {
    /// Passes an input to the replication protocol, executes the outputs and brings the timer forward if the next
    /// deadline is now earlier.
    pub(super) fn step(&self, input: Input) {
        let mut outputs = Vec::new();
        self.replication.borrow_mut().handle(clock::now(), input, &mut outputs);
        self.execute_all(outputs);
        self.timer.bring_forward(self.next_deadline());
    }

    /// Executes outputs in order, except that the last change of role comes after all others: the state machine must
    /// have received everything committed before it when a new primary catches up.
    fn execute_all(&self, outputs: Vec<Output>) {
        let mut new_role = None;
        for output in outputs {
            match output {
                Output::RoleChanged(role) => new_role = Some(role),
                other => self.execute(other),
            }
        }
        if let Some(role) = new_role {
            self.change_role(role);
        }
    }

    fn execute(&self, output: Output) {
        match output {
            Output::Send(envelope) => self.links.send(envelope),
            Output::Persist { ticket, records } => self.persist(ticket, records),
            Output::Apply { sequence, command, proposal } => {
                self.record_applied(command.len());
                self.proposals.borrow_mut().committed(sequence, proposal);
                self.state_machine.apply(sequence, command);
            }
            Output::Restore { sequence, snapshot } => {
                self.applied_since_snapshot.take();
                self.state_machine.restore(sequence, snapshot);
            }
            Output::ProposalFailed { proposal, reason } => {
                self.proposals.borrow_mut().failed(proposal, reason);
            }
            Output::RoleChanged(role) => self.change_role(role),
        }
    }

    fn persist(&self, ticket: WriteTicket, records: Vec<DurableRecord>) {
        let bytes = records.iter().map(DurableRecord::payload_bytes).sum();
        self.disk_health.borrow_mut().write_started(ticket, bytes, clock::now());
        self.disk.persist(ticket, records);
    }

    fn record_applied(&self, command_bytes: usize) {
        let mut applied = self.applied_since_snapshot.get();
        applied.record(command_bytes);
        self.applied_since_snapshot.set(applied);
    }

    fn change_role(&self, role: Role) {
        log::info!(role:? = role; "member role changed");
        self.update_leadership(|leadership| leadership.role_changed(role));
        if let Role::Primary { epoch } = role {
            self.state_machine.catch_up(epoch);
        }
    }
}
