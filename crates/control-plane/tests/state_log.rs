//! Compaction of a member's log: it stays short after hundreds of long changes, even if the disk is full for a while.

#[path = "../../write-ahead-log/tests/support/mod.rs"]
mod memory_directory;

use std::sync::Arc;

use memory_directory::MemoryDirectory;
use rstest::rstest;
use tulipridge_control_plane::replication::DurableRecord;
use tulipridge_control_plane::state_log::{COMPACT_AFTER_RECORD_BYTES, Compaction, StateLog};
use tulipridge_protocol::node::Generation;
use tulipridge_protocol::number::SequenceNumber;
use tulipridge_protocol::replication::Entry;
use tulipridge_write_ahead_log::WriteAheadLogError;

/// Length of an operator's configuration.
const CHANGE_BYTES: usize = 1_300_000;
/// Bytes that a member's log may take on disk: 4 MiB of records, the last change with its snapshot, and twice the
/// state, which is a snapshot and an entry.
const LOG_BOUND: u64 = (COMPACT_AFTER_RECORD_BYTES + 6 * CHANGE_BYTES) as u64 + MARGIN;
/// Bytes in addition to the changes and the state.
const MARGIN: u64 = 10_000;

/// A member that receives consecutive long changes.
struct Member {
    directory: MemoryDirectory,
    log: StateLog<MemoryDirectory>,
    sequence: u64,
    /// The number of entries by which the snapshot lags behind.
    lag: u64,
}

impl Member {
    fn new() -> Member {
        Member::behind(0)
    }

    /// A member that learns late which entries are committed, as a backup does with the next heartbeat.
    fn behind(lag: u64) -> Member {
        let directory = MemoryDirectory::default();
        let mut log = StateLog::open_in(directory.clone()).expect("an empty directory");
        log.format(Generation(0), &[]).expect("there is free space");
        Member { directory, log, sequence: 0, lag }
    }

    /// Appends an entry and a snapshot, since each entry is longer than the applied bytes after which a member
    /// takes one.
    fn change(&mut self) -> Result<(), WriteAheadLogError> {
        let sequence = self.sequence + 1;
        let bytes: Arc<[u8]> = vec![sequence as u8; CHANGE_BYTES].into();
        let entry =
            DurableRecord::Entry(Entry { sequence: SequenceNumber(sequence), command: bytes.clone() });
        let sequence_before = sequence.saturating_sub(self.lag);
        let snapshot =
            DurableRecord::Snapshot { sequence: SequenceNumber(sequence_before), snapshot: bytes };
        self.log.append(&[&entry, &snapshot])?;
        self.sequence = sequence;
        Ok(())
    }

    /// Checks that a restart recovers the log's state from the synced files.
    fn assert_is_recovered(&self) {
        let recovered = StateLog::open_in(MemoryDirectory::with(self.directory.synced_files()));
        assert_eq!(recovered.expect("the log is readable").image(), self.log.image());
        assert_eq!(self.log.image().state.data.sequence, SequenceNumber(self.sequence));
    }
}

#[rstest]
fn hundreds_of_long_changes_leave_a_short_log(#[values(0, 8)] lag: u64) {
    let mut member = Member::behind(lag);
    for _ in 0..300 {
        member.change().expect("there is free space");
        assert!(!matches!(member.log.compact_if_due(), Compaction::Failed { .. }));
        assert_eq!(member.log.bytes_used(), member.directory.bytes());
    }
    println!("300 changes, {lag} behind: at most {} bytes", member.directory.most_bytes());
    assert!(member.directory.most_bytes() < LOG_BOUND + 2 * lag * CHANGE_BYTES as u64);
    member.assert_is_recovered();
}

/// Other data fills the disk until there is no space for a snapshot, or for a record either. Changes continue until
/// they are refused, and changes and snapshots succeed again once there is free space.
#[rstest]
fn a_full_disk_lets_the_log_grow_by_no_more_than_a_snapshot(
    #[values(0, 100, 1_000_000, 1_400_000, 2_700_000, 3_900_000)] free_bytes: u64,
) {
    let mut member = Member::new();
    for _ in 0..7 {
        member.change().expect("there is free space");
        member.log.compact_if_due();
    }
    let (mut refused_changes, mut refused_snapshots) = (0, 0);
    for _ in 0..20 {
        member.directory.set_capacity(Some(member.directory.bytes() + free_bytes));
        for _ in 0..10 {
            let is_refused = member.change().is_err();
            refused_changes += u32::from(is_refused);
            if !is_refused && matches!(member.log.compact_if_due(), Compaction::Failed { .. }) {
                refused_snapshots += 1;
            }
            member.assert_is_recovered();
        }
        member.directory.set_capacity(None);
        member.change().expect("there is free space again");
        assert!(!matches!(member.log.compact_if_due(), Compaction::Failed { .. }));
    }
    println!(
        "{free_bytes} bytes free: {refused_changes} changes and {refused_snapshots} snapshots refused, at most {} bytes",
        member.directory.most_bytes()
    );
    assert!(refused_changes > 0, "the disk was full");
    assert!(member.directory.most_bytes() < LOG_BOUND + free_bytes);
    member.assert_is_recovered();
}

/// A disk of the stated bound is large enough for the log if nothing else is on it.
#[test]
fn a_disk_of_the_stated_size_is_enough() {
    let mut member = Member::new();
    member.directory.set_capacity(Some(LOG_BOUND));
    for _ in 0..100 {
        member.change().expect("there is free space");
        assert!(!matches!(member.log.compact_if_due(), Compaction::Failed { .. }));
    }
}

/// The disk has space for the log and either a change or a snapshot, but not both.
#[test]
fn a_refused_change_succeeds_after_a_compaction() {
    let mut member = Member::new();
    member.change().expect("there is free space");
    member.log.compact_to_free_space();
    member.directory.set_capacity(Some(4 * CHANGE_BYTES as u64 + MARGIN));
    let mut refused = 0;
    for _ in 0..100 {
        if member.change().is_err() {
            refused += 1;
            assert!(matches!(member.log.compact_to_free_space(), Compaction::Done));
            member.assert_is_recovered();
            member.change().expect("there is free space now");
        }
        member.log.compact_if_due();
    }
    println!("{refused} of 100 changes were refused first");
    assert!(refused > 0);
    member.assert_is_recovered();
}

/// A snapshot as large as the records frees no space.
#[test]
fn a_compaction_that_frees_no_space_is_not_done() {
    let mut member = Member::new();
    assert!(matches!(member.log.compact_to_free_space(), Compaction::NotDue));
    member.change().expect("there is free space");
    assert!(matches!(member.log.compact_to_free_space(), Compaction::Done));
    assert!(matches!(member.log.compact_to_free_space(), Compaction::NotDue));
}

/// While no compaction runs, the log grows with each change; the next compaction shortens it.
#[test]
fn an_overdue_compaction_shortens_the_log() {
    let mut member = Member::new();
    for _ in 0..100 {
        member.change().expect("there is free space");
    }
    assert!(member.directory.bytes() > 200 * CHANGE_BYTES as u64, "nothing was compacted");
    assert!(matches!(member.log.compact_if_due(), Compaction::Done));
    assert!(member.directory.bytes() < 2 * CHANGE_BYTES as u64);
    member.assert_is_recovered();
}
