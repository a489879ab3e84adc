//! When requests that are still queued at a replica must not begin on its revision of the weights any more.
//!
//! A replica starts a queued request with the weights that it has then, so it is not enough to send no new requests to
//! a replica whose weights are withdrawn. The order to load empties its queue. A request that is still queued some time
//! later, as when that order is lost, is cancelled by the proxy that sent it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelRevision, WeightsTable};
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::RevisionTerm;

use crate::alarms::Alarms;
use crate::notice::Notice;

/// The cancellation times of all models. The time is passed in.
#[derive(Debug)]
pub struct WeightsExpiry {
    term: RevisionTerm,
    models: BTreeMap<String, ModelExpiry>,
}

/// The revisions of one model.
#[derive(Debug, Default)]
struct ModelExpiry {
    /// When this proxy learned that a revision is named, for revisions that have not expired earlier ones yet.
    announced_at: BTreeMap<WeightsRevision, Duration>,
    /// In the order of revisions.
    deadlines: Vec<CancellationDeadline>,
}

/// Requests queued on revisions below this one are cancelled at this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CancellationDeadline {
    revision: WeightsRevision,
    at: Duration,
}

impl WeightsExpiry {
    /// No limits yet. `term` is the operator's term for a change to new weights.
    #[must_use]
    pub fn new(term: RevisionTerm) -> WeightsExpiry {
        WeightsExpiry { term, models: BTreeMap::new() }
    }

    /// Sets the term for limits that are added from now on.
    pub fn set_term(&mut self, term: RevisionTerm) {
        self.term = term;
    }

    /// Applies the newest table of weights. Returns whether a limit was added.
    pub fn update(&mut self, table: &WeightsTable, now: Duration) -> bool {
        let mut has_new_deadline = false;
        for row in &table.models {
            let model = self.models.entry(row.model.clone()).or_default();
            model.record_target(row.named, now);
            has_new_deadline |= model.add_deadline(row.expired, self.term, now);
        }
        has_new_deadline
    }

    /// When requests that have not begun on these weights are cancelled; none while these may be used.
    #[must_use]
    pub fn cancel_at(&self, weights: &ModelRevision) -> Option<Duration> {
        let deadlines = &self.models.get(&weights.model)?.deadlines;
        deadlines.iter().find(|deadline| deadline.revision > weights.revision).map(|deadline| deadline.at)
    }
}

impl ModelExpiry {
    fn record_target(&mut self, revision: WeightsRevision, now: Duration) {
        let is_new = self.announced_at.last_key_value().is_none_or(|(newest, _)| *newest < revision);
        if is_new && revision > self.oldest_valid() {
            self.announced_at.insert(revision, now);
        }
    }

    /// The newest revision that has expired those before.
    fn oldest_valid(&self) -> WeightsRevision {
        self.deadlines.last().map_or(WeightsRevision(0), |deadline| deadline.revision)
    }

    fn add_deadline(&mut self, revision: WeightsRevision, term: RevisionTerm, now: Duration) -> bool {
        if revision <= self.oldest_valid() {
            return false;
        }
        let announced_at = self.announced_at.get(&revision).copied();
        self.announced_at.retain(|other, _| *other > revision);
        let passed = self.deadlines.iter().filter(|deadline| deadline.at <= now).count();
        // The last passed limit covers all earlier ones.
        self.deadlines.drain(..passed.saturating_sub(1));
        self.deadlines.push(CancellationDeadline { revision, at: term.cancel_at(announced_at, now) });
        true
    }
}

/// [`WeightsExpiry`] for tasks that wait for it.
pub struct WeightsExpiryWatch {
    expiry: RefCell<WeightsExpiry>,
    changed: Notice,
}

impl WeightsExpiryWatch {
    /// Watches these limits.
    #[must_use]
    pub fn new(expiry: WeightsExpiry) -> WeightsExpiryWatch {
        WeightsExpiryWatch { expiry: RefCell::new(expiry), changed: Notice::default() }
    }

    /// Sets the term for limits that are added from now on.
    pub fn set_term(&self, term: RevisionTerm) {
        self.expiry.borrow_mut().set_term(term);
    }

    /// Applies the newest table of weights, and wakes waiting tasks if it adds a limit.
    pub fn update(&self, table: &WeightsTable, now: Duration) {
        if self.expiry.borrow_mut().update(table, now) {
            self.changed.raise();
        }
    }

    /// Ready once requests that have not begun on these weights are to be cancelled.
    pub async fn expired(&self, alarms: &Alarms, weights: &ModelRevision) {
        loop {
            let changed = self.changed.changed();
            let cancel_at = self.expiry.borrow().cancel_at(weights);
            match cancel_at {
                Some(at) => return alarms.after(at.saturating_sub(clock::now())).await,
                None => changed.await,
            }
        }
    }
}
