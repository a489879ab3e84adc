//! Log messages about a disk that refuses writes. The logger is global to the process, so this test has its own test
//! program.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use async_channel::Receiver;
use log::{LevelFilter, Log, Metadata, Record};
use tulipridge_control_plane::disk::{Boot, Disk, DiskEvent, OpenedDisk};
use tulipridge_control_plane::replication::{DurableRecord, WriteTicket};
use tulipridge_protocol::number::SequenceNumber;
use tulipridge_protocol::replication::Entry;

/// Longer than a segment of the log, and than the records after which the log is compacted.
const LONG_ENTRY_BYTES: usize = 5 << 20;
/// Number of refused writes, which must be logged only once.
const REFUSED_WRITES: usize = 3;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Collects the messages of all log lines.
struct CollectingLogger;

impl Log for CollectingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.lock().expect("no holder has panicked").push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn persist(disk: &Disk, ticket: u64, bytes: usize) {
    let command = Arc::from(vec![7; bytes]);
    disk.persist(
        WriteTicket(ticket),
        vec![DurableRecord::Entry(Entry { sequence: SequenceNumber(ticket), command })],
    );
}

/// Waits until the write with this ticket is durable.
fn wait_for(events: &Receiver<DiskEvent>, ticket: u64) {
    while !matches!(events.recv_blocking(), Ok(DiskEvent::Persisted { ticket: done }) if done == WriteTicket(ticket))
    {
    }
}

#[test]
fn a_disk_that_refuses_writes_is_logged_once() {
    log::set_logger(&CollectingLogger).expect("there is no other logger");
    log::set_max_level(LevelFilter::Info);
    let folder: PathBuf = std::env::temp_dir().join(format!("member-disk-log-{}", std::process::id()));
    let opened = OpenedDisk::open(&folder, Boot::First { view: None }).expect("the folder is usable");
    let (sender, events) = async_channel::unbounded();
    let disk = opened.start(sender).expect("the thread starts").disk;

    // Without the folder, no new file can be created, and the open file is full after the first entry.
    std::fs::remove_dir_all(&folder).expect("the folder exists");
    persist(&disk, 1, LONG_ENTRY_BYTES);
    wait_for(&events, 1);
    persist(&disk, 2, 1);
    for _ in 0..REFUSED_WRITES {
        assert!(matches!(events.recv_blocking(), Ok(DiskEvent::WriteFailed { .. })));
    }
    std::fs::create_dir(&folder).expect("the folder does not exist");
    wait_for(&events, 2);
    persist(&disk, 3, 1);
    wait_for(&events, 3);
    drop(disk);
    while events.recv_blocking().is_ok() {}

    let lines = LINES.lock().expect("no holder has panicked").clone();
    assert_eq!(lines, ["log compaction failed", "a disk write failed", "disk writes succeed again"]);
    std::fs::remove_dir_all(&folder).expect("the folder exists");
}
