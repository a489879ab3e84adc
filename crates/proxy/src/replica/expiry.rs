//! From when on requests must not begin on older weights.
//!
//! A replica starts what waits in its queue with the weights that it has then, so it is not enough to send nothing new
//! to a replica whose weights are withdrawn. The order to load empties its queue; a request that is still there some
//! time later, as where that order does not get through, is called off by the gateway that sent it.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_protocol::feed::{ModelRevision, WeightsTable};
use tulipridge_runtime::settings::RevisionTerm;

/// The limits of all models. The time is handed in.
#[derive(Debug)]
pub struct Expiry {
    term: RevisionTerm,
    models: BTreeMap<String, Model>,
}

/// What is known of one model.
#[derive(Debug, Default)]
struct Model {
    /// When this gateway heard that a revision is named, for those that have not expired the ones before.
    named: BTreeMap<u64, Duration>,
    /// In the order of revisions.
    limits: Vec<Limit>,
}

/// Requests that wait on revisions below this one are called off at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Limit {
    revision: u64,
    at: Duration,
}

impl Expiry {
    /// No limits yet, under the operator's term.
    #[must_use]
    pub fn new(term: RevisionTerm) -> Expiry {
        Expiry { term, models: BTreeMap::new() }
    }

    /// Takes another term, for news from now on.
    pub fn set_term(&mut self, term: RevisionTerm) {
        self.term = term;
    }

    /// Takes the table of weights; whether there is a new limit.
    pub fn take(&mut self, table: &WeightsTable, now: Duration) -> bool {
        let mut has_news = false;
        for line in &table.models {
            let model = self.models.entry(line.model.clone()).or_default();
            model.name(line.named, now);
            has_news |= model.expire(line.expired, self.term, now);
        }
        has_news
    }

    /// When requests that have not begun on these weights are called off; none while they may wait on.
    #[must_use]
    pub fn call_off_at(&self, weights: &ModelRevision) -> Option<Duration> {
        let limits = &self.models.get(&weights.model)?.limits;
        limits.iter().find(|limit| limit.revision > weights.revision).map(|limit| limit.at)
    }
}

impl Model {
    fn name(&mut self, revision: u64, now: Duration) {
        let is_new = self.named.last_key_value().is_none_or(|(newest, _)| *newest < revision);
        if is_new && revision > self.expired() {
            self.named.insert(revision, now);
        }
    }

    /// The newest revision that has expired those before.
    fn expired(&self) -> u64 {
        self.limits.last().map_or(0, |limit| limit.revision)
    }

    fn expire(&mut self, revision: u64, term: RevisionTerm, now: Duration) -> bool {
        if revision <= self.expired() {
            return false;
        }
        let named = self.named.get(&revision).copied();
        self.named.retain(|other, _| *other > revision);
        let passed = self.limits.iter().filter(|limit| limit.at <= now).count();
        // The last of them stands for all that came before.
        self.limits.drain(..passed.saturating_sub(1));
        self.limits.push(Limit { revision, at: term.call_off_at(named, now) });
        true
    }
}
