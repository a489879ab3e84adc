//! The replicated state machine: applies committed commands to the state on a thread of its own.
//!
//! Large configurations take long to decode and validate, which must not delay the loop that sends heartbeats. Jobs
//! run in order: a decision sees all commands that were submitted before it.

mod event;
mod worker;

use std::sync::Arc;
use std::sync::mpsc;
use std::thread;

use async_channel::Sender;
use snafu::{ResultExt, Snafu};

use crate::state::{Change, Decision};
pub use event::{Published, StateMachineEvent, StateSnapshot};
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use worker::{Job, Worker};

/// The state machine thread could not be started.
#[derive(Debug, Snafu)]
#[snafu(display("cannot start the state machine thread: {source}"))]
pub struct StartError {
    source: std::io::Error,
}

/// A handle that submits jobs to the state machine thread.
pub struct StateMachine {
    jobs: mpsc::Sender<Job>,
}

impl StateMachine {
    /// Starts the thread with the empty state. It sends its events to `events`.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the operating system cannot create a thread.
    pub fn start(events: Sender<StateMachineEvent>) -> Result<StateMachine, StartError> {
        let (jobs, queue) = mpsc::channel();
        let worker = Worker::new(events);
        thread::Builder::new()
            .name("state".to_owned())
            .spawn(move || worker.run(&queue))
            .context(StartSnafu)?;
        Ok(StateMachine { jobs })
    }

    /// Applies a committed command.
    pub fn apply(&self, sequence: SequenceNumber, command: Arc<[u8]>) {
        self.submit(Job::Apply { sequence, command });
    }

    /// Replaces the state by a snapshot of the state after the entry `sequence`.
    pub fn restore(&self, sequence: SequenceNumber, snapshot: Arc<[u8]>) {
        self.submit(Job::Restore { sequence, snapshot });
    }

    /// Decides on a change; `None` if the thread has ended.
    pub async fn decide(&self, change: Arc<Change>) -> Option<Decision> {
        self.request(|response| Job::Decide { change, response }).await
    }

    /// The encoded state; `None` if the thread has ended.
    pub async fn snapshot(&self) -> Option<StateSnapshot> {
        self.request(|response| Job::Snapshot { response }).await
    }

    /// The newest document; `None` before the first one or if the thread has ended.
    pub async fn document(&self) -> Option<Arc<[u8]>> {
        self.request(|response| Job::Document { response }).await.flatten()
    }

    /// Requests a [`StateMachineEvent::CaughtUp`] once all previously submitted jobs are done, for a primary whose
    /// `epoch` begins.
    pub fn catch_up(&self, epoch: Epoch) {
        self.submit(Job::CatchUp { epoch });
    }

    async fn request<T>(&self, job: impl FnOnce(Sender<T>) -> Job) -> Option<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.submit(job(sender));
        receiver.recv().await.ok()
    }

    fn submit(&self, job: Job) {
        // Sending fails only after the thread has reported a failure, which ends the process.
        let _ = self.jobs.send(job);
    }
}
