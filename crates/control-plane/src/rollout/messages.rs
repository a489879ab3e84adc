//! What is said to replicas about their weights.

use serde::{Deserialize, Serialize};
use tulipridge_protocol::feed::ModelRevision;

/// An order to load weights, as a replica reads it.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RevisionOrder<'a> {
    order_kind: &'static str,
    #[serde(rename = "llm")]
    model: &'a str,
    revision: u64,
    method: LoadMethod,
    owner: &'a str,
    fence_no: u64,
}

/// What becomes of requests that run when a replica is to load weights.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum LoadMethod {
    /// They end first.
    Hold,
}

impl<'a> RevisionOrder<'a> {
    /// An order by a holder of the duty and its fence number.
    #[must_use]
    pub fn new(weights: &'a ModelRevision, owner: &'a str, fence: u64) -> RevisionOrder<'a> {
        RevisionOrder {
            order_kind: "revision",
            model: &weights.model,
            revision: weights.revision,
            method: LoadMethod::Hold,
            owner,
            fence_no: fence,
        }
    }
}

/// How a replica answers an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is under way.
    Accepted,
    /// The replica has these weights.
    AlreadyHolds,
    /// Another order is under way.
    Busy,
    /// The replica has seen a higher fence number.
    Fenced,
    /// Another replica has the address now.
    WrongReplica,
    /// The replica does not take the order, as while it is full.
    Refused,
    /// No answer came: the order may have been taken.
    Unanswered,
}

impl OrderAnswer {
    /// The meaning of an answer's status.
    #[must_use]
    pub fn from_status(status: u16) -> OrderAnswer {
        match status {
            202 => OrderAnswer::Accepted,
            200 => OrderAnswer::AlreadyHolds,
            409 => OrderAnswer::Busy,
            412 => OrderAnswer::Fenced,
            421 => OrderAnswer::WrongReplica,
            _ => OrderAnswer::Refused,
        }
    }
}

/// A replica's report, as far as the roll-out uses it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "ReportBody")]
pub struct Report {
    /// Its models and the revision of their weights.
    pub models: Vec<ModelRevision>,
    /// An order is under way.
    pub loading: bool,
}

#[derive(Deserialize)]
struct ReportBody {
    #[serde(default)]
    llms: Vec<ReportedModel>,
    #[serde(default)]
    loaded: bool,
}

#[derive(Deserialize)]
struct ReportedModel {
    label: String,
    revision: u64,
}

impl From<ReportBody> for Report {
    fn from(body: ReportBody) -> Report {
        let model = |line: ReportedModel| ModelRevision { model: line.label, revision: line.revision };
        Report { models: body.llms.into_iter().map(model).collect(), loading: body.loaded }
    }
}
