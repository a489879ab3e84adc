//! A circuit breaker with exponentially growing ejection times and single trial requests (half-open state).

use crate::types::Nanos;

/// Maximum number of doublings of the ejection time, enough to reach its limit; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 8;
/// Minimum of the random factor applied to an ejection time.
const MIN_JITTER: f64 = 0.75;
/// Range of the random factor, which keeps gateways from sending their trials at the same time.
const JITTER_RANGE: f64 = 0.5;

/// When a breaker opens and for how long. The fields are named as in Envoy's outlier detection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EjectionPolicy {
    /// Number of consecutive failures that opens the breaker.
    pub(crate) consecutive_failures: u32,
    /// Time that it stays open at first; doubled by each failed trial.
    pub(crate) base_ejection_time: Nanos,
    /// Maximum time that it stays open, before jitter.
    pub(crate) max_ejection_time: Nanos,
}

/// Opens after consecutive failures, each time for longer, and then permits one trial at a time.
#[derive(Debug, Default)]
pub(crate) struct CircuitBreaker {
    failures: u32,
    is_open: bool,
    ejections: u32,
    open_until: Nanos,
    has_trial: bool,
}

impl CircuitBreaker {
    pub(crate) fn is_open(&self) -> bool {
        self.is_open
    }

    /// Whether a request is permitted: always while closed, and as a trial after the ejection time.
    pub(crate) fn allows(&self, now: Nanos) -> bool {
        !self.is_open || now >= self.open_until && !self.has_trial
    }

    /// Records that a request is sent; it is the trial if the breaker is open.
    pub(crate) fn begin_request(&mut self) {
        self.has_trial |= self.is_open;
    }

    /// Ends a trial without a result.
    pub(crate) fn abandon_trial(&mut self) {
        self.has_trial = false;
    }

    /// Permits the next trial at once, after a success that is not sufficient to close the breaker.
    pub(crate) fn allow_next_trial(&mut self, now: Nanos) {
        (self.has_trial, self.open_until) = (false, now);
    }

    /// Records a failure. `jitter` is a random number in 0..1.
    pub(crate) fn record_failure(&mut self, now: Nanos, policy: EjectionPolicy, jitter: f64) {
        self.failures += 1;
        if self.has_trial || !self.is_open && self.failures >= policy.consecutive_failures {
            let doubled = policy.base_ejection_time << self.ejections.min(MAX_DOUBLINGS);
            let nominal = doubled.min(policy.max_ejection_time);
            let ejection_time = nominal as f64 * (MIN_JITTER + JITTER_RANGE * jitter);
            self.open_until = now + ejection_time as Nanos;
            (self.is_open, self.has_trial) = (true, false);
            self.ejections += 1;
        }
    }
}
