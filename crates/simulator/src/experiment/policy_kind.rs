//! The placement policies that an experiment compares.

use serde::Deserialize;

/// The policies that can be simulated.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The gateway's decision module, `crates/load-balancer/src/balancer/`.
    #[serde(rename = "module")]
    LoadBalancer,
    /// A random replica, weighted by size.
    Random,
    /// Round robin, each gateway from an offset of its own.
    RoundRobin,
    /// The replica with the fewest requests in flight from this gateway, relative to its size.
    LeastInFlight,
    /// The less loaded, by this gateway's requests in flight, of two random replicas (power of two choices).
    TwoChoices,
    /// Consistent hashing of the prefix with bounded loads: skips replicas that have more than 1.25 times this gateway's
    /// mean in flight (Mirrokni, Thorup and Zadimoghaddam).
    BoundedRing,
    /// The least loaded replica by the true state of the fleet, which no gateway can know: an upper bound.
    Oracle,
}

impl PolicyKind {
    /// The name in experiments and reports.
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
