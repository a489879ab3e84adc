//! `GET /status`: how this member sees the control plane.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::Serialize;
use tulipridge_configuration::number::{Revision, WeightsRevision};

use super::{Access, ControlPlane, Request, Response, ResponseFuture, Route};

/// How a member sees the control plane. Each field is a key of the response, hence their number.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// The member.
    pub node: String,
    /// The machine's name.
    pub name: String,
    /// Whether it is the primary.
    pub role: &'static str,
    /// Whether it is the primary within its lease.
    #[serde(rename = "lease")]
    pub has_lease: bool,
    /// The epoch of the newest view that it knows of.
    pub epoch: u64,
    /// The voters; one that was replaced is listed until no election needs it any more.
    pub voters: Vec<String>,
    /// The members that hold the data; the first is the primary.
    pub holders: Vec<String>,
    /// The primary, if a heartbeat of it came lately.
    pub primary: Option<String>,
    /// The newest configuration that it delivers.
    pub configuration: Revision,
    /// The newest weights that were named, by model, as it delivers them.
    pub weights: BTreeMap<String, WeightsRevision>,
    /// Replicas that it delivers.
    pub replicas: usize,
    /// Ids of these replicas, by model and by the revision of its weights that they have.
    pub replica_weights: ReplicaWeights,
    /// The prefix cache index that it delivers.
    #[serde(rename = "keptIndex")]
    pub cache_index: IndexSize,
    /// Who has each singleton role: this member, or the primary if a heartbeat of it came lately.
    #[serde(rename = "duties")]
    pub singleton_roles: BTreeMap<&'static str, String>,
    /// How long ago what it delivers was known to be the newest, in milliseconds.
    pub age_ms: Option<u64>,
    /// Processes that follow its feed.
    pub subscribers: usize,
    /// Proxies that the control plane knows of.
    pub gateways: u32,
}

/// Ids of replicas, by model and by the revision of its weights.
pub type ReplicaWeights = BTreeMap<String, BTreeMap<WeightsRevision, Vec<String>>>;

/// The size of the prefix cache index.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct IndexSize {
    /// Stores and replicas that are followed.
    pub sources: usize,
    /// Pairs of a prefix segment and a source that has it cached.
    pub entries: usize,
}

/// Reads a member's status.
pub(super) fn get<C: ControlPlane>() -> Route<C> {
    Route { method: "GET", path: "/status", access: Access::Any, handler: handle }
}

fn handle<C: ControlPlane>(control: Rc<C>, _: Request) -> ResponseFuture {
    Box::pin(async move { Response::json(200, &control.status()) })
}
