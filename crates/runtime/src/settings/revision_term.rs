//! Deadlines of the steps of a rollout of model weights, as parts of the time that the operator allows for it.

use std::time::Duration;

/// Fraction of the term that is left when older revisions are withdrawn.
const WITHDRAWAL_RESERVE_FRACTION: f64 = 0.15;
/// Minimum of what is left at the withdrawal: load commands to all outdated replicas need as long.
const MIN_WITHDRAWAL_RESERVE: Duration = Duration::from_millis(1_500);
/// Maximum of what is left at the withdrawal, as a fraction of the term; it applies to very short terms.
const MAX_WITHDRAWAL_RESERVE_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the time up to the withdrawal within which all replicas should have loaded the target revision.
const LOAD_PART: f64 = 0.92;
/// Fraction of the term that is left when requests that have not started on withdrawn revisions are cancelled.
const CANCELLATION_RESERVE_FRACTION: f64 = 0.06;
/// Minimum of what is left at the cancellation: a busy gateway may need as long.
const MIN_CANCELLATION_RESERVE: Duration = Duration::from_millis(700);
/// Maximum of what is left at the cancellation, as a fraction of what is left at the withdrawal.
const MAX_CANCELLATION_RESERVE_FRACTION: f64 = 0.5;
/// Minimum time that load commands to outdated replicas have before requests that are queued there are cancelled: after
/// a load command such a request is known not to have run.
const MIN_CANCELLATION_DELAY: Duration = Duration::from_millis(400);

/// The time that the operator allows for a rollout: after it no request may start on an older revision. All durations
/// count from the moment at which the operator announced the target revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevisionTerm(Duration);

impl RevisionTerm {
    /// Creates a term of this length.
    #[must_use]
    pub const fn new(length: Duration) -> RevisionTerm {
        RevisionTerm(length)
    }

    /// When all replicas should have loaded the target revision.
    #[must_use]
    pub fn load_by(self) -> Duration {
        self.withdrawal().mul_f64(LOAD_PART)
    }

    /// When older revisions are withdrawn: replicas that still have them get no further requests, and are commanded
    /// to load the target revision at once.
    #[must_use]
    pub fn withdrawal(self) -> Duration {
        self.0.saturating_sub(self.withdrawal_reserve())
    }

    /// When a gateway cancels requests that are queued at such replicas and have not started. `announced_at` is when
    /// the gateway learned of the target revision, if it did, and `expired_at` when it learned that the withdrawal is
    /// due. The latter may be late, as after an election; the gateway's own clock then decides how much time is left.
    #[must_use]
    pub fn cancel_at(self, announced_at: Option<Duration>, expired_at: Duration) -> Duration {
        let latest = expired_at + self.cancellation_delay();
        let due = announced_at
            .map_or(latest, |announced_at| announced_at + self.withdrawal() + self.cancellation_delay());
        due.max(expired_at + MIN_CANCELLATION_DELAY).min(latest)
    }

    /// Time from the withdrawal until requests that have not started are cancelled.
    fn cancellation_delay(self) -> Duration {
        let reserve = self.withdrawal_reserve();
        let max_reserve = reserve.mul_f64(MAX_CANCELLATION_RESERVE_FRACTION);
        reserve
            - self.0.mul_f64(CANCELLATION_RESERVE_FRACTION).max(MIN_CANCELLATION_RESERVE).min(max_reserve)
    }

    fn withdrawal_reserve(self) -> Duration {
        let max_reserve = self.0.mul_f64(MAX_WITHDRAWAL_RESERVE_FRACTION);
        self.0.mul_f64(WITHDRAWAL_RESERVE_FRACTION).max(MIN_WITHDRAWAL_RESERVE).min(max_reserve)
    }
}
