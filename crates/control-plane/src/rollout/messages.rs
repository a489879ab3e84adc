//! The messages exchanged with replicas about their weights.

use serde::{Deserialize, Serialize};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::ModelRevision;

/// Fencing token of a primary: a replica refuses commands whose token is lower than the highest one it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// A command to load weights. The serialized field names are those of the replicas' interface.
#[derive(Debug, Serialize)]
pub struct LoadCommand<'a> {
    #[serde(rename = "orderKind")]
    kind: &'static str,
    #[serde(rename = "llm")]
    model: &'a str,
    revision: WeightsRevision,
    method: LoadMethod,
    owner: &'a str,
    #[serde(rename = "fenceNo")]
    fencing_token: FencingToken,
}

/// How a replica treats running requests when it is commanded to load weights.
#[derive(Clone, Copy, Debug, Serialize)]
enum LoadMethod {
    /// Running requests are completed before the load starts.
    #[serde(rename = "hold")]
    Drain,
}

impl<'a> LoadCommand<'a> {
    /// Creates a command to load `weights` from the primary named `owner`.
    #[must_use]
    pub fn new(weights: &'a ModelRevision, owner: &'a str, fencing_token: FencingToken) -> LoadCommand<'a> {
        LoadCommand {
            kind: "revision",
            model: &weights.model,
            revision: weights.revision,
            method: LoadMethod::Drain,
            owner,
            fencing_token,
        }
    }
}

/// The outcome of a load command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The replica has accepted the command, and the load is in progress.
    Accepted,
    /// The replica already has these weights.
    AlreadyLoaded,
    /// The replica is busy with another load.
    Busy,
    /// The replica has seen a higher fencing token.
    Fenced,
    /// A different replica has this address now.
    WrongReplica,
    /// The command was not accepted for another reason: for example, the replica is full or can't be reached.
    Refused,
    /// The call failed after the connection was established: the replica may have accepted the command.
    Unanswered,
}

impl CommandOutcome {
    /// The outcome that the HTTP status of a response denotes.
    #[must_use]
    pub fn from_status(status: u16) -> CommandOutcome {
        match status {
            202 => CommandOutcome::Accepted,
            200 => CommandOutcome::AlreadyLoaded,
            409 => CommandOutcome::Busy,
            412 => CommandOutcome::Fenced,
            421 => CommandOutcome::WrongReplica,
            _ => CommandOutcome::Refused,
        }
    }
}

/// The part of a replica's report that the rollout uses.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "ReportBody")]
pub struct ReplicaReport {
    /// The replica's models, and the revisions of their weights.
    pub models: Vec<ModelRevision>,
    /// Whether a load is in progress.
    pub is_loading: bool,
}

impl ReplicaReport {
    /// Whether the replica has these weights or newer ones.
    pub(super) fn has_weights(&self, weights: &ModelRevision) -> bool {
        self.models
            .iter()
            .any(|present| present.model == weights.model && present.revision >= weights.revision)
    }
}

#[derive(Deserialize)]
struct ReportBody {
    #[serde(rename = "llms", default)]
    models: Vec<ReportedModel>,
    /// The wire name is `loaded`, but the value is true while a load is in progress.
    #[serde(rename = "loaded", default)]
    is_loading: bool,
}

#[derive(Deserialize)]
struct ReportedModel {
    label: String,
    revision: WeightsRevision,
}

impl From<ReportBody> for ReplicaReport {
    fn from(body: ReportBody) -> ReplicaReport {
        let models = body.models.into_iter().map(ModelRevision::from).collect();
        ReplicaReport { models, is_loading: body.is_loading }
    }
}

impl From<ReportedModel> for ModelRevision {
    fn from(reported: ReportedModel) -> ModelRevision {
        ModelRevision { model: reported.label, revision: reported.revision }
    }
}
