//! Simulated operators, and the history of their calls and responses.

use std::collections::{BTreeMap, BTreeSet};

use super::call::{Call, Response, WeightsChange};
use super::event::OperatorEvent;
use super::linearizability::{KnownResponse, Operation, is_linearizable};
use super::register::{ConfigurationCall, ConfigurationRegister, WeightsRegister};
use crate::support::random::chance;
use crate::support::simulation::{Event, SECOND, Simulation};

/// An operator abandons a call after this time, in microseconds.
const CALL_TIMEOUT: u64 = 2 * SECOND;

/// Identifies a call in a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId(usize);

#[derive(Debug)]
enum CallState {
    Open,
    /// The outcome is unknown.
    Unknown,
    /// The call had no effect.
    Ineffective,
    Completed(KnownResponse),
}

#[derive(Debug)]
struct CallRecord {
    call: Call,
    started_at: u64,
    state: CallState,
}

/// All calls of a history.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    records: Vec<CallRecord>,
    /// Number of starts and responses so far; positions in the history count from 1.
    moments: u64,
    /// Requests and responses lost, per thousand.
    pub loss: u64,
    /// The newest revision that responses have named.
    pub revision: u64,
}

/// An object whose history is not linearizable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NonLinearizableObject {
    /// The configuration.
    Configuration,
    /// The target revision of a model's weights.
    Weights(&'static str),
}

impl Operators {
    fn next_moment(&mut self) -> u64 {
        self.moments += 1;
        self.moments
    }

    fn begin(&mut self, call: Call) -> CallId {
        let started_at = self.next_moment();
        self.records.push(CallRecord { call, started_at, state: CallState::Open });
        CallId(self.records.len() - 1)
    }

    /// The call with this id.
    pub(crate) fn call(&self, call: CallId) -> Call {
        self.records[call.0].call
    }

    /// Records a response; one that comes after the call was abandoned is ignored.
    pub(crate) fn record_response(&mut self, call: CallId, response: Response) {
        if !matches!(self.records[call.0].state, CallState::Open) {
            return;
        }
        let at = self.next_moment();
        self.learn_revision(call, &response);
        self.records[call.0].state = match response {
            Response::NotPrimary => CallState::Ineffective,
            Response::Unknown => CallState::Unknown,
            response => CallState::Completed(KnownResponse { at, response }),
        };
    }

    fn learn_revision(&mut self, call: CallId, response: &Response) {
        match (self.records[call.0].call, response) {
            (Call::Configure(change), Response::Accepted) => {
                self.revision = self.revision.max(change.revision);
            }
            (_, Response::Stale { current }) => self.revision = *current,
            (_, Response::Configuration(Some(content))) => self.revision = content.revision,
            _ => {}
        }
    }

    /// Records that a call timed out: its outcome is unknown.
    pub(crate) fn abandon(&mut self, call: CallId) {
        let record = &mut self.records[call.0];
        if matches!(record.state, CallState::Open) {
            record.state = CallState::Unknown;
        }
    }

    /// The number of calls without a response.
    pub(crate) fn open_count(&self) -> usize {
        self.records.iter().filter(|record| matches!(record.state, CallState::Open)).count()
    }

    /// The number of calls whose response states the outcome.
    pub(crate) fn completed_count(&self) -> usize {
        self.records.iter().filter(|record| matches!(record.state, CallState::Completed(_))).count()
    }

    /// The response to a call, if it states the outcome.
    pub(crate) fn response(&self, call: CallId) -> Option<&Response> {
        match &self.records[call.0].state {
            CallState::Completed(end) => Some(&end.response),
            _ => None,
        }
    }

    /// All requested changes, the newest first.
    pub(crate) fn changes(&self) -> impl Iterator<Item = Call> {
        self.records.iter().rev().map(|record| record.call).filter(|call| *call != Call::Read)
    }

    /// The first object whose history is not linearizable.
    pub(crate) fn non_linearizable(&self) -> Option<NonLinearizableObject> {
        let configuration = self.operations(|call| match call {
            Call::Configure(change) => Some(ConfigurationCall::Change(change)),
            Call::Read => Some(ConfigurationCall::Read),
            Call::SetTargetRevision(_) => None,
        });
        if !is_linearizable(&ConfigurationRegister::default(), &configuration) {
            return Some(NonLinearizableObject::Configuration);
        }
        let weights = self.weights_operations().into_iter();
        let mut non_linearizable =
            weights.filter(|(_, operations)| !is_linearizable(&WeightsRegister::default(), operations));
        non_linearizable.next().map(|(model, _)| NonLinearizableObject::Weights(model))
    }

    fn weights_operations(&self) -> BTreeMap<&'static str, Vec<Operation<WeightsChange>>> {
        let change_of = |call| if let Call::SetTargetRevision(change) = call { Some(change) } else { None };
        let models: BTreeSet<&'static str> = self
            .records
            .iter()
            .filter_map(|record| change_of(record.call))
            .map(|change| change.model)
            .collect();
        let operations = |model| {
            self.operations(|call| change_of(call).filter(|change: &WeightsChange| change.model == model))
        };
        models.into_iter().map(|model| (model, operations(model))).collect()
    }

    /// The operations on one object, without those known to have had no effect.
    fn operations<C>(&self, select: impl Fn(Call) -> Option<C>) -> Vec<Operation<C>> {
        let operation = |record: &CallRecord| {
            let call = select(record.call)?;
            let end = match &record.state {
                CallState::Open | CallState::Unknown => None,
                CallState::Ineffective => return None,
                CallState::Completed(end) => Some(end.clone()),
            };
            Some(Operation { call, started_at: record.started_at, end })
        };
        self.records.iter().filter_map(operation).collect()
    }
}

impl Simulation {
    /// Sends a call to a member.
    pub(crate) fn submit(&mut self, index: usize, call: Call) -> CallId {
        let id = self.operators.begin(call);
        self.schedule(self.now + CALL_TIMEOUT, Event::Operator(OperatorEvent::TimedOut { call: id }));
        if !chance(&mut self.random, self.operators.loss) {
            let delay = self.operator_delay();
            let request = OperatorEvent::Request { machine: index, call: id };
            self.schedule(self.now + delay, Event::Operator(request));
        }
        id
    }

    /// Sends a response to the operator.
    pub(super) fn send_response(&mut self, call: CallId, response: Response) {
        if chance(&mut self.random, self.operators.loss) {
            return;
        }
        let delay = self.operator_delay();
        self.schedule(self.now + delay, Event::Operator(OperatorEvent::Response { call, response }));
    }

    fn operator_delay(&mut self) -> u64 {
        let longest = self.network.delay.max(300);
        self.random.u64(200..longest)
    }
}
