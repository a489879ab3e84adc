//! `GET /status`: how this member sees the control plane.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::Serialize;

use super::{Access, Call, ControlPlane, Handling, Request, Response};

/// How a member sees the control plane.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// The member.
    pub node: String,
    /// The machine's name.
    pub name: String,
    /// Whether it is the primary.
    pub role: &'static str,
    /// It is the primary, and a majority confirms it.
    pub lease: bool,
    /// The epoch of the newest view that it knows.
    pub epoch: u64,
    /// Who votes; a voter that was exchanged is listed until no election needs it any more.
    pub voters: Vec<String>,
    /// Who holds the data; the first is the primary.
    pub holders: Vec<String>,
    /// The primary, if it was heard lately.
    pub primary: Option<String>,
    /// The newest configuration that it delivers.
    pub configuration: u64,
    /// The newest weights that were named, by model, as it delivers them.
    pub weights: BTreeMap<String, u64>,
    /// Replicas that it delivers.
    pub replicas: usize,
    /// Ids of these replicas, by model and by the revision of its weights that they have.
    pub replica_weights: ReplicaWeights,
    /// The index of kept prompts that it delivers.
    pub kept_index: IndexSize,
    /// Who has each duty: this member, or the primary if it was heard lately.
    pub duties: BTreeMap<&'static str, String>,
    /// How long ago what it delivers was known to be the newest, in milliseconds.
    pub age_ms: Option<u64>,
    /// Processes that follow its feed.
    pub subscribers: usize,
    /// Gateways that the control plane knows of.
    pub gateways: u32,
}

/// Ids of replicas, by model and by the revision of its weights.
pub type ReplicaWeights = BTreeMap<String, BTreeMap<u64, Vec<String>>>;

/// The size of the index of kept prompts.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct IndexSize {
    /// Stores and replicas that are followed.
    pub sources: usize,
    /// Pairs of a part of a prompt and a source that keeps it.
    pub entries: usize,
}

/// Reads a member's status.
pub(super) fn get<C: ControlPlane>() -> Call<C> {
    Call { method: "GET", path: "/status", access: Access::Any, handler: handle }
}

fn handle<C: ControlPlane>(control: Rc<C>, _: Request) -> Handling {
    Box::pin(async move { Response::json(200, &control.status()) })
}
