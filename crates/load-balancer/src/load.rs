//! The work that waits at replicas, as far as a gateway can tell: what all gateways have told together, and what this one
//! has sent since. No I/O and no clock.
//!
//! What is told is some tens of milliseconds old. What this gateway has sent within that time is added to it; what others
//! have sent within it is not known.

use crate::types::Nanos;

/// What was told longer ago than this says nothing any more.
const TOLD_HOLDS: Nanos = 1_000_000_000;
/// How old it is when it is told: what was sent this long before may not be counted in it.
const TOLD_AGE: Nanos = 100_000_000;

/// What is known of the work that waits at one replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimate {
    /// What all gateways have told together.
    told: f64,
    /// What this gateway has sent lately, and when.
    sent: Vec<(Nanos, f64)>,
}

impl Estimate {
    /// Takes what was told.
    pub fn tell(&mut self, now: Nanos, told: f64) {
        self.told = told;
        self.sent.retain(|(at, _)| now.saturating_sub(*at) < TOLD_AGE);
    }

    /// Adds work that this gateway sends.
    pub fn send(&mut self, now: Nanos, work: f64) {
        self.sent.push((now, work));
    }

    /// Work that a further request would wait for.
    #[must_use]
    pub fn waiting(&self) -> f64 {
        self.told + self.sent.iter().map(|(_, work)| work).sum::<f64>()
    }
}

/// When the work that waits was told of last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told(Option<Nanos>);

impl Told {
    /// It is told of now.
    pub fn tell(&mut self, now: Nanos) {
        self.0 = Some(now);
    }

    /// Whether what was told still says something.
    #[must_use]
    pub fn holds(&self, now: Nanos) -> bool {
        self.0.is_some_and(|at| now.saturating_sub(at) <= TOLD_HOLDS)
    }
}
