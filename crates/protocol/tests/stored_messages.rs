//! Messages between the programs, compared with the bytes that an earlier version sent (`tests/data/README.md`).
//!
//! Messages are encoded by position: types, fields and variants may be renamed here and in the sources, but the bytes
//! stay. Neighbouring fields of one type have different values, so that the tests detect two swapped fields.

#[path = "support/configurations.rs"]
mod configurations;
#[path = "../../../tests/support/stored_data.rs"]
mod stored_data;

use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use configurations::{changes, configuration, empty_changes};
use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use stored_data::{Case, check_stored};
use tulipridge_configuration::number::{Revision, WeightsRevision};
use tulipridge_prefix_cache_index::{CachedPrefix, Liveness, PrefixKey};
use tulipridge_protocol::feed::{
    CacheIndexUpdate, CacheUpdate, ClusterMembership, ConfigurationUpdate, ControlNode, FleetUpdate,
    KnownPositions, LoadTable, ModelRevision, ModelWeights, Position, QueuedWork, QueuedWorkEntry, Replica,
    ReplicaPhase, Subscribe, SubscriberRole, ToPublisher, ToSubscriber, WeightsTable,
};
use tulipridge_protocol::frame;
use tulipridge_protocol::node::{Generation, NodeId};
use tulipridge_protocol::number::{ChangeNumber, Epoch, SequenceNumber};
use tulipridge_protocol::peer_sampling::{self, Role, Shuffle};
use tulipridge_protocol::replication::{Entry, Envelope, ReplicationMessage, TransferId, View};

#[test]
fn messages_to_a_publisher_keep_their_bytes() {
    let subscribe = |role, loads| {
        ToPublisher::Subscribe(Subscribe {
            name: "machine-1".to_owned(),
            zone: "zone-2".to_owned(),
            role,
            known: KnownPositions {
                configuration: Revision(70_001),
                fleet: position(21, 31),
                weights: position(22, 32),
                cache_index: position(23, 33),
                loads,
            },
        })
    };
    let cases = [
        Case::new("subscribe-relay", subscribe(SubscriberRole::Relay, Some(position(24, 34)))),
        Case::new("subscribe-agent", subscribe(SubscriberRole::Agent, Some(position(24, 34)))),
        Case::new("subscribe-proxy-without-loads", subscribe(SubscriberRole::Proxy, None)),
        Case::new("ping", ToPublisher::Ping { id: 300, gateways: 7 }),
        Case::new(
            "queued-work",
            ToPublisher::QueuedWork(QueuedWork {
                fleet: position(25, 35),
                entries: vec![
                    QueuedWorkEntry { replica_index: 1, units: 40 },
                    QueuedWorkEntry { replica_index: 300, units: 50_000 },
                ],
            }),
        ),
    ];
    for case in &cases {
        // A new variant needs a case above.
        match &case.value {
            ToPublisher::Subscribe(_) | ToPublisher::Ping { .. } | ToPublisher::QueuedWork(_) => {}
        }
    }
    check_framed("to-publisher.txt", &cases);
}

#[test]
fn messages_to_a_subscriber_keep_their_bytes() {
    let mut cases = table_messages();
    cases.extend(other_messages_to_a_subscriber());
    for case in &cases {
        // A new variant needs a case.
        match &case.value {
            ToSubscriber::Configuration(
                ConfigurationUpdate::Snapshot(_) | ConfigurationUpdate::Changes(_),
            )
            | ToSubscriber::Fleet(FleetUpdate::Snapshot { .. } | FleetUpdate::Changes { .. })
            | ToSubscriber::Weights(_)
            | ToSubscriber::CacheIndex(_)
            | ToSubscriber::ClusterMembership(_)
            | ToSubscriber::Pong { .. }
            | ToSubscriber::Loads(_) => {}
        }
    }
    check_framed("to-subscriber.txt", &cases);
}

