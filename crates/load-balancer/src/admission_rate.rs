//! The part of all sessions that is admitted, by how many first tokens come in time.

use crate::types::Nanos;

/// The rate falls with this time constant, in seconds, while first tokens are late and rises more slowly, which settles
/// where about one in eight is late.
const TIME_CONSTANT_S: f64 = 2.0;
const MIN_STEP: f64 = 0.01;
const MAX_STEP: f64 = 0.25;
const RISE_FACTOR: f64 = 0.7;
/// A few sessions are always admitted, to learn.
const MIN_RATE: f64 = 0.05;
/// Above this rate the fleet counts as healthy, and what is slow stands out.
const HEALTHY_RATE: f64 = 0.9;
const NANOS_PER_SECOND: f64 = 1e9;

/// Guards against an overload in which all are served late: learns from each first token, in time or not, how much may be
/// admitted.
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
    /// The part of all sessions that is admitted, 0 to 1.
    pub(crate) fn current(&self) -> f64 {
        self.rate
    }

    /// Most first tokens come in time.
    pub(crate) fn is_healthy(&self) -> bool {
        self.rate > HEALTHY_RATE
    }

    /// So many are late that tenants beyond their quotas are refused.
    pub(crate) fn enforces_quotas(&self) -> bool {
        self.rate < HEALTHY_RATE
    }

    /// Records a first token, or that a latency target passed without one. Rare ones weigh more, so that a gateway with
    /// little traffic keeps up.
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
