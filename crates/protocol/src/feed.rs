//! The feed: state from the control plane's primary to the relays of each zone, from a relay to the agents of its
//! zone, and from an agent to the proxy beside it. A relay is a member of the control plane that serves agents. Each
//! hop speaks the same protocol, which resembles the incremental (delta) variant of xDS.
//!
//! A subscriber connects and states the positions that it knows. The publisher sends what is missing (snapshots, or
//! deltas from these positions) and from then on each change, in order, on the same connection. A subscriber pings;
//! the pong says how long ago the publisher's state was known to be the newest, so that each hop can compute its own
//! freshness from the moment it sent the ping, by its own monotonic clock alone.
//!
//! The encoding numbers fields and variants by their order: names may change, order and types may not.

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
    /// The work queued at replicas by the gateways that this subscriber serves. It is sent only to publishers that
    /// have sent a table of loads, since earlier versions don't know this message.
    QueuedWork(QueuedWork),
}

/// Work that gateways have sent to replicas and that these have not started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct QueuedWork {
    /// The position of the table of replicas that the entries refer to.
    pub fleet: Position,
    /// The replicas with queued work.
    #[musli(with = queued_work_entries)]
    pub entries: Vec<QueuedWorkEntry>,
}

/// Who subscribes, and from which positions it resumes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Subscribe {
    /// The subscriber's machine name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// What it is.
    pub role: SubscriberRole,
    /// The positions that it knows already.
    pub known: KnownPositions,
}

/// What a subscriber is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum SubscriberRole {
    /// A member of the control plane that serves agents.
    Relay,
    /// An agent beside a proxy.
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
    /// Position of the table of loads; none from programs that do not know of it, which are not sent it.
    #[musli(default)]
    pub loads: Option<Position>,
}

/// The version of a table: the epoch of the primary that wrote it, and the number of its change in that epoch.
/// Positions only rise; a subscriber ignores an update whose position is not above the one that it knows.
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
    /// The table of weights, always as a snapshot: it has only one entry a model.
    Weights(WeightsTable),
    /// The prefix-cache index, as a snapshot or a delta.
    CacheIndex(CacheIndexUpdate),
    /// How many gateways there are, and the members of the control plane.
    Group(Group),
    /// The reply to a ping.
    Pong {
        /// The ping's id.
        id: u64,
        /// How long before this reply, in milliseconds, the publisher's state was known to be the newest;
        /// none while that is not known.
        age_ms: Option<u32>,
        /// Revision of the configuration that the publisher has.
        revision: Revision,
    },
    /// The table of loads, always as a snapshot: most of its entries change from one to the next.
    Loads(LoadTable),
}

/// An update of the configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigurationUpdate {
    /// The complete configuration.
    Snapshot(Arc<Configuration>),
    /// The difference from the one that the subscriber has.
    Changes(ConfigurationChanges),
}

/// An update of the table of replicas.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum FleetUpdate {
    /// The complete table.
    Snapshot {
        /// Its position.
        position: Position,
        /// Its entries.
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
    /// The position from which the changes apply; none in a snapshot.
    pub base: Option<Position>,
    /// The position after them.
    pub position: Position,
    /// The changes, at most one a source.
    pub updates: Vec<CacheUpdate>,
}

/// A replica as the control plane knows it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Replica {
    /// The id of this incarnation, which `Meant-Server` carries.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// `IP:PORT`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Whether it may be sent requests.
    pub phase: ReplicaPhase,
    /// Time for which it is still slow after its start, in milliseconds, when the entry was written.
    pub warm_left_ms: u32,
    /// The models that it serves and the revision of their weights.
    pub models: Vec<ModelRevision>,
}

/// Whether a replica may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaPhase {
    /// It may.
    Ready,
    /// It is about to load weights or loads them; nothing new is sent.
    Loading,
    /// It is draining; nothing new is sent.
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

/// The weights that the operator named, and which revisions must not be used any more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WeightsTable {
    /// Its position.
    pub position: Position,
    /// An entry for each model.
    pub models: Vec<ModelWeights>,
}

/// The weights of a model.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ModelWeights {
    /// The model's name.
    pub model: String,
    /// The newest revision that the operator named.
    pub named: WeightsRevision,
    /// Requests may be sent to replicas of this revision or newer, and to no others.
    pub least: WeightsRevision,
    /// The operator's deadline for older revisions than this one is about to end: requests queued on them must not
    /// start any more. 0 in messages of programs that do not know of it.
    #[musli(default)]
    pub expired: WeightsRevision,
}

/// How much work is queued at each replica by all gateways together, in units of [`WORK_UNIT_TOKENS`] of prompt; at
/// least one unit a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadTable {
    /// Its position.
    pub position: Position,
    /// The position of the table of replicas that its entries refer to.
    pub fleet: Position,
    /// The units queued at each replica, in the order of their ids; 255 stands for that or more.
    #[musli(bytes)]
    pub queued_units: Vec<u8>,
}

/// Tokens of a prompt in a unit of queued work.
pub const WORK_UNIT_TOKENS: u32 = 1024;

/// The gateways and the members of the control plane.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Group {
    /// Gateways that the control plane has received pings of lately.
    pub gateways: u32,
    /// Members of the control plane, voters and standbys.
    pub control: Vec<ControlNode>,
}

/// A member of the control plane, as agents need to know it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ControlNode {
    /// The member.
    pub id: NodeId,
    /// Its zone.
    pub zone: String,
}
