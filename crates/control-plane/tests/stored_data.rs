//! Compatibility of a member's data on disk with the bytes that an earlier version wrote (`tests/data/README.md`).
//!
//! Values are encoded by position: renaming types, fields and variants does not change the bytes. Adjacent fields
//! of the same type have different values, so that a swap of two of them is detected.

#[path = "../../../tests/support/stored_data.rs"]
mod stored_data;

use std::fmt::Debug;
use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use stored_data::{Case, check_stored, check_stored_directory, copy_stored_directory, scratch_directory};
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_control_plane::disk::{Boot, OpenedDisk};
use tulipridge_control_plane::replication::transfer::{EncodedData, TransferData};
use tulipridge_control_plane::replication::{DurableRecord, DurableState, LogPosition};
use tulipridge_control_plane::state::{Change, Command, Decision, State};
use tulipridge_control_plane::state_log::{Compaction, DiskImage, StateLog};
use tulipridge_protocol::frame;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::{Epoch, SequenceNumber};
use tulipridge_protocol::replication::{Entry, TransferId, View};
use tulipridge_write_ahead_log::FileSystemDirectory;

/// The first configuration. The stored bytes contain this text, so it must not change.
const CONFIGURATION: &str = r#"{"revision":7,"routes":[{"label":"r-first","hostname":"shop.example","pathStart":"/cart/","sort":"stream","timeLimitMs":8000,"targetMs":400,"rank":1,"backend":"alpha","tries":2}],"backends":[{"label":"alpha","checkPath":"/alive","connLimit":630}]}"#;
/// A patch of named items.
const PATCH: &str = r#"{"revision":300,"upsert":{"backends":[{"label":"beta"}]}}"#;
/// The stored directory of a member that existed from the first start and became primary.
const PRIMARY: &str = "state-primary";
/// The stored directory of a member that joined later, received its data from a primary, and has compacted its log.
const BACKUP: &str = "state-backup";
/// The generation of the backup's disk.
const GENERATION: u64 = 0xfeed_0000_0001;

/// A sequence of commands, and the replicated state after each of them.
struct History {
    commands: Vec<Arc<[u8]>>,
    states: Vec<State>,
}

impl History {
    fn of_all_kinds_of_changes() -> History {
        let put = Change::PutConfiguration { if_match: None, body: CONFIGURATION.into() };
        let patch = Change::PatchConfiguration { if_match: Some(Revision(7)), body: PATCH.into() };
        let weights =
            |model: &str, revision| Change::SetTargetRevision { model: model.to_owned(), revision };
        let mut history = History { commands: Vec::new(), states: Vec::new() };
        for change in
            [put, weights("model-b", WeightsRevision(4)), patch, weights("model-a", WeightsRevision(300))]
        {
            history.apply(&change);
        }
        history
    }

    fn apply(&mut self, change: &Change) {
        let mut state = self.states.last().cloned().unwrap_or_default();
        let Decision::Accept(accepted) = state.decide(change) else {
            panic!("the change was not accepted: {change:?}")
        };
        self.commands.push(accepted.command.clone());
        state.apply_accepted(*accepted).expect("the command is based on the newest state");
        self.states.push(state);
    }

    /// The entry with a sequence number; the first one has 1.
    fn entry(&self, sequence: u64) -> Entry {
        Entry { sequence: SequenceNumber(sequence), command: self.commands[sequence as usize - 1].clone() }
    }

    /// The snapshot of the state after an entry.
    fn snapshot(&self, sequence: u64) -> Arc<[u8]> {
        self.states[sequence as usize - 1].snapshot().into()
    }
}

#[test]
fn commands_keep_their_bytes() {
    let history = History::of_all_kinds_of_changes();
    let command = |index: usize| Command::from_bytes(&history.commands[index]).expect("a command");
    let cases = [
        Case::new("configure-document", command(0)),
        Case::new(
            "name-weights",
            Command::SetTargetRevision { model: "model-b".to_owned(), revision: WeightsRevision(4) },
        ),
        Case::new("configure-patch", command(2)),
    ];
    for case in &cases {
        // Fails to compile when a variant is added, which then needs a case above.
        match &case.value {
            Command::Configure(_) | Command::SetTargetRevision { .. } => {}
        }
    }
    let decode = |stored: &[u8]| Command::from_bytes(stored).expect("a stored command");
    check_stored("commands.txt", &cases, Command::to_bytes, decode);
}

#[test]
fn snapshots_of_the_state_keep_their_bytes() {
    let history = History::of_all_kinds_of_changes();
    let cases = [
        Case::new("empty", State::default()),
        Case::new("one-change", history.states[0].clone()),
        Case::new("four-changes", history.states[3].clone()),
    ];
    let decode = |stored: &[u8]| State::restore(stored).expect("a stored state");
    check_stored("agreed-state.txt", &cases, State::snapshot, decode);
}

