//! Calls of operators and their responses.

use tulipridge_configuration::Document;
use tulipridge_control_plane::state::Change;

use crate::support::state_calls;

/// HTTP method of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum ConfigurationMethod {
    /// Replaces the whole configuration.
    Put,
    /// Changes only the listed items.
    Patch,
}

/// A change of the configuration. Changes with different route ids have different bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ConfigurationChange {
    /// Whether the change replaces the configuration or changes items of it.
    pub method: ConfigurationMethod,
    /// The revision that the change is based on (`If-Match`).
    pub base: u64,
    /// The revision that the change creates.
    pub revision: u64,
    /// Identifies the one route that the change adds.
    pub route_id: u64,
}

/// A change of a model's target revision of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct WeightsChange {
    /// The model.
    pub model: &'static str,
    /// The new target revision of the model's weights.
    pub revision: u64,
}

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Call {
    /// `PUT` or `PATCH /settings`.
    Configure(ConfigurationChange),
    /// `POST /version-put`.
    SetTargetRevision(WeightsChange),
    /// `GET /settings`.
    Read,
}

/// The parts of a configuration in which the simulated changes differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Content {
    /// Revision of the configuration.
    pub revision: u64,
    /// The ids of the configuration's routes, sorted.
    pub route_ids: Vec<u64>,
}

/// A response to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Response {
    /// 200: the change is committed.
    Accepted,
    /// 412: the change is based on another revision.
    Stale {
        /// The current revision.
        current: u64,
    },
    /// 400: the change is invalid.
    Invalid,
    /// 400: the target revision of the weights is newer.
    OldWeights {
        /// The target revision.
        newest: u64,
    },
    /// 200 or 404: the current configuration.
    Configuration(Option<Content>),
    /// 503: the member is not primary, and the call had no effect.
    NotPrimary,
    /// 504: the change may or may not be committed.
    Unknown,
}

impl ConfigurationChange {
    /// The change as the replicated state receives it.
    pub(crate) fn to_state_change(self) -> Change {
        let label = self.route_id.to_string();
        let prefix = format!("/{label}/");
        match self.method {
            ConfigurationMethod::Put => {
                state_calls::put_routes(self.base, self.revision, &[state_calls::route(&label, &prefix)])
            }
            ConfigurationMethod::Patch => {
                state_calls::patch_route(self.base, self.revision, &label, &prefix)
            }
        }
    }
}

impl WeightsChange {
    /// The change as the replicated state receives it.
    pub(crate) fn to_state_change(self) -> Change {
        state_calls::name(self.model, self.revision)
    }
}

impl Content {
    /// The content of a document that only simulated changes have modified.
    pub(crate) fn of(document: &Document) -> Content {
        let routes = &document.configuration().routes;
        let mut route_ids: Vec<u64> =
            routes.iter().map(|route| route.label.parse().expect("labels are route ids")).collect();
        route_ids.sort_unstable();
        Content { revision: document.revision().0, route_ids }
    }
}
