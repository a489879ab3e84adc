//! The thread that owns the replicated state.

use std::sync::Arc;
use std::sync::mpsc;

use async_channel::Sender;
use tulipridge_configuration::Document;
use tulipridge_protocol::number::{Epoch, SequenceNumber};

use super::event::{Published, StateMachineEvent, StateSnapshot};
use crate::state::{Accepted, Applied, Change, Decision, State, StateError};

/// A job on the state.
pub(super) enum Job {
    Decide { change: Arc<Change>, response: Sender<Decision> },
    Apply { sequence: SequenceNumber, command: Arc<[u8]> },
    Restore { sequence: SequenceNumber, snapshot: Arc<[u8]> },
    Snapshot { response: Sender<StateSnapshot> },
    Document { response: Sender<Option<Arc<[u8]>>> },
    CatchUp { epoch: Epoch },
}

/// Runs jobs in order.
pub(super) struct Worker {
    state: State,
    /// The newest entry that the state contains.
    sequence: SequenceNumber,
    /// The last accepted change, which need not be decoded and validated again when it is committed.
    accepted: Option<Accepted>,
    events: Sender<StateMachineEvent>,
}

impl Worker {
    /// Creates a worker with the empty state.
    pub(super) fn new(events: Sender<StateMachineEvent>) -> Worker {
        Worker { state: State::default(), sequence: SequenceNumber(0), accepted: None, events }
    }

    /// Runs jobs until the queue is closed or a job fails.
    pub(super) fn run(mut self, queue: &mpsc::Receiver<Job>) {
        while let Ok(job) = queue.recv() {
            if let Err(error) = self.run_job(job) {
                self.report(StateMachineEvent::Failed(error));
                return;
            }
        }
    }

    // A response is dropped if its receiver no longer waits for it.
    fn run_job(&mut self, job: Job) -> Result<(), StateError> {
        match job {
            Job::Decide { change, response } => {
                let _ = response.try_send(self.decide(&change));
            }
            Job::Apply { sequence, command } => {
                let applied = self.apply(&command)?;
                if applied == Applied::Configuration {
                    self.log_violations();
                }
                self.report_applied(sequence, Some(applied));
            }
            Job::Restore { sequence, snapshot } => {
                self.state = State::restore(&snapshot)?;
                self.log_violations();
                self.report_applied(sequence, None);
            }
            Job::Snapshot { response } => {
                let _ = response.try_send(self.snapshot());
            }
            Job::Document { response } => {
                let _ = response.try_send(self.state.document().map(Document::to_bytes));
            }
            Job::CatchUp { epoch } => self.report(StateMachineEvent::CaughtUp { epoch }),
        }
        Ok(())
    }

    fn decide(&mut self, change: &Change) -> Decision {
        let decision = self.state.decide(change);
        if let Decision::Accept(accepted) = &decision {
            self.accepted = Some(Accepted::clone(accepted));
        }
        decision
    }

    fn apply(&mut self, command: &[u8]) -> Result<Applied, StateError> {
        match self.accepted.take_if(|accepted| *accepted.command == *command) {
            Some(accepted) => self.state.apply_accepted(accepted),
            None => self.state.apply(command),
        }
    }

    /// Logs what is invalid in the configuration, if an earlier version accepted it under fewer rules.
    fn log_violations(&self) {
        let Some(document) = self.state.document().filter(|document| !document.violations().is_empty())
        else {
            return;
        };
        let (revision, violations) = (document.revision(), document.violations());
        log::warn!(revision:% = revision, violations:% = violations; "the stored configuration is invalid");
    }

    fn snapshot(&self) -> StateSnapshot {
        StateSnapshot { sequence: self.sequence, state: self.state.snapshot() }
    }

    fn report_applied(&mut self, sequence: SequenceNumber, applied: Option<Applied>) {
        self.sequence = sequence;
        let configuration = self.state.document().map(|document| document.configuration().clone());
        let published = Published { configuration, weights: self.state.weights().newest() };
        self.report(StateMachineEvent::Applied { sequence, applied, published });
    }

    fn report(&self, event: StateMachineEvent) {
        // Sending cannot fail: the channel is unbounded and closed only when the process ends.
        let _ = self.events.try_send(event);
    }
}