#[test]
fn durable_records_keep_their_bytes() {
    let cases = [
        Case::new("promised", DurableRecord::Promised(Epoch(4_294_967_297))),
        Case::new("view", DurableRecord::View(view())),
        Case::new("data-epoch", DurableRecord::DataEpoch(Epoch(4_294_967_298))),
        Case::new("entry", DurableRecord::Entry(entry(71))),
        Case::new(
            "snapshot",
            DurableRecord::Snapshot { sequence: SequenceNumber(72), snapshot: bytes(b"a state") },
        ),
        Case::new(
            "reset",
            DurableRecord::Reset {
                epoch: Epoch(73),
                snapshot_sequence: SequenceNumber(74),
                snapshot: bytes(b"another state"),
                entries: vec![entry(75), entry(76)],
            },
        ),
    ];
    for case in &cases {
        // Fails to compile when a variant is added, which then needs a case above.
        match &case.value {
            DurableRecord::Promised(_)
            | DurableRecord::View(_)
            | DurableRecord::DataEpoch(_)
            | DurableRecord::Entry(_)
            | DurableRecord::Snapshot { .. }
            | DurableRecord::Reset { .. } => {}
        }
    }
    check_encoded("durable-records.txt", &cases);
}

#[test]
fn disk_images_keep_their_bytes() {
    let state = durable_state();
    let empty = DiskImage { generation: Generation(5), state: DurableState::default() };
    let cases =
        [Case::new("empty", empty), Case::new("all", DiskImage { generation: Generation(6), state })];
    check_encoded("disk-images.txt", &cases);
}

#[test]
fn transferred_data_keeps_its_bytes_and_its_id() {
    let state = durable_state();
    let encoded = EncodedData::of(&state);
    let id = encoded.id();
    let data = TransferData {
        snapshot_sequence: state.snapshot_sequence,
        snapshot: state.snapshot,
        entries: state.entries,
    };
    check_encoded("transferred-data.txt", &[Case::new("data", data)]);
    check_encoded("transfer-ids.txt", &[Case::new("data", id)]);
    assert_eq!(
        TransferId { checksum: 0, ..id },
        TransferId {
            snapshot_sequence: SequenceNumber(81),
            sequence: SequenceNumber(83),
            length: id.length,
            checksum: 0
        }
    );
}

#[test]
fn the_stored_directory_of_a_primary_is_readable() {
    let history = History::of_all_kinds_of_changes();
    let image = open_copy_of(PRIMARY);
    let expected = DurableState {
        promised: Epoch(4_294_967_301),
        view: Some(view()),
        data: LogPosition { epoch: Epoch(4_294_967_302), sequence: SequenceNumber(4) },
        snapshot_sequence: SequenceNumber(2),
        snapshot: history.snapshot(2),
        entries: vec![history.entry(3), history.entry(4)],
    };
    assert_eq!(image, DiskImage { generation: Generation(0), state: expected });
    assert_eq!(replicated_state(&image.state), history.states[3]);
}

#[test]
fn the_stored_directory_of_a_backup_is_readable() {
    let history = History::of_all_kinds_of_changes();
    let image = open_copy_of(BACKUP);
    let expected = DurableState {
        promised: Epoch(4_294_967_303),
        view: Some(view()),
        data: LogPosition { epoch: Epoch(4_294_967_304), sequence: SequenceNumber(4) },
        snapshot_sequence: SequenceNumber(3),
        snapshot: history.snapshot(3),
        entries: vec![history.entry(4)],
    };
    assert_eq!(image, DiskImage { generation: Generation(GENERATION), state: expected });
    assert_eq!(replicated_state(&image.state), history.states[3]);
}

#[test]
fn a_primary_writes_the_bytes_of_the_stored_directory() {
    let directory = scratch_directory("stored-state-primary-written");
    write_primary(&directory);
    check_stored_directory(PRIMARY, &directory);
}

#[test]
fn a_backup_writes_the_bytes_of_the_stored_directory() {
    let directory = scratch_directory("stored-state-backup-written");
    write_backup(&directory);
    check_stored_directory(BACKUP, &directory);
}

#[test]
fn a_member_starts_on_the_directory_of_an_earlier_version() {
    let directory = scratch_directory("stored-state-start");
    copy_stored_directory(PRIMARY, &directory);
    let opened = OpenedDisk::open(&directory, Boot::Later).expect("a stored directory");
    assert!(!opened.is_fresh, "a directory with data must not be recognized as empty");
    assert_eq!(opened.image.generation, Generation(0));
    assert_eq!(opened.image.state.data.sequence, SequenceNumber(4));
}

