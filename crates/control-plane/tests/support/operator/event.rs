//! What happens to calls of operators, in virtual time.

use tulipridge_control_plane::state::Decision;

use super::call::{Answer, Content};
use super::client::CallId;
use crate::support::simulation::Simulation;

/// Something that happens to a call.
#[derive(Debug)]
pub(crate) enum OperatorEvent {
    /// It reaches a member.
    Request { machine: usize, call: CallId },
    /// A process goes on with its work.
    Step { machine: usize, incarnation: u64, step: DeskStep },
    /// The answer reaches the operator.
    Answered { call: CallId, answer: Answer },
    /// The operator waits no longer.
    GivenUp { call: CallId },
}

/// A step of a process's work on calls.
#[derive(Debug)]
pub(crate) enum DeskStep {
    /// The current change is decided on.
    Decide,
    /// It was decided on.
    Decided(Box<Decision>),
    /// The members did not agree on a proposal in time.
    AgreementTimeout { ticket: u64 },
    /// The configuration is read.
    Read { call: CallId },
    /// It was read.
    ReadDone { call: CallId, content: Option<Content> },
}

impl OperatorEvent {
    /// The machine that has to run for it; none at the operators' side.
    fn machine(&self) -> Option<usize> {
        match self {
            OperatorEvent::Request { machine, .. } | OperatorEvent::Step { machine, .. } => Some(*machine),
            OperatorEvent::Answered { .. } | OperatorEvent::GivenUp { .. } => None,
        }
    }
}

impl Simulation {
    /// Lets something happen to a call, now or when the machine is thawed.
    pub(crate) fn take_operator_event(&mut self, event: OperatorEvent) {
        let now = self.now;
        let machine = event.machine().map(|index| &mut self.machines[index]);
        let frozen = machine.filter(|machine| machine.frozen_until > now);
        if let Some(process) = frozen.and_then(|machine| machine.process.as_mut()) {
            process.delayed_calls.push(event);
            return;
        }
        match event {
            OperatorEvent::Request { machine, call } => self.take_request(machine, call),
            OperatorEvent::Step { machine, incarnation, step } => {
                if self.is_incarnation(machine, incarnation) {
                    self.take_step(machine, step);
                }
            }
            OperatorEvent::Answered { call, answer } => self.operators.answered(call, answer),
            OperatorEvent::GivenUp { call } => self.operators.give_up(call),
        }
    }
}
