//! Tolerance for publishers with stale state.

use std::time::Duration;

/// Limits for a publisher whose state is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessTolerance {
    /// A pong with this age or more counts as stale; a pong without an age always does.
    pub max_age: Duration,
    /// The connection ends after only stale pongs for this long.
    pub grace_period: Duration,
}

impl StalenessTolerance {
    /// Tolerance of a subscriber with only one publisher: any known age is accepted.
    pub const ONE_PUBLISHER: StalenessTolerance =
        StalenessTolerance { max_age: Duration::MAX, grace_period: Duration::from_millis(1500) };
    /// Tolerance of a subscriber that can select another publisher. With one ping per hop, a publisher that is
    /// connected to the primary replies with less than half of this `max_age`.
    pub const SEVERAL_PUBLISHERS: StalenessTolerance = StalenessTolerance {
        max_age: Duration::from_millis(800),
        grace_period: Duration::from_millis(500),
    };
}
