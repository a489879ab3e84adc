//! Which weights the operator has named.

use std::collections::{BTreeMap, BTreeSet};

use musli::{Decode, Encode};

/// Revisions that were named, by model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct NamedWeights {
    models: BTreeMap<String, BTreeSet<u64>>,
}

/// The answer to a naming of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsDecision {
    /// They were named before.
    AlreadyNamed,
    /// They are older than those named, and were never named themselves.
    Old {
        /// The newest revision that was named.
        newest: u64,
    },
    /// They are new.
    Accept,
}

impl NamedWeights {
    /// Decides on a naming; nothing changes.
    pub fn decide(&self, model: &str, revision: u64) -> WeightsDecision {
        let Some(revisions) = self.models.get(model) else { return WeightsDecision::Accept };
        if revisions.contains(&revision) {
            return WeightsDecision::AlreadyNamed;
        }
        match revisions.last() {
            Some(newest) if *newest > revision => WeightsDecision::Old { newest: *newest },
            _ => WeightsDecision::Accept,
        }
    }

    /// Names weights; whether they are newer than all before.
    pub fn name(&mut self, model: String, revision: u64) -> bool {
        let revisions = self.models.entry(model).or_default();
        let newer = revisions.last().is_none_or(|newest| *newest < revision);
        newer && revisions.insert(revision)
    }

    /// The newest revision of each model.
    pub fn newest(&self) -> BTreeMap<String, u64> {
        let newest =
            |(model, revisions): (&String, &BTreeSet<u64>)| Some((model.clone(), *revisions.last()?));
        self.models.iter().filter_map(newest).collect()
    }
}
