//! The weights that were named of one model, and the terms that run for them.

use std::time::Duration;

use tulipridge_runtime::settings::RevisionTerm;

/// The weights that a model's replicas are to have.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// The newest revision that was named.
    pub(super) revision: u64,
    /// Nothing new is sent to replicas of an older revision.
    pub(super) least: u64,
    /// The term up to the withdrawal has passed for all older revisions: what waits on them must not begin.
    pub(super) expired: u64,
    /// Terms that have not come to the withdrawal, in the order of revisions.
    terms: Vec<Term>,
}

/// The term of a revision that was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Term {
    /// The revision.
    pub(super) revision: u64,
    /// When all replicas should have it or a newer one.
    pub(super) load_by: Duration,
    /// When older ones are withdrawn.
    pub(super) withdraw_at: Duration,
}

impl Term {
    /// The term of weights that were named so long ago.
    pub(super) fn named_before(revision: u64, age: Duration, term: RevisionTerm, now: Duration) -> Term {
        let from_now = |time: Duration| (now + time).saturating_sub(age);
        Term { revision, load_by: from_now(term.load_by()), withdraw_at: from_now(term.withdrawal()) }
    }
}

impl Target {
    /// Nothing is named or withdrawn yet.
    pub(super) fn new() -> Target {
        Target { revision: 0, least: 0, expired: 0, terms: Vec::new() }
    }

    /// Takes weights that were named; whether they are news. The terms of other revisions go on.
    pub(super) fn name(&mut self, term: Term) -> bool {
        let is_known = self.terms.iter().any(|known| known.revision == term.revision);
        if is_known || term.revision <= self.expired {
            return false;
        }
        self.revision = self.revision.max(term.revision);
        self.terms.push(term);
        self.terms.sort_by_key(|term| term.revision);
        true
    }

    /// Takes over what an earlier holder has withdrawn.
    pub(super) fn inherit(&mut self, named: u64, least: u64, expired: u64) {
        self.revision = self.revision.max(named);
        self.expire(expired);
        self.withdraw_below(least);
    }

    /// Withdraws what is due now.
    pub(super) fn pass(&mut self, now: Duration) {
        let passed = self.terms.iter().filter(|term| term.withdraw_at <= now);
        let newest = passed.map(|term| term.revision).max();
        self.expire(newest.unwrap_or(0));
    }

    /// From now on nothing new is sent to replicas of a revision below this one.
    pub(super) fn withdraw_below(&mut self, revision: u64) {
        self.least = self.least.max(revision);
    }

    fn expire(&mut self, revision: u64) {
        self.expired = self.expired.max(revision);
        self.withdraw_below(revision);
        let expired = self.expired;
        self.terms.retain(|term| term.revision > expired);
    }

    /// Terms that have not come to the withdrawal.
    pub(super) fn terms(&self) -> &[Term] {
        &self.terms
    }
}
