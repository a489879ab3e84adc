//! What the log is told of a disk that refuses writes. The log is one for the whole process, so this test has a
//! program of its own.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use async_channel::Receiver;
use log::{LevelFilter, Log, Metadata, Record};
use tulipridge_control_plane::disk::{Boot, Disk, DiskEvent, Opened};
use tulipridge_control_plane::replication::DurableRecord;
use tulipridge_protocol::replication::Entry;

/// More than the log holds before the whole state takes its place, and more than a file of it.
const LONG_ENTRY: usize = 5 << 20;
/// Refused writes of which the log is to be told once.
const REFUSALS: usize = 3;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Keeps the messages of all lines.
struct Keep;

impl Log for Keep {
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
    disk.persist(ticket, vec![DurableRecord::Entry(Entry { sequence: ticket, command })]);
}

/// Waits until a ticket is on disk.
fn wait_for(events: &Receiver<DiskEvent>, ticket: u64) {
    while !matches!(events.recv_blocking(), Ok(DiskEvent::Persisted { ticket: done }) if done == ticket) {}
}

#[test]
fn a_refusing_disk_is_told_of_once() {
    log::set_logger(&Keep).expect("there is no other logger");
    log::set_max_level(LevelFilter::Info);
    let folder: PathBuf = std::env::temp_dir().join(format!("member-disk-log-{}", std::process::id()));
    let opened = Opened::open(&folder, Boot::First { view: None }).expect("the folder can be used");
    let (sender, events) = async_channel::unbounded();
    let (disk, _) = opened.start(sender).expect("the thread starts");

    // Without the folder no new file can be made, and the one that is open is full after the first entry.
    std::fs::remove_dir_all(&folder).expect("the folder is there");
    persist(&disk, 1, LONG_ENTRY);
    wait_for(&events, 1);
    persist(&disk, 2, 1);
    for _ in 0..REFUSALS {
        assert!(matches!(events.recv_blocking(), Ok(DiskEvent::Refused { .. })));
    }
    std::fs::create_dir(&folder).expect("the folder's place is free");
    wait_for(&events, 2);
    persist(&disk, 3, 1);
    wait_for(&events, 3);
    drop(disk);
    while events.recv_blocking().is_ok() {}

    let lines = LINES.lock().expect("no holder has panicked").clone();
    assert_eq!(
        lines,
        ["the log can't be made shorter", "the disk refuses a write", "the disk takes writes again"]
    );
    std::fs::remove_dir_all(&folder).expect("the folder is there");
}
