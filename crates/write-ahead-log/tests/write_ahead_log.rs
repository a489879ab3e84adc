//! Recovery of a log after crashes, power losses and full disks, and rejection of corrupt files.

mod support;

use rstest::rstest;
use support::{Files, MemoryDirectory};
use tulipridge_write_ahead_log::{
    OpenedLog, Operation, Recovered, SEGMENT_LENGTH_BYTES, WriteAheadLog, WriteAheadLogError,
};

fn open(files: Files) -> Result<OpenedLog<MemoryDirectory>, WriteAheadLogError> {
    WriteAheadLog::open_in(MemoryDirectory::with(files))
}

fn reopen(directory: &MemoryDirectory) -> Recovered {
    open(directory.files()).expect("the log opens").recovered
}

/// Number of records in the small log.
const SMALL_LOG_RECORDS: usize = 4;

/// A log with three appends: of one, two and one record.
fn small_log() -> (MemoryDirectory, Vec<Vec<u8>>) {
    let directory = MemoryDirectory::default();
    let OpenedLog { log: mut write_ahead_log, recovered } =
        WriteAheadLog::open_in(directory.clone()).expect("the log opens");
    assert_eq!(recovered, Recovered::default());
    write_ahead_log.append(&[b"one"]).expect("the append succeeds");
    write_ahead_log.append(&[b"two", b""]).expect("the append succeeds");
    write_ahead_log.append(&[b"four"]).expect("the append succeeds");
    let records = [&b"one"[..], b"two", b"", b"four"].map(<[u8]>::to_vec).to_vec();
    (directory, records)
}

#[test]
fn records_are_read_back() {
    let (directory, records) = small_log();
    assert_eq!(reopen(&directory), Recovered { snapshot: None, records });
}

/// The files have exactly these bytes in every release, so that each release reads the files of earlier ones.
#[test]
fn files_have_the_stored_format() {
    let directory = MemoryDirectory::default();
    let OpenedLog { log: mut write_ahead_log, .. } =
        WriteAheadLog::open_in(directory.clone()).expect("the log opens");
    write_ahead_log.append(&[b"one"]).expect("the append succeeds");
    write_ahead_log.append(&[b"two", b""]).expect("the append succeeds");
    let segment = b"TLOG\x01\x00\x00\x00\xf5LB\xfa\x07\x00\x00\x00\x11\xe1y\xf6\x03\x00\x00\x00one\xf5LB\xfa\x0b\x00\x00\x00\xc5\xea\xa7\x85\x03\x00\x00\x00two\x00\x00\x00\x00";
    assert_eq!(directory.files()["log-000001"], segment);
    write_ahead_log.snapshot(b"state").expect("the snapshot is written");
    let snapshot = b"TSNP\x01\x00\x00\x00\xf5LB\xfa\x05\x00\x00\x00\x07t/\xc9state";
    assert_eq!(directory.files()["snapshot-000002"], snapshot);
    assert_eq!(directory.files()["log-000002"], b"TLOG\x01\0\0\0");
}

#[test]
fn file_system_directory_keeps_records_and_snapshot() {
    let temporary = tempfile::tempdir().expect("a temporary directory");
    let path = temporary.path().join("log");
    let OpenedLog { log: mut write_ahead_log, .. } = WriteAheadLog::open(&path).expect("the log opens");
    write_ahead_log.append(&[b"old"]).expect("the append succeeds");
    write_ahead_log.snapshot(b"state").expect("the snapshot is written");
    write_ahead_log.append(&[b"new"]).expect("the append succeeds");
    let bytes = write_ahead_log.bytes_used();
    drop(write_ahead_log);
    let OpenedLog { log: write_ahead_log, recovered } = WriteAheadLog::open(&path).expect("the log opens");
    assert_eq!(recovered, Recovered { snapshot: Some(b"state".to_vec()), records: vec![b"new".to_vec()] });
    assert_eq!(write_ahead_log.bytes_used(), bytes);
    let mut names: Vec<_> = std::fs::read_dir(&path)
        .expect("the directory is listed")
        .map(|entry| entry.expect("a directory entry").file_name().into_string().expect("a UTF-8 name"))
        .collect();
    names.sort();
    assert_eq!(names, ["log-000002", "snapshot-000002"]);
}

