//! The members' side of operators' calls, as the control plane carries them out.

use std::collections::VecDeque;

use tulipridge_configuration::number::Revision;
use tulipridge_control_plane::api::ChangeOutcome;
use tulipridge_control_plane::change::COMMIT_TIMEOUT;
use tulipridge_control_plane::change::ChangeStep;
use tulipridge_control_plane::change::ProposalOutcome;
use tulipridge_control_plane::state::{Applied, Change, Decision};

use super::call::{Answer, Call, Content};
use super::client::CallId;
use super::event::{DeskStep, OperatorEvent};
use crate::support::simulation::{Event, Fault, MS, Simulation};
use crate::support::state_calls;

/// Changes that wait at a process; they are carried out one at a time.
#[derive(Debug, Default)]
pub(crate) struct Desk {
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
    /// The ticket of its newest proposal.
    ticket: Option<u64>,
}

impl Simulation {
    /// A call has reached a member.
    pub(super) fn take_request(&mut self, index: usize, call: CallId) {
        if self.machines[index].process.is_none() {
            return;
        }
        if !self.answers_operators(index) {
            self.answer(call, Answer::NotPrimary);
            return;
        }
        let change = match self.operators.call(call) {
            Call::Read => return self.schedule_step(index, DeskStep::Read { call }),
            Call::Configure(order) => order.change(),
            Call::NameWeights(order) => order.change(),
        };
        let Some(process) = &mut self.machines[index].process else { return };
        process.desk.queue.push_back(Request { call, change });
        self.begin_next_change(index);
    }

    /// Whether a member takes itself for the primary; members that ignore their lease always do.
    fn answers_operators(&self, index: usize) -> bool {
        let machine = &self.machines[index];
        let ignores_lease = self.shape.fault == Fault::IgnoredLease;
        let was_primary = machine.process.as_ref().is_some_and(|process| process.was_primary);
        machine.lease_valid(self.now) || (ignores_lease && was_primary)
    }

    fn begin_next_change(&mut self, index: usize) {
        let is_primary = self.answers_operators(index);
        let Some(process) = &mut self.machines[index].process else { return };
        if process.desk.current.is_some() {
            return;
        }
        let Some(request) = process.desk.queue.pop_front() else { return };
        process.desk.current = Some(CurrentChange { request, ticket: None });
        let not_primary = ChangeStep::Respond(ChangeOutcome::NotPrimary);
        self.carry_on(index, if is_primary { ChangeStep::Decide } else { not_primary });
    }

    fn carry_on(&mut self, index: usize, step: ChangeStep) {
        match step {
            ChangeStep::Decide => self.schedule_step(index, DeskStep::Decide),
            ChangeStep::Propose(accepted) => {
                let Some(process) = &mut self.machines[index].process else { return };
                let Some(current) = &mut process.desk.current else { return };
                let ticket = self.next_command;
                current.ticket = Some(ticket);
                let timeout = DeskStep::AgreementTimeout { ticket };
                self.schedule_step_after(index, COMMIT_TIMEOUT.as_micros() as u64, timeout);
                self.propose_command(index, accepted.command);
            }
            ChangeStep::Respond(outcome) => self.end_change(index, outcome),
        }
    }

    fn end_change(&mut self, index: usize, outcome: ChangeOutcome) {
        let Some(process) = &mut self.machines[index].process else { return };
        let Some(current) = process.desk.current.take() else { return };
        self.answer(current.request.call, answer_of(outcome));
        self.begin_next_change(index);
    }

    /// A proposal has ended.
    pub(crate) fn end_proposal(&mut self, index: usize, ticket: u64, end: ProposalOutcome) {
        let Some(process) = &self.machines[index].process else { return };
        let is_awaited = process.desk.current.as_ref().is_some_and(|change| change.ticket == Some(ticket));
        if !is_awaited {
            return;
        }
        let refuses = self.shape.fault == Fault::SupersededRefused;
        if refuses && end == ProposalOutcome::Applied(Applied::Superseded) {
            let current = state_calls::revision(&process.applied.state);
            return self.end_change(index, ChangeOutcome::Stale { current: Revision(current) });
        }
        self.carry_on(index, ChangeStep::after_proposal(end));
    }

    /// A step of a process that runs.
    pub(super) fn take_step(&mut self, index: usize, step: DeskStep) {
        match step {
            DeskStep::Decide => self.decide(index),
            DeskStep::Decided(decision) => {
                let is_primary = self.answers_operators(index);
                self.carry_on(index, ChangeStep::after_decision(Some(*decision), is_primary));
            }
            DeskStep::AgreementTimeout { ticket } => {
                self.end_proposal(index, ticket, ProposalOutcome::Unknown);
            }
            DeskStep::Read { call } => self.read(index, call),
            DeskStep::ReadDone { call, content } => {
                let is_primary = self.answers_operators(index);
                let answer = if is_primary { Answer::Configuration(content) } else { Answer::NotPrimary };
                self.answer(call, answer);
            }
        }
    }

    fn decide(&mut self, index: usize) {
        let Some(process) = &self.machines[index].process else { return };
        let Some(current) = &process.desk.current else { return };
        let state = &process.applied.state;
        let mut decision = state.decide(&current.request.change);
        if self.shape.fault == Fault::ForgottenRepeats && decision == Decision::AlreadyAccepted {
            let current = state_calls::revision(state);
            decision = Decision::Stale { current: Revision(current) };
        }
        self.schedule_step(index, DeskStep::Decided(Box::new(decision)));
    }

    fn read(&mut self, index: usize, call: CallId) {
        let Some(process) = &self.machines[index].process else { return };
        let content = process.applied.state.document().map(Content::of);
        self.schedule_step(index, DeskStep::ReadDone { call, content });
    }

    /// The next step comes when the thread of the agreed state has done its part.
    fn schedule_step(&mut self, index: usize, step: DeskStep) {
        let delay = self.random.u64(50..2 * MS);
        self.schedule_step_after(index, delay, step);
    }

    fn schedule_step_after(&mut self, index: usize, delay: u64, step: DeskStep) {
        let Some(process) = &self.machines[index].process else { return };
        let incarnation = process.incarnation;
        let event = OperatorEvent::Step { machine: index, incarnation, step };
        self.schedule(self.now + delay, Event::Operator(event));
    }
}

fn answer_of(outcome: ChangeOutcome) -> Answer {
    match outcome {
        ChangeOutcome::Committed => Answer::Taken,
        ChangeOutcome::Stale { current } => Answer::Stale { current: current.0 },
        ChangeOutcome::Invalid { .. } => Answer::Invalid,
        ChangeOutcome::OldWeights { newest } => Answer::OldWeights { newest: newest.0 },
        ChangeOutcome::NotPrimary => Answer::NotPrimary,
        ChangeOutcome::Unknown => Answer::Unknown,
    }
}
