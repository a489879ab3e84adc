//! A member's disk, which is opened before the member starts and then written to by a dedicated thread.
//!
//! A write may block for seconds, so the thread does nothing else, and the loop that sends heartbeats never waits for
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

/// The generation of a disk that was formatted when the cluster was bootstrapped.
const FIRST_GENERATION: Generation = Generation::FIRST;

/// Whether an empty disk is formatted as part of the cluster's bootstrap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Boot {
    /// The cluster is being bootstrapped.
    First {
        /// The initial view, if the member is one of the seeds.
        view: Option<View>,
    },
    /// The cluster already exists: the member has yet to join a view.
    Later,
}

/// An opened disk whose writer thread has not been started yet.
pub struct OpenedDisk {
    /// The content of the disk.
    pub image: DiskImage,
    /// Whether the disk was empty before it was opened.
    pub is_fresh: bool,
    log: StateLog,
}

/// A disk whose writer thread is running.
pub struct StartedDisk {
    /// Passes records to the writer thread.
    pub disk: Disk,
    /// The content of the disk before the first of these records.
    pub image: DiskImage,
}

impl OpenedDisk {
    /// Recovers the content of the folder. An empty folder is formatted with its generation and first view in one
    /// write, which is durable on return: a disk with only one of them could never belong to a view.
    ///
    /// # Errors
    ///
    /// If the folder can't be read or written, or contains files of another program.
    pub fn open(folder: &Path, boot: Boot) -> Result<OpenedDisk, DiskError> {
        let directory = FileSystemDirectory::create(folder).context(WriteAheadLogSnafu { folder })?;
        let mut log = StateLog::open_in(directory).map_err(|error| disk_error(error, folder))?;
        let is_fresh = log.is_fresh();
        if is_fresh {
            format(&mut log, folder, boot)?;
        }
        Ok(OpenedDisk { image: log.image().clone(), is_fresh, log })
    }

    /// Starts the writer thread, which reports to `events` and exits when the [`Disk`] is dropped.
    ///
    /// # Errors
    ///
    /// If the thread can't be started.
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

/// Returns a random generation other than [`FIRST_GENERATION`].
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

/// Passes records to the writer thread.
pub struct Disk {
    batches: mpsc::Sender<Batch>,
}

impl Disk {
    /// Queues records to be made durable after all records queued before. Reported by [`DiskEvent::Persisted`] with
    /// this ticket or a later one.
    pub fn persist(&self, ticket: WriteTicket, records: Vec<DurableRecord>) {
        // Fails only if the writer thread has ended, which stops the member because the event channel closes.
        let _ = self.batches.send(Batch { ticket, records });
    }
}
