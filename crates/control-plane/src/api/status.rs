//! `GET /status`: the control plane as this member sees it.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::Serialize;
use tulipridge_configuration::number::{Revision, WeightsRevision};

use super::{Access, ControlPlane, Request, Response, ResponseFuture, Route};

/// The control plane as a member sees it. Each field is a key of the response, which is why there are so many.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// The id of the member.
    pub node: String,
    /// The name of the member's machine.
    pub name: String,
    /// The member's role: `standby`, `voter`, `backup` or `primary`.
    pub role: &'static str,
    /// Whether the member is the primary within its lease.
    #[serde(rename = "lease")]
    pub has_lease: bool,
    /// The epoch of the newest view that the member knows of.
    pub epoch: u64,
    /// The voters. A replaced voter is listed until elections no longer need its vote.
    pub voters: Vec<String>,
    /// The data replicas. The first one is the primary.
    pub holders: Vec<String>,
    /// The primary, if it sent a heartbeat recently.
    pub primary: Option<String>,
    /// The revision of the configuration that the member delivers.
    pub configuration: Revision,
    /// The target revisions of weights that the member delivers, by model.
    pub weights: BTreeMap<String, WeightsRevision>,
    /// The number of replicas that the member delivers.
    pub replicas: usize,
    /// The ids of these replicas, by model and by the revision of the weights that they have.
    pub replica_weights: ReplicaWeights,
    /// The size of the prefix cache index that the member delivers.
    #[serde(rename = "keptIndex")]
    pub cache_index: IndexSize,
    /// The holder of each singleton role: this member, or the primary if it sent a heartbeat recently.
    #[serde(rename = "duties")]
    pub singleton_roles: BTreeMap<&'static str, String>,
    /// Time since the delivered state was known to be current, in milliseconds.
    pub age_ms: Option<u64>,
    /// The number of subscribers to the member's feed.
    pub subscribers: usize,
    /// The number of proxies that the control plane knows of.
    pub gateways: u32,
}

/// The ids of replicas, by model and by the revision of its weights.
pub type ReplicaWeights = BTreeMap<String, BTreeMap<WeightsRevision, Vec<String>>>;

/// The size of the prefix cache index.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct IndexSize {
    /// The number of followed sources: cache stores and replicas.
    pub sources: usize,
    /// The number of pairs of a prefix segment and a source that has it cached.
    pub entries: usize,
}

/// The route that reads a member's status.
pub(super) fn get<C: ControlPlane>() -> Route<C> {
    Route { method: "GET", path: "/status", access: Access::Any, handler: handle }
}

fn handle<C: ControlPlane>(control: Rc<C>, _: Request) -> ResponseFuture {
    Box::pin(async move { Response::json(200, &control.status()) })
}
