//! The operators: what they asked and what they were told.

use std::collections::{BTreeMap, BTreeSet};

use super::call::{Answer, Call, WeightsOrder};
use super::event::OperatorEvent;
use super::linearizability::{KnownAnswer, Operation, is_linearizable};
use super::register::{ConfigurationCall, ConfigurationRegister, WeightsRegister};
use crate::support::random::chance;
use crate::support::simulation::{Event, SECOND, Simulation};

/// An operator waits so long for an answer.
const PATIENCE: u64 = 2 * SECOND;

/// Names a call of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallId(usize);

#[derive(Debug)]
enum CallState {
    Open,
    /// Its outcome is not known.
    Unknown,
    /// It surely had no effect.
    Ineffective,
    Answered(KnownAnswer),
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
    /// Starts and answers so far.
    moments: u64,
    /// Requests and answers lost, in a thousand.
    pub loss: u64,
    /// The newest revision that they were told.
    pub revision: u64,
}

/// An object whose answers can't be explained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnexplainedObject {
    /// The configuration.
    Configuration,
    /// The weights of a model.
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

    /// What was asked.
    pub(crate) fn call(&self, call: CallId) -> Call {
        self.records[call.0].call
    }

    /// An answer has come.
    pub(crate) fn answered(&mut self, call: CallId, answer: Answer) {
        if !matches!(self.records[call.0].state, CallState::Open) {
            return;
        }
        let at = self.next_moment();
        self.learn_revision(call, &answer);
        self.records[call.0].state = match answer {
            Answer::NotPrimary => CallState::Ineffective,
            Answer::Unknown => CallState::Unknown,
            answer => CallState::Answered(KnownAnswer { at, answer }),
        };
    }

    fn learn_revision(&mut self, call: CallId, answer: &Answer) {
        match (self.records[call.0].call, answer) {
            (Call::Configure(order), Answer::Taken) => self.revision = self.revision.max(order.revision),
            (_, Answer::Stale { current }) => self.revision = *current,
            (_, Answer::Configuration(Some(content))) => self.revision = content.revision,
            _ => {}
        }
    }

    /// No answer has come in time.
    pub(crate) fn give_up(&mut self, call: CallId) {
        let record = &mut self.records[call.0];
        if matches!(record.state, CallState::Open) {
            record.state = CallState::Unknown;
        }
    }

    /// How many calls wait for their answers.
    pub(crate) fn open_count(&self) -> usize {
        self.records.iter().filter(|record| matches!(record.state, CallState::Open)).count()
    }

    /// How many calls got an answer that says what became of them.
    pub(crate) fn answered_count(&self) -> usize {
        self.records.iter().filter(|record| matches!(record.state, CallState::Answered(_))).count()
    }

    /// The answer to a call.
    pub(crate) fn answer(&self, call: CallId) -> Option<&Answer> {
        match &self.records[call.0].state {
            CallState::Answered(end) => Some(&end.answer),
            _ => None,
        }
    }

    /// All changes that were asked for, the newest first.
    pub(crate) fn changes(&self) -> impl Iterator<Item = Call> {
        self.records.iter().rev().map(|record| record.call).filter(|call| *call != Call::Read)
    }

    /// The first object whose answers can't be explained by any order of the calls.
    pub(crate) fn unexplained(&self) -> Option<UnexplainedObject> {
        let configuration = self.operations(|call| match call {
            Call::Configure(order) => Some(ConfigurationCall::Change(order)),
            Call::Read => Some(ConfigurationCall::Read),
            Call::NameWeights(_) => None,
        });
        if !is_linearizable(&ConfigurationRegister::default(), &configuration) {
            return Some(UnexplainedObject::Configuration);
        }
        let weights = self.weights_operations().into_iter();
        let mut unexplained =
            weights.filter(|(_, operations)| !is_linearizable(&WeightsRegister::default(), operations));
        unexplained.next().map(|(model, _)| UnexplainedObject::Weights(model))
    }

    fn weights_operations(&self) -> BTreeMap<&'static str, Vec<Operation<WeightsOrder>>> {
        let order_of = |call| if let Call::NameWeights(order) = call { Some(order) } else { None };
        let models: BTreeSet<&'static str> = self
            .records
            .iter()
            .filter_map(|record| order_of(record.call))
            .map(|order| order.model)
            .collect();
        let operations = |model| {
            self.operations(|call| order_of(call).filter(|order: &WeightsOrder| order.model == model))
        };
        models.into_iter().map(|model| (model, operations(model))).collect()
    }

    /// The calls to one object that may have had an effect.
    fn operations<C>(&self, select: impl Fn(Call) -> Option<C>) -> Vec<Operation<C>> {
        let operation = |record: &CallRecord| {
            let call = select(record.call)?;
            let end = match &record.state {
                CallState::Open | CallState::Unknown => None,
                CallState::Ineffective => return None,
                CallState::Answered(end) => Some(end.clone()),
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
        self.schedule(self.now + PATIENCE, Event::Operator(OperatorEvent::GivenUp { call: id }));
        if !chance(&mut self.random, self.operators.loss) {
            let delay = self.operator_delay();
            let request = OperatorEvent::Request { machine: index, call: id };
            self.schedule(self.now + delay, Event::Operator(request));
        }
        id
    }

    /// Sends an answer to the operator.
    pub(super) fn answer(&mut self, call: CallId, answer: Answer) {
        if chance(&mut self.random, self.operators.loss) {
            return;
        }
        let delay = self.operator_delay();
        self.schedule(self.now + delay, Event::Operator(OperatorEvent::Answered { call, answer }));
    }

    fn operator_delay(&mut self) -> u64 {
        let longest = self.network.delay.max(300);
        self.random.u64(200..longest)
    }
}
