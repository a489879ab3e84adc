//! The feed propagates state from the control plane's primary to the relays of each zone, from a relay to the agents of
//! its zone, and from an agent to the proxy on the same machine. A relay is a member of the control plane that serves
//! agents. Each hop uses the same protocol, which resembles the incremental (delta) variant of xDS.
//!
//! A subscriber connects and sends the positions that it has. The publisher sends what is missing (snapshots, or deltas
//! from these positions) and after that each change, in order, on the same connection. A subscriber sends pings; the
//! pong says how long ago the publisher's state was known to be the newest. Each hop computes its own freshness from
//! the time at which it sent the ping, and so needs no clock but its own monotonic one.
//!
//! Fields and variants are encoded by position: names may change, order and types may not.

use std::sync::Arc;

use musli::{Decode, Encode};
use tulipridge_configuration::Configuration;
pub use tulipridge_configuration::ConfigurationChanges;
use tulipridge_configuration::number::{Revision, WeightsRevision};
pub use tulipridge_prefix_cache_index::CacheUpdate;

use crate::node::NodeId;
use crate::number::{ChangeNumber, Epoch};
use crate::queued_work_entries;

pub use crate::queued_work_entries::QueuedWorkEntry;

/// From a subscriber to its publisher.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToPublisher {
    /// The first message of a connection.
    Subscribe(Subscribe),
    /// Requests a [`ToSubscriber::Pong`] with the freshness of the publisher's state.
    Ping {
        /// Returned in the pong.
        id: u64,
        /// Gateways (agents) that this subscriber serves, itself included if it is one.
        gateways: u32,
    },
    /// The work queued at replicas by the gateways that this subscriber serves. Sent only to publishers that have
    /// sent a table of loads, since earlier versions can't decode this message.
    QueuedWork(QueuedWork),
}

/// Work that gateways have sent to replicas and that the replicas have not started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct QueuedWork {
    /// The position of the table of replicas that the entries refer to.
    pub fleet: Position,
    /// The replicas with queued work.
    #[musli(with = queued_work_entries)]
    pub entries: Vec<QueuedWorkEntry>,
}

/// A subscriber, and the positions from which it resumes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Subscribe {
    /// The subscriber's machine name.
    pub name: String,
    /// The subscriber's zone.
    pub zone: String,
    /// The kind of process that subscribes.
    pub role: SubscriberRole,
    /// The positions that the subscriber already has.
    pub known: KnownPositions,
}

/// The kind of process that subscribes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SubscriberRole {
    /// A member of the control plane that serves agents.
    Relay,
    /// An agent, on the machine of a proxy.
    Agent,
    /// A proxy.
    Proxy,
}

/// The positions up to which a subscriber has the state; zeros where it has nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct KnownPositions {
    /// Revision of the configuration.
    pub configuration: Revision,
    /// Position of the table of replicas.
    pub fleet: Position,
    /// Position of the table of weights.
    pub weights: Position,
    /// Position of the prefix-cache index.
    pub cache_index: Position,
    /// Position of the table of loads; `None` from earlier versions without this table, to which it is not sent.
    #[musli(default)]
    pub loads: Option<Position>,
}

/// The version of a table: the epoch of the primary that wrote it, and the number of its change in that epoch.
/// Positions only rise; a subscriber ignores an update whose position is not above the one that it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Position {
    /// The primary's epoch.
    pub epoch: Epoch,
    /// The change's number within it.
    pub sequence: ChangeNumber,
}

/// From a publisher to its subscriber.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToSubscriber {
    /// The configuration, as a snapshot or a delta.
    Configuration(ConfigurationUpdate),
    /// The table of replicas, as a snapshot or a delta.
    Fleet(FleetUpdate),
    /// The table of weights, always as a snapshot: it has only one entry per model.
    Weights(WeightsTable),
    /// The prefix-cache index, as a snapshot or a delta.
    CacheIndex(CacheIndexUpdate),
    /// The number of gateways and the members of the control plane.
    ClusterMembership(ClusterMembership),
    /// The response to a ping.
    Pong {
        /// The ping's id.
        id: u64,
        /// How long before this response, in milliseconds, the publisher's state was last known to be the newest;
        /// `None` while that is unknown.
        age_ms: Option<u32>,
        /// Revision of the configuration that the publisher has.
        revision: Revision,
    },
    /// The table of loads, always as a snapshot: most entries change from one snapshot to the next.
    Loads(LoadTable),
}

