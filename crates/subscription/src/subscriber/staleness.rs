//! How stale a publisher's state may be.

use std::time::Duration;

/// How long a subscriber stays with a publisher whose state is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessTolerance {
    /// A pong with this age or more counts as stale.
    pub max_age: Duration,
    /// A publisher that sends only stale pongs for this long is left.
    pub grace_period: Duration,
}

impl StalenessTolerance {
    /// For a subscriber with only one publisher: any age will do.
    pub const ONE_PUBLISHER: StalenessTolerance =
        StalenessTolerance { max_age: Duration::MAX, grace_period: Duration::from_millis(1500) };
    /// For a subscriber that can select another publisher. With a ping a hop, one that is connected to the primary
    /// replies with less than half of this age.
    pub const SEVERAL_PUBLISHERS: StalenessTolerance = StalenessTolerance {
        max_age: Duration::from_millis(800),
        grace_period: Duration::from_millis(500),
    };
}
