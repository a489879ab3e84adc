//! Identifies processes and calls, so that events for outdated ones are recognized.

/// A process of a gateway: it becomes outdated when the gateway stops or restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GatewayProcess {
    /// The index of the gateway.
    pub(super) gateway: usize,
    /// The number of its starts and stops.
    pub(super) incarnation: u32,
}

/// A process of a replica: it becomes outdated when the replica crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReplicaProcess {
    /// The index of the replica.
    pub(super) replica: usize,
    /// The number of its crashes.
    pub(super) incarnation: u32,
}

/// A call to the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListCall {
    /// The caller.
    pub(super) caller: GatewayProcess,
    /// The number of the call, unique in a run.
    pub(super) number: u64,
}
