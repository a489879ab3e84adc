//! How members process calls of operators, step by step as the control plane does.

use std::collections::VecDeque;

use tulipridge_configuration::number::Revision;
use tulipridge_control_plane::api::ChangeOutcome;
use tulipridge_control_plane::change::COMMIT_TIMEOUT;
use tulipridge_control_plane::change::ChangeStep;
use tulipridge_control_plane::change::ProposalOutcome;
use tulipridge_control_plane::state::{Applied, Change, Decision};

use super::call::{Call, Content, Response};
use super::client::CallId;
use super::event::{MemberStep, OperatorEvent};
use crate::support::simulation::{Event, Fault, MS, Simulation};
use crate::support::state_calls;

/// Changes queued at a process, which processes one at a time.
#[derive(Debug, Default)]
pub(crate) struct ChangeQueue {
    queue: VecDeque<Request>,
    current: Option<CurrentChange>,
}

#[derive(Debug)]
struct Request {
    call: CallId,
    change: Change,
}

#[derive(Debug)]
struct CurrentChange {
    request: Request,
    /// The ticket of its latest proposal.
    ticket: Option<u64>,
}

impl Simulation {
    /// Handles a call that reaches a member.
    pub(super) fn handle_request(&mut self, index: usize, call: CallId) {
        if self.machines[index].process.is_none() {
            return;
        }
        if !self.accepts_calls(index) {
            self.send_response(call, Response::NotPrimary);
            return;
        }
        let change = match self.operators.call(call) {
            Call::Read => return self.schedule_step(index, MemberStep::Read { call }),
            Call::Configure(change) => change.to_state_change(),
            Call::SetTargetRevision(change) => change.to_state_change(),
        };
        let Some(process) = &mut self.machines[index].process else { return };
        process.changes.queue.push_back(Request { call, change });
        self.begin_next_change(index);
    }

    /// Whether a member considers itself primary; under `IgnoredLease` a former primary always does.
    fn accepts_calls(&self, index: usize) -> bool {
        let machine = &self.machines[index];
        let ignores_lease = self.shape.fault == Fault::IgnoredLease;
        let was_primary = machine.process.as_ref().is_some_and(|process| process.was_primary);
        machine.lease_valid(self.now) || (ignores_lease && was_primary)
    }

    fn begin_next_change(&mut self, index: usize) {
        let is_primary = self.accepts_calls(index);
        let Some(process) = &mut self.machines[index].process else { return };
        if process.changes.current.is_some() {
            return;
        }
        let Some(request) = process.changes.queue.pop_front() else { return };
        process.changes.current = Some(CurrentChange { request, ticket: None });
        let not_primary = ChangeStep::Respond(ChangeOutcome::NotPrimary);
        self.run_step(index, if is_primary { ChangeStep::Decide } else { not_primary });
    }

    fn run_step(&mut self, index: usize, step: ChangeStep) {
        match step {
            ChangeStep::Decide => self.schedule_step(index, MemberStep::Decide),
            ChangeStep::Propose(accepted) => {
                let Some(process) = &mut self.machines[index].process else { return };
                let Some(current) = &mut process.changes.current else { return };
                let ticket = self.next_command;
                current.ticket = Some(ticket);
                let timeout = MemberStep::CommitTimeout { ticket };
                self.schedule_step_after(index, COMMIT_TIMEOUT.as_micros() as u64, timeout);
                self.propose_command(index, accepted.command);
            }
            ChangeStep::Respond(outcome) => self.finish_change(index, outcome),
        }
    }

    fn finish_change(&mut self, index: usize, outcome: ChangeOutcome) {
        let Some(process) = &mut self.machines[index].process else { return };
        let Some(current) = process.changes.current.take() else { return };
        self.send_response(current.request.call, response_of(outcome));
        self.begin_next_change(index);
    }

    /// Handles the outcome of a proposal.
    pub(crate) fn finish_proposal(&mut self, index: usize, ticket: u64, end: ProposalOutcome) {
        let Some(process) = &self.machines[index].process else { return };
        let is_awaited =
            process.changes.current.as_ref().is_some_and(|change| change.ticket == Some(ticket));
        if !is_awaited {
            return;
        }
        let refuses = self.shape.fault == Fault::SupersededRefused;
        if refuses && end == ProposalOutcome::Applied(Applied::Superseded) {
            let current = state_calls::revision(&process.applied.state);
            return self.finish_change(index, ChangeOutcome::Stale { current: Revision(current) });
        }
        self.run_step(index, ChangeStep::after_proposal(end));
    }

    /// Runs a step of a live process.
    pub(super) fn handle_step(&mut self, index: usize, step: MemberStep) {
        match step {
            MemberStep::Decide => self.decide(index),
            MemberStep::Decided(decision) => {
                let is_primary = self.accepts_calls(index);
                self.run_step(index, ChangeStep::after_decision(Some(*decision), is_primary));
            }
            MemberStep::CommitTimeout { ticket } => {
                self.finish_proposal(index, ticket, ProposalOutcome::Unknown);
            }
            MemberStep::Read { call } => self.read(index, call),
            MemberStep::ReadDone { call, content } => {
                let is_primary = self.accepts_calls(index);
                let response =
                    if is_primary { Response::Configuration(content) } else { Response::NotPrimary };
                self.send_response(call, response);
            }
        }
    }

    fn decide(&mut self, index: usize) {
        let Some(process) = &self.machines[index].process else { return };
        let Some(current) = &process.changes.current else { return };
        let state = &process.applied.state;
        let mut decision = state.decide(&current.request.change);
        if self.shape.fault == Fault::RefusedRepeats && decision == Decision::AlreadyAccepted {
            let current = state_calls::revision(state);
            decision = Decision::Stale { current: Revision(current) };
        }
        self.schedule_step(index, MemberStep::Decided(Box::new(decision)));
    }

    fn read(&mut self, index: usize, call: CallId) {
        let Some(process) = &self.machines[index].process else { return };
        let content = process.applied.state.document().map(Content::of);
        self.schedule_step(index, MemberStep::ReadDone { call, content });
    }

    /// Schedules a step after the delay of the thread that owns the replicated state.
    fn schedule_step(&mut self, index: usize, step: MemberStep) {
        let delay = self.random.u64(50..2 * MS);
        self.schedule_step_after(index, delay, step);
    }

    fn schedule_step_after(&mut self, index: usize, delay: u64, step: MemberStep) {
        let Some(process) = &self.machines[index].process else { return };
        let incarnation = process.incarnation;
        let event = OperatorEvent::Step { machine: index, incarnation, step };
        self.schedule(self.now + delay, Event::Operator(event));
    }
}

fn response_of(outcome: ChangeOutcome) -> Response {
    match outcome {
        ChangeOutcome::Committed => Response::Accepted,
        ChangeOutcome::Stale { current } => Response::Stale { current: current.0 },
        ChangeOutcome::Invalid { .. } => Response::Invalid,
        ChangeOutcome::OldWeights { newest } => Response::OldWeights { newest: newest.0 },
        ChangeOutcome::NotPrimary => Response::NotPrimary,
        ChangeOutcome::Unknown => Response::Unknown,
    }
}
