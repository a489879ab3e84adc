//! How the operator's term for the change to new weights is divided.

use std::time::Duration;

/// Part of the term that is left when older weights are withdrawn, ...
const WITHDRAWAL_RESERVE_PART: f64 = 0.15;
/// ... but no less than this, which orders to all outdated replicas need, ...
const LEAST_WITHDRAWAL_RESERVE: Duration = Duration::from_millis(1_500);
/// ... and no more than this part, where the term is very short.
const LARGEST_WITHDRAWAL_RESERVE_PART: f64 = 1.0 / 3.0;
/// Part of the time up to the withdrawal in which all replicas should have loaded.
const LOAD_PART: f64 = 0.92;
/// Part of the term that is left when requests that have not begun on withdrawn weights are called off, ...
const CALL_OFF_RESERVE_PART: f64 = 0.06;
/// ... but no less than this, which a busy gateway may need, ...
const LEAST_CALL_OFF_RESERVE: Duration = Duration::from_millis(700);
/// ... and no more than this part of what is left at the withdrawal.
const LARGEST_CALL_OFF_RESERVE_PART: f64 = 0.5;
/// Time that orders to outdated replicas have in any case before requests that wait there are called off: after an
/// order such a request is known not to have run.
const LEAST_CALL_OFF_DELAY: Duration = Duration::from_millis(400);

/// The operator's term: after it no request may begin on older weights. All times count from the naming.
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

    /// When a gateway calls off requests that wait at such replicas and have not begun, given when it heard of the
    /// name, if it did, and when it heard that the term up to the withdrawal has passed. That may be late, as after
    /// an election, and then the gateway's own clock tells what is left of the term.
    #[must_use]
    pub fn call_off_at(self, named: Option<Duration>, expired: Duration) -> Duration {
        let latest = expired + self.call_off_delay();
        let due = named.map_or(latest, |named| named + self.withdrawal() + self.call_off_delay());
        due.max(expired + LEAST_CALL_OFF_DELAY).min(latest)
    }

    /// Time from the withdrawal until requests that have not begun are called off.
    fn call_off_delay(self) -> Duration {
        let reserve = self.withdrawal_reserve();
        let largest = reserve.mul_f64(LARGEST_CALL_OFF_RESERVE_PART);
        reserve - self.0.mul_f64(CALL_OFF_RESERVE_PART).max(LEAST_CALL_OFF_RESERVE).min(largest)
    }

    fn withdrawal_reserve(self) -> Duration {
        let largest = self.0.mul_f64(LARGEST_WITHDRAWAL_RESERVE_PART);
        self.0.mul_f64(WITHDRAWAL_RESERVE_PART).max(LEAST_WITHDRAWAL_RESERVE).min(largest)
    }
}
