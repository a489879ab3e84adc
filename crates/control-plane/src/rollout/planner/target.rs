//! The target revision of one model, and the deadlines of its announced revisions.

use std::time::Duration;

use tulipridge_configuration::number::WeightsRevision;
use tulipridge_protocol::feed::ModelWeights;
use tulipridge_runtime::settings::RevisionTerm;

use super::super::announcements::Announcement;

/// The target revision of a model, and which of its older revisions are withdrawn.
#[derive(Clone, Debug, Default)]
pub(super) struct Target {
    /// The newest announced revision.
    pub(super) revision: WeightsRevision,
    /// The oldest revision that is not withdrawn: only replicas with this revision or a newer one may be sent requests.
    pub(super) minimum: WeightsRevision,
    /// The newest revision whose withdrawal deadline has passed: requests queued on older weights must not start.
    pub(super) expired_below: WeightsRevision,
    /// Deadlines that have not passed, ordered by revision.
    deadlines: Vec<Deadline>,
}

/// The deadlines of one announced revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Deadline {
    /// The announced revision.
    pub(super) revision: WeightsRevision,
    /// When all replicas should have loaded this revision or a newer one.
    pub(super) load_by: Duration,
    /// When older revisions are withdrawn.
    pub(super) withdraw_at: Duration,
}

impl Deadline {
    /// The deadlines of an announcement whose age was measured at `now`.
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
    /// Adds an announced revision and returns whether it is new. The deadlines of other revisions remain.
    pub(super) fn announce(&mut self, deadline: Deadline) -> bool {
        let is_known = self.deadlines.iter().any(|known| known.revision == deadline.revision);
        if is_known || deadline.revision <= self.expired_below {
            return false;
        }
        self.revision = self.revision.max(deadline.revision);
        self.deadlines.push(deadline);
        self.deadlines.sort_by_key(|deadline| deadline.revision);
        true
    }

    /// Adopts the target that an earlier primary delivered: revisions that it withdrew remain withdrawn.
    pub(super) fn inherit(&mut self, delivered: &ModelWeights) {
        self.revision = self.revision.max(delivered.target);
        self.expire(delivered.expired_below);
        self.withdraw_below(delivered.minimum);
    }

    /// Expires and withdraws all revisions below the newest one whose withdrawal deadline has passed.
    pub(super) fn expire_due(&mut self, now: Duration) {
        let passed = self.deadlines.iter().filter(|deadline| deadline.withdraw_at <= now);
        let newest = passed.map(|deadline| deadline.revision).max();
        self.expire(newest.unwrap_or(WeightsRevision(0)));
    }

    /// Withdraws the revisions below this one: no request is sent to replicas that have them.
    pub(super) fn withdraw_below(&mut self, revision: WeightsRevision) {
        self.minimum = self.minimum.max(revision);
    }

    fn expire(&mut self, revision: WeightsRevision) {
        self.expired_below = self.expired_below.max(revision);
        self.withdraw_below(revision);
        let expired_below = self.expired_below;
        self.deadlines.retain(|deadline| deadline.revision > expired_below);
    }

    /// Deadlines that have not passed, ordered by revision.
    pub(super) fn deadlines(&self) -> &[Deadline] {
        &self.deadlines
    }

    /// The model's row in the table of weights.
    pub(super) fn to_model_weights(&self, model: &str) -> ModelWeights {
        ModelWeights {
            model: model.to_owned(),
            target: self.revision,
            minimum: self.minimum,
            expired_below: self.expired_below,
        }
    }
}
