//! The messages that are exchanged with replicas about the weights that they serve.

use serde::{Deserialize, Serialize};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::ModelRevision;

/// Fencing token of a primary: a replica refuses commands with a lower one than it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// A command to load weights. The field names are those of the replicas' interface.
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

/// What becomes of running requests when a replica is to load weights.
#[derive(Clone, Copy, Debug, Serialize)]
enum LoadMethod {
    /// They run to their end before the load begins.
    #[serde(rename = "hold")]
    Drain,
}

impl<'a> LoadCommand<'a> {
    /// A command to load `weights`, by the primary named `owner`.
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

/// How a load command to a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The load is in progress.
    Accepted,
    /// The replica has these weights.
    AlreadyLoaded,
    /// Another load is in progress.
    Busy,
    /// The replica has seen a higher fencing token.
    Fenced,
    /// Another replica has the address now.
    WrongReplica,
    /// The replica did not accept the command, as while it is full.
    Refused,
    /// No response came: the command may have been accepted.
    Unanswered,
}

impl CommandOutcome {
    /// The meaning of a response's HTTP status.
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

/// A replica's report, as far as the roll-out uses it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "ReportBody")]
pub struct ReplicaReport {
    /// Its models and the revision of their weights.
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
