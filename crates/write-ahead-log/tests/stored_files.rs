//! Compatibility with log files that an earlier version wrote (`tests/data/README.md`).
//!
//! Types and functions may be renamed here and in the sources; the stored bytes must not change.

#[path = "../../../tests/support/stored_data.rs"]
mod stored_data;

use std::path::Path;

use stored_data::{check_stored_directory, copy_stored_directory, scratch_directory};
use tulipridge_write_ahead_log::{Recovered, WriteAheadLog};

/// A log without a snapshot.
const SEGMENT_ONLY: &str = "log-segment";
/// A log with a snapshot and records after it.
const WITH_SNAPSHOT: &str = "log-snapshot";

#[test]
fn a_stored_segment_is_read() {
    let records = vec![b"first".to_vec(), b"second".to_vec(), vec![0, 255, 10], Vec::new()];
    assert_eq!(recover_copy_of(SEGMENT_ONLY), Recovered { snapshot: None, records });
}

#[test]
fn a_stored_snapshot_and_the_records_after_it_are_read() {
    let records = vec![b"third".to_vec(), b"fourth".to_vec()];
    let snapshot = Some(b"the state after two records".to_vec());
    assert_eq!(recover_copy_of(WITH_SNAPSHOT), Recovered { snapshot, records });
}

#[test]
fn a_segment_is_written_to_the_stored_bytes() {
    let directory = scratch_directory("stored-log-segment-written");
    write_segment(&directory);
    check_stored_directory(SEGMENT_ONLY, &directory);
}

#[test]
fn a_snapshot_and_records_are_written_to_the_stored_bytes() {
    let directory = scratch_directory("stored-log-snapshot-written");
    write_snapshot(&directory);
    check_stored_directory(WITH_SNAPSHOT, &directory);
}

#[test]
fn a_stored_log_is_appended_to() {
    let directory = scratch_directory("stored-log-appended");
    copy_stored_directory(WITH_SNAPSHOT, &directory);
    let mut log = WriteAheadLog::open(&directory).expect("a stored log").log;
    log.append(&[b"fifth"]).expect("the write succeeds");
    drop(log);
    let recovered = WriteAheadLog::open(&directory).expect("a stored log with one more record").recovered;
    assert_eq!(recovered.records.last(), Some(&b"fifth".to_vec()));
    assert_eq!(recovered.records.len(), 3);
}

fn recover_copy_of(stored: &str) -> Recovered {
    let directory = scratch_directory(&format!("stored-{stored}-read"));
    copy_stored_directory(stored, &directory);
    WriteAheadLog::open(&directory).expect("a stored log").recovered
}

fn write_segment(directory: &Path) {
    let mut log = WriteAheadLog::open(directory).expect("an empty directory").log;
    log.append(&[b"first"]).expect("the write succeeds");
    log.append(&[b"second", &[0, 255, 10], b""]).expect("the write succeeds");
}

fn write_snapshot(directory: &Path) {
    let mut log = WriteAheadLog::open(directory).expect("an empty directory").log;
    log.append(&[b"first", b"second"]).expect("the write succeeds");
    log.snapshot(b"the state after two records").expect("the write succeeds");
    log.append(&[b"third"]).expect("the write succeeds");
    log.append(&[b"fourth"]).expect("the write succeeds");
}
