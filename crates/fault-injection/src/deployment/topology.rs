//! Numbers of machines and replicas in a deployment.

/// Numbers of machines and replicas, and the losses that a deployment has to tolerate.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Machines that can run a control-plane member.
    pub members: usize,
    /// Seeds: the first members, which are started with the deployment.
    pub seeds: usize,
    /// Edge machines, each with an agent and a proxy.
    pub edges: usize,
    /// Stand-in replicas in the platform's list.
    pub replicas: usize,
    /// Machine losses that the control plane has to tolerate at the same time.
    pub tolerated_losses: u32,
}

impl Default for Topology {
    fn default() -> Topology {
        Topology { members: 3, seeds: 3, edges: 1, replicas: 1, tolerated_losses: 1 }
    }
}
