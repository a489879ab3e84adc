//! Calls of operators and their answers.

use tulipridge_configuration::Document;
use tulipridge_control_plane::state::Change;

use crate::support::state_calls;

/// How a configuration is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum ConfigurationMethod {
    /// The whole configuration is replaced.
    Put,
    /// Named items are changed.
    Patch,
}

/// An order to change the configuration. Orders with another mark have another body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ConfigurationOrder {
    /// How it changes the configuration.
    pub method: ConfigurationMethod,
    /// The revision that it builds on.
    pub base: u64,
    /// The revision that it leads to.
    pub revision: u64,
    /// Names the one route that it puts in place.
    pub mark: u64,
}

/// An order to name weights of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct WeightsOrder {
    /// The model.
    pub model: &'static str,
    /// The revision of its weights.
    pub revision: u64,
}

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Call {
    /// `PUT` or `PATCH /settings`.
    Configure(ConfigurationOrder),
    /// `POST /version-put`.
    NameWeights(WeightsOrder),
    /// `GET /settings`.
    Read,
}

/// A configuration as far as the orders of the simulation differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Content {
    /// Its revision.
    pub revision: u64,
    /// The marks of its routes, sorted.
    pub marks: Vec<u64>,
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// 200: the change is in force.
    Taken,
    /// 412: another revision is in force.
    Stale {
        /// The revision in force.
        current: u64,
    },
    /// 400: the change is not valid.
    Invalid,
    /// 400: newer weights were named.
    OldWeights {
        /// The newest revision.
        newest: u64,
    },
    /// 200 or 404: the configuration in force.
    Configuration(Option<Content>),
    /// 503: nothing was done.
    NotPrimary,
    /// 504: the change may come into force or not.
    Unknown,
}

impl ConfigurationOrder {
    /// The change that a member decides on.
    pub(crate) fn change(&self) -> Change {
        let label = self.mark.to_string();
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

impl WeightsOrder {
    /// The change that a member decides on.
    pub(crate) fn change(&self) -> Change {
        state_calls::name(self.model, self.revision)
    }
}

impl Content {
    /// The content of a document that was made by orders of the simulation.
    pub(crate) fn of(document: &Document) -> Content {
        let routes = &document.configuration().routes;
        let mut marks: Vec<u64> =
            routes.iter().map(|route| route.label.parse().expect("labels are marks")).collect();
        marks.sort_unstable();
        Content { revision: document.revision().0, marks }
    }
}
