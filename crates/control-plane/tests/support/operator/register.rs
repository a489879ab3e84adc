//! The sequential specification: responses to calls that do not overlap.

use std::collections::BTreeSet;
use std::hash::Hash;

use tulipridge_configuration::MAX_RECENT_REQUESTS;
use tulipridge_configuration::configuration_state::NO_REVISION;

use super::call::{ConfigurationChange, ConfigurationMethod, Content, Response, WeightsChange};

/// An object with a sequential specification.
pub(crate) trait Register: Clone + Eq + Hash {
    /// A call to the object.
    type Call: Copy;

    /// The response, and the object's next state; `None` if it does not change.
    fn apply(&self, call: Self::Call) -> (Response, Option<Self>);
}

/// A call to the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfigurationCall {
    /// `PUT` or `PATCH`.
    Change(ConfigurationChange),
    /// `GET`.
    Read,
}

/// The configuration: a versioned register that recognizes repeated changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ConfigurationRegister {
    content: Option<Content>,
    accepted: Vec<ConfigurationChange>,
    max_recent_requests: usize,
}

impl Default for ConfigurationRegister {
    fn default() -> Self {
        ConfigurationRegister::with_max_recent_requests(MAX_RECENT_REQUESTS)
    }
}

impl ConfigurationRegister {
    /// An empty register that recognizes repeats of this many of the latest changes.
    pub(crate) fn with_max_recent_requests(max_recent_requests: usize) -> Self {
        ConfigurationRegister { content: None, accepted: Vec::new(), max_recent_requests }
    }

    fn revision(&self) -> u64 {
        self.content.as_ref().map_or(NO_REVISION.0, |content| content.revision)
    }

    fn is_recent_request(&self, change: &ConfigurationChange) -> bool {
        self.accepted.iter().rev().take(self.max_recent_requests).any(|accepted| accepted == change)
    }

    /// The content after a valid change; `None` if the change is invalid.
    fn next_content(&self, change: &ConfigurationChange) -> Option<Content> {
        let revision = change.revision;
        if revision <= self.revision() {
            return None;
        }
        match (change.method, &self.content) {
            (ConfigurationMethod::Put, _) => Some(Content { revision, route_ids: vec![change.route_id] }),
            (ConfigurationMethod::Patch, None) => None,
            (ConfigurationMethod::Patch, Some(content)) => {
                let mut route_ids = content.route_ids.clone();
                route_ids.push(change.route_id);
                route_ids.sort_unstable();
                route_ids.dedup();
                Some(Content { revision, route_ids })
            }
        }
    }

    fn apply_change(&self, change: ConfigurationChange) -> (Response, Option<Self>) {
        if self.is_recent_request(&change) {
            return (Response::Accepted, None);
        }
        let current = self.revision();
        if change.base != current {
            return (Response::Stale { current }, None);
        }
        let Some(content) = self.next_content(&change) else { return (Response::Invalid, None) };
        let mut accepted = self.accepted.clone();
        accepted.push(change);
        let next = ConfigurationRegister { content: Some(content), accepted, ..*self };
        (Response::Accepted, Some(next))
    }
}

impl Register for ConfigurationRegister {
    type Call = ConfigurationCall;

    fn apply(&self, call: ConfigurationCall) -> (Response, Option<Self>) {
        match call {
            ConfigurationCall::Change(change) => self.apply_change(change),
            ConfigurationCall::Read => (Response::Configuration(self.content.clone()), None),
        }
    }
}

/// The target revision of one model's weights.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct WeightsRegister {
    accepted: BTreeSet<u64>,
}

impl Register for WeightsRegister {
    type Call = WeightsChange;

    fn apply(&self, change: WeightsChange) -> (Response, Option<Self>) {
        if self.accepted.contains(&change.revision) {
            return (Response::Accepted, None);
        }
        match self.accepted.last() {
            Some(newest) if *newest > change.revision => (Response::OldWeights { newest: *newest }, None),
            _ => {
                let mut accepted = self.accepted.clone();
                accepted.insert(change.revision);
                (Response::Accepted, Some(WeightsRegister { accepted }))
            }
        }
    }
}
