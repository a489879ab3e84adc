//! The target revision of one model, and the deadlines that run for it.

use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::ModelWeights;
use tulipridge_runtime::settings::RevisionTerm;

use super::super::announcements::Announcement;

/// The weights that a model's replicas are to have.
#[derive(Clone, Debug, Default)]
pub(super) struct Target {
    /// The newest announced revision.
    pub(super) desired: WeightsRevision,
    /// Requests are sent only to replicas of this revision or newer; older weights are withdrawn.
    pub(super) minimum: WeightsRevision,
    /// The withdrawal deadline of this revision has passed: requests that are queued on older weights must not begin.
    pub(super) expired: WeightsRevision,
    /// Deadlines that have not passed, in the order of revisions.
    deadlines: Vec<Deadline>,
}

/// The deadline of one announced revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Deadline {
    /// The revision.
    pub(super) revision: WeightsRevision,
    /// When all replicas should have loaded it or a newer one.
    pub(super) load_by: Duration,
    /// When older weights are withdrawn.
    pub(super) withdraw_at: Duration,
}

impl Deadline {
    /// The deadline of an announcement whose age is measured at `now`.
    pub(super) fn of(announcement: Announcement<'_>, term: RevisionTerm, now: Duration) -> Deadline {
        let after_announcement = |time: Duration| (now + time).saturating_sub(announcement.age);
        Deadline {
            revision: announcement.revision,
            load_by: after_announcement(term.load_by()),
            withdraw_at: after_announcement(term.withdrawal()),
        }
    }
}

impl Target {
    /// Adds an announced revision. Returns whether it is new; the deadlines of other revisions go on.
    pub(super) fn announce(&mut self, deadline: Deadline) -> bool {
        let is_known = self.deadlines.iter().any(|known| known.revision == deadline.revision);
        if is_known || deadline.revision <= self.expired {
            return false;
        }
        self.desired = self.desired.max(deadline.revision);
        self.deadlines.push(deadline);
        self.deadlines.sort_by_key(|deadline| deadline.revision);
        true
    }

    /// Adopts what an earlier primary has delivered: what it withdrew remains so.
    pub(super) fn inherit(&mut self, delivered: &ModelWeights) {
        self.desired = self.desired.max(delivered.named);
        self.expire(delivered.expired);
        self.withdraw_below(delivered.least);
    }

    /// Expires the revisions whose deadline has passed.
    pub(super) fn expire_due(&mut self, now: Duration) {
        let passed = self.deadlines.iter().filter(|deadline| deadline.withdraw_at <= now);
        let newest = passed.map(|deadline| deadline.revision).max();
        self.expire(newest.unwrap_or(WeightsRevision(0)));
    }

    /// From now on no request is sent to replicas of a revision below this one.
    pub(super) fn withdraw_below(&mut self, revision: WeightsRevision) {
        self.minimum = self.minimum.max(revision);
    }

    fn expire(&mut self, revision: WeightsRevision) {
        self.expired = self.expired.max(revision);
        self.withdraw_below(revision);
        let expired = self.expired;
        self.deadlines.retain(|deadline| deadline.revision > expired);
    }

    /// Deadlines that have not passed.
    pub(super) fn deadlines(&self) -> &[Deadline] {
        &self.deadlines
    }

    /// The model's row in the table of weights.
    pub(super) fn to_model_weights(&self, model: &str) -> ModelWeights {
        ModelWeights {
            model: model.to_owned(),
            named: self.desired,
            least: self.minimum,
            expired: self.expired,
        }
    }
}
