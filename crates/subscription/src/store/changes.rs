//! What a publisher's message has changed.

use std::time::Duration;

use tulipridge_configuration::number::Revision;

/// Which tables differ after one or several messages, and the last pong among these.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateChanges {
    /// The configuration.
    pub configuration: bool,
    /// The table of replicas.
    pub fleet: bool,
    /// The table of weights.
    pub weights: bool,
    /// The prefix-cache index.
    pub cache_index: bool,
    /// The gateways and members of the control plane.
    pub cluster_membership: bool,
    /// The table of loads.
    pub loads: bool,
    /// The reply to a ping. It is no change of the state.
    pub pong: Option<Pong>,
}

impl StateChanges {
    /// Whether any table differs from before.
    #[must_use]
    pub fn any(&self) -> bool {
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

/// The reply to a ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pong {
    /// The ping's id.
    pub id: u64,
    /// How long ago the publisher's state was known to be the newest; none while the publisher does not know.
    pub age: Option<Duration>,
    /// Revision of the configuration that the publisher has.
    pub revision: Revision,
}
