//! The disk of a member: opened before the member starts, then written to by a thread of its own.
//!
//! A write may hang for seconds, so the thread does nothing else and the loop that sends heartbeats never waits for
//! it.

mod error;
mod event;
mod writer;

use std::path::Path;
use std::sync::mpsc;
use std::thread;

use async_channel::Sender;
use snafu::ResultExt;
use tulipridge_protocol::node::Generation;
use tulipridge_protocol::replication::View;
use tulipridge_write_ahead_log::FileSystemDirectory;

use crate::replication::{DurableRecord, WriteTicket};
use crate::state_log::{DiskImage, OpenError, StateLog};

pub use error::DiskError;
pub(crate) use error::MissingFolderSnafu;
use error::{RandomNumberSnafu, SpawnThreadSnafu, WriteAheadLogSnafu};
pub use event::DiskEvent;
use writer::{Batch, Writer};

/// The generation of a disk that was formatted at the first start of the whole system.
const FIRST_GENERATION: Generation = Generation::FIRST;

/// Whether a disk that is found empty belongs to the first start of the whole system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Boot {
    /// It does.
    First {
        /// The view that the member starts with, if it is one of the seeds.
        view: Option<View>,
    },
    /// It doesn't: the member has yet to join a view.
    Later,
}

/// A disk that was opened, before its writer thread is started.
pub struct OpenedDisk {
    /// What is on it.
    pub image: DiskImage,
    /// Whether it was empty before.
    pub is_fresh: bool,
    log: StateLog,
}

/// A disk with its writer thread.
pub struct StartedDisk {
    /// Takes records.
    pub disk: Disk,
    /// What was on the disk before the first of them.
    pub image: DiskImage,
}

impl OpenedDisk {
    /// Recovers what is in the folder. An empty one gets its generation and its first view in one write, which is
    /// durable on return: a disk with the one and without the other would belong to no view ever after.
    ///
    /// # Errors
    ///
    /// If the folder can't be read or written, or holds what another program wrote.
    pub fn open(folder: &Path, boot: Boot) -> Result<OpenedDisk, DiskError> {
        let directory = FileSystemDirectory::create(folder).context(WriteAheadLogSnafu { folder })?;
        let mut log = StateLog::open_in(directory).map_err(|error| disk_error(error, folder))?;
        let is_fresh = log.is_fresh();
        if is_fresh {
            format(&mut log, folder, boot)?;
        }
        Ok(OpenedDisk { image: log.image().clone(), is_fresh, log })
    }

    /// Starts the writer thread, which reports to `events`. It ends when the [`Disk`] is dropped.
    ///
    /// # Errors
    ///
    /// If the system gives no thread.
    pub fn start(self, events: Sender<DiskEvent>) -> Result<StartedDisk, DiskError> {
        let (batches, queue) = mpsc::channel();
        let mut writer = Writer { log: self.log, events };
        let run = move || writer.run(&queue);
        thread::Builder::new().name("disk".to_owned()).spawn(run).context(SpawnThreadSnafu)?;
        Ok(StartedDisk { disk: Disk { batches }, image: self.image })
    }
}

fn format(log: &mut StateLog, folder: &Path, boot: Boot) -> Result<(), DiskError> {
    let (generation, first_view) = match boot {
        Boot::First { view } => (FIRST_GENERATION, view),
        Boot::Later => (new_generation()?, None),
    };
    let records: Vec<DurableRecord> = first_view.into_iter().map(DurableRecord::View).collect();
    log.format(generation, &records).context(WriteAheadLogSnafu { folder })
}

/// A random generation that is not the first one.
fn new_generation() -> Result<Generation, DiskError> {
    Ok(Generation(getrandom::u64().context(RandomNumberSnafu)?.max(FIRST_GENERATION.0 + 1)))
}

fn disk_error(error: OpenError, folder: &Path) -> DiskError {
    let folder = folder.to_owned();
    match error {
        OpenError::WriteAheadLog { source } => DiskError::WriteAheadLog { folder, source },
        OpenError::Undecodable { source } => DiskError::Undecodable { folder, source },
    }
}

/// Hands records to the writer thread.
pub struct Disk {
    batches: mpsc::Sender<Batch>,
}

impl Disk {
    /// Hands over records to be made durable, after all that were handed over before. [`DiskEvent::Persisted`] with
    /// this ticket or a later one follows.
    pub fn persist(&self, ticket: WriteTicket, records: Vec<DurableRecord>) {
        // The thread ends only with the process.
        let _ = self.batches.send(Batch { ticket, records });
    }
}
