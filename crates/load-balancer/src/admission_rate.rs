//! The admission rate, adapted to how many first tokens arrive within their latency targets.

use crate::types::Nanos;

/// Time constant, in seconds, with which the rate falls while first tokens are late. It rises more slowly;
/// the equilibrium is at about one late token in eight.
const TIME_CONSTANT_S: f64 = 2.0;
/// Limits of the step for a single first token.
const MIN_STEP: f64 = 0.01;
const MAX_STEP: f64 = 0.25;
/// Step of an increase relative to that of a decrease.
const RISE_FACTOR: f64 = 0.7;
/// A few sessions are always admitted, to measure the latency.
const MIN_RATE: f64 = 0.05;
/// Above this rate the fleet counts as healthy, and a slow replica is an outlier.
const HEALTHY_RATE: f64 = 0.9;
const NANOS_PER_SECOND: f64 = 1e9;

/// Adapts the fraction of sessions that is admitted. Without it, an overload would make every response
/// late.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionRate {
    rate: f64,
    updated_at: Nanos,
}

impl Default for AdmissionRate {
    fn default() -> Self {
        AdmissionRate { rate: 1.0, updated_at: 0 }
    }
}

impl AdmissionRate {
    /// The fraction of sessions that is admitted, 0 to 1.
    pub(crate) fn current(&self) -> f64 {
        self.rate
    }

    /// Whether most first tokens arrive in time.
    pub(crate) fn is_healthy(&self) -> bool {
        self.rate > HEALTHY_RATE
    }

    /// Whether enough first tokens are late that tenants beyond their quotas are refused.
    pub(crate) fn enforces_quotas(&self) -> bool {
        self.rate < HEALTHY_RATE
    }

    /// Records a first token, or that a latency target passed without one. The step grows with the time
    /// since the last record, so that the rate adapts equally fast with little traffic.
    pub(crate) fn record(&mut self, now: Nanos, is_in_time: bool) {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / NANOS_PER_SECOND;
        let step = (elapsed / TIME_CONSTANT_S).clamp(MIN_STEP, MAX_STEP);
        self.updated_at = now;
        self.rate = if is_in_time {
            (self.rate + step * RISE_FACTOR).min(1.0)
        } else {
            (self.rate * (1.0 - step)).max(MIN_RATE)
        };
    }
}
