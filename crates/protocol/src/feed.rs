//! The feed: state from the control plane's primary to the homes of each zone, from a home to the agents of its
//! zone, and from an agent to the proxy beside it. Each hop speaks the same protocol.
//!
//! A subscriber connects and says what it holds. The publisher answers with what is missing (a snapshot, or the
//! changes since) and from then on with each change, in order, on the same connection. A subscriber pings; the
//! answer says how long ago the publisher's state was known to be the newest, so that each hop can reckon its
//! own freshness from the moment it sent the ping, by its own steady clock alone.

use std::sync::Arc;

use musli::{Decode, Encode};
use tulipridge_configuration::Configuration;
pub use tulipridge_configuration::ConfigurationChanges;
pub use tulipridge_prefix_cache_index::CacheUpdate;

use crate::node::NodeId;

/// From a subscriber to its publisher.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToPublisher {
    /// The first message of a connection.
    Subscribe(Subscribe),
    /// Asks how fresh the publisher's state is.
    Ping {
        /// Returned in the answer.
        id: u64,
        /// Gateways (agents) that this subscriber serves, itself included if it is one.
        gateways: u32,
    },
    /// What waits at replicas of the gateways that this subscriber serves. Only publishers that have sent a table of
    /// loads are told.
    Waiting(QueuedWork),
}

/// Work that gateways have sent to replicas and that these have not begun.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct QueuedWork {
    /// The table of replicas that the places refer to, in the order of ids.
    pub fleet: Position,
    /// Replicas with work that waits, by their places, and how much it is.
    pub lines: Vec<(u32, u32)>,
}

/// Who subscribes, and what it holds.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Subscribe {
    /// The subscriber's machine name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// What it is.
    pub role: SubscriberRole,
    /// What it holds.
    pub holds: KnownPositions,
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

/// How far a subscriber's state goes; zeros where it holds nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct KnownPositions {
    /// Revision of the configuration.
    pub configuration: u64,
    /// Position of the table of replicas.
    pub fleet: Position,
    /// Position of the table of weights.
    pub weights: Position,
    /// Position of the index of kept prompts.
    pub kept: Position,
    /// Position of the table of loads; none from programs that do not know of it, which are not sent it.
    #[musli(default)]
    pub loads: Option<Position>,
}

/// Where a table stands: the epoch of the primary that wrote it, and the number of its change in that epoch.
/// Positions only rise; a subscriber ignores what is not above the one that it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Position {
    /// The primary's epoch.
    pub epoch: u64,
    /// The change's number within it.
    pub sequence: u64,
}

/// From a publisher to its subscriber.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToSubscriber {
    /// The configuration, whole or changed.
    Configuration(ConfigurationUpdate),
    /// The table of replicas, whole or changed.
    Fleet(FleetUpdate),
    /// The table of weights, always whole: it has a line for each model.
    Weights(WeightsTable),
    /// The index of kept prompts, whole or changed.
    Kept(CacheTableUpdate),
    /// How many gateways there are, and who serves control.
    Group(Group),
    /// Answers a ping.
    Pong {
        /// The ping's number.
        id: u64,
        /// How long before this answer, in milliseconds, the publisher's state was known to be the newest;
        /// none while that is not known.
        age_ms: Option<u32>,
        /// Revision of the configuration that the publisher holds.
        revision: u64,
    },
    /// The table of loads, always whole: most of its lines change from one to the next.
    Loads(LoadTable),
}

/// News of the configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigurationUpdate {
    /// The whole configuration.
    Snapshot(Arc<Configuration>),
    /// What differs from the one that the subscriber holds.
    Changes(ConfigurationChanges),
}

/// News of the table of replicas.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum FleetUpdate {
    /// The whole table.
    Snapshot {
        /// Where it stands.
        position: Position,
        /// Its lines.
        replicas: Vec<Replica>,
    },
    /// What differs from the table at `base`.
    Changes {
        /// Where the table must stand for the changes to apply.
        base: Position,
        /// Where it stands after them.
        position: Position,
        /// Replicas that are new or changed.
        changed: Vec<Replica>,
        /// Ids of replicas that are gone.
        removed: Vec<String>,
    },
}

/// News of the index of kept prompts.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct CacheTableUpdate {
    /// Where the index must stand for the changes to apply; none where they are the whole index.
    pub base: Option<Position>,
    /// Where it stands after them.
    pub position: Position,
    /// What has changed, at most once for a source.
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
    /// Time for which it is still slow after its start, in milliseconds, when the line was written.
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
    /// It is leaving; nothing new is sent.
    Draining,
}

/// A model and a revision of its weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct ModelRevision {
    /// The model's name.
    pub model: String,
    /// The revision of its weights, from 1 and rising.
    pub revision: u64,
}

/// Which weights are named, and from when on older ones must not be used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct WeightsTable {
    /// Where it stands.
    pub position: Position,
    /// A line for each model.
    pub models: Vec<ModelWeights>,
}

/// The weights of a model.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ModelWeights {
    /// The model's name.
    pub model: String,
    /// The newest revision that the operator named.
    pub named: u64,
    /// Requests may be sent to replicas of this revision or newer, and to no others.
    pub least: u64,
    /// The operator's term for older revisions than this one is about to end: requests that wait on them are not to
    /// begin any more. 0 in messages of programs that do not know of it.
    #[musli(default)]
    pub expired: u64,
}

/// How much work waits at each replica, of all gateways together, in units of [`WORK_UNIT_TOKENS`] that have to be read;
/// at least one for each request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct LoadTable {
    /// Where it stands.
    pub position: Position,
    /// The table of replicas that its lines follow, in the order of ids.
    pub fleet: Position,
    /// A byte for each replica; the highest one stands for as much or more.
    #[musli(bytes)]
    pub waiting: Vec<u8>,
}

/// Tokens of a prompt in a unit of work that waits.
pub const WORK_UNIT_TOKENS: u32 = 1024;

/// Who takes part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Group {
    /// Gateways that the control plane has heard of lately.
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
