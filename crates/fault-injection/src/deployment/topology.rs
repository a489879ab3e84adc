//! The size of a deployment.

/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Machines for control-plane members.
    pub members: usize,
    /// How many of them, from the first on, are seeds and started at once.
    pub seeds: usize,
    /// Edge machines.
    pub edges: usize,
    /// Replicas.
    pub replicas: usize,
    /// Machine losses that the control plane has to tolerate at the same time.
    pub tolerated_losses: u32,
}

impl Default for Topology {
    fn default() -> Topology {
        Topology { members: 3, seeds: 3, edges: 1, replicas: 1, tolerated_losses: 1 }
    }
}
