//! The thread that owns the agreed state.
//!
//! Large configurations take long to read and check, so this is done beside the loop that keeps heartbeats going.
//! Jobs are worked through in their order: a decision sees all commands that were handed over before it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;

use async_channel::Sender;
use snafu::{ResultExt, Snafu};
use tulipridge_configuration::Configuration;

use crate::state::{Accepted, Applied, Change, Decision, State, StateError};

/// Something to be done with the state.
enum Job {
    Decide(Arc<Change>, Sender<Decision>),
    Apply { sequence: u64, command: Arc<[u8]> },
    Restore { sequence: u64, snapshot: Arc<[u8]> },
    Snapshot(Sender<Snapshot>),
    Document(Sender<Option<Arc<[u8]>>>),
    CatchUp { epoch: u64 },
}

/// The whole state at an entry.
#[derive(Debug)]
pub struct Snapshot {
    /// The newest entry that it contains.
    pub sequence: u64,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// What the thread tells of its work, in the order of the commands.
#[derive(Debug)]
pub enum Progress {
    /// A command was applied, or the state was restored.
    Applied {
        /// The command's entry.
        sequence: u64,
        /// What it has changed; a restored state may have changed everything.
        applied: Option<Applied>,
        /// What is delivered now.
        published: Published,
    },
    /// All that was handed over before the primary of this epoch began is done.
    CaughtUp {
        /// The epoch.
        epoch: u64,
    },
    /// The state can't be kept up: the member must not go on.
    Failed(StateError),
}

/// The parts of the state that are delivered.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// The newest configuration.
    pub configuration: Option<Arc<Configuration>>,
    /// The newest weights that were named, by model.
    pub weights: BTreeMap<String, u64>,
}

/// The thread could not be started.
#[derive(Debug, Snafu)]
#[snafu(display("the thread of the agreed state can't be started: {source}"))]
pub struct StartError {
    source: std::io::Error,
}

/// Hands jobs to the thread.
pub struct Machine {
    jobs: mpsc::Sender<Job>,
}

impl Machine {
    /// Starts the thread with the empty state; it tells its progress to `progress`.
    pub fn start(progress: Sender<Progress>) -> Result<Machine, StartError> {
        let (jobs, queue) = mpsc::channel();
        let worker = Worker { state: State::default(), sequence: 0, accepted: None, progress };
        thread::Builder::new()
            .name("state".to_owned())
            .spawn(move || worker.run(&queue))
            .context(StartSnafu)?;
        Ok(Machine { jobs })
    }

    /// Applies an agreed command.
    pub fn apply(&self, sequence: u64, command: Arc<[u8]>) {
        self.hand_over(Job::Apply { sequence, command });
    }

    /// Puts another state in the place of the present one.
    pub fn restore(&self, sequence: u64, snapshot: Arc<[u8]>) {
        self.hand_over(Job::Restore { sequence, snapshot });
    }

    /// Decides on a change.
    pub async fn decide(&self, change: Arc<Change>) -> Option<Decision> {
        self.ask(|reply| Job::Decide(change, reply)).await
    }

    /// The whole state as bytes.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        self.ask(Job::Snapshot).await
    }

    /// The newest document.
    pub async fn document(&self) -> Option<Arc<[u8]>> {
        self.ask(Job::Document).await.flatten()
    }

    /// Has it told when all that was handed over before is done, for a primary that begins in `epoch`.
    pub fn catch_up(&self, epoch: u64) {
        self.hand_over(Job::CatchUp { epoch });
    }

    async fn ask<T>(&self, job: impl FnOnce(Sender<T>) -> Job) -> Option<T> {
        let (sender, receiver) = async_channel::bounded(1);
        self.hand_over(job(sender));
        receiver.recv().await.ok()
    }

    fn hand_over(&self, job: Job) {
        // The thread ends only after it has told why; the process ends then too.
        let _ = self.jobs.send(job);
    }
}

struct Worker {
    state: State,
    sequence: u64,
    /// The change that was decided on last: it need not be read again when it is agreed.
    accepted: Option<Accepted>,
    progress: Sender<Progress>,
}

impl Worker {
    fn run(mut self, queue: &mpsc::Receiver<Job>) {
        while let Ok(job) = queue.recv() {
            if let Err(error) = self.work(job) {
                let _ = self.progress.try_send(Progress::Failed(error));
                return;
            }
        }
    }

    fn work(&mut self, job: Job) -> Result<(), StateError> {
        match job {
            Job::Decide(change, reply) => {
                let _ = reply.try_send(self.decide(&change));
            }
            Job::Apply { sequence, command } => {
                let applied = self.apply(&command)?;
                self.tell(sequence, Some(applied));
            }
            Job::Restore { sequence, snapshot } => {
                self.state = State::restore(&snapshot)?;
                self.tell(sequence, None);
            }
            Job::Snapshot(reply) => {
                let _ = reply.try_send(Snapshot { sequence: self.sequence, state: self.state.snapshot() });
            }
            Job::Document(reply) => {
                let _ =
                    reply.try_send(self.state.document().map(tulipridge_configuration::Document::to_bytes));
            }
            Job::CatchUp { epoch } => {
                let _ = self.progress.try_send(Progress::CaughtUp { epoch });
            }
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

    fn tell(&mut self, sequence: u64, applied: Option<Applied>) {
        self.sequence = sequence;
        let configuration = self.state.document().map(|document| document.configuration().clone());
        let published = Published { configuration, weights: self.state.weights().newest() };
        let _ = self.progress.try_send(Progress::Applied { sequence, applied, published });
    }
}