/// Truncated at any byte, the log recovers complete appends only and accepts further ones.
#[test]
fn truncation_at_every_byte_leaves_complete_appends() {
    let (directory, records) = small_log();
    let complete = directory.files().remove("log-000001").expect("the segment");
    let mut record_counts = Vec::new();
    for length in 0..=complete.len() {
        let files = Files::from([("log-000001".to_owned(), complete[..length].to_vec())]);
        let directory = MemoryDirectory::with(files);
        let OpenedLog { log: mut write_ahead_log, recovered } =
            WriteAheadLog::open_in(directory.clone()).expect("the log opens");
        let count = recovered.records.len();
        assert_eq!(recovered.records, records[..count]);
        record_counts.push(count);
        write_ahead_log.append(&[b"more"]).expect("the append succeeds");
        let after = reopen(&directory).records;
        assert_eq!(after[..count], records[..count]);
        assert_eq!(after[count..], [b"more".to_vec()]);
    }
    record_counts.dedup();
    assert_eq!(record_counts, [0, 1, 3, 4]);
}

/// A flipped bit before the last append is an error and changes no file. In the last append it truncates the append.
#[test]
fn flipped_bits_are_detected() {
    let (directory, records) = small_log();
    let complete = directory.files().remove("log-000001").expect("the segment");
    let last = complete.len() - (12 + 4 + 4);
    for position in 0..complete.len() * 8 {
        let mut content = complete.clone();
        content[position / 8] ^= 1 << (position % 8);
        let files = Files::from([("log-000001".to_owned(), content)]);
        let directory = MemoryDirectory::with(files.clone());
        match WriteAheadLog::open_in(directory.clone()) {
            Ok(OpenedLog { recovered, .. }) => {
                assert!(position / 8 >= last, "bit {position}");
                assert_eq!(recovered.records, records[..3]);
            }
            Err(error) => {
                assert!(position / 8 < last, "bit {position}: {error}");
                let is_named = error.to_string().contains("log-000001");
                assert!(is_named, "{error}");
                assert_eq!(directory.files(), files);
            }
        }
    }
}

#[test]
fn corruption_is_reported_with_its_offset() {
    let (directory, _) = small_log();
    let mut files = directory.files();
    files.get_mut("log-000001").expect("the segment")[8 + 19 + 12] ^= 1;
    let error = open(files).expect_err("it is refused");
    assert!(
        matches!(error, WriteAheadLogError::Corrupt { ref file, offset: 27 } if file == "log-000001"),
        "{error}"
    );
}

#[rstest]
#[case::foreign("log-000001", b"#!/bin/sh\n", "log-000001 is not a file of a log")]
#[case::foreign_snapshot("snapshot-000001", b"PK", "snapshot-000001 is not a file of a log")]
#[case::version("log-000001", b"TLOG\x09\0\0\0more", "log-000001 has the unknown format version 9")]
#[case::gap("log-000002", b"TLOG\x01\0\0\0", "log-000001 is missing")]
#[case::truncated_snapshot("snapshot-000001", b"TSNP\x01\0\0\0", "snapshot-000001 is damaged at byte 8")]
fn files_of_another_format_or_number_are_rejected(
    #[case] name: &str,
    #[case] content: &[u8],
    #[case] message: &str,
) {
    let files = Files::from([(name.to_owned(), content.to_vec())]);
    let directory = MemoryDirectory::with(files.clone());
    let error = WriteAheadLog::open_in(directory.clone()).expect_err("it is refused");
    assert_eq!(error.to_string(), message);
    assert_eq!(directory.files(), files);
}

/// A truncated segment that is followed by another one can't come from an interrupted write.
#[test]
fn truncation_of_a_closed_segment_is_refused() {
    let (directory, _) = long_log();
    let mut files = directory.files();
    assert_eq!(files.len(), 2);
    let first = files.get_mut("log-000001").expect("the segment");
    first.truncate(first.len() - 1);
    let error = open(files).expect_err("it is refused");
    assert!(
        matches!(error, WriteAheadLogError::Corrupt { ref file, .. } if file == "log-000001"),
        "{error}"
    );
}

