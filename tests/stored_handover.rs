//! Data that a gateway process sends to its successor and to its peers, compared with the bytes that an earlier version
//! sent (`tests/data/README.md`).
//!
//! Types and fields may be renamed here and in the sources (with `serde(rename)`), but the bytes must stay the same.
//! Neighbouring fields of one type have different values, so that a swap is found.

#[path = "support/stored_data.rs"]
mod stored_data;

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use stored_data::{Case, check_stored};
use tulipridge::front::Usage;
use tulipridge::net::codec::{Body, Chunk};
use tulipridge::net::handover_message::{FORMAT_VERSION, StreamBuffers, StreamSnapshot};
use tulipridge::process::overlap::{ConnectionCounts, ConnectionReport};
use tulipridge::store::{Digest, Entries, Entry, Stamp};

#[test]
fn the_handover_version_is_unchanged() {
    assert_eq!(FORMAT_VERSION, 1);
}

#[test]
fn handed_over_streams_keep_their_bytes() {
    let with_body = |body| StreamSnapshot { body, ..stream() };
    let chunked = |chunk| with_body(Some(Body::Chunked(chunk)));
    let cases = [
        Case::new("all", stream()),
        Case::new("least", StreamSnapshot::default()),
        Case::new("length", with_body(Some(Body::Length(61)))),
        Case::new("chunk-size", chunked(Chunk::Size)),
        Case::new("chunk-data", chunked(Chunk::Data(62))),
        Case::new("chunk-long", chunked(Chunk::Unbuffered(63))),
        Case::new("chunk-trailer", chunked(Chunk::Trailer(64))),
        Case::new("chunk-over", chunked(Chunk::Complete)),
        Case::new("ipv6", StreamSnapshot { addr: "[fd00::1]:8080".parse().ok(), ..stream() }),
        Case::new("kept-client-only", StreamSnapshot { keep_replica: false, last: false, ..stream() }),
    ];
    let encode = |snapshot: &StreamSnapshot| snapshot.bytes().expect("an encodable value");
    let decode = |stored: &[u8]| StreamSnapshot::read(stored).expect("a decodable value");
    check_stored("handover-streams.txt", &cases, encode, decode);
}

#[test]
fn reports_of_kept_connections_keep_their_bytes() {
    let report =
        |stopping| ConnectionReport { open: ConnectionCounts { edge: 21, replicas: 22 }, stopping };
    let cases = [Case::new("serving", report(false)), Case::new("stopping", report(true))];
    check_json("handover-reports.txt", &cases);
}

#[test]
fn entries_of_the_store_keep_their_bytes() {
    let entry = |time, node: &str, value| Entry { stamp: Stamp(time, node.to_owned()), value };
    let entries: Entries = BTreeMap::from([
        ("flags/a".to_owned(), entry(1_700_000_000_001, "node-1", json!({"b": 1, "a": [true, null]}))),
        ("flags/removed".to_owned(), entry(1_700_000_000_002, "node-2", json!(null))),
    ]);
    check_json("store-entries.txt", &[Case::new("none", Entries::new()), Case::new("two", entries)]);
}

#[test]
fn digests_of_the_store_keep_their_bytes() {
    let digest: Digest = BTreeMap::from([
        ("flags/a".to_owned(), Stamp(1_700_000_000_001, "node-1".to_owned())),
        ("flags/b".to_owned(), Stamp(1_700_000_000_002, "node-2".to_owned())),
    ]);
    check_json("store-digests.txt", &[Case::new("none", Digest::new()), Case::new("two", digest)]);
}

/// A stream whose fields have different values.
fn stream() -> StreamSnapshot {
    StreamSnapshot {
        id: 0xfeed_0000_0000_0001,
        name: "req-client".to_owned(),
        class: 3,
        tenant: Some(4),
        first: 5_000_000_000,
        keep_client: true,
        replica: "server-7".to_owned(),
        addr: "10.1.2.3:8080".parse().ok(),
        body: Some(Body::UntilClose),
        keep_replica: true,
        last: true,
        usage: Some(Usage { prompt: 31, cached: Some(32), output: 33 }),
        buffers: StreamBuffers {
            to_client: b"to the client".to_vec(),
            from_client: vec![0, 255],
            from_replica: b"from the server".to_vec(),
            partial_event: b"data: {".to_vec(),
        },
    }
}

fn check_json<T: Debug + PartialEq + Serialize + DeserializeOwned>(file: &str, cases: &[Case<T>]) {
    let encode = |value: &T| serde_json::to_vec(value).expect("an encodable value");
    let decode = |stored: &[u8]| serde_json::from_slice(stored).expect("a decodable value");
    check_stored(file, cases, encode, decode);
}