fn write_primary(directory: &Path) {
    let history = History::of_all_kinds_of_changes();
    let mut log = open(directory);
    log.format(Generation(0), &[DurableRecord::View(first_view())]).expect("there is free space");
    append(&mut log, &[DurableRecord::Promised(Epoch(4_294_967_301)), DurableRecord::View(view())]);
    append(&mut log, &[DurableRecord::DataEpoch(Epoch(4_294_967_302))]);
    append(&mut log, &[DurableRecord::Entry(history.entry(1)), DurableRecord::Entry(history.entry(2))]);
    append(&mut log, &[DurableRecord::Entry(history.entry(3))]);
    append(
        &mut log,
        &[DurableRecord::Snapshot { sequence: SequenceNumber(2), snapshot: history.snapshot(2) }],
    );
    append(&mut log, &[DurableRecord::Entry(history.entry(4))]);
}

fn write_backup(directory: &Path) {
    let history = History::of_all_kinds_of_changes();
    let reset = |epoch, sequence: u64| DurableRecord::Reset {
        epoch,
        snapshot_sequence: SequenceNumber(sequence),
        snapshot: history.snapshot(sequence),
        entries: vec![history.entry(sequence + 1)],
    };
    let mut log = open(directory);
    log.format(Generation(GENERATION), &[]).expect("there is free space");
    append(&mut log, &[DurableRecord::Promised(Epoch(4_294_967_303))]);
    append(&mut log, &[reset(Epoch(4_294_967_300), 1)]);
    append(&mut log, &[reset(Epoch(4_294_967_304), 2)]);
    assert!(matches!(log.compact_to_free_space(), Compaction::Done), "the records were not compacted");
    append(&mut log, &[DurableRecord::View(view())]);
    append(&mut log, &[DurableRecord::Entry(history.entry(4))]);
    append(
        &mut log,
        &[DurableRecord::Snapshot { sequence: SequenceNumber(3), snapshot: history.snapshot(3) }],
    );
}

fn open_copy_of(stored: &str) -> DiskImage {
    let directory = scratch_directory(&format!("stored-{stored}-read"));
    copy_stored_directory(stored, &directory);
    open(&directory).image().clone()
}

fn open(directory: &Path) -> StateLog {
    let directory = FileSystemDirectory::create(directory).expect("a directory");
    StateLog::open_in(directory).expect("a log")
}

fn append(log: &mut StateLog, records: &[DurableRecord]) {
    let records: Vec<&DurableRecord> = records.iter().collect();
    log.append(&records).expect("there is free space");
}

/// The state after a snapshot and the entries that follow it.
fn replicated_state(durable: &DurableState) -> State {
    let mut state = State::restore(&durable.snapshot).expect("a snapshot");
    for entry in &durable.entries {
        state.apply(&entry.command).expect("a command based on the one before");
    }
    state
}

fn check_encoded<T>(file: &str, cases: &[Case<T>])
where
    T: Debug + PartialEq + Encode<Binary> + for<'de> Decode<'de, Binary, Global>,
{
    let encode = |value: &T| frame::encode(value).expect("the value can be encoded");
    let decode = |stored: &[u8]| frame::decode(stored).expect("the stored bytes can be decoded");
    check_stored(file, cases, encode, decode);
}

fn durable_state() -> DurableState {
    DurableState {
        promised: Epoch(4_294_967_299),
        view: Some(view()),
        data: LogPosition { epoch: Epoch(82), sequence: SequenceNumber(83) },
        snapshot_sequence: SequenceNumber(81),
        snapshot: bytes(b"the state"),
        entries: vec![entry(82), entry(83)],
    }
}

fn first_view() -> View {
    View {
        epoch: Epoch(1),
        voters: vec![node(1), node(2), node(3)],
        previous_voters: Vec::new(),
        data_replicas: vec![node(1), node(2)],
    }
}

fn view() -> View {
    View {
        epoch: Epoch(8_589_934_593),
        voters: vec![node(11), node(12), node(13)],
        previous_voters: vec![node(14), node(15)],
        data_replicas: vec![node(13), node(11)],
    }
}

fn node(number: u8) -> NodeId {
    NodeId::new(Ipv4Addr::new(10, 1, 2, number), Generation(1_000 + u64::from(number)))
}

fn entry(sequence: u64) -> Entry {
    Entry { sequence: SequenceNumber(sequence), command: bytes(format!("command {sequence}").as_bytes()) }
}

fn bytes(content: &[u8]) -> Arc<[u8]> {
    Arc::from(content)
}