fn table_messages() -> Vec<Case<ToSubscriber>> {
    let replicas = || {
        vec![replica(ReplicaPhase::Ready), replica(ReplicaPhase::Loading), replica(ReplicaPhase::Draining)]
    };
    let weights = WeightsTable {
        position: position(43, 53),
        models: vec![ModelWeights {
            model: "model-a".to_owned(),
            target: WeightsRevision(9),
            minimum: WeightsRevision(8),
            expired_below: WeightsRevision(7),
        }],
    };
    vec![
        Case::new(
            "configuration-snapshot",
            ToSubscriber::Configuration(ConfigurationUpdate::Snapshot(Arc::new(configuration()))),
        ),
        Case::new(
            "configuration-changes",
            ToSubscriber::Configuration(ConfigurationUpdate::Changes(changes())),
        ),
        Case::new(
            "configuration-empty-changes",
            ToSubscriber::Configuration(ConfigurationUpdate::Changes(empty_changes())),
        ),
        Case::new(
            "fleet-snapshot",
            ToSubscriber::Fleet(FleetUpdate::Snapshot { position: position(41, 51), replicas: replicas() }),
        ),
        Case::new(
            "fleet-changes",
            ToSubscriber::Fleet(FleetUpdate::Changes {
                base: position(41, 51),
                position: position(42, 52),
                changed: replicas(),
                removed: vec!["replica-gone".to_owned(), "replica-gone-too".to_owned()],
            }),
        ),
        Case::new("weights", ToSubscriber::Weights(weights)),
    ]
}

fn other_messages_to_a_subscriber() -> Vec<Case<ToSubscriber>> {
    let updates =
        || vec![cache_update(Liveness::Alive), cache_update(Liveness::Down), cache_update(Liveness::Gone)];
    let cache_index = |base| {
        ToSubscriber::CacheIndex(CacheIndexUpdate { base, position: position(45, 55), updates: updates() })
    };
    let control = vec![
        ControlNode { id: node(1), zone: "zone-1".to_owned() },
        ControlNode { id: node(2), zone: "zone-2".to_owned() },
    ];
    let loads = LoadTable {
        position: position(46, 56),
        fleet: position(47, 57),
        queued_units: vec![0, 1, 127, 128, 255],
    };
    vec![
        Case::new("cache-table", cache_index(None)),
        Case::new("cache-table-changes", cache_index(Some(position(44, 54)))),
        Case::new("group", ToSubscriber::ClusterMembership(ClusterMembership { gateways: 441, control })),
        Case::new("pong", ToSubscriber::Pong { id: 300, age_ms: Some(25), revision: Revision(70_001) }),
        Case::new(
            "pong-without-age",
            ToSubscriber::Pong { id: 301, age_ms: None, revision: Revision(70_002) },
        ),
        Case::new("loads", ToSubscriber::Loads(loads)),
    ]
}

#[test]
fn replication_messages_keep_their_bytes() {
    let mut cases = view_change_messages();
    cases.extend(primary_messages());
    for case in &cases {
        // A new variant needs a case.
        match &case.value.message {
            ReplicationMessage::Prepare { .. }
            | ReplicationMessage::Promise { .. }
            | ReplicationMessage::Refuse { .. }
            | ReplicationMessage::Sync { .. }
            | ReplicationMessage::SyncProgress { .. }
            | ReplicationMessage::Synced { .. }
            | ReplicationMessage::Install { .. }
            | ReplicationMessage::Installed { .. }
            | ReplicationMessage::Append { .. }
            | ReplicationMessage::Appended { .. }
            | ReplicationMessage::Heartbeat { .. }
            | ReplicationMessage::HeartbeatAck { .. }
            | ReplicationMessage::Release { .. }
            | ReplicationMessage::Join { .. } => {}
        }
    }
    check_framed("replication.txt", &cases);
}

fn view_change_messages() -> Vec<Case<Envelope>> {
    let transfer = TransferId {
        snapshot_sequence: SequenceNumber(81),
        sequence: SequenceNumber(82),
        length: 83_000,
        checksum: 84_000_000_000,
    };
    vec![
        enveloped("prepare", ReplicationMessage::Prepare { epoch: Epoch(4_294_967_297) }),
        enveloped("promise", ReplicationMessage::Promise { epoch: Epoch(4_294_967_298), view: view() }),
        enveloped("refuse", ReplicationMessage::Refuse { epoch: Epoch(61), promised: Epoch(62) }),
        enveloped(
            "sync",
            ReplicationMessage::Sync {
                epoch: Epoch(63),
                data_epoch: Epoch(64),
                transfer,
                offset: 65_536,
                bytes: bytes(&[9, 8, 7, 200]),
            },
        ),
        enveloped(
            "sync-progress",
            ReplicationMessage::SyncProgress { epoch: Epoch(65), transfer, received: 66 },
        ),
        enveloped("synced", ReplicationMessage::Synced { epoch: Epoch(67), sequence: SequenceNumber(68) }),
        enveloped("install", ReplicationMessage::Install { view: view() }),
        enveloped("installed", ReplicationMessage::Installed { epoch: Epoch(69) }),
    ]
}

