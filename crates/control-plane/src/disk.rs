//! The thread that writes to the member's disk.
//!
//! A write may hang for seconds, so the thread does nothing else and the loop that keeps heartbeats going never
//! waits for it.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use async_channel::Sender;
use snafu::{ResultExt, Snafu};
use tulipridge_protocol::frame::FrameError;
use tulipridge_protocol::replication::View;
use tulipridge_write_ahead_log::{FileSystemDirectory, WriteAheadLogError};

use crate::replication::DurableRecord;
use crate::state_log::{Compaction, DiskImage, OpenError, StateLog};

/// The pause after a write was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Why a disk can't be used at the start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DiskError {
    /// The settings name no folder.
    #[snafu(display(
        "the settings have no dataFolder: the control plane runs on machines with a disk only"
    ))]
    NoFolder,
    /// The folder can't be read or written.
    #[snafu(display(
        "{}: {}; make the folder readable and writable, with room left",
        folder.display(),
        with_cause(source)
    ))]
    WriteAheadLog {
        /// The folder.
        folder: PathBuf,
        /// What is wrong.
        source: WriteAheadLogError,
    },
    /// What is in the folder was not written by this program.
    #[snafu(display("{}: {source}; start with another folder, or remove what is in this one", folder.display()))]
    Foreign {
        /// The folder.
        folder: PathBuf,
        /// What is wrong.
        source: FrameError,
    },
    /// No random number is to be had.
    #[snafu(display("the system gives no random number for a new disk: {source}"))]
    NoRandom {
        /// What the system says.
        source: getrandom::Error,
    },
    /// The thread could not be started.
    #[snafu(display("the thread of the disk can't be started: {source}"))]
    NoThread {
        /// What the system says.
        source: std::io::Error,
    },
}

/// What the thread tells.
#[derive(Debug)]
pub enum DiskEvent {
    /// All records up to a ticket are on disk.
    Persisted {
        /// The ticket.
        ticket: u64,
    },
    /// The disk refuses writes; they are tried again.
    Refused {
        /// Why.
        reason: String,
    },
}

/// Whether a disk that is found empty belongs to the first start of the whole system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Boot {
    /// It does.
    First {
        /// The view that the member starts with, if it is one of the seeds.
        view: Option<View>,
    },
    /// It doesn't: the member is a newcomer.
    Later,
}

struct Batch {
    ticket: u64,
    records: Vec<DurableRecord>,
}

/// Hands records to the thread.
pub struct Disk {
    batches: mpsc::Sender<Batch>,
}

/// A disk that was opened.
pub struct Opened {
    /// What is on it.
    pub image: DiskImage,
    /// It was empty before.
    pub fresh: bool,
    log: StateLog,
}

impl Opened {
    /// Reads what is in the folder. An empty one gets its generation and its first view in one write, which is on
    /// disk on return: a disk with the one and without the other would belong to no view ever after.
    pub fn open(folder: &Path, boot: Boot) -> Result<Opened, DiskError> {
        let directory = FileSystemDirectory::create(folder).context(WriteAheadLogSnafu { folder })?;
        let mut log = StateLog::open_in(directory).map_err(|error| in_folder(error, folder))?;
        let fresh = log.is_fresh();
        if fresh {
            let (generation, view) = match boot {
                Boot::First { view } => (0, view),
                Boot::Later => (new_generation()?, None),
            };
            let changes: Vec<DurableRecord> = view.into_iter().map(DurableRecord::View).collect();
            log.format(generation, &changes).context(WriteAheadLogSnafu { folder })?;
        }
        Ok(Opened { image: log.image().clone(), fresh, log })
    }

    /// Starts the thread; it tells what happens to `events`.
    pub fn start(self, events: Sender<DiskEvent>) -> Result<(Disk, DiskImage), DiskError> {
        let (batches, queue) = mpsc::channel();
        let image = self.image;
        let mut writer = Writer { log: self.log, events };
        let run = move || writer.run(&queue);
        thread::Builder::new().name("disk".to_owned()).spawn(run).context(NoThreadSnafu)?;
        Ok((Disk { batches }, image))
    }
}

fn new_generation() -> Result<u64, DiskError> {
    Ok(getrandom::u64().context(NoRandomSnafu)?.max(1))
}

fn in_folder(error: OpenError, folder: &Path) -> DiskError {
    let folder = folder.to_owned();
    match error {
        OpenError::Unusable { source } => DiskError::WriteAheadLog { folder, source },
        OpenError::Foreign { source } => DiskError::Foreign { folder, source },
    }
}

impl Disk {
    /// Hands over records to be written and synced, after all that were handed over before.
    pub fn persist(&self, ticket: u64, records: Vec<DurableRecord>) {
        // The thread ends only with the process.
        let _ = self.batches.send(Batch { ticket, records });
    }
}

struct Writer {
    log: StateLog,
    events: Sender<DiskEvent>,
}

impl Writer {
    fn run(&mut self, queue: &mpsc::Receiver<Batch>) {
        while let Ok(first) = queue.recv() {
            let mut batches = vec![first];
            batches.extend(queue.try_iter());
            self.write(&batches);
            if let Some(last) = batches.last() {
                let _ = self.events.try_send(DiskEvent::Persisted { ticket: last.ticket });
            }
            self.compact();
        }
    }

    /// Writes batches with a single sync, however often the disk refuses them; the log is told when that begins and
    /// ends.
    fn write(&mut self, batches: &[Batch]) {
        let changes: Vec<&DurableRecord> = batches.iter().flat_map(|batch| &batch.records).collect();
        let mut is_refused = false;
        while let Err(error) = self.log.append(&changes) {
            let reason = with_cause(&error);
            if !is_refused {
                log::warn!(error:% = reason; "the disk refuses a write");
            }
            is_refused = true;
            let _ = self.events.try_send(DiskEvent::Refused { reason });
            if !matches!(self.log.compact_for_room(), Compaction::Done) {
                thread::sleep(RETRY_PAUSE);
            }
        }
        if is_refused {
            log::info!("the disk takes writes again");
        }
    }

    fn compact(&mut self) {
        if let Compaction::Refused { error, again: false } = self.log.compact_if_due() {
            log::warn!(error:% = with_cause(&error); "the log can't be made shorter");
        }
    }
}

/// An error's message with what the system says.
fn with_cause(error: &WriteAheadLogError) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}
