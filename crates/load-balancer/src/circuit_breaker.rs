//! A circuit breaker with exponential ejection times and single trials (half-open state).

use crate::types::Nanos;

/// Doublings of the ejection time after which the limit is reached in any case; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 8;
/// An ejection lasts from this multiple of its nominal time ...
const MIN_JITTER: f64 = 0.75;
/// ... to so much more, so that gateways don't retry at the same time.
const JITTER_RANGE: f64 = 0.5;

/// When a breaker opens, and for how long. The names are those of Envoy's outlier detection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EjectionPolicy {
    /// Failures in a row after which the breaker opens.
    pub(crate) consecutive_failures: u32,
    /// How long it stays open the first time; doubled with each failed trial.
    pub(crate) base_ejection_time: Nanos,
    /// The longest time for which it stays open.
    pub(crate) max_ejection_time: Nanos,
}

/// Opens after failures, for longer each time; then lets one trial through at a time.
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

    /// Whether a request may pass: always while closed, and as a trial once the ejection time is over.
    pub(crate) fn allows(&self, now: Nanos) -> bool {
        !self.is_open || now >= self.open_until && !self.has_trial
    }

    /// A request passes; it is the trial if the breaker is open.
    pub(crate) fn begin_request(&mut self) {
        self.has_trial |= self.is_open;
    }

    /// The trial has ended without a result.
    pub(crate) fn abandon_trial(&mut self) {
        self.has_trial = false;
    }

    /// The trial went well, but not well enough to close: the next one may follow at once.
    pub(crate) fn allow_next_trial(&mut self, now: Nanos) {
        (self.has_trial, self.open_until) = (false, now);
    }

    /// Counts a failure; `jitter` is a random number in 0..1.
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