/// An update of the configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigurationUpdate {
    /// The complete configuration.
    Snapshot(Arc<Configuration>),
    /// The difference from the configuration that the subscriber has.
    Changes(ConfigurationChanges),
}

/// An update of the table of replicas.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum FleetUpdate {
    /// The complete table.
    Snapshot {
        /// The table's position.
        position: Position,
        /// The table's entries.
        replicas: Vec<Replica>,
    },
    /// The difference from the table at `base`.
    Changes {
        /// The position from which the changes apply.
        base: Position,
        /// The position after them.
        position: Position,
        /// Replicas that are new or changed.
        changed: Vec<Replica>,
        /// Ids of replicas that are gone.
        removed: Vec<String>,
    },
}

/// An update of the prefix-cache index.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct CacheIndexUpdate {
    /// The position from which the changes apply; `None` in a snapshot.
    pub base: Option<Position>,
    /// The position after them.
    pub position: Position,
    /// The changes, at most one per source.
    pub updates: Vec<CacheUpdate>,
}

/// A replica as the control plane knows it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Replica {
    /// The id of this incarnation, sent in the `Meant-Server` header.
    pub id: String,
    /// The service that the replica belongs to.
    pub service: String,
    /// `IP:PORT`.
    pub address: String,
    /// The replica's zone.
    pub zone: String,
    /// Number of requests that the replica runs concurrently.
    pub capacity: u32,
    /// Whether the replica may be sent requests.
    pub phase: ReplicaPhase,
    /// Remaining time of slow start, in milliseconds, when the entry was written.
    pub warm_left_ms: u32,
    /// The models that the replica serves and the revisions of their weights.
    pub models: Vec<ModelRevision>,
}

/// Whether a replica may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaPhase {
    /// The replica may be sent requests.
    Ready,
    /// The replica loads weights or is about to; no new requests are sent.
    Loading,
    /// The replica is draining; no new requests are sent.
    Draining,
}

/// A model and a revision of its weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ModelRevision {
    /// The model's name.
    pub model: String,
    /// The revision of its weights, from 1 and rising.
    pub revision: WeightsRevision,
}

/// The target revision of each model's weights, and which revisions must no longer be used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WeightsTable {
    /// The table's position.
    pub position: Position,
    /// An entry for each model.
    pub models: Vec<ModelWeights>,
}

/// The weights of a model.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ModelWeights {
    /// The model's name.
    pub model: String,
    /// The target revision: the newest that the operator announced.
    pub target: WeightsRevision,
    /// The oldest revision that may still be used: requests are sent only to replicas of this revision or newer.
    pub minimum: WeightsRevision,
    /// The operator's deadline for revisions below this one is about to pass: requests queued on them must not
    /// start any more. 0 in messages of earlier versions, which lack this field.
    #[musli(default)]
    pub expired_below: WeightsRevision,
}

/// How much work is queued at each replica by all gateways together, in units of [`WORK_UNIT_TOKENS`] of prompt; at
/// least one unit per request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadTable {
    /// The position of this table.
    pub position: Position,
    /// The position of the table of replicas that the entries refer to.
    pub fleet: Position,
    /// The units queued at each replica, in the order of the replicas' ids; 255 stands for 255 or more.
    #[musli(bytes)]
    pub queued_units: Vec<u8>,
}

/// Prompt tokens per unit of queued work.
pub const WORK_UNIT_TOKENS: u32 = 1024;

/// The gateways and the members of the control plane.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ClusterMembership {
    /// Number of gateways whose pings the control plane has received recently.
    pub gateways: u32,
    /// Members of the control plane, voters and standbys.
    pub control: Vec<ControlNode>,
}

/// A member of the control plane, as agents need to know it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ControlNode {
    /// The member's id.
    pub id: NodeId,
    /// The member's zone.
    pub zone: String,
}
