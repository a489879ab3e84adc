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
use intercom::control::View;
use intercom::frame::{self, FrameError};
use logbook::{Logbook, LogbookError, Recovered};
use musli::{Decode, Encode};
use snafu::{ResultExt, Snafu};

use crate::replication::{DurableRecord, DurableState};

/// Bytes of records after which the whole state takes their place.
const LOG_BYTES: usize = 4 << 20;
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
    Logbook {
        /// The folder.
        folder: PathBuf,
        /// What is wrong.
        source: LogbookError,
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

/// A line of the log.
#[derive(Debug, Encode, Decode)]
enum DiskRecord {
    /// The first line: which disk this is.
    Generation(u64),
    /// A change of the member's state.
    Change(DurableRecord),
}

/// All that is on the disk.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct DiskImage {
    /// Which disk this is; 0 if it was formatted at the first start of the whole system.
    pub generation: u64,
    /// The member's state.
    pub state: DurableState,
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
    logbook: Logbook,
    log_bytes: usize,
}

impl Opened {
    /// Reads what is in the folder. An empty one gets its generation and its first view in one write, which is on
    /// disk on return: a disk with the one and without the other would belong to no view ever after.
    pub fn open(folder: &Path, boot: Boot) -> Result<Opened, DiskError> {
        let (mut logbook, recovered) = Logbook::open(folder).context(LogbookSnafu { folder })?;
        let found = DiskImage::recover(&recovered).context(ForeignSnafu { folder })?;
        if let Some(image) = found {
            let log_bytes = recovered.records.iter().map(|record| record.len()).sum();
            return Ok(Opened { image, fresh: false, logbook, log_bytes });
        }
        let (generation, view) = match boot {
            Boot::First { view } => (0, view),
            Boot::Later => (new_generation()?, None),
        };
        let mut image = DiskImage { generation, state: DurableState::default() };
        let mut records =
            vec![frame::encode(&DiskRecord::Generation(generation)).context(ForeignSnafu { folder })?];
        if let Some(view) = view {
            let change = DurableRecord::View(view);
            image.state.apply(&change);
            records.push(encode_change(&change));
        }
        let records: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
        logbook.append(&records).context(LogbookSnafu { folder })?;
        Ok(Opened { image, fresh: true, logbook, log_bytes: 0 })
    }

    /// Starts the thread; it tells what happens to `events`.
    pub fn start(self, events: Sender<DiskEvent>) -> Result<(Disk, DiskImage), DiskError> {
        let (batches, queue) = mpsc::channel();
        let image = self.image.clone();
        let mut writer = Writer {
            logbook: self.logbook,
            image: self.image,
            log_bytes: self.log_bytes,
            refuses_compaction: false,
            events,
        };
        let run = move || writer.run(&queue);
        thread::Builder::new().name("disk".to_owned()).spawn(run).context(NoThreadSnafu)?;
        Ok((Disk { batches }, image))
    }
}

fn new_generation() -> Result<u64, DiskError> {
    Ok(getrandom::u64().context(NoRandomSnafu)?.max(1))
}

impl DiskImage {
    /// What was read back; none if nothing was.
    fn recover(recovered: &Recovered) -> Result<Option<DiskImage>, FrameError> {
        if recovered.snapshot.is_none() && recovered.records.is_empty() {
            return Ok(None);
        }
        let mut image = match &recovered.snapshot {
            Some(bytes) => frame::decode(bytes)?,
            None => DiskImage::default(),
        };
        for record in &recovered.records {
            match frame::decode(record)? {
                DiskRecord::Generation(generation) => image.generation = generation,
                DiskRecord::Change(change) => image.state.apply(&change),
            }
        }
        Ok(Some(image))
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
    logbook: Logbook,
    image: DiskImage,
    log_bytes: usize,
    /// The last try to make the log shorter has failed.
    refuses_compaction: bool,
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
            if self.log_bytes > LOG_BYTES {
                self.compact();
            }
        }
    }

    /// Writes batches with a single sync.
    fn write(&mut self, batches: &[Batch]) {
        let changes = || batches.iter().flat_map(|batch| &batch.records);
        let encoded: Vec<Vec<u8>> = changes().map(encode_change).collect();
        let records: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        self.append(&records);
        changes().for_each(|change| self.image.state.apply(change));
        self.log_bytes += records.iter().map(|record| record.len()).sum::<usize>();
    }

    /// Puts the whole state in the place of the log.
    fn compact(&mut self) {
        let bytes = frame::encode(&self.image).expect("a value of plain fields can be encoded");
        let outcome = self.logbook.snapshot(&bytes);
        let was_refused = std::mem::replace(&mut self.refuses_compaction, outcome.is_err());
        match outcome {
            Ok(()) => self.log_bytes = 0,
            // The log stays as it is, so nothing is lost; the next write tries again.
            Err(error) if !was_refused => {
                log::warn!(error:% = with_cause(&error); "the log can't be made shorter");
            }
            Err(_) => {}
        }
    }

    /// Appends records, however often the disk refuses them; the log is told when that begins and ends.
    fn append(&mut self, records: &[&[u8]]) {
        let mut is_refused = false;
        while let Err(error) = self.logbook.append(records) {
            let reason = with_cause(&error);
            if !is_refused {
                log::warn!(error:% = reason; "the disk refuses a write");
            }
            is_refused = true;
            let _ = self.events.try_send(DiskEvent::Refused { reason });
            thread::sleep(RETRY_PAUSE);
        }
        if is_refused {
            log::info!("the disk takes writes again");
        }
    }
}

/// An error's message with what the system says.
fn with_cause(error: &LogbookError) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

fn encode_change(change: &DurableRecord) -> Vec<u8> {
    frame::encode(&DiskRecord::Change(change.clone())).expect("a value of plain fields can be encoded")
}
