//! Changes of the state that a publisher's messages have caused.

use std::time::Duration;

use tulipridge_configuration::number::Revision;

/// Flags for the tables that one or several messages have changed, and the last pong among these messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateChanges {
    /// Whether the configuration has changed.
    pub configuration: bool,
    /// Whether the table of replicas has changed.
    pub fleet: bool,
    /// Whether the table of weights has changed.
    pub weights: bool,
    /// Whether the prefix-cache index has changed.
    pub cache_index: bool,
    /// Whether the gateway count or the members of the control plane have changed.
    pub cluster_membership: bool,
    /// Whether the table of loads has changed.
    pub loads: bool,
    /// Last pong, which does not count as a change of the state.
    pub pong: Option<Pong>,
}

impl StateChanges {
    /// Returns whether any table has changed.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        self.configuration
            || self.fleet
            || self.weights
            || self.cache_index
            || self.cluster_membership
            || self.loads
    }

    /// Adds the changes of a later message.
    pub fn merge(&mut self, later: StateChanges) {
        self.configuration |= later.configuration;
        self.fleet |= later.fleet;
        self.weights |= later.weights;
        self.cache_index |= later.cache_index;
        self.cluster_membership |= later.cluster_membership;
        self.loads |= later.loads;
        self.pong = later.pong.or(self.pong);
    }
}

/// A publisher's response to a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pong {
    /// Id of the ping.
    pub id: u64,
    /// Time since the publisher's state was last known to be the newest; `None` while that is unknown to the publisher.
    pub state_age: Option<Duration>,
    /// Revision of the publisher's configuration; 0 without one.
    pub revision: Revision,
}
