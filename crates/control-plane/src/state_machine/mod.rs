//! The state machine of the replication, on a thread of its own: applies committed commands to the replicated state.
//!
//! Large configurations take long to read and check, so this is done beside the loop that sends heartbeats. Jobs are
//! worked through in their order: a decision sees all commands that were handed over before it.

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

/// The thread could not be started.
#[derive(Debug, Snafu)]
#[snafu(display("the thread of the agreed state can't be started: {source}"))]
pub struct StartError {
    source: std::io::Error,
}

/// Hands jobs to the thread.
pub struct StateMachine {
    jobs: mpsc::Sender<Job>,
}

impl StateMachine {
    /// Starts the thread with the empty state; it reports to `events`.
    ///
    /// # Errors
    ///
    /// If the system gives no thread.
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

    /// Replaces the state by that of a snapshot at an entry.
    pub fn restore(&self, sequence: SequenceNumber, snapshot: Arc<[u8]>) {
        self.submit(Job::Restore { sequence, snapshot });
    }

    /// Decides on a change; none if the thread has ended.
    pub async fn decide(&self, change: Arc<Change>) -> Option<Decision> {
        self.request(|response| Job::Decide { change, response }).await
    }

    /// The encoded state; none if the thread has ended.
    pub async fn snapshot(&self) -> Option<StateSnapshot> {
        self.request(|response| Job::Snapshot { response }).await
    }

    /// The newest document; none before the first one, or if the thread has ended.
    pub async fn document(&self) -> Option<Arc<[u8]>> {
        self.request(|response| Job::Document { response }).await.flatten()
    }

    /// Requests a [`StateMachineEvent::CaughtUp`] when all that was handed over before is applied, for a primary whose
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
        // The thread ends only after it has reported why; the process ends then too.
        let _ = self.jobs.send(job);
    }
}
