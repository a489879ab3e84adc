//! Cancellation of requests that are queued at replicas with a withdrawn revision of the weights.
//!
//! A replica starts a queued request with the weights that it has at that time, so it is not enough to stop sending
//! requests to a replica whose weights are withdrawn. The load command makes the replica reject its queue. A request
//! that is still queued some time later, for example because the command was lost, is cancelled by the proxy that sent
//! it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::{ModelRevision, WeightsTable};
use tulipridge_runtime::clock;
use tulipridge_runtime::settings::RevisionTerm;

use crate::notify::Notify;
use crate::timer_queue::TimerQueue;

/// The cancellation deadlines of all models. Callers pass the current time in.
#[derive(Debug)]
pub struct WeightsExpiry {
    term: RevisionTerm,
    models: BTreeMap<String, ModelExpiry>,
}

/// The expiry of the revisions of one model.
#[derive(Debug, Default)]
struct ModelExpiry {
    /// When this proxy learned of each target revision that has not yet caused the expiry of earlier ones.
    announced_at: BTreeMap<WeightsRevision, Duration>,
    /// Ordered by revision.
    deadlines: Vec<CancellationDeadline>,
}

/// The time at which requests that are queued on revisions older than `revision` are cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CancellationDeadline {
    revision: WeightsRevision,
    at: Duration,
}

impl WeightsExpiry {
    /// No deadlines. `term` is the operator's time limit for a change to new weights.
    #[must_use]
    pub fn new(term: RevisionTerm) -> WeightsExpiry {
        WeightsExpiry { term, models: BTreeMap::new() }
    }

    /// Sets the term for deadlines that are added from now on. Existing deadlines stay.
    pub fn set_term(&mut self, term: RevisionTerm) {
        self.term = term;
    }

    /// Applies the newest weights table. Returns whether a deadline was added.
    pub fn update(&mut self, table: &WeightsTable, now: Duration) -> bool {
        let mut has_new_deadline = false;
        for row in &table.models {
            let model = self.models.entry(row.model.clone()).or_default();
            model.record_target(row.target, now);
            has_new_deadline |= model.add_deadline(row.expired_below, self.term, now);
        }
        has_new_deadline
    }

    /// When requests that have not started on these weights are cancelled. None while the weights may be used.
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

    /// The oldest revision that has not expired; 0 if none has expired.
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
        // The last deadline that has passed covers the revisions of all earlier deadlines.
        self.deadlines.drain(..passed.saturating_sub(1));
        self.deadlines.push(CancellationDeadline { revision, at: term.cancel_at(announced_at, now) });
        true
    }
}

/// A [`WeightsExpiry`] that tasks can wait on.
pub struct WeightsExpiryWatch {
    expiry: RefCell<WeightsExpiry>,
    changed: Notify,
}

impl WeightsExpiryWatch {
    /// Wraps these deadlines.
    #[must_use]
    pub fn new(expiry: WeightsExpiry) -> WeightsExpiryWatch {
        WeightsExpiryWatch { expiry: RefCell::new(expiry), changed: Notify::default() }
    }

    /// Sets the term for deadlines that are added from now on. Existing deadlines stay.
    pub fn set_term(&self, term: RevisionTerm) {
        self.expiry.borrow_mut().set_term(term);
    }

    /// Applies the newest weights table, and wakes waiting tasks if a deadline was added.
    pub fn update(&self, table: &WeightsTable, now: Duration) {
        if self.expiry.borrow_mut().update(table, now) {
            self.changed.notify_all();
        }
    }

    /// Waits until requests that have not started on these weights must be cancelled.
    pub async fn expired(&self, timers: &TimerQueue, weights: &ModelRevision) {
        loop {
            let changed = self.changed.changed();
            let cancel_at = self.expiry.borrow().cancel_at(weights);
            match cancel_at {
                Some(at) => return timers.sleep(at.saturating_sub(clock::now())).await,
                None => changed.await,
            }
        }
    }
}