fn long_log() -> (MemoryDirectory, WriteAheadLog<MemoryDirectory>) {
    let directory = MemoryDirectory::default();
    let OpenedLog { log: mut write_ahead_log, .. } =
        WriteAheadLog::open_in(directory.clone()).expect("the log opens");
    let record = vec![7; 1024 * 1024];
    for _ in 0..5 {
        write_ahead_log.append(&[&record]).expect("the append succeeds");
    }
    (directory, write_ahead_log)
}

#[test]
fn long_segments_are_followed_by_new_ones() {
    let (directory, mut write_ahead_log) = long_log();
    assert_eq!(reopen(&directory).records.len(), 5);
    let total: usize = directory.files().values().map(Vec::len).sum();
    assert_eq!(write_ahead_log.bytes_used(), total as u64);
    assert!(directory.files()["log-000001"].len() as u64 <= SEGMENT_LENGTH_BYTES + 1024 * 1024 + 100);
    write_ahead_log.snapshot(b"small").expect("the snapshot is written");
    assert!(write_ahead_log.bytes_used() < 100);
}

/// A file in the directory without the name of a log file is neither read nor removed.
#[test]
fn other_files_are_left_alone() {
    let (directory, records) = small_log();
    let mut files = directory.files();
    files.insert("log-old".to_owned(), b"x".to_vec());
    let directory = MemoryDirectory::with(files);
    let OpenedLog { log: mut write_ahead_log, recovered } =
        WriteAheadLog::open_in(directory.clone()).expect("the log opens");
    assert_eq!(recovered.records, records);
    write_ahead_log.snapshot(b"state").expect("the snapshot is written");
    assert!(directory.files().contains_key("log-old"));
}

/// A write that fails at any byte on a full disk loses no earlier append, and appends succeed after space is
/// freed.
#[test]
fn full_disk_fails_writes_and_loses_no_record() {
    for bytes in 0..60 {
        let (directory, mut records) = small_log();
        let OpenedLog { log: mut write_ahead_log, .. } =
            WriteAheadLog::open_in(directory.clone()).expect("the log opens");
        directory.limit_bytes(Some(bytes));
        let appended = write_ahead_log.append(&[b"a record of some length"]);
        match appended {
            Ok(()) => records.push(b"a record of some length".to_vec()),
            Err(error) => {
                assert!(
                    matches!(error, WriteAheadLogError::Io { operation: Operation::Write, .. }),
                    "{error}"
                );
            }
        }
        assert_eq!(reopen(&directory).records, records);
        let is_snapshot = write_ahead_log.snapshot(b"the whole state, longer than the record").is_ok();
        if is_snapshot {
            records.clear();
        }
        assert_eq!(reopen(&directory).records, records);
        directory.limit_bytes(None);
        write_ahead_log.append(&[b"short"]).expect("there is room");
        records.push(b"short".to_vec());
        assert_eq!(reopen(&directory).records, records);
        write_ahead_log.snapshot(b"state").expect("there is room");
        assert_eq!(
            reopen(&directory),
            Recovered { snapshot: Some(b"state".to_vec()), records: Vec::new() }
        );
    }
}

/// After a crash or a power loss at any operation, every acknowledged record or a snapshot of it is recovered.
#[test]
fn crash_at_every_step_loses_nothing() {
    let mut finished = false;
    let mut operations = 0;
    while !finished {
        let (directory, _) = small_log();
        let OpenedLog { log: mut write_ahead_log, .. } =
            WriteAheadLog::open_in(directory.clone()).expect("the log opens");
        directory.crash_after(operations);
        let mut acknowledged = 4;
        let mut has_snapshot = false;
        let result = (|| -> Result<(), WriteAheadLogError> {
            write_ahead_log.snapshot(b"4")?;
            has_snapshot = true;
            write_ahead_log.append(&[b"5"])?;
            acknowledged = 5;
            write_ahead_log.snapshot(b"5")?;
            write_ahead_log.append(&[b"6"])?;
            acknowledged = 6;
            Ok(())
        })();
        finished = result.is_ok();
        for files in [directory.files(), directory.synced_files()] {
            let OpenedLog { log: mut write_ahead_log, recovered } = open(files).expect("the log opens");
            assert!(
                recovered_count(&recovered) >= acknowledged,
                "after {operations} operations: {recovered:?}"
            );
            assert!(!has_snapshot || recovered.snapshot.is_some());
            write_ahead_log.append(&[b"7"]).expect("the append succeeds");
        }
        operations += 1;
    }
    assert!(operations > 20);
}

