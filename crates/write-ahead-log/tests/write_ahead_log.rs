//! Recovery of a log after crashes, losses of power and full disks, and refusal of corrupt files.

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
    open(directory.files()).expect("it opens").recovered
}

/// Records of the small log.
const SMALL_LOG: usize = 4;

/// Three appends: one, two and one record.
fn small_log() -> (MemoryDirectory, Vec<Vec<u8>>) {
    let directory = MemoryDirectory::default();
    let OpenedLog { log: mut write_ahead_log, recovered } =
        WriteAheadLog::open_in(directory.clone()).expect("it opens");
    assert_eq!(recovered, Recovered::default());
    write_ahead_log.append(&[b"one"]).expect("it appends");
    write_ahead_log.append(&[b"two", b""]).expect("it appends");
    write_ahead_log.append(&[b"four"]).expect("it appends");
    let records = [&b"one"[..], b"two", b"", b"four"].map(<[u8]>::to_vec).to_vec();
    (directory, records)
}

#[test]
fn records_are_read_back() {
    let (directory, records) = small_log();
    assert_eq!(reopen(&directory), Recovered { snapshot: None, records });
}

/// The bytes of the files, as all versions of the program have written them.
#[test]
fn files_have_the_stored_format() {
    let directory = MemoryDirectory::default();
    let OpenedLog { log: mut write_ahead_log, .. } =
        WriteAheadLog::open_in(directory.clone()).expect("it opens");
    write_ahead_log.append(&[b"one"]).expect("it appends");
    write_ahead_log.append(&[b"two", b""]).expect("it appends");
    let segment = b"TLOG\x01\x00\x00\x00\xf5LB\xfa\x07\x00\x00\x00\x11\xe1y\xf6\x03\x00\x00\x00one\xf5LB\xfa\x0b\x00\x00\x00\xc5\xea\xa7\x85\x03\x00\x00\x00two\x00\x00\x00\x00";
    assert_eq!(directory.files()["log-000001"], segment);
    write_ahead_log.snapshot(b"state").expect("it takes a snapshot");
    let snapshot = b"TSNP\x01\x00\x00\x00\xf5LB\xfa\x05\x00\x00\x00\x07t/\xc9state";
    assert_eq!(directory.files()["snapshot-000002"], snapshot);
    assert_eq!(directory.files()["log-000002"], b"TLOG\x01\0\0\0");
}

#[test]
fn file_system_directory_keeps_records_and_snapshot() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("log");
    let OpenedLog { log: mut write_ahead_log, .. } = WriteAheadLog::open(&path).expect("it opens");
    write_ahead_log.append(&[b"old"]).expect("it appends");
    write_ahead_log.snapshot(b"state").expect("it takes a snapshot");
    write_ahead_log.append(&[b"new"]).expect("it appends");
    let bytes = write_ahead_log.bytes_used();
    drop(write_ahead_log);
    let OpenedLog { log: write_ahead_log, recovered } = WriteAheadLog::open(&path).expect("it opens");
    assert_eq!(recovered, Recovered { snapshot: Some(b"state".to_vec()), records: vec![b"new".to_vec()] });
    assert_eq!(write_ahead_log.bytes_used(), bytes);
    let mut names: Vec<_> = std::fs::read_dir(&path)
        .expect("it lists")
        .map(|entry| entry.expect("an entry").file_name().into_string().expect("a name"))
        .collect();
    names.sort();
    assert_eq!(names, ["log-000002", "snapshot-000002"]);
}

/// Truncated at any byte, the log holds complete appends only, and more can be appended.
#[test]
fn truncation_at_every_byte_leaves_complete_appends() {
    let (directory, records) = small_log();
    let complete = directory.files().remove("log-000001").expect("the segment");
    let mut lengths = Vec::new();
    for length in 0..=complete.len() {
        let files = Files::from([("log-000001".to_owned(), complete[..length].to_vec())]);
        let directory = MemoryDirectory::with(files);
        let OpenedLog { log: mut write_ahead_log, recovered } =
            WriteAheadLog::open_in(directory.clone()).expect("it opens");
        let count = recovered.records.len();
        assert_eq!(recovered.records, records[..count]);
        lengths.push(count);
        write_ahead_log.append(&[b"more"]).expect("it appends");
        let after = reopen(&directory).records;
        assert_eq!(after[..count], records[..count]);
        assert_eq!(after[count..], [b"more".to_vec()]);
    }
    lengths.dedup();
    assert_eq!(lengths, [0, 1, 3, 4]);
}

/// A flipped bit before the last append is refused and left as it is; in the last append that one is truncated.
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
#[case::version("log-000001", b"TLOG\x09\0\0\0more", "log-000001 has the unknown version 9")]
#[case::gap("log-000002", b"TLOG\x01\0\0\0", "log-000001 is missing")]
#[case::truncated_snapshot("snapshot-000001", b"TSNP\x01\0\0\0", "snapshot-000001 is damaged at byte 8")]
fn files_that_do_not_fit_are_refused(#[case] name: &str, #[case] content: &[u8], #[case] message: &str) {
    let files = Files::from([(name.to_owned(), content.to_vec())]);
    let directory = MemoryDirectory::with(files.clone());
    let error = WriteAheadLog::open_in(directory.clone()).expect_err("it is refused");
    assert_eq!(error.to_string(), message);
    assert_eq!(directory.files(), files);
}