fn primary_messages() -> Vec<Case<Envelope>> {
    let entry = Entry { sequence: SequenceNumber(71), command: bytes(b"a command") };
    let acknowledgement = |disk_healthy, leaving| ReplicationMessage::HeartbeatAck {
        epoch: Epoch(76),
        token: 77,
        zone: "zone-3".to_owned(),
        disk_healthy,
        leaving,
    };
    vec![
        enveloped("append", ReplicationMessage::Append { epoch: Epoch(70), entry }),
        enveloped(
            "appended",
            ReplicationMessage::Appended { epoch: Epoch(72), sequence: SequenceNumber(73) },
        ),
        enveloped(
            "heartbeat",
            ReplicationMessage::Heartbeat { view: view(), token: 74, committed: SequenceNumber(75) },
        ),
        enveloped("heartbeat-ack-healthy", acknowledgement(true, false)),
        enveloped("heartbeat-ack-leaving", acknowledgement(false, true)),
        enveloped("release", ReplicationMessage::Release { epoch: Epoch(78), successor: node(3) }),
        enveloped("join", ReplicationMessage::Join { zone: "zone-4".to_owned() }),
    ]
}

#[test]
fn peer_sampling_messages_keep_their_bytes() {
    let cases = [
        Case::new(
            "offer",
            Shuffle::Offer { from: peer(1, Role::Agent), entries: vec![peer(2, Role::Control)] },
        ),
        Case::new(
            "reply",
            Shuffle::Reply {
                from: peer(3, Role::Control),
                entries: vec![peer(4, Role::Agent), peer(5, Role::Control)],
            },
        ),
    ];
    for case in &cases {
        // A new variant needs a case above.
        match &case.value {
            Shuffle::Offer { .. } | Shuffle::Reply { .. } => {}
        }
    }
    check_stored(
        "peer-sampling.txt",
        &cases,
        |message| frame::encode(message).expect("the message is encodable"),
        |stored| frame::decode(stored).expect("the message is decodable"),
    );
}

/// Compares framed messages with the stored bytes.
fn check_framed<T>(file: &str, cases: &[Case<T>])
where
    T: Debug + PartialEq + Encode<Binary> + for<'de> Decode<'de, Binary, Global>,
{
    let encode = |message: &T| {
        let mut framed = Vec::new();
        frame::append(message, &mut framed).expect("the message is encodable");
        framed
    };
    let decode = |stored: &[u8]| {
        let mut buffer = stored.to_vec();
        let message = frame::take(&mut buffer).expect("the frame is valid").expect("the frame is complete");
        assert!(buffer.is_empty(), "bytes remain after the message");
        message
    };
    check_stored(file, cases, encode, decode);
}

fn enveloped(name: &'static str, message: ReplicationMessage) -> Case<Envelope> {
    Case::new(name, Envelope { from: node(6), to: node(7), message })
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

fn peer(number: u8, role: Role) -> peer_sampling::Entry {
    peer_sampling::Entry {
        id: node(number),
        role,
        zone: format!("zone-{number}"),
        age: 100 + u32::from(number),
    }
}

fn position(epoch: u64, sequence: u64) -> Position {
    Position { epoch: Epoch(epoch), sequence: ChangeNumber(sequence) }
}

fn bytes(content: &[u8]) -> Arc<[u8]> {
    Arc::from(content)
}

fn replica(phase: ReplicaPhase) -> Replica {
    Replica {
        id: "replica-1-a".to_owned(),
        service: "alpha".to_owned(),
        address: "10.3.2.1:8080".to_owned(),
        zone: "zone-1".to_owned(),
        capacity: 128,
        phase,
        warm_left_ms: 4_500,
        models: vec![
            ModelRevision { model: "model-a".to_owned(), revision: WeightsRevision(5) },
            ModelRevision { model: "model-b".to_owned(), revision: WeightsRevision(6) },
        ],
    }
}

fn cache_update(liveness: Liveness) -> CacheUpdate {
    CacheUpdate {
        source: SocketAddrV4::new(Ipv4Addr::new(10, 4, 5, 6), 8_680),
        boot: 91,
        next_token: 92,
        liveness,
        replace: liveness == Liveness::Gone,
        added: vec![
            CachedPrefix { key: PrefixKey(93), tokens: 94 },
            CachedPrefix { key: PrefixKey(u64::MAX - 5), tokens: 96 },
        ],
        removed: vec![PrefixKey(97), PrefixKey(98_000_000_000)],
    }
}
