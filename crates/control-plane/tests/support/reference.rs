//! A reference model of the replicated state: documents as JSON values, and lists of all accepted changes.

use std::collections::{BTreeMap, HashSet};

use serde_json::{Value, json};
use tulipridge_configuration::number::WeightsRevision;
use tulipridge_control_plane::state::{Applied, Change, Decision};

/// The label of the service that all routes refer to.
const SERVICE: &str = "chat";

/// The response to a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeResponse {
    /// The change was accepted before.
    AlreadyAccepted,
    /// The change is not based on this current version.
    Stale(u64),
    /// The change leads to an invalid configuration.
    Invalid,
    /// The weights are older than this target revision.
    OldWeights(u64),
    /// The change is valid and may be proposed.
    Accept,
}

impl ChangeResponse {
    /// The response that corresponds to a decision.
    pub(crate) fn of(decision: &Decision) -> ChangeResponse {
        match decision {
            Decision::AlreadyAccepted => ChangeResponse::AlreadyAccepted,
            Decision::Stale { current } => ChangeResponse::Stale(current.0),
            Decision::InvalidConfiguration { .. } => ChangeResponse::Invalid,
            Decision::OldWeights { newest } => ChangeResponse::OldWeights(newest.0),
            Decision::Accept(_) => ChangeResponse::Accept,
        }
    }
}

/// The fields by which a repeated configuration call is recognized.
#[derive(Clone, Debug, PartialEq)]
struct ConfigurationCall {
    is_patch: bool,
    base: u64,
    body: Value,
}

/// The model of the replicated state.
#[derive(Debug, Default)]
pub(crate) struct Reference {
    document: Option<Value>,
    accepted: Vec<ConfigurationCall>,
    weights: BTreeMap<String, Vec<u64>>,
}

impl Reference {
    /// The current configuration.
    pub(crate) fn document(&self) -> Option<&Value> {
        self.document.as_ref()
    }

    /// The current version; 0 if there is no configuration.
    pub(crate) fn revision(&self) -> u64 {
        self.document.as_ref().map_or(0, revision_of)
    }

    /// The newest weights revision of each model.
    pub(crate) fn newest_weights(&self) -> BTreeMap<String, WeightsRevision> {
        let newest = |(model, revisions): (&String, &Vec<u64>)| {
            Some((model.clone(), WeightsRevision(*revisions.last()?)))
        };
        self.weights.iter().filter_map(newest).collect()
    }

    /// The response to a change in the current state.
    pub(crate) fn response(&self, change: &Change) -> ChangeResponse {
        match change {
            Change::SetTargetRevision { model, revision } => self.decide_weights(model, revision.0),
            Change::PutConfiguration { if_match, body } => {
                self.decide_configuration(false, if_match.map(|base| base.0), body)
            }
            Change::PatchConfiguration { if_match, body } => {
                self.decide_configuration(true, if_match.map(|base| base.0), body)
            }
        }
    }

    /// Applies a change that was accepted in an earlier state; returns its effect.
    pub(crate) fn apply(&mut self, change: &Change) -> Applied {
        match (self.response(change), change) {
            (ChangeResponse::Accept, Change::SetTargetRevision { model, revision }) => {
                self.weights.entry(model.clone()).or_default().push(revision.0);
                Applied::Weights
            }
            (ChangeResponse::AlreadyAccepted, Change::SetTargetRevision { .. }) => Applied::Weights,
            (ChangeResponse::Accept, _) => {
                let call = call_of(change).expect("an accepted change is readable");
                self.document = self.result(&call);
                self.accepted.push(call);
                Applied::Configuration
            }
            (ChangeResponse::AlreadyAccepted, _) => Applied::Configuration,
            (ChangeResponse::Stale(_) | ChangeResponse::OldWeights(_) | ChangeResponse::Invalid, _) => {
                Applied::Superseded
            }
        }
    }

    fn decide_weights(&self, model: &str, revision: u64) -> ChangeResponse {
        let Some(revisions) = self.weights.get(model) else { return ChangeResponse::Accept };
        match revisions.last() {
            _ if revisions.contains(&revision) => ChangeResponse::AlreadyAccepted,
            Some(newest) if *newest > revision => ChangeResponse::OldWeights(*newest),
            _ => ChangeResponse::Accept,
        }
    }

    fn decide_configuration(&self, is_patch: bool, if_match: Option<u64>, body: &[u8]) -> ChangeResponse {
        let Ok(body) = serde_json::from_slice(body) else { return ChangeResponse::Invalid };
        let call = ConfigurationCall { is_patch, base: if_match.unwrap_or_default(), body };
        if self.accepted.contains(&call) {
            return ChangeResponse::AlreadyAccepted;
        }
        if call.base != self.revision() {
            return ChangeResponse::Stale(self.revision());
        }
        match self.result(&call) {
            Some(document) if revision_of(&document) > self.revision() && is_valid(&document) => {
                ChangeResponse::Accept
            }
            _ => ChangeResponse::Invalid,
        }
    }

    /// The document that a call produces; `None` for a patch without a document.
    fn result(&self, call: &ConfigurationCall) -> Option<Value> {
        match call.is_patch {
            true => self.document.clone().map(|document| patched(document, &call.body)),
            false => Some(call.body.clone()),
        }
    }
}

fn call_of(change: &Change) -> Option<ConfigurationCall> {
    let (is_patch, if_match, body) = match change {
        Change::PutConfiguration { if_match, body } => (false, if_match, body),
        Change::PatchConfiguration { if_match, body } => (true, if_match, body),
        Change::SetTargetRevision { .. } => return None,
    };
    let body = serde_json::from_slice(body).ok()?;
    Some(ConfigurationCall { is_patch, base: if_match.unwrap_or_default().0, body })
}

fn revision_of(document: &Value) -> u64 {
    document["revision"].as_u64().expect("all documents have a revision")
}

fn items<'a>(document: &'a Value, list: &str) -> &'a [Value] {
    document[list].as_array().map_or(&[], Vec::as_slice)
}

fn patched(mut document: Value, patch: &Value) -> Value {
    document["revision"] = patch["revision"].clone();
    for list in ["routes", "backends"] {
        let mut kept = items(&document, list).to_vec();
        let removed = items(&patch["remove"], list);
        kept.retain(|item| !removed.contains(&item["label"]));
        for item in items(&patch["upsert"], list) {
            match kept.iter_mut().find(|known| known["label"] == item["label"]) {
                Some(known) => *known = item.clone(),
                None => kept.push(item.clone()),
            }
        }
        document[list] = json!(kept);
    }
    document
}

/// Whether labels and prefixes are unique and the service of the routes exists.
fn is_valid(document: &Value) -> bool {
    let routes = items(document, "routes");
    let has_service = items(document, "backends").iter().any(|service| service["label"] == SERVICE);
    let are_unique = |field: &str| {
        let values: HashSet<&str> = routes.iter().filter_map(|route| route[field].as_str()).collect();
        values.len() == routes.len()
    };
    (routes.is_empty() || has_service) && are_unique("label") && are_unique("pathStart")
}