/// A truncated segment that another one follows is not an interrupted write.
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
        WriteAheadLog::open_in(directory.clone()).expect("it opens");
    let record = vec![7; 1024 * 1024];
    for _ in 0..5 {
        write_ahead_log.append(&[&record]).expect("it appends");
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
    write_ahead_log.snapshot(b"small").expect("it takes a snapshot");
    assert!(write_ahead_log.bytes_used() < 100);
}

/// A file beside the log whose name is not of the log is neither read nor removed.
#[test]
fn other_files_are_left_alone() {
    let (directory, records) = small_log();
    let mut files = directory.files();
    files.insert("log-old".to_owned(), b"x".to_vec());
    let directory = MemoryDirectory::with(files);
    let OpenedLog { log: mut write_ahead_log, recovered } =
        WriteAheadLog::open_in(directory.clone()).expect("it opens");
    assert_eq!(recovered.records, records);
    write_ahead_log.snapshot(b"state").expect("it takes a snapshot");
    assert!(directory.files().contains_key("log-old"));
}

/// However far a write gets on a full disk, what was appended stays, and appends succeed once there is
/// room.
#[test]
fn full_disk_refuses_and_recovers() {
    for bytes in 0..60 {
        let (directory, mut records) = small_log();
        let OpenedLog { log: mut write_ahead_log, .. } =
            WriteAheadLog::open_in(directory.clone()).expect("it opens");
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

/// A crash or a loss of power after any operation leaves the records or the snapshot, never less.
#[test]
fn crash_at_every_step_loses_nothing() {
    let mut finished = false;
    let mut operations = 0;
    while !finished {
        let (directory, _) = small_log();
        let OpenedLog { log: mut write_ahead_log, .. } =
            WriteAheadLog::open_in(directory.clone()).expect("it opens");
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
            let OpenedLog { log: mut write_ahead_log, recovered } = open(files).expect("it opens");
            assert!(
                recovered_count(&recovered) >= acknowledged,
                "after {operations} operations: {recovered:?}"
            );
            assert!(!has_snapshot || recovered.snapshot.is_some());
            write_ahead_log.append(&[b"7"]).expect("it appends");
        }
        operations += 1;
    }
    assert!(operations > 20);
}

/// A process is killed after any operation, and power is lost while the next one starts.
#[test]
fn what_a_killed_process_wrote_survives_a_loss_of_power() {
    let mut finished = false;
    let mut operations = 0;
    while !finished {
        finished = survives_restart_and_loss_of_power(|directory, write_ahead_log| {
            directory.crash_after(operations);
            let mut acknowledged = SMALL_LOG;
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

/// The disk refuses any one operation, the process goes on and is killed, and power is lost while the next one
/// starts.
#[test]
fn what_was_written_after_a_failed_operation_survives_a_loss_of_power() {
    for operation in 0..20 {
        survives_restart_and_loss_of_power(|directory, write_ahead_log| {
            directory.fail_once_after(operation);
            while write_ahead_log.append(&[b"5"]).is_err() {}
            let _ = write_ahead_log.snapshot(b"5");
            while write_ahead_log.append(&[b"6"]).is_err() {}
            (6, true)
        });
    }
}

/// Has a process work on a small log; it says how many records it has acknowledged, and something for the caller.
/// Another one opens what it left, and power is lost after any operation of that: what was acknowledged is there,
/// and so is what the other one has read and may have answered for.
fn survives_restart_and_loss_of_power<T>(
    work: impl Fn(&MemoryDirectory, &mut WriteAheadLog<MemoryDirectory>) -> (usize, T),
) -> T {
    for operations in 0.. {
        let (directory, _) = small_log();
        let OpenedLog { log: mut write_ahead_log, .. } =
            WriteAheadLog::open_in(directory.clone()).expect("it opens");
        let (acknowledged, result) = work(&directory, &mut write_ahead_log);
        directory.crash_after(operations);
        let read = WriteAheadLog::open_in(directory.clone()).map(|opened| opened.recovered);
        for files in [directory.synced_files(), directory.synced_files_without_removed()] {
            let OpenedLog { recovered: found, .. } = open(files).expect("it opens");
            assert!(recovered_count(&found) >= acknowledged, "after {operations} operations: {found:?}");
            assert!(read.as_ref().map_or(true, |read| *read == found), "{read:?}, {found:?}");
        }
        if directory.has_operations_left() {
            return result;
        }
    }
    unreachable!("an open takes some operations")
}

/// How many records the log has seen: the snapshot says how many it stands for.
fn recovered_count(recovered: &Recovered) -> usize {
    let base = recovered.snapshot.as_ref().map_or(0, |snapshot| usize::from(snapshot[0] - b'0'));
    base + recovered.records.len()
}

/// A snapshot that is corrupt before the older files were removed is passed over.
#[test]
fn older_snapshot_serves_while_its_segments_are_there() {
    let directory = MemoryDirectory::default();
    let OpenedLog { log: mut write_ahead_log, .. } =
        WriteAheadLog::open_in(directory.clone()).expect("it opens");
    write_ahead_log.append(&[b"1"]).expect("it appends");
    write_ahead_log.snapshot(b"1").expect("it takes a snapshot");
    write_ahead_log.append(&[b"2"]).expect("it appends");
    let mut files = directory.files();
    write_ahead_log.snapshot(b"2").expect("it takes a snapshot");
    write_ahead_log.append(&[b"3"]).expect("it appends");
    files.extend(directory.files());
    files.get_mut("snapshot-000003").expect("the newest").pop();
    let OpenedLog { recovered, .. } = open(files).expect("it opens");
    assert_eq!(recovered.snapshot, Some(b"1".to_vec()));
    assert_eq!(recovered.records, [b"2".to_vec(), b"3".to_vec()]);
}
