//! Events of operators' calls, in virtual time.

use tulipridge_control_plane::state::Decision;

use super::call::{Content, Response};
use super::client::CallId;
use crate::support::simulation::Simulation;

/// An event of a call.
#[derive(Debug)]
pub(crate) enum OperatorEvent {
    /// The request reaches a member.
    Request { machine: usize, call: CallId },
    /// A process runs the next step.
    Step { machine: usize, incarnation: u64, step: MemberStep },
    /// The response reaches the operator.
    Response { call: CallId, response: Response },
    /// The operator abandons the call.
    TimedOut { call: CallId },
}

/// A step in which a process handles calls.
#[derive(Debug)]
pub(crate) enum MemberStep {
    /// Validates the current change against the replicated state.
    Decide,
    /// The decision on the current change is available.
    Decided(Box<Decision>),
    /// A proposal was not committed before its timeout.
    CommitTimeout { ticket: u64 },
    /// Reads the configuration.
    Read { call: CallId },
    /// The configuration that was read is available.
    ReadDone { call: CallId, content: Option<Content> },
}

impl OperatorEvent {
    /// The machine that handles the event; `None` for events at the operator.
    fn machine(&self) -> Option<usize> {
        match self {
            OperatorEvent::Request { machine, .. } | OperatorEvent::Step { machine, .. } => Some(*machine),
            OperatorEvent::Response { .. } | OperatorEvent::TimedOut { .. } => None,
        }
    }
}

impl Simulation {
    /// Handles an event now, or once a frozen machine resumes.
    pub(crate) fn handle_operator_event(&mut self, event: OperatorEvent) {
        let now = self.now;
        let machine = event.machine().map(|index| &mut self.machines[index]);
        let frozen = machine.filter(|machine| machine.frozen_until > now);
        if let Some(process) = frozen.and_then(|machine| machine.process.as_mut()) {
            process.delayed_events.push(event);
            return;
        }
        match event {
            OperatorEvent::Request { machine, call } => self.handle_request(machine, call),
            OperatorEvent::Step { machine, incarnation, step } => {
                if self.is_incarnation(machine, incarnation) {
                    self.handle_step(machine, step);
                }
            }
            OperatorEvent::Response { call, response } => self.operators.record_response(call, response),
            OperatorEvent::TimedOut { call } => self.operators.abandon(call),
        }
    }
}