/// A process is killed after any operation, and power is lost while the next process opens the log.
#[test]
fn writes_of_a_killed_process_survive_a_power_loss() {
    let mut finished = false;
    let mut operations = 0;
    while !finished {
        finished = survives_restart_and_power_loss(|directory, write_ahead_log| {
            directory.crash_after(operations);
            let mut acknowledged = SMALL_LOG_RECORDS;
            let result = (|| -> Result<(), WriteAheadLogError> {
                write_ahead_log.append(&[b"5"])?;
                acknowledged = 5;
                write_ahead_log.snapshot(b"5")?;
                write_ahead_log.append(&[b"6"])?;
                acknowledged = 6;
                Ok(())
            })();
            (acknowledged, result.is_ok())
        });
        operations += 1;
    }
    assert!(operations > 10);
}

/// Any single operation fails, the process continues and is killed, and power is lost while the next process
/// opens the log.
#[test]
fn writes_after_a_failed_operation_survive_a_power_loss() {
    for operation in 0..20 {
        survives_restart_and_power_loss(|directory, write_ahead_log| {
            directory.fail_once_after(operation);
            while write_ahead_log.append(&[b"5"]).is_err() {}
            let _ = write_ahead_log.snapshot(b"5");
            while write_ahead_log.append(&[b"6"]).is_err() {}
            (6, true)
        });
    }
}

/// Runs `work` on a small log as a process that is then killed; `work` returns the number of acknowledged records
/// and a result for the caller.
/// A second process opens the log, and power is lost after any of its operations. All acknowledged records must
/// survive, and so must the content that the second process has read, because that process may already have
/// responded from it.
fn survives_restart_and_power_loss<T>(
    work: impl Fn(&MemoryDirectory, &mut WriteAheadLog<MemoryDirectory>) -> (usize, T),
) -> T {
    for operations in 0.. {
        let (directory, _) = small_log();
        let OpenedLog { log: mut write_ahead_log, .. } =
            WriteAheadLog::open_in(directory.clone()).expect("the log opens");
        let (acknowledged, result) = work(&directory, &mut write_ahead_log);
        directory.crash_after(operations);
        let read = WriteAheadLog::open_in(directory.clone()).map(|opened| opened.recovered);
        for files in [directory.synced_files(), directory.synced_files_without_removed()] {
            let OpenedLog { recovered: found, .. } = open(files).expect("the log opens");
            assert!(recovered_count(&found) >= acknowledged, "after {operations} operations: {found:?}");
            assert!(read.as_ref().map_or(true, |read| *read == found), "{read:?}, {found:?}");
        }
        if directory.has_operations_left() {
            return result;
        }
    }
    unreachable!("an open takes some operations")
}

/// Number of records ever appended; the snapshot holds the number of records that it replaces.
fn recovered_count(recovered: &Recovered) -> usize {
    let base = recovered.snapshot.as_ref().map_or(0, |snapshot| usize::from(snapshot[0] - b'0'));
    base + recovered.records.len()
}

/// A corrupt snapshot is skipped if the older files have not been removed yet.
#[test]
fn older_snapshot_is_used_while_its_segments_exist() {
    let directory = MemoryDirectory::default();
    let OpenedLog { log: mut write_ahead_log, .. } =
        WriteAheadLog::open_in(directory.clone()).expect("the log opens");
    write_ahead_log.append(&[b"1"]).expect("the append succeeds");
    write_ahead_log.snapshot(b"1").expect("the snapshot is written");
    write_ahead_log.append(&[b"2"]).expect("the append succeeds");
    let mut files = directory.files();
    write_ahead_log.snapshot(b"2").expect("the snapshot is written");
    write_ahead_log.append(&[b"3"]).expect("the append succeeds");
    files.extend(directory.files());
    files.get_mut("snapshot-000003").expect("the newest").pop();
    let OpenedLog { recovered, .. } = open(files).expect("the log opens");
    assert_eq!(recovered.snapshot, Some(b"1".to_vec()));
    assert_eq!(recovered.records, [b"2".to_vec(), b"3".to_vec()]);
}
