//! Recovery of a member's disk after a restart.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use rstest::rstest;
use tulipridge_control_plane::disk::{Boot, DiskError, DiskEvent, OpenedDisk};
use tulipridge_control_plane::replication::{DurableRecord, WriteTicket};
use tulipridge_control_plane::state_log::DiskImage;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, View};

/// A folder that is removed when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        Folder(std::env::temp_dir().join(format!("member-disk-{}-{number}", std::process::id())))
    }

    fn open(&self, boot: Boot) -> OpenedDisk {
        OpenedDisk::open(&self.0, boot).expect("the folder is usable")
    }

    /// Writes batches of records in one process, and waits until all are durable.
    fn write(&self, batches: &[Vec<DurableRecord>]) {
        let (sender, events) = async_channel::unbounded();
        let opened = self.open(Boot::First { view: None });
        let disk = opened.start(sender).expect("the thread starts").disk;
        for (index, records) in batches.iter().enumerate() {
            disk.persist(WriteTicket(index as u64 + 1), records.clone());
        }
        let last = batches.len() as u64;
        while !matches!(events.recv_blocking(), Ok(DiskEvent::Persisted { ticket }) if ticket == WriteTicket(last))
        {
        }
        drop(disk);
        // The channel closes after the disk's thread has closed its files.
        while events.recv_blocking().is_ok() {}
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn view(epoch: u64) -> View {
    let node = NodeId { ip: 1, generation: Generation(0) };
    View { epoch: Epoch(epoch), voters: vec![node], previous_voters: Vec::new(), data_replicas: vec![node] }
}

fn entry(sequence: u64, bytes: usize) -> DurableRecord {
    DurableRecord::Entry(Entry { sequence: SequenceNumber(sequence), command: Arc::from(vec![7; bytes]) })
}

#[test]
fn the_disk_of_a_first_boot_has_generation_0() {
    let folder = Folder::new();
    let opened = folder.open(Boot::First { view: None });
    assert!(opened.is_fresh);
    assert_eq!(opened.image, DiskImage::default());
}

#[test]
fn the_first_view_is_durable_with_the_generation() {
    let folder = Folder::new();
    let opened = folder.open(Boot::First { view: Some(view(0)) });
    assert_eq!(opened.image.state.view, Some(view(0)));
    drop(opened);
    // The member is restarted before it has written anything else, with settings that no longer say it is the first
    // boot.
    let again = folder.open(Boot::Later);
    assert_eq!((again.image.generation, again.image.state.view.clone()), (Generation(0), Some(view(0))));
}

#[test]
fn the_disk_of_a_later_boot_keeps_a_generation_of_its_own() {
    let folder = Folder::new();
    let generation = folder.open(Boot::Later).image.generation;
    assert_ne!(generation, Generation(0));
    let again = folder.open(Boot::First { view: None });
    assert!(!again.is_fresh);
    assert_eq!(again.image.generation, generation);
}

#[rstest]
#[case::short(100)]
#[case::longer_than_the_log(3 << 20)]
fn persisted_records_are_recovered(#[case] bytes: usize) {
    let folder = Folder::new();
    let batches = vec![
        vec![
            DurableRecord::Promised(Epoch(9)),
            DurableRecord::View(view(9)),
            DurableRecord::DataEpoch(Epoch(9)),
        ],
        vec![entry(1, bytes)],
        vec![entry(2, bytes), entry(3, bytes)],
        vec![DurableRecord::Snapshot { sequence: SequenceNumber(2), snapshot: Arc::from(&b"state"[..]) }],
    ];
    folder.write(&batches);
    let mut expected = DiskImage::default();
    batches.iter().flatten().for_each(|record| expected.state.apply(record));
    assert_eq!(folder.open(Boot::First { view: None }).image, expected);
}

#[test]
fn an_unusable_folder_is_named_in_the_error() {
    let folder = Folder::new();
    std::fs::write(&folder.0, "a file").expect("the folder does not exist yet");
    let error =
        OpenedDisk::open(&folder.0, Boot::First { view: None }).err().expect("a file is not a folder");
    assert!(matches!(error, DiskError::WriteAheadLog { .. }));
    assert!(error.to_string().starts_with(&folder.0.display().to_string()), "{error}");
    std::fs::remove_file(&folder.0).expect("the file exists");
}
