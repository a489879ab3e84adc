//! Identifiers of processes and calls, by which events for outdated ones are recognized and ignored.

/// A process of a gateway, outdated as soon as the gateway stops or restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GatewayProcess {
    /// Index of the gateway in the fleet.
    pub(super) gateway: usize,
    /// Number of the gateway's starts and stops up to this process.
    pub(super) incarnation: u32,
}

/// A process of a replica, outdated as soon as the replica crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReplicaProcess {
    /// Index of the replica in the fleet.
    pub(super) replica: usize,
    /// Number of the replica's crashes before this process.
    pub(super) incarnation: u32,
}

/// A call to the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListCall {
    /// Process that made the call.
    pub(super) caller: GatewayProcess,
    /// Number of the call, unique in a run and ascending from 1.
    pub(super) number: u64,
}
