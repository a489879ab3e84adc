//! The encoding of feed messages, compared with types and bytes of earlier versions.

use musli::mode::Binary;
use musli::{Decode, Encode, wire};
use tulipridge_protocol::feed::{
    CacheIndexUpdate, KnownPositions, LoadTable, Position, QueuedWork, QueuedWorkEntry, ToPublisher,
    ToSubscriber,
};
use tulipridge_protocol::number::{ChangeNumber, Epoch};

/// [`QueuedWork`] as earlier versions declared it, before its entries had a type of their own.
#[derive(Debug, PartialEq, Encode, Decode)]
struct TupleQueuedWork {
    fleet: Position,
    entries: Vec<(u32, u32)>,
}

const ENTRIES: [(u32, u32); 4] = [(0, 1), (1, 300), (127, 128), (u32::MAX, u32::MAX)];

fn queued_work() -> QueuedWork {
    let entry = |(replica_index, units)| QueuedWorkEntry { replica_index, units };
    QueuedWork {
        fleet: Position { epoch: Epoch(7), sequence: ChangeNumber(300) },
        entries: ENTRIES.map(entry).to_vec(),
    }
}

#[test]
fn queued_work_is_encoded_as_pairs_of_index_and_units() {
    let pairs = TupleQueuedWork {
        fleet: Position { epoch: Epoch(7), sequence: ChangeNumber(300) },
        entries: ENTRIES.to_vec(),
    };
    let bytes = wire::to_vec(&pairs).expect("the message is encodable");
    assert_eq!(wire::to_vec(&queued_work()).expect("the message is encodable"), bytes);
    assert_eq!(wire::from_slice::<QueuedWork>(&bytes).expect("the message is decodable"), queued_work());
    assert_eq!(wire::from_slice::<TupleQueuedWork>(&bytes).expect("the message is decodable"), pairs);
}

/// Guards against a change of the encoding when fields and variants are renamed: the bytes are those of the version
/// before such a rename.
#[test]
fn messages_keep_the_bytes_of_earlier_versions() {
    let position = Position { epoch: Epoch(7), sequence: ChangeNumber(300) };
    let known =
        KnownPositions { cache_index: position, loads: Some(position), ..KnownPositions::default() };
    let update = CacheIndexUpdate { base: Some(position), position, updates: Vec::new() };
    let loads = LoadTable { position, fleet: position, queued_units: vec![0, 4, 255] };
    assert_encoded(
        &ToPublisher::QueuedWork(queued_work()),
        &[
            130, 194, 130, 192, 132, 192, 132, 192, 199, 193, 255, 172, 2, 193, 132, 130, 192, 193, 130,
            193, 255, 172, 2, 130, 255, 127, 255, 128, 1, 130, 255, 255, 255, 255, 255, 15, 255, 255, 255,
            255, 255, 15,
        ],
    );
    assert_encoded(
        &known,
        &[
            138, 192, 192, 193, 132, 192, 192, 193, 192, 194, 132, 192, 192, 193, 192, 195, 132, 192, 199,
            193, 255, 172, 2, 196, 129, 132, 192, 199, 193, 255, 172, 2,
        ],
    );
    assert_encoded(
        &ToSubscriber::CacheIndex(update),
        &[
            130, 195, 130, 192, 134, 192, 129, 132, 192, 199, 193, 255, 172, 2, 193, 132, 192, 199, 193,
            255, 172, 2, 194, 128,
        ],
    );
    assert_encoded(
        &ToSubscriber::Loads(loads),
        &[
            130, 198, 130, 192, 134, 192, 132, 192, 199, 193, 255, 172, 2, 193, 132, 192, 199, 193, 255,
            172, 2, 194, 67, 0, 4, 255,
        ],
    );
}

fn assert_encoded<T: Encode<Binary>>(message: &T, expected: &[u8]) {
    assert_eq!(wire::to_vec(message).expect("the message is encodable"), expected);
}
