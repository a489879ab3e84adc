//! Placement policies that an experiment compares.

use serde::Deserialize;

/// Placement policy of the simulated gateways.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Load balancer of the gateway, `crates/load-balancer/src/balancer/`.
    #[serde(rename = "module")]
    LoadBalancer,
    /// Random replica, weighted by size.
    Random,
    /// Round robin; each gateway begins at a random offset.
    RoundRobin,
    /// Replica with the fewest requests in flight from this gateway, relative to its size.
    LeastInFlight,
    /// Less loaded of two random replicas, by this gateway's requests in flight (power of two choices).
    TwoChoices,
    /// Consistent hashing of the prefix with bounded loads: skips replicas that have more than 1.25 times this gateway's
    /// mean in flight (Mirrokni, Thorup and Zadimoghaddam).
    BoundedRing,
    /// Least loaded replica by the true state of the fleet: an upper bound, since gateways don't have this state.
    Oracle,
}

impl PolicyKind {
    /// Name in experiments and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::LoadBalancer => "module",
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round_robin",
            PolicyKind::LeastInFlight => "least_in_flight",
            PolicyKind::TwoChoices => "two_choices",
            PolicyKind::BoundedRing => "bounded_ring",
            PolicyKind::Oracle => "oracle",
        }
    }
}
