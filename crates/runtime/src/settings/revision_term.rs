//! How the time that the operator gives for the change to new weights is divided.

use std::time::Duration;

/// Fraction of the term that is left when older weights are withdrawn, ...
const WITHDRAWAL_RESERVE_PART: f64 = 0.15;
/// ... but no less than this, which orders to all outdated replicas need, ...
const LEAST_WITHDRAWAL_RESERVE: Duration = Duration::from_millis(1_500);
/// ... and no more than this fraction, where the term is very short.
const LARGEST_WITHDRAWAL_RESERVE_PART: f64 = 1.0 / 3.0;
/// Fraction of the time up to the withdrawal in which all replicas should have loaded.
const LOAD_PART: f64 = 0.92;
/// Fraction of the term that is left when requests that have not started on withdrawn weights are cancelled, ...
const CANCELLATION_RESERVE_PART: f64 = 0.06;
/// ... but no less than this, which a busy gateway may need, ...
const LEAST_CANCELLATION_RESERVE: Duration = Duration::from_millis(700);
/// ... and no more than this fraction of what is left at the withdrawal.
const LARGEST_CANCELLATION_RESERVE_PART: f64 = 0.5;
/// Time that orders to outdated replicas have in any case before requests that are queued there are cancelled: after
/// an order such a request is known not to have run.
const LEAST_CANCELLATION_DELAY: Duration = Duration::from_millis(400);

/// The time that the operator gives for a change: after it no request may start on older weights. All durations count
/// from the moment at which the operator named the new weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevisionTerm(Duration);

impl RevisionTerm {
    /// A term of this length.
    #[must_use]
    pub const fn new(length: Duration) -> RevisionTerm {
        RevisionTerm(length)
    }

    /// When all replicas should have loaded.
    #[must_use]
    pub fn load_by(self) -> Duration {
        self.withdrawal().mul_f64(LOAD_PART)
    }

    /// When older weights are withdrawn: nothing new is sent to replicas that still have them, and those are ordered
    /// to load at once.
    #[must_use]
    pub fn withdrawal(self) -> Duration {
        self.0.saturating_sub(self.withdrawal_reserve())
    }

    /// When a gateway cancels requests that are queued at such replicas and have not started. `named` is when the
    /// gateway learned of the new weights, if it did, and `expired` when it learned that the withdrawal is due. The
    /// latter may be late, as after an election; the gateway's own clock then decides how much time is left.
    #[must_use]
    pub fn cancel_at(self, named: Option<Duration>, expired: Duration) -> Duration {
        let latest = expired + self.cancellation_delay();
        let due = named.map_or(latest, |named| named + self.withdrawal() + self.cancellation_delay());
        due.max(expired + LEAST_CANCELLATION_DELAY).min(latest)
    }

    /// Time from the withdrawal until requests that have not started are cancelled.
    fn cancellation_delay(self) -> Duration {
        let reserve = self.withdrawal_reserve();
        let largest = reserve.mul_f64(LARGEST_CANCELLATION_RESERVE_PART);
        reserve - self.0.mul_f64(CANCELLATION_RESERVE_PART).max(LEAST_CANCELLATION_RESERVE).min(largest)
    }

    fn withdrawal_reserve(self) -> Duration {
        let largest = self.0.mul_f64(LARGEST_WITHDRAWAL_RESERVE_PART);
        self.0.mul_f64(WITHDRAWAL_RESERVE_PART).max(LEAST_WITHDRAWAL_RESERVE).min(largest)
    }
}
